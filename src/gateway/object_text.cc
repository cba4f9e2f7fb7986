#include "src/gateway/object_text.h"

#include <zlib.h>

#include <array>
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

// Releases the memory of a stream for decompression.
class InflateStream {
 public:
  InflateStream() { is_ready_ = inflateInit(&stream_) == Z_OK; }
  ~InflateStream() { inflateEnd(&stream_); }
  InflateStream(const InflateStream&) = delete;
  InflateStream& operator=(const InflateStream&) = delete;

  bool is_ready() const { return is_ready_; }
  z_stream& stream() { return stream_; }

 private:
  z_stream stream_{};
  bool is_ready_ = false;
};

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

std::string PackText(const std::string& text) {
  uLongf size = compressBound(text.size());
  std::string packed(size, '\0');
  // The buffer has the size that zlib asks for, so that this can't fail.
  compress2(reinterpret_cast<Bytef*>(packed.data()), &size,
            reinterpret_cast<const Bytef*>(text.data()), text.size(),
            Z_DEFAULT_COMPRESSION);
  packed.resize(size);
  return packed;
}

std::optional<std::string> UnpackText(const std::string& packed) {
  InflateStream inflater;
  if (!inflater.is_ready()) {
    return std::nullopt;
  }
  z_stream& stream = inflater.stream();
  // zlib reads the input only, whatever the type says.
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(packed.data()));
  stream.avail_in = static_cast<uInt>(packed.size());
  std::string text;
  std::array<char, 16384> buffer{};
  int status = Z_OK;
  while (status == Z_OK && text.size() <= kMaxUnpackedBytes) {
    stream.next_out = reinterpret_cast<Bytef*>(buffer.data());
    stream.avail_out = buffer.size();
    status = inflate(&stream, Z_NO_FLUSH);
    text.append(buffer.data(), buffer.size() - stream.avail_out);
  }
  if (status != Z_STREAM_END || text.size() > kMaxUnpackedBytes) {
    return std::nullopt;
  }
  return text;
}

}  // namespace papaya
