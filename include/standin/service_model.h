#ifndef INCLUDE_STANDIN_SERVICE_MODEL_H_
#define INCLUDE_STANDIN_SERVICE_MODEL_H_

#include <cstdint>
#include <map>
#include <string>

namespace papaya {

// One call of a plain service.
struct ServiceCall {
  // What must not run twice: a booking's or bid's own key.
  std::string key;
  std::string method;
  std::string path;
};

// A plain service that counts how often each key was run, so that tests see
// what ran twice. Calls without a key are counted under their method and path.
class ServiceModel {
 public:
  // Runs the call and counts it.
  void Run(const ServiceCall& call);

  // How often each key was run.
  const std::map<std::string, uint64_t>& ledger() const { return ledger_; }

  // Runs that were not the first of their key.
  uint64_t repeated_runs() const { return repeated_runs_; }

 private:
  std::map<std::string, uint64_t> ledger_;
  uint64_t repeated_runs_ = 0;
};

// The answer of every stand-in service to a call that ran: a JSON object with
// `confirmed`, the call's key. Callers work it out too.
std::string ServiceResponseBody(const std::string& key);

// The key of a call: the text `key` of a JSON body, else the
// `Idempotency-Key` header, else empty.
std::string ServiceKey(const std::string& body,
                       const std::string& idempotency_key);

}  // namespace papaya

#endif  // INCLUDE_STANDIN_SERVICE_MODEL_H_
