#ifndef SRC_WIRE_OBJECT_JSON_H_
#define SRC_WIRE_OBJECT_JSON_H_

#include <optional>
#include <string>
#include <vector>

#include "include/config/object_store.h"
#include "include/wire/http_object_store.h"

namespace papaya {

// Bodies of the platform's answers; empty if they are broken.
std::optional<StoredObject> ParseStoredObject(const std::string& body);
std::optional<std::vector<StoredObject>> ParseObjectList(
    const std::string& body);
std::optional<ObjectVersion> ParseObjectVersion(const std::string& body);
std::optional<std::vector<PlatformVm>> ParseVmList(const std::string& body);

}  // namespace papaya

#endif  // SRC_WIRE_OBJECT_JSON_H_
