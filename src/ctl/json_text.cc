#include "src/ctl/json_text.h"

#include <algorithm>
#include <boost/json.hpp>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "include/base/json_object.h"

namespace papaya {

namespace {

namespace json = boost::json;

constexpr size_t kColumnGap = 2;

using Row = std::vector<std::string>;

// Formats `rows` with each column padded to its longest cell.
std::string AlignColumns(const std::vector<Row>& rows) {
  std::vector<size_t> widths;
  for (const Row& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string text;
  for (const Row& row : rows) {
    std::string line;
    for (size_t column = 0; column < row.size(); ++column) {
      std::string cell = row[column];
      if (column + 1 < row.size()) {
        cell.resize(widths[column] + kColumnGap, ' ');
      }
      line += cell;
    }
    absl::StrAppend(&text, line, "\n");
  }
  return text;
}

}  // namespace

json::object ParseResponseBody(const std::string& text) {
  return ParseJsonObject(text).value_or(json::object());
}

std::string JsonString(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->as_string())
             : "";
}

std::string FormatJsonValue(const json::value& value) {
  if (value.is_string()) {
    return std::string(value.as_string());
  }
  if (value.is_array()) {
    return absl::StrJoin(value.as_array(), ", ",
                         [](std::string* out, const json::value& element) {
                           absl::StrAppend(out, FormatJsonValue(element));
                         });
  }
  if (value.is_double()) {
    return absl::StrCat(value.as_double());
  }
  return json::serialize(value);
}

std::string FormatJsonTable(const json::array& rows) {
  if (rows.empty() || !rows.front().is_object()) {
    return "";
  }
  Row header;
  for (const json::key_value_pair& pair : rows.front().as_object()) {
    header.emplace_back(pair.key());
  }
  std::vector<Row> table = {header};
  for (const json::value& value : rows) {
    Row row;
    for (const std::string& key : header) {
      const json::object* object = value.if_object();
      const json::value* cell =
          object == nullptr ? nullptr : object->if_contains(key);
      row.push_back(cell == nullptr ? "" : FormatJsonValue(*cell));
    }
    table.push_back(std::move(row));
  }
  return AlignColumns(table);
}

std::string FormatJsonLines(const json::object& object) {
  std::vector<Row> table;
  for (const json::key_value_pair& pair : object) {
    table.push_back({std::string(pair.key()), FormatJsonValue(pair.value())});
  }
  return AlignColumns(table);
}

}  // namespace papaya
