#ifndef SRC_CTL_JSON_TEXT_H_
#define SRC_CTL_JSON_TEXT_H_

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <string>

namespace papaya {

// Parses `text`, the body of a router's response, as a JSON object. Returns an
// empty object if it is not one.
boost::json::object ParseResponseBody(const std::string& text);

// Returns the string `key` of `object`, or an empty string if there is none.
std::string JsonString(const boost::json::object& object, const char* key);

// Formats `value` for display: strings without quotes, arrays as lists with
// commas.
std::string FormatJsonValue(const boost::json::value& value);

// Formats `rows`, an array of objects, as a table whose columns are the keys of
// the first object.
std::string FormatJsonTable(const boost::json::array& rows);

// Formats `object` with one line for each key.
std::string FormatJsonLines(const boost::json::object& object);

}  // namespace papaya

#endif  // SRC_CTL_JSON_TEXT_H_
