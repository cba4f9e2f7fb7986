#include "src/rollout/config_publisher.h"

#include <utility>

#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"
#include "include/config/fleet_config_json.h"

namespace papaya {

namespace {

// Least time between two reads of the object.
constexpr Duration kRetryAfter = std::chrono::seconds(1);

bool IsSameFleet(const FleetConfig& a, const FleetConfig& b) {
  return a.upstreams == b.upstreams && a.shares == b.shares;
}

}  // namespace

struct ConfigPublisher::State {
  bool is_alive = true;
  bool is_busy = false;
  bool is_known = false;
  TimePoint now;
  TimePoint next_read;
  FleetConfig config;
  ObjectVersion version;
  uint64_t writes = 0;

  void OnRead(const absl::StatusOr<StoredObject>& object) {
    is_busy = false;
    if (!object.ok()) {
      is_known = object.status().code() == absl::StatusCode::kNotFound;
      config = is_known ? FleetConfig() : config;
      version = is_known ? ObjectVersion(0) : version;
      return;
    }
    absl::StatusOr<FleetConfig> parsed = ParseFleetConfigJson(object->value);
    if (parsed.ok()) {
      config = *std::move(parsed);
      version = object->version;
      is_known = true;
    }
  }
};

ConfigPublisher::ConfigPublisher(ObjectStore* store,
                                 const std::string& prefix,
                                 const std::string& owner,
                                 PublishHook on_publish)
    : key_(absl::StrCat(prefix, "/config")),
      owner_(owner),
      store_(store),
      on_publish_(std::move(on_publish)),
      state_(std::make_shared<State>()) {}

ConfigPublisher::~ConfigPublisher() {
  state_->is_alive = false;
}

void ConfigPublisher::Forget() {
  state_->is_known = false;
  state_->next_read = TimePoint();
}

void ConfigPublisher::OnTick(TimePoint now) {
  state_->now = now;
  if (state_->is_known || state_->is_busy || now < state_->next_read) {
    return;
  }
  state_->is_busy = true;
  state_->next_read = now + kRetryAfter;
  const std::shared_ptr<State> state = state_;
  store_->Get(key_, [state](const absl::StatusOr<StoredObject>& object) {
    state->OnRead(object);
  });
}

bool ConfigPublisher::IsKnown() const {
  return state_->is_known && !state_->is_busy;
}

const FleetConfig& ConfigPublisher::config() const {
  return state_->config;
}

bool ConfigPublisher::Publish(const FleetConfig& wanted) {
  if (!IsKnown()) {
    return false;
  }
  const bool is_first = state_->version == ObjectVersion(0);
  if (!is_first && IsSameFleet(wanted, state_->config)) {
    return true;
  }
  FleetConfig next = wanted;
  next.revision = state_->config.revision.Next();
  const ConditionalWrite write = {
      key_, state_->version,
      OperationId(absl::StrCat("config/", owner_, "/", ++state_->writes)),
      FleetConfigToJson(next)};
  state_->is_busy = true;
  const std::shared_ptr<State> state = state_;
  store_->Put(
      write, [this, state, next](const absl::StatusOr<ObjectVersion>& version) {
        state->is_busy = false;
        // The result of a failed write is uncertain, so the object is read
        // again before the next decision.
        state->is_known = version.ok();
        if (!version.ok()) {
          return;
        }
        state->config = next;
        state->version = *version;
        if (state->is_alive && on_publish_) {
          on_publish_(next, *version);
        }
      });
  return false;
}

}  // namespace papaya
