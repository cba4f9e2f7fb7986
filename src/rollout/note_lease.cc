#include "include/rollout/note_lease.h"

#include <boost/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"

namespace papaya {

namespace {

namespace json = boost::json;

// Fraction by which the interval between reads of the lease is spread.
constexpr double kLeasePollJitter = 0.3;

// The content of the lease object.
struct LeaseValue {
  std::string owner;
  FencingNumber epoch;
  Duration length{};
};

std::string FormatLease(const LeaseValue& lease) {
  return json::serialize(json::object{{"owner", lease.owner},
                                      {"epoch", lease.epoch.value()},
                                      {"length_ns", lease.length.count()}});
}

std::optional<LeaseValue> ParseLease(const std::string& text) {
  try {
    const json::object object = json::parse(text).as_object();
    LeaseValue lease;
    lease.owner = std::string(object.at("owner").as_string());
    lease.epoch = FencingNumber(object.at("epoch").to_number<uint64_t>());
    lease.length = Duration(object.at("length_ns").to_number<int64_t>());
    return lease;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

struct NoteLease::State {
  bool is_alive = true;
  bool is_busy = false;
  // Time of the last tick; callbacks have no other clock.
  TimePoint now;
  TimePoint next_poll;
  TimePoint next_renewal;

  // The lease object as last read, and since when by the clock of this process.
  bool has_read = false;
  std::optional<LeaseValue> seen;
  ObjectVersion seen_version;
  // Set by the first tick after the read, so that it is never before the read.
  std::optional<TimePoint> seen_since;

  // The lease of this process, counted from before the write that took or
  // renewed it.
  std::optional<FencingNumber> epoch;
  TimePoint until;
  // True while a rejected write leaves it uncertain whether this process still
  // holds the lease.
  bool is_in_doubt = false;

  // The write whose answer is outstanding or was lost.
  OperationId operation;
  FencingNumber written_epoch;
  TimePoint written_at;
  uint64_t writes = 0;
};

NoteLease::NoteLease(ObjectStore* store,
                     const std::string& prefix,
                     const std::string& owner,
                     const NoteLeaseOptions& options,
                     Random* random)
    : store_(store),
      key_(absl::StrCat(prefix, "/lease")),
      owner_(owner),
      options_(options),
      random_(random),
      state_(std::make_shared<State>()) {}

NoteLease::~NoteLease() {
  state_->is_alive = false;
}

void NoteLease::OnTick(TimePoint now, bool is_candidate) {
  state_->now = now;
  if (!state_->seen_since) {
    state_->seen_since = now;
  }
  if (state_->epoch && now >= state_->until) {
    state_->epoch.reset();
  }
  if (state_->is_busy || !is_candidate) {
    return;
  }
  if (state_->epoch && !state_->is_in_doubt && state_->has_read) {
    if (now >= state_->next_renewal) {
      Write(now, *state_->epoch);
    }
    return;
  }
  if (now >= state_->next_poll) {
    ReadLease(now);
    return;
  }
  TryAcquire(now);
}

bool NoteLease::HoldsUntil(TimePoint time) const {
  return state_->epoch.has_value() && !state_->is_in_doubt &&
         time < state_->until;
}

std::optional<FencingNumber> NoteLease::HeldEpoch(TimePoint now) const {
  return HoldsUntil(now) ? state_->epoch : std::nullopt;
}

std::string NoteLease::seen_owner() const {
  return state_->seen ? state_->seen->owner : std::string();
}

void NoteLease::ReadLease(TimePoint now) {
  state_->is_busy = true;
  // A holder that is in doubt reads the lease four times as often, so that it
  // can renew in time.
  const Duration pause =
      state_->epoch ? options_.poll_interval / 4 : options_.poll_interval;
  state_->next_poll = now + random_->Jitter(pause, kLeasePollJitter);
  const std::shared_ptr<State> state = state_;
  store_->Get(key_, [this, state](const absl::StatusOr<StoredObject>& object) {
    if (state->is_alive) {
      OnLeaseRead(object);
    }
  });
}

void NoteLease::OnLeaseRead(const absl::StatusOr<StoredObject>& object) {
  state_->is_busy = false;
  if (!object.ok()) {
    if (object.status().code() == absl::StatusCode::kNotFound) {
      state_->has_read = true;
      state_->seen.reset();
      state_->seen_version = ObjectVersion(0);
    }
    return;
  }
  if (!state_->has_read || object->version != state_->seen_version) {
    state_->seen_since.reset();
  }
  state_->has_read = true;
  state_->seen = ParseLease(object->value);
  state_->seen_version = object->version;
  const bool is_ours = state_->seen && state_->seen->owner == owner_;
  if (!is_ours) {
    state_->epoch.reset();
    return;
  }
  state_->is_in_doubt = false;
  // The answer to the last write was lost, but the write took effect.
  if (object->operation == state_->operation) {
    state_->epoch = state_->written_epoch;
    state_->until = state_->written_at + options_.length;
  }
}

void NoteLease::TryAcquire(TimePoint now) {
  if (!state_->has_read) {
    return;
  }
  if (!state_->seen) {
    // The object is absent or does not parse, so only its version is known; the
    // next epoch is derived from it. An object that does not parse must have
    // been unchanged for two lifetimes.
    const bool is_absent = state_->seen_version == ObjectVersion(0);
    const bool is_old =
        state_->seen_since && now - *state_->seen_since > options_.length * 2;
    if (is_absent || is_old) {
      Write(now, FencingNumber(state_->seen_version.value() + 1));
    }
    return;
  }
  if (state_->seen->owner == owner_) {
    // This process is the owner, but its lease has expired or is in doubt. No
    // other process has held the lease since, so the epoch stays.
    Write(now, state_->seen->epoch);
    return;
  }
  const Duration wait = state_->seen->length + options_.margin;
  if (state_->seen_since && now - *state_->seen_since > wait) {
    Write(now, state_->seen->epoch.Next());
  }
}

void NoteLease::Write(TimePoint now, FencingNumber epoch) {
  state_->is_busy = true;
  state_->operation =
      OperationId(absl::StrCat("lease/", owner_, "/", ++state_->writes));
  state_->written_epoch = epoch;
  state_->written_at = now;
  state_->next_renewal = now + options_.renew_interval;
  const ConditionalWrite write = {
      key_, state_->seen_version, state_->operation,
      FormatLease({owner_, epoch, options_.length})};
  const std::shared_ptr<State> state = state_;
  store_->Put(write,
              [this, state](const absl::StatusOr<ObjectVersion>& version) {
                if (state->is_alive) {
                  OnWritten(version);
                }
              });
}

void NoteLease::OnWritten(const absl::StatusOr<ObjectVersion>& version) {
  state_->is_busy = false;
  if (version.ok()) {
    state_->epoch = state_->written_epoch;
    state_->until = state_->written_at + options_.length;
    state_->is_in_doubt = false;
    state_->seen = LeaseValue{owner_, state_->written_epoch, options_.length};
    state_->seen_version = *version;
    return;
  }
  if (version.status().code() == absl::StatusCode::kResourceExhausted) {
    return;  // the write had no effect; a later tick retries it
  }
  // Another process wrote first, or an earlier write of this process whose
  // answer was lost took effect, or the result of this write is uncertain. The
  // object must be read before the next write.
  state_->is_in_doubt = version.status().code() == absl::StatusCode::kAborted;
  state_->has_read = false;
  state_->next_poll = state_->now;
}

}  // namespace papaya
