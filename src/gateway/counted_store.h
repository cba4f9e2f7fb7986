#ifndef SRC_GATEWAY_COUNTED_STORE_H_
#define SRC_GATEWAY_COUNTED_STORE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "include/base/units.h"
#include "include/gateway/platform_store.h"
#include "include/telemetry/event.h"

namespace papaya {

// Counts the calls to a store by kind of object and of call, for metrics and a
// log event in intervals. Single-threaded.
class CountedStore final : public PlatformStore {
 public:
  // Interval of the log events.
  static constexpr Duration kReportInterval = std::chrono::seconds(60);

  struct Hooks {
    // A call has ended.
    std::function<
        void(const std::string& kind, const std::string& call, bool is_ok)>
        ended;
    EventHook event;
  };

  CountedStore(std::unique_ptr<PlatformStore> store, Hooks hooks);

  // Call every 100 ms.
  void OnTick(TimePoint now);

  void List(const std::string& kind,
            const std::string& after,
            BatchCallback done) override;
  void ListStale(const std::string& kind,
                 const std::string& after,
                 BatchCallback done) override;
  void Watch(const std::string& kind,
             ObjectVersion version,
             Duration wait,
             BatchCallback done) override;
  void SetEventHook(const EventHook& event) override {
    store_->SetEventHook(event);
  }
  void Reconnect() override { store_->Reconnect(); }
  void Create(const std::string& kind,
              const PlatformObject& object,
              WriteCallback done) override;
  void PutStatus(const std::string& kind,
                 const PlatformObject& object,
                 WriteCallback done) override;

 private:
  // Returns `done` preceded by the count of the call.
  template <typename Result>
  std::function<void(Result)> Count(const std::string& kind,
                                    const std::string& call,
                                    std::function<void(Result)> done);
  void OnEnd(const std::string& kind, const std::string& call, bool is_ok);

  const Hooks hooks_;
  // Calls since the last report by kind and what they were.
  std::map<std::string, std::map<std::string, int>> counts_;
  TimePoint next_report_;
  const std::unique_ptr<PlatformStore> store_;
  // Expires with this object, so that late responses are not counted.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace papaya

#endif  // SRC_GATEWAY_COUNTED_STORE_H_
