#include "include/base/json_object.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <utility>

namespace papaya {

std::optional<boost::json::object> ParseJsonObject(const std::string& text) {
  boost::system::error_code error;
  boost::json::value parsed = boost::json::parse(text, error);
  if (error || !parsed.is_object()) {
    return std::nullopt;
  }
  return std::move(parsed.as_object());
}

}  // namespace papaya
