#ifndef INCLUDE_BASE_JSON_OBJECT_H_
#define INCLUDE_BASE_JSON_OBJECT_H_

#include <boost/json/object.hpp>
#include <optional>
#include <string>

namespace papaya {

// The JSON object that `text` is; empty if it is none.
std::optional<boost::json::object> ParseJsonObject(const std::string& text);

}  // namespace papaya

#endif  // INCLUDE_BASE_JSON_OBJECT_H_
