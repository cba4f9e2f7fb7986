#ifndef INCLUDE_STANDIN_SERVICE_MODEL_H_
#define INCLUDE_STANDIN_SERVICE_MODEL_H_

#include <cstdint>
#include <map>
#include <string>

namespace papaya {

// One call of a plain service.
struct ServiceCall {
  // The key of the booking or bid, which must not run twice.
  std::string key;
  std::string method;
  std::string path;
};

// Simulates a plain service. Counts the runs of each key, so that tests detect
// calls that ran twice. Calls without a key are counted under their method and
// path.
class ServiceModel {
 public:
  // Runs the call and counts it.
  void Run(const ServiceCall& call);

  // Number of runs by key.
  const std::map<std::string, uint64_t>& ledger() const { return ledger_; }

  // Number of runs after the first of each key. Calls without a key are not
  // counted.
  uint64_t repeated_runs() const { return repeated_runs_; }

 private:
  std::map<std::string, uint64_t> ledger_;
  uint64_t repeated_runs_ = 0;
};

// Returns the response body of any stand-in service to a call that ran: a JSON
// object whose `confirmed` is the key of the call. Callers compare their
// response with it.
std::string ServiceResponseBody(const std::string& key);

// Returns the key of a call: the string `key` of a JSON body, or else the value
// of the `Idempotency-Key` header, which may be empty.
std::string ServiceKey(const std::string& body,
                       const std::string& idempotency_key);

}  // namespace papaya

#endif  // INCLUDE_STANDIN_SERVICE_MODEL_H_
