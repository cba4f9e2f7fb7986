#include "include/gateway/upstream_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace papaya {

void UpstreamDirectory::Replace(const std::vector<PlatformObject>& objects,
                                TimePoint now) {
  bool has_changed = false;
  std::set<std::string> present;
  for (const PlatformObject& object : objects) {
    present.insert(object.name);
    has_changed |= Upsert(object, now);
  }
  std::vector<std::string> missing;
  for (const auto& [name, entry] : entries_) {
    if (!present.contains(name)) {
      missing.push_back(name);
    }
  }
  for (const std::string& name : missing) {
    has_changed |= Remove(name, now);
  }
  if (has_changed) {
    hooks_.changed();
  }
}

void UpstreamDirectory::Apply(const PlatformObject& object, TimePoint now) {
  if (object.is_deleted ? Remove(object.name, now) : Upsert(object, now)) {
    hooks_.changed();
  }
}

void UpstreamDirectory::OnStoreRecovered(TimePoint now) {
  grace_until_ = now + kReregistrationGrace;
}

void UpstreamDirectory::OnStoreRestored(TimePoint now) {
  grace_until_ = now + kReregistrationGrace;
  for (const auto& [name, entry] : entries_) {
    if (entry.record.is_draining) {
      leaving_.Mark(entry.record.id, entry.record.instance);
    }
  }
  for (const Removed& removed : removed_) {
    if (leaving_.Mark(removed.id, removed.instance)) {
      leaving_.OnRemoved(removed.instance, now);
    }
  }
  removed_.clear();
}

void UpstreamDirectory::OnLeaving(const UpstreamRecord& upstream) {
  if (!leaving_.Mark(upstream.id, upstream.instance)) {
    return;
  }
  hooks_.event({EventId::kUpstreamDraining,
                {{"upstream", upstream.id.value()}, {"source", "response"}}});
  hooks_.changed();
}

void UpstreamDirectory::OnTick(TimePoint now) {
  leaving_.OnTick(now);
  while (!removed_.empty() && now - removed_.front().time > kRemovedMemory) {
    removed_.pop_front();
  }
  bool has_changed = false;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    if (entry->second.drop_at.has_value() && *entry->second.drop_at <= now) {
      entry = Drop(entry, now);
      has_changed = true;
    } else {
      ++entry;
    }
  }
  if (has_changed) {
    hooks_.changed();
  }
}

std::vector<UpstreamRecord> UpstreamDirectory::Records() const {
  std::vector<UpstreamRecord> records;
  records.reserve(entries_.size());
  for (const auto& [name, entry] : entries_) {
    records.push_back(entry.record);
    records.back().is_draining =
        entry.record.is_draining ||
        leaving_.Contains(entry.record.id, entry.record.instance);
  }
  return records;
}

bool UpstreamDirectory::Upsert(const PlatformObject& object, TimePoint now) {
  const auto found = entries_.find(object.name);
  absl::StatusOr<UpstreamRecord> record = hooks_.decode(object);
  if (!record.ok()) {
    hooks_.event({EventId::kEntryRefused,
                  {{"entry", object.name},
                   {"error", std::string(record.status().message())}}});
    if (found == entries_.end()) {
      return false;
    }
    Drop(found, now);
    return true;
  }
  leaving_.OnRegistered(record->id, record->instance);
  const bool is_new_version =
      found == entries_.end() || object.version > found->second.version;
  ReportWarmup(is_new_version, &*record);
  if (found != entries_.end() && found->second.record == *record) {
    found->second.drop_at.reset();
    found->second.version = std::max(found->second.version, object.version);
    return false;
  }
  if (found == entries_.end() || found->second.record.id != record->id) {
    hooks_.event({EventId::kUpstreamRegistered,
                  {{"upstream", record->id.value()},
                   {"service", record->service.value()},
                   {"version", record->version.value()},
                   {"address", record->address}}});
  } else if (record->is_draining) {
    hooks_.event(
        {EventId::kUpstreamDraining,
         {{"upstream", record->id.value()}, {"source", "registration"}}});
  }
  entries_[object.name] = {
      .record = *std::move(record), .drop_at = {}, .version = object.version};
  return true;
}

void UpstreamDirectory::ReportWarmup(bool is_new_version,
                                     UpstreamRecord* record) {
  const std::optional<Duration> left =
      std::exchange(record->warmup_left, std::nullopt);
  const std::string error = std::exchange(record->warmup_error, std::string());
  if (!is_new_version) {
    return;
  }
  if (!error.empty()) {
    hooks_.event({EventId::kWarmupRefused,
                  {{"upstream", record->id.value()}, {"error", error}}});
  }
  if (left.has_value()) {
    hooks_.cold(record->id, *left);
  }
}

bool UpstreamDirectory::Remove(const std::string& name, TimePoint now) {
  const auto found = entries_.find(name);
  if (found == entries_.end()) {
    return false;
  }
  if (now < grace_until_) {
    if (!found->second.drop_at.has_value()) {
      found->second.drop_at = grace_until_;
    }
    return false;
  }
  Drop(found, now);
  return true;
}

UpstreamDirectory::Entries::iterator UpstreamDirectory::Drop(
    Entries::iterator entry,
    TimePoint now) {
  hooks_.event({EventId::kUpstreamGone,
                {{"upstream", entry->second.record.id.value()}}});
  leaving_.OnRemoved(entry->second.record.instance, now);
  removed_.push_back({.id = entry->second.record.id,
                      .instance = entry->second.record.instance,
                      .time = now});
  return entries_.erase(entry);
}

}  // namespace papaya
