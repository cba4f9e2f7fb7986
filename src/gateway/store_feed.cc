#include "include/gateway/store_feed.h"

#include <algorithm>
#include <utility>

#include "include/base/stable_hash.h"
#include "include/config/rendezvous.h"

namespace papaya {

namespace {

// Returns all routers in the order in which they read the store. The first two
// are in different zones if there are two.
std::vector<RouterLocation> OrderOfReaders(
    const RouterLocation& self,
    const std::vector<RouterLocation>& routers) {
  std::map<RouterId, AvailabilityZoneId> zones = {{self.id, self.zone}};
  std::vector<RouterId> ids = {self.id};
  for (const RouterLocation& router : routers) {
    if (zones.emplace(router.id, router.zone).second) {
      ids.push_back(router.id);
    }
  }
  const size_t count = ids.size();
  std::vector<RouterLocation> order;
  order.reserve(count);
  for (RouterId& id : PickByRendezvous("store_reader", std::move(ids), count)) {
    const AvailabilityZoneId zone = zones.at(id);
    order.push_back({.id = std::move(id), .zone = zone});
  }
  const auto other = std::find_if(order.begin(), order.end(),
                                  [&order](const RouterLocation& router) {
                                    return router.zone != order.front().zone;
                                  });
  if (other != order.end()) {
    std::rotate(order.begin() + 1, other, other + 1);
  }
  return order;
}

}  // namespace

StoreFeed::StoreFeed(RouterLocation self, Hooks hooks)
    : self_(std::move(self)), hooks_(std::move(hooks)) {}

void StoreFeed::SetRouters(const std::vector<RouterLocation>& routers) {
  readers_.clear();
  backups_.clear();
  rank_ = 0;
  is_large_ = routers.size() >= kMinFleet;
  if (!is_large_) {
    states_.clear();
    return;
  }
  const std::vector<RouterLocation> order = OrderOfReaders(self_, routers);
  std::vector<RouterId> in_zone;
  while (order[rank_].id != self_.id) {
    if (order[rank_].zone == self_.zone) {
      in_zone.push_back(order[rank_].id);
    }
    ++rank_;
  }
  asks_candidates_ = rank_ < kCandidates || in_zone.size() < kReaders;
  if (rank_ < kCandidates) {
    for (size_t i = 0; i < std::min(order.size(), kCandidates); ++i) {
      if (i != rank_) {
        backups_.push_back(order[i].id);
      }
    }
  }
  if (rank_ >= kReaders) {
    size_t candidates = std::min(rank_, kCandidates);
    if (rank_ >= kCandidates) {
      if (in_zone.size() >= kReaders) {
        candidates = kReaders;
      }
      in_zone.resize(std::min(in_zone.size(), kZoneSources));
      readers_ = std::move(in_zone);
    }
    for (size_t i = 0; i < candidates; ++i) {
      if (std::find(readers_.begin(), readers_.end(), order[i].id) ==
          readers_.end()) {
        readers_.push_back(order[i].id);
      }
    }
  }
  std::erase_if(states_, [this](const auto& state) {
    return std::find(readers_.begin(), readers_.end(), state.first) ==
               readers_.end() &&
           std::find(backups_.begin(), backups_.end(), state.first) ==
               backups_.end();
  });
}

bool StoreFeed::IsAvailable(const RouterId& reader) const {
  const auto state = states_.find(reader);
  return state == states_.end() || !state->second.is_avoided;
}

std::vector<RouterId> StoreFeed::Sources() const {
  std::vector<RouterId> sources;
  const std::vector<RouterId>& asked = has_lost_store_ ? backups_ : readers_;
  // If too few are available, the others are asked all the same, as they are
  // the first to know when the store is available again.
  for (const bool is_available : {true, false}) {
    for (const RouterId& reader : asked) {
      if (sources.size() < kReaders && IsAvailable(reader) == is_available) {
        sources.push_back(reader);
      }
    }
  }
  return sources;
}

void StoreFeed::OnRequest(const RouterId& from,
                          const FeedRequest& request,
                          TimePoint now) {
  const bool is_first = followers_.empty();
  const auto [follower, is_new] = followers_.try_emplace(from);
  follower->second.last_request = now;
  follower->second.wants_long_changes = request.wants_long_changes;
  if (is_first) {
    hooks_.feeding_changed(true);
  }
  for (const FeedRequest::KindVersion& known : request.kinds) {
    if (hooks_.peer_version) {
      hooks_.peer_version(known, now);
    }
    if (!known.is_behind || !hooks_.changes_since ||
        !follower->second.waiting.empty()) {
      continue;
    }
    for (KindFeed& feed : hooks_.changes_since(known, now)) {
      follower->second.waiting.push_back(
          std::make_shared<const KindFeed>(std::move(feed)));
    }
  }
  if (!follower->second.waiting.empty()) {
    SendWaiting();
  }
  if (is_new && follower->second.waiting.empty()) {
    hooks_.update(from, {hooks_.snapshot(now)});
  }
}

void StoreFeed::OnUpdate(const RouterId& from, TimePoint now) {
  Reader& reader = states_[from];
  reader.last_update = now;
  reader.is_avoided = false;
}

void StoreFeed::OnUpdate(const RouterId& from,
                         const FeedUpdate& update,
                         TimePoint now) {
  Reader& reader = states_[from];
  reader.last_update = now;
  reader.has_news = true;
  if (update.kinds.empty()) {
    return;
  }
  Duration age{};
  for (const KindFeed& kind : update.kinds) {
    age = std::max(age, kind.age);
  }
  // Updates with changes have one kind, which says nothing about the others.
  reader.confirmed =
      std::max(reader.confirmed.value_or(TimePoint()), now - age);
  if (age < kReaderStaleLimit) {
    reader.is_avoided = false;
  }
}

void StoreFeed::OnRead(const KindFeed& feed) {
  const auto shared = std::make_shared<const KindFeed>(feed);
  const bool is_long = feed.changes.size() > kLongBytes;
  for (auto& [router, follower] : followers_) {
    if (!is_long && follower.waiting.empty()) {
      hooks_.update(router, {{feed}});
    } else if (!is_long || follower.wants_long_changes) {
      follower.waiting.push_back(shared);
    }
  }
  SendWaiting();
}

void StoreFeed::SendWaiting() {
  const size_t count = followers_.size();
  auto follower = followers_.lower_bound(next_in_turn_);
  for (size_t i = 0; i < count && bytes_left_ > 0; ++i) {
    if (follower == followers_.end()) {
      follower = followers_.begin();
    }
    auto& waiting = follower->second.waiting;
    while (!waiting.empty() && bytes_left_ > 0) {
      bytes_left_ -= std::min(bytes_left_, waiting.front()->changes.size());
      hooks_.update(follower->first, {{*waiting.front()}});
      waiting.pop_front();
    }
    ++follower;
    next_in_turn_ = follower == followers_.end() ? RouterId() : follower->first;
  }
}

void StoreFeed::ForgetFollowers(TimePoint now) {
  const bool was_feeding = IsFeeding();
  std::erase_if(followers_, [now](const auto& follower) {
    return now - follower.second.last_request >= kRequestLifetime;
  });
  if (was_feeding && !IsFeeding()) {
    hooks_.feeding_changed(false);
  }
}

bool StoreFeed::AvoidSilent(TimePoint now) {
  const Duration stale_limit =
      asks_candidates_ ? kReaderStaleLimit : kStaleLimit;
  bool has_silent = false;
  for (const RouterId& source : Sources()) {
    Reader& reader = states_[source];
    if (reader.is_avoided || !reader.asked_since.has_value()) {
      continue;
    }
    const bool is_silent =
        now - std::max(*reader.asked_since, reader.last_update) >=
        kSilenceLimit;
    const bool is_stale =
        reader.has_news &&
        now - std::max(*reader.asked_since,
                       reader.confirmed.value_or(TimePoint())) >=
            stale_limit;
    if (is_silent || is_stale) {
      reader.asked_since.reset();
      reader.is_avoided = true;
      reader.next_retry = now + kRetryInterval;
      has_silent = true;
    }
  }
  return has_silent;
}

void StoreFeed::RequestMissing(TimePoint now) {
  next_request_ = std::min(next_request_, now + kMissingDelay);
}

void StoreFeed::RequestUpdates(TimePoint now) {
  if (!AvoidSilent(now) && now < next_request_) {
    return;
  }
  next_request_ = now + kRequestInterval;
  const std::vector<RouterId> sources = Sources();
  FeedRequest request;
  if (hooks_.versions) {
    request.kinds = hooks_.versions();
  }
  request.wants_long_changes = false;
  for (auto& [router, reader] : states_) {
    if (std::find(sources.begin(), sources.end(), router) != sources.end()) {
      continue;
    }
    reader.asked_since.reset();
    if (reader.is_avoided && now >= reader.next_retry) {
      reader.next_retry = now + kRetryInterval;
      hooks_.request(router, request);
    }
  }
  // The routers of a zone have the same sources, which share the work.
  const size_t sender = StableHash(self_.id.value()) % kReaders;
  for (size_t i = 0; i < sources.size(); ++i) {
    Reader& reader = states_[sources[i]];
    reader.asked_since = reader.asked_since.value_or(now);
    request.wants_long_changes = sources.size() < kReaders || i == sender;
    hooks_.request(sources[i], request);
  }
}

void StoreFeed::UpdateReading() {
  bool is_reading = is_large_ && rank_ < kCandidates;
  if (is_reading && rank_ >= kReaders) {
    const auto available =
        std::count_if(readers_.begin(), readers_.end(),
                      [this](const RouterId& id) { return IsAvailable(id); });
    is_reading = available < static_cast<ptrdiff_t>(kReaders);
  }
  if (is_reading == is_reading_) {
    return;
  }
  is_reading_ = is_reading;
  if (hooks_.reading_changed) {
    hooks_.reading_changed(is_reading);
  }
}

void StoreFeed::OnTick(TimePoint now) {
  bytes_left_ = kBytesPerTick;
  ForgetFollowers(now);
  has_lost_store_ = !backups_.empty() && is_reading_ && hooks_.has_lost_store &&
                    hooks_.has_lost_store(now);
  RequestUpdates(now);
  UpdateReading();
  SendWaiting();
  if (!IsFeeding() || now < next_update_) {
    return;
  }
  next_update_ = now + kUpdateInterval;
  const FeedUpdate update{hooks_.snapshot(now)};
  for (const auto& [router, follower] : followers_) {
    if (follower.waiting.empty()) {
      hooks_.update(router, update);
      continue;
    }
    // The version of a kind is told after the changes that lead to it.
    FeedUpdate others;
    for (const KindFeed& kind : update.kinds) {
      const bool is_waiting =
          std::any_of(follower.waiting.begin(), follower.waiting.end(),
                      [&kind](const std::shared_ptr<const KindFeed>& feed) {
                        return feed->kind == kind.kind;
                      });
      if (!is_waiting) {
        others.kinds.push_back(kind);
      }
    }
    hooks_.update(router, others);
  }
}

}  // namespace papaya
