#ifndef SRC_CTL_JSON_TEXT_H_
#define SRC_CTL_JSON_TEXT_H_

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <string>

namespace papaya {

// The JSON object that the router's answer `text` is; without keys if it is
// none.
boost::json::object ParseResponseBody(const std::string& text);

// The text `key` of `object`; empty if it has none.
std::string JsonString(const boost::json::object& object, const char* key);

// `value` for people: texts without quotes, arrays with commas.
std::string FormatJsonValue(const boost::json::value& value);

// `rows`, objects all, as a table whose columns are the keys of the first one.
std::string FormatJsonTable(const boost::json::array& rows);

// `object` with a line for each key.
std::string FormatJsonLines(const boost::json::object& object);

}  // namespace papaya

#endif  // SRC_CTL_JSON_TEXT_H_
