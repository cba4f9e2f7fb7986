#include "include/standin/service_model.h"

#include <boost/json.hpp>

#include "absl/strings/str_cat.h"

namespace papaya {

namespace {

namespace json = boost::json;

}  // namespace

void ServiceModel::Run(const ServiceCall& call) {
  const std::string key =
      call.key.empty() ? absl::StrCat(call.method, " ", call.path) : call.key;
  const uint64_t runs = ++ledger_[key];
  if (runs > 1 && !call.key.empty()) {
    ++repeated_runs_;
  }
}

std::string ServiceResponseBody(const std::string& key) {
  return json::serialize(json::object{{"confirmed", key}});
}

std::string ServiceKey(const std::string& body,
                       const std::string& idempotency_key) {
  boost::system::error_code error;
  const json::value parsed = json::parse(body, error);
  if (!error && parsed.is_object()) {
    const json::value* key = parsed.as_object().if_contains("key");
    if (key != nullptr && key->is_string()) {
      return std::string(key->as_string());
    }
  }
  return idempotency_key;
}

}  // namespace papaya
