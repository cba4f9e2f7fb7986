#ifndef SRC_CONFIG_JSON_READER_H_
#define SRC_CONFIG_JSON_READER_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

namespace papaya {

// Reads typed members of JSON objects and collects every fault. A faulty
// member reads as the empty value of its type.
class JsonReader {
 public:
  const std::vector<std::string>& faults() const { return faults_; }

  void AddFault(const std::string& where, const std::string& fault);

  // `value` as an object; null, with a fault, if it is none.
  const boost::json::object* AsObject(const std::string& where,
                                      const boost::json::value& value);

  // The array `key` of `object`; null, with a fault, if it is none.
  const boost::json::array* ReadArray(const std::string& where,
                                      const boost::json::object& object,
                                      const char* key);

  std::string ReadString(const std::string& where,
                         const boost::json::object& object,
                         const char* key);

  // An integer in [0, max].
  int64_t ReadInteger(const std::string& where,
                      const boost::json::object& object,
                      const char* key,
                      int64_t max);

  bool ReadBool(const std::string& where,
                const boost::json::object& object,
                const char* key);

  // Adds a fault for each key of `object` that is not one of `keys`.
  void RefuseOtherKeys(const std::string& where,
                       const boost::json::object& object,
                       std::initializer_list<const char*> keys);

 private:
  // The member `key`; null, with a fault, if it is absent.
  const boost::json::value* Find(const std::string& where,
                                 const boost::json::object& object,
                                 const char* key);

  std::vector<std::string> faults_;
};

}  // namespace papaya

#endif  // SRC_CONFIG_JSON_READER_H_
