#include "include/gateway/store_feed.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/config/rendezvous.h"

namespace papaya {

StoreFeed::StoreFeed(RouterLocation self, Hooks hooks)
    : self_(std::move(self)), hooks_(std::move(hooks)) {}

void StoreFeed::SetRouters(const std::vector<RouterLocation>& routers) {
  readers_.clear();
  if (routers.size() < kMinFleet) {
    return;
  }
  std::vector<RouterId> candidates = {self_.id};
  for (const RouterLocation& router : routers) {
    if (router.zone == self_.zone && router.id != self_.id) {
      candidates.push_back(router.id);
    }
  }
  const size_t count = candidates.size();
  std::vector<RouterId> order =
      PickByRendezvous(absl::StrCat("store_reader ", self_.zone.value()),
                       std::move(candidates), count);
  const auto self = std::find(order.begin(), order.end(), self_.id);
  if (self - order.begin() < static_cast<ptrdiff_t>(kReadersPerZone)) {
    return;
  }
  order.erase(self);
  readers_ = std::move(order);
  std::erase_if(states_, [this](const auto& state) {
    return std::find(readers_.begin(), readers_.end(), state.first) ==
           readers_.end();
  });
}

std::vector<RouterId> StoreFeed::Sources(TimePoint now) const {
  std::vector<RouterId> sources;
  for (const RouterId& reader : readers_) {
    if (sources.size() == kReadersPerZone) {
      break;
    }
    const auto state = states_.find(reader);
    if (state == states_.end() || now >= state->second.avoided_until) {
      sources.push_back(reader);
    }
  }
  return sources;
}

void StoreFeed::OnRequest(const RouterId& from, TimePoint now) {
  const bool is_first = followers_.empty();
  const bool is_new = followers_.insert_or_assign(from, now).second;
  if (is_first) {
    hooks_.feeding_changed(true);
  }
  if (is_new) {
    hooks_.update(from, {hooks_.snapshot(now)});
  }
}

void StoreFeed::OnUpdate(const RouterId& from, TimePoint now) {
  Reader& reader = states_[from];
  reader.last_update = now;
  reader.avoided_until = TimePoint();
}

void StoreFeed::OnRead(const KindFeed& feed) {
  for (const auto& [router, asked] : followers_) {
    hooks_.update(router, {{feed}});
  }
}

void StoreFeed::ForgetFollowers(TimePoint now) {
  const bool was_feeding = IsFeeding();
  std::erase_if(followers_, [now](const auto& follower) {
    return now - follower.second >= kRequestLifetime;
  });
  if (was_feeding && !IsFeeding()) {
    hooks_.feeding_changed(false);
  }
}

bool StoreFeed::AvoidSilent(TimePoint now) {
  bool has_silent = false;
  for (const RouterId& source : Sources(now)) {
    Reader& reader = states_[source];
    if (reader.asked_since.has_value() &&
        now - std::max(*reader.asked_since, reader.last_update) >=
            kSilenceLimit) {
      reader.asked_since.reset();
      reader.avoided_until = now + kRetryInterval;
      has_silent = true;
    }
  }
  return has_silent;
}

void StoreFeed::RequestUpdates(TimePoint now) {
  if (!AvoidSilent(now) && now < next_request_) {
    return;
  }
  next_request_ = now + kRequestInterval;
  const std::vector<RouterId> sources = Sources(now);
  for (auto& [router, reader] : states_) {
    if (std::find(sources.begin(), sources.end(), router) == sources.end()) {
      reader.asked_since.reset();
    }
  }
  for (const RouterId& source : sources) {
    Reader& reader = states_[source];
    reader.asked_since = reader.asked_since.value_or(now);
    hooks_.request(source, {});
  }
}

void StoreFeed::OnTick(TimePoint now) {
  ForgetFollowers(now);
  RequestUpdates(now);
  if (!IsFeeding() || now < next_update_) {
    return;
  }
  next_update_ = now + kUpdateInterval;
  const FeedUpdate update{hooks_.snapshot(now)};
  for (const auto& [router, asked] : followers_) {
    hooks_.update(router, update);
  }
}

}  // namespace papaya
