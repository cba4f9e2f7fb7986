#include "src/gateway/counted_store.h"

#include <utility>

namespace papaya {

namespace {

constexpr char kFailed[] = "failed";

}  // namespace

CountedStore::CountedStore(std::unique_ptr<PlatformStore> store, Hooks hooks)
    : hooks_(std::move(hooks)), store_(std::move(store)) {}

void CountedStore::OnTick(TimePoint now) {
  if (next_report_ == TimePoint()) {
    next_report_ = now + kReportInterval;
  }
  if (now < next_report_) {
    return;
  }
  next_report_ = now + kReportInterval;
  for (const auto& [kind, calls] : counts_) {
    Event event{.id = EventId::kStoreCalls};
    event.fields.push_back({"kind", kind});
    for (const auto& [call, count] : calls) {
      event.fields.push_back({call, std::to_string(count)});
    }
    hooks_.event(event);
  }
  counts_.clear();
}

void CountedStore::OnEnd(const std::string& kind,
                         const std::string& call,
                         bool is_ok) {
  ++counts_[kind][call];
  if (!is_ok) {
    ++counts_[kind][kFailed];
  }
  hooks_.ended(kind, call, is_ok);
}

template <typename Result>
std::function<void(Result)> CountedStore::Count(
    const std::string& kind,
    const std::string& call,
    std::function<void(Result)> done) {
  return [this, kind, call, done = std::move(done),
          alive = std::weak_ptr<bool>(is_alive_)](Result result) {
    if (!alive.expired()) {
      OnEnd(kind, call, result.ok());
    }
    done(std::move(result));
  };
}

void CountedStore::List(const std::string& kind,
                        const std::string& after,
                        BatchCallback done) {
  store_->List(kind, after, Count(kind, "list", std::move(done)));
}

void CountedStore::ListStale(const std::string& kind,
                             const std::string& after,
                             BatchCallback done) {
  store_->ListStale(kind, after, Count(kind, "stale_list", std::move(done)));
}

void CountedStore::Watch(const std::string& kind,
                         ObjectVersion version,
                         Duration wait,
                         BatchCallback done) {
  store_->Watch(kind, version, wait, Count(kind, "watch", std::move(done)));
}

void CountedStore::Create(const std::string& kind,
                          const PlatformObject& object,
                          WriteCallback done) {
  store_->Create(kind, object, Count(kind, "create", std::move(done)));
}

void CountedStore::PutStatus(const std::string& kind,
                             const PlatformObject& object,
                             WriteCallback done) {
  store_->PutStatus(kind, object, Count(kind, "put_status", std::move(done)));
}

}  // namespace papaya
