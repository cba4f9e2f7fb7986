#include "src/wire/object_json.h"

#include <boost/json.hpp>

#include "include/base/json_object.h"

namespace papaya {

namespace {

namespace json = boost::json;

std::optional<std::string> TextOf(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_string()) {
    return std::nullopt;
  }
  return std::string(value->as_string());
}

std::optional<ObjectVersion> VersionOf(const json::object& object) {
  const json::value* value = object.if_contains("version");
  if (value == nullptr) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const uint64_t number = value->to_number<uint64_t>(error);
  if (error) {
    return std::nullopt;
  }
  return ObjectVersion(number);
}

std::optional<StoredObject> ToStoredObject(const json::object& object) {
  const std::optional<std::string> key = TextOf(object, "key");
  const std::optional<std::string> operation = TextOf(object, "operation");
  const std::optional<std::string> value = TextOf(object, "value");
  const std::optional<ObjectVersion> version = VersionOf(object);
  if (!key || !operation || !value || !version) {
    return std::nullopt;
  }
  return StoredObject{.key = *key,
                      .version = *version,
                      .operation = OperationId(*operation),
                      .value = *value};
}

std::optional<PlatformVm> ToPlatformVm(const json::object& object) {
  const std::optional<std::string> id = TextOf(object, "id");
  const std::optional<std::string> state = TextOf(object, "state");
  if (!id || !state) {
    return std::nullopt;
  }
  return PlatformVm{.id = VmId(*id), .leaving = *state == "leaving"};
}

// Reads the array `key` of `body`, each element by `read`.
template <typename T>
std::optional<std::vector<T>> ParseArray(
    const std::string& body,
    const char* key,
    std::optional<T> (*read)(const json::object&)) {
  const std::optional<json::object> object = ParseJsonObject(body);
  const json::value* array = object ? object->if_contains(key) : nullptr;
  if (array == nullptr || !array->is_array()) {
    return std::nullopt;
  }
  std::vector<T> elements;
  for (const json::value& value : array->as_array()) {
    const std::optional<T> element =
        value.is_object() ? read(value.as_object()) : std::nullopt;
    if (!element) {
      return std::nullopt;
    }
    elements.push_back(*element);
  }
  return elements;
}

}  // namespace

std::optional<StoredObject> ParseStoredObject(const std::string& body) {
  const std::optional<json::object> object = ParseJsonObject(body);
  return object ? ToStoredObject(*object) : std::nullopt;
}

std::optional<std::vector<StoredObject>> ParseObjectList(
    const std::string& body) {
  return ParseArray<StoredObject>(body, "objects", ToStoredObject);
}

std::optional<ObjectVersion> ParseObjectVersion(const std::string& body) {
  const std::optional<json::object> object = ParseJsonObject(body);
  return object ? VersionOf(*object) : std::nullopt;
}

std::optional<std::vector<PlatformVm>> ParseVmList(const std::string& body) {
  return ParseArray<PlatformVm>(body, "vms", ToPlatformVm);
}

}  // namespace papaya
