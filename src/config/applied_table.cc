#include "src/config/applied_table.h"

#include <algorithm>
#include <map>
#include <utility>

#include "include/base/stable_hash.h"

namespace papaya {

namespace {

uint64_t HashEntry(uint64_t key, Revision revision) {
  return CombineHashes(key, revision.value());
}

AppliedNews ToNews(const std::map<Revision, std::vector<uint64_t>>& groups) {
  AppliedNews news;
  for (const auto& [revision, routers] : groups) {
    news.groups.push_back({revision, routers});
  }
  return news;
}

}  // namespace

void AppliedTable::OnView(const FleetView& view, TimePoint now) {
  absl::flat_hash_map<uint64_t, Revision> old = std::move(revisions_);
  revisions_.clear();
  hash_ = 0;
  for (const RouterView& router : view.routers) {
    const uint64_t key = RouterKey(router.id, router.incarnation);
    const auto known = old.find(key);
    revisions_[key] = Revision(0);
    if (known != old.end()) {
      Set(key, known->second);
    }
    const auto waiting = unknown_.find(key);
    if (waiting != unknown_.end()) {
      Set(key, std::max(revisions_[key], waiting->second.revision));
      unknown_.erase(waiting);
    }
  }
  DropOldUnknown(now);
}

void AppliedTable::Learn(uint64_t key, Revision revision, TimePoint now) {
  const auto found = revisions_.find(key);
  if (found == revisions_.end()) {
    if (unknown_.size() < kMaxUnknown) {
      Unknown& unknown = unknown_[key];
      unknown.revision = std::max(unknown.revision, revision);
      unknown.learnt = now;
    }
    return;
  }
  if (revision > found->second) {
    Set(key, revision);
    news_.insert(key);
  }
}

void AppliedTable::Learn(const AppliedNews& news, TimePoint now) {
  for (const AppliedGroup& group : news.groups) {
    for (uint64_t key : group.routers) {
      Learn(key, group.revision, now);
    }
  }
}

AppliedNews AppliedTable::TakeNews() {
  std::map<Revision, std::vector<uint64_t>> groups;
  for (uint64_t key : news_) {
    const auto found = revisions_.find(key);
    if (found != revisions_.end()) {
      groups[found->second].push_back(key);
    }
  }
  news_.clear();
  return ToNews(groups);
}

AppliedNews AppliedTable::All() const {
  std::map<Revision, std::vector<uint64_t>> groups;
  for (const auto& [key, revision] : revisions_) {
    if (revision > Revision(0)) {
      groups[revision].push_back(key);
    }
  }
  return ToNews(groups);
}

Revision AppliedTable::Find(uint64_t key) const {
  const auto found = revisions_.find(key);
  return found == revisions_.end() ? Revision(0) : found->second;
}

void AppliedTable::Set(uint64_t key, Revision revision) {
  Revision& known = revisions_[key];
  if (known > Revision(0)) {
    hash_ ^= HashEntry(key, known);
  }
  known = revision;
  if (known > Revision(0)) {
    hash_ ^= HashEntry(key, known);
  }
}

void AppliedTable::DropOldUnknown(TimePoint now) {
  absl::erase_if(unknown_, [now](const auto& entry) {
    return now - entry.second.learnt > kUnknownLifetime;
  });
}

}  // namespace papaya
