#include "src/config/config_reader.h"

#include <algorithm>
#include <utility>

#include "include/config/fleet_config_json.h"

namespace papaya {

namespace {

constexpr Duration kFirstBackoff = std::chrono::milliseconds(500);
constexpr Duration kLongestBackoff = std::chrono::seconds(8);
constexpr int kMaxDoublings = 4;
constexpr double kBackoffSpread = 0.5;
// Between two watches, should the store answer them at once.
constexpr Duration kWatchSpacing = std::chrono::milliseconds(100);
// Between two single reads of one router.
constexpr Duration kSingleReadPeriod = std::chrono::seconds(10);

}  // namespace

ConfigReader::ConfigReader(std::string key,
                           ObjectStore* store,
                           Hooks hooks,
                           Random random)
    : key_(std::move(key)),
      store_(store),
      hooks_(std::move(hooks)),
      random_(random),
      self_(std::make_shared<ConfigReader*>(this)) {}

void ConfigReader::OnTick(TimePoint now) {
  now_ = now;
  if (is_waiting_ || now < not_before_) {
    return;
  }
  if (is_watching_ && has_read_) {
    StartWatch();
    return;
  }
  const bool is_single_due = is_read_wanted_ && now >= next_single_read_;
  if (is_watching_ || is_single_due) {
    StartGet();
  }
}

void ConfigReader::StartGet() {
  is_waiting_ = true;
  is_read_wanted_ = false;
  next_single_read_ = now_ + random_.Jitter(kSingleReadPeriod, kBackoffSpread);
  const std::weak_ptr<ConfigReader*> self = self_;
  store_->Get(key_, [self](const absl::StatusOr<StoredObject>& answer) {
    if (const auto reader = self.lock()) {
      (*reader)->OnAnswer(/*is_watch=*/false, answer);
    }
  });
}

void ConfigReader::StartWatch() {
  is_waiting_ = true;
  const std::weak_ptr<ConfigReader*> self = self_;
  store_->Watch(key_, seen_,
                [self](const absl::StatusOr<StoredObject>& answer) {
                  if (const auto reader = self.lock()) {
                    (*reader)->OnAnswer(/*is_watch=*/true, answer);
                  }
                });
}

void ConfigReader::OnAnswer(bool is_watch,
                            const absl::StatusOr<StoredObject>& answer) {
  is_waiting_ = false;
  not_before_ = now_ + kWatchSpacing;
  if (answer.ok()) {
    OnObject(*answer);
    return;
  }
  const bool is_unchanged =
      is_watch && answer.status().code() == absl::StatusCode::kDeadlineExceeded;
  const bool is_absent = answer.status().code() == absl::StatusCode::kNotFound;
  if (is_unchanged || is_absent) {
    has_read_ = true;
    failures_ = 0;
    return;
  }
  OnFailure(answer.status());
}

void ConfigReader::OnObject(const StoredObject& object) {
  failures_ = 0;
  has_read_ = true;
  seen_ = object.version;
  absl::StatusOr<FleetConfig> config = ParseFleetConfigJson(object.value);
  if (!config.ok()) {
    hooks_.failed(config.status());
    return;
  }
  hooks_.read(std::make_shared<const FleetConfig>(*std::move(config)));
}

void ConfigReader::OnFailure(const absl::Status& status) {
  const Duration backoff =
      std::min(kFirstBackoff * (1 << std::min(failures_, kMaxDoublings)),
               kLongestBackoff);
  ++failures_;
  not_before_ = now_ + random_.Jitter(backoff, kBackoffSpread);
  hooks_.failed(status);
}

}  // namespace papaya
