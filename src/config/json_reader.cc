#include "src/config/json_reader.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace papaya {

void JsonReader::AddFault(const std::string& where, const std::string& fault) {
  faults_.push_back(absl::StrCat(where, ": ", fault));
}

const boost::json::object* JsonReader::AsObject(
    const std::string& where,
    const boost::json::value& value) {
  const boost::json::object* object = value.if_object();
  if (object == nullptr) {
    AddFault(where, "expected an object");
  }
  return object;
}

const boost::json::array* JsonReader::ReadArray(
    const std::string& where,
    const boost::json::object& object,
    const char* key) {
  const boost::json::value* value = Find(where, object, key);
  if (value == nullptr) {
    return nullptr;
  }
  const boost::json::array* array = value->if_array();
  if (array == nullptr) {
    AddFault(absl::StrCat(where, ".", key), "expected an array");
  }
  return array;
}

std::string JsonReader::ReadString(const std::string& where,
                                   const boost::json::object& object,
                                   const char* key) {
  const boost::json::value* value = Find(where, object, key);
  if (value == nullptr) {
    return "";
  }
  const boost::json::string* text = value->if_string();
  if (text == nullptr) {
    AddFault(absl::StrCat(where, ".", key), "expected a string");
    return "";
  }
  return std::string(text->data(), text->size());
}

int64_t JsonReader::ReadInteger(const std::string& where,
                                const boost::json::object& object,
                                const char* key,
                                int64_t max) {
  const boost::json::value* value = Find(where, object, key);
  if (value == nullptr) {
    return 0;
  }
  const int64_t* number = value->if_int64();
  if (number == nullptr || *number < 0 || *number > max) {
    AddFault(absl::StrCat(where, ".", key),
             absl::StrCat("expected an integer from 0 to ", max));
    return 0;
  }
  return *number;
}

bool JsonReader::ReadBool(const std::string& where,
                          const boost::json::object& object,
                          const char* key) {
  const boost::json::value* value = Find(where, object, key);
  if (value == nullptr) {
    return false;
  }
  const bool* flag = value->if_bool();
  if (flag == nullptr) {
    AddFault(absl::StrCat(where, ".", key), "expected true or false");
    return false;
  }
  return *flag;
}

void JsonReader::RefuseOtherKeys(const std::string& where,
                                 const boost::json::object& object,
                                 std::initializer_list<const char*> keys) {
  for (const boost::json::key_value_pair& member : object) {
    const std::string key(member.key().data(), member.key().size());
    const bool is_known =
        std::any_of(keys.begin(), keys.end(),
                    [&key](const char* known) { return key == known; });
    if (!is_known) {
      AddFault(absl::StrCat(where, ".", key), "unknown key");
    }
  }
}

const boost::json::value* JsonReader::Find(const std::string& where,
                                           const boost::json::object& object,
                                           const char* key) {
  const boost::json::value* value = object.if_contains(key);
  if (value == nullptr) {
    AddFault(absl::StrCat(where, ".", key), "missing");
  }
  return value;
}

}  // namespace papaya
