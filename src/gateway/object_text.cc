#include "src/gateway/object_text.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdint>
#include <utility>

namespace papaya {

namespace {

namespace json = boost::json;

constexpr char kName[] = "name";
constexpr char kVersion[] = "version";
constexpr char kSpec[] = "spec";
constexpr char kStatus[] = "status";
constexpr char kDeleted[] = "deleted";

json::value ValueOf(const json::object& fields, const char* key) {
  const json::value* found = fields.if_contains(key);
  return found == nullptr ? json::value() : *found;
}

std::optional<PlatformObject> ParseObject(const json::value& value) {
  const json::object* fields = value.if_object();
  if (fields == nullptr) {
    return std::nullopt;
  }
  const json::value* name = fields->if_contains(kName);
  const json::value version = ValueOf(*fields, kVersion);
  if (name == nullptr || !name->is_string() ||
      !(version.is_int64() || version.is_uint64())) {
    return std::nullopt;
  }
  PlatformObject object;
  object.name = std::string(name->as_string());
  boost::system::error_code error;
  object.version = ObjectVersion(version.to_number<uint64_t>(error));
  if (error) {
    return std::nullopt;
  }
  object.spec = ValueOf(*fields, kSpec);
  object.status = ValueOf(*fields, kStatus);
  object.is_deleted = ValueOf(*fields, kDeleted) == json::value(true);
  return object;
}

}  // namespace

std::string FormatObjects(const std::vector<PlatformObject>& objects) {
  json::array items;
  for (const PlatformObject& object : objects) {
    items.push_back(json::object{{kName, object.name},
                                 {kVersion, object.version.value()},
                                 {kSpec, object.spec},
                                 {kStatus, object.status},
                                 {kDeleted, object.is_deleted}});
  }
  return json::serialize(items);
}

std::optional<std::vector<PlatformObject>> ParseObjects(
    const std::string& text) {
  std::vector<PlatformObject> objects;
  if (text.empty()) {
    return objects;
  }
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  const json::array* items = error ? nullptr : value.if_array();
  if (items == nullptr) {
    return std::nullopt;
  }
  for (const json::value& item : *items) {
    std::optional<PlatformObject> object = ParseObject(item);
    if (!object.has_value()) {
      return std::nullopt;
    }
    objects.push_back(*std::move(object));
  }
  return objects;
}

}  // namespace papaya
