// CheckReleaseNote: checks a note against the present fleet.

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/rollout/note_plan.h"
#include "include/rollout/release_note.h"

namespace papaya {

namespace {

// Returns `10 min`, or `90 s` if `duration` is not a whole number of minutes.
std::string FormatDuration(Duration duration) {
  if (duration % std::chrono::minutes(1) == Duration::zero()) {
    return absl::StrCat(duration / std::chrono::minutes(1), " min");
  }
  return absl::StrCat(ToSeconds(duration), " s");
}

// Collects the errors of one note with respect to one fleet.
class NoteChecker {
 public:
  NoteChecker(const ReleaseNote& note,
              const FleetConfig& present,
              WallTime wall,
              Duration min_judged_move,
              std::vector<TextFault>* faults)
      : note_(note),
        present_(present),
        target_(ApplyNote(note, present)),
        wall_(wall),
        min_judged_move_(min_judged_move),
        faults_(faults) {}

  void CheckAll() {
    CheckTime();
    CheckChangesSomething();
    for (const UpstreamChange& change : note_.upstreams) {
      CheckUpstream(change);
    }
    for (const PoolChange& change : note_.pools) {
      CheckPool(change);
    }
    CheckVersions();
    CheckAddresses();
  }

 private:
  void AddError(int line, const std::string& message) {
    faults_->push_back({line, message});
  }

  void CheckTime() {
    if (note_.traffic_by == WallTime()) {
      return;  // the parser has reported the error
    }
    if (note_.traffic_by <= wall_) {
      AddError(
          1, absl::StrCat("traffic_by: ", FormatWallTime(note_.traffic_by),
                          " is past; the time is now ", FormatWallTime(wall_)));
      return;
    }
    const NotePlan plan(NoteId("check"), note_, present_);
    if (plan.IsJudged() && note_.traffic_by - wall_ < min_judged_move_) {
      AddError(1, absl::StrCat("traffic_by: a new version needs at least ",
                               FormatDuration(min_judged_move_),
                               " to be judged; choose a later time"));
    }
    if (note_.bake && *note_.bake > (note_.traffic_by - wall_) / 2) {
      AddError(1, "bake: exceeds half of the time until traffic_by");
    }
  }

  void CheckChangesSomething() {
    if (note_.pools.empty() && note_.upstreams.empty()) {
      AddError(1,
               "the note changes nothing: it has no [pool NAME] and no "
               "[upstream NAME]");
    }
  }

  void CheckUpstream(const UpstreamChange& change) {
    const UpstreamSpec* const existing = FindUpstream(present_, change.id);
    if (change.withdrawn && existing == nullptr) {
      AddError(change.line,
               absl::StrCat("[upstream ", change.id.value(),
                            "] is withdrawn but is not in the fleet"));
    }
    if (!change.withdrawn && existing == nullptr) {
      CheckAdded(change);
    }
    if (existing != nullptr && change.pool && *change.pool != existing->pool) {
      AddError(change.line,
               absl::StrCat("[upstream ", change.id.value(),
                            "] belongs to pool ", existing->pool.value(),
                            "; withdraw it and add it under another name"));
    }
  }

  void CheckAdded(const UpstreamChange& change) {
    const std::pair<const char*, bool> required[] = {
        {"vm", change.vm.has_value()},
        {"address", change.address.has_value()},
        {"zone", change.zone.has_value()},
        {"pool", change.pool.has_value()},
    };
    for (const std::pair<const char*, bool>& key : required) {
      if (!key.second) {
        AddError(change.line,
                 absl::StrCat("[upstream ", change.id.value(),
                              "] is new and lacks `", key.first, "`"));
      }
    }
    const UpstreamSpec* const spec = FindUpstream(target_, change.id);
    if (change.pool && spec != nullptr && spec->version.empty()) {
      AddError(change.line,
               absl::StrCat("[upstream ", change.id.value(),
                            "] lacks `version`: ", "its pool has none yet"));
    }
  }

  size_t CountIn(const FleetConfig& config, const PoolId& pool) const {
    return static_cast<size_t>(std::count_if(
        config.upstreams.begin(), config.upstreams.end(),
        [&pool](const UpstreamSpec& spec) { return spec.pool == pool; }));
  }

  void CheckPool(const PoolChange& change) {
    if (CountIn(present_, change.pool) == 0 &&
        CountIn(target_, change.pool) == 0) {
      AddError(change.line,
               absl::StrCat("[pool ", change.pool.value(),
                            "] is not in the fleet and no upstream of "
                            "the note belongs to it"));
    }
    if (change.withdrawn && !change.version.empty()) {
      AddError(change.line, absl::StrCat("[pool ", change.pool.value(),
                                         "] is withdrawn and has a version"));
    }
  }

  bool IsWithdrawn(const PoolId& pool) const {
    return std::any_of(note_.pools.begin(), note_.pools.end(),
                       [&pool](const PoolChange& change) {
                         return change.pool == pool && change.withdrawn;
                       });
  }

  // Returns the line to which errors about `pool` as a whole are attributed.
  int LineOf(const PoolId& pool) const {
    for (const PoolChange& change : note_.pools) {
      if (change.pool == pool) {
        return change.line;
      }
    }
    for (const UpstreamChange& change : note_.upstreams) {
      const UpstreamSpec* spec = FindUpstream(target_, change.id);
      spec = spec != nullptr ? spec : FindUpstream(present_, change.id);
      if (spec != nullptr && spec->pool == pool) {
        return change.line;
      }
    }
    return 1;
  }

  void CheckVersions() {
    const NotePlan plan(NoteId("check"), note_, present_);
    for (const PoolId& pool : plan.pools()) {
      if (pool.empty()) {
        continue;  // reported with the upstream
      }
      std::set<VersionId> versions;
      for (const UpstreamSpec& upstream : target_.upstreams) {
        if (upstream.pool == pool) {
          versions.insert(upstream.version);
        }
      }
      if (versions.size() > 1) {
        AddError(
            LineOf(pool),
            absl::StrCat("pool ", pool.value(),
                         " would end with more than one version; set `version` "
                         "in [pool ",
                         pool.value(), "]"));
      }
      if (versions.empty() && !IsWithdrawn(pool) &&
          CountIn(present_, pool) > 0) {
        AddError(
            LineOf(pool),
            absl::StrCat("pool ", pool.value(),
                         " would have no upstream left; withdraw the pool if "
                         "that is intended"));
      }
    }
    for (const PoolMove& move : plan.moves()) {
      CheckMovable(move);
    }
  }

  // A plain service takes no orders, so its version cannot change in place.
  void CheckMovable(const PoolMove& move) {
    for (const UpstreamSpec& upstream : move.sequence) {
      if (upstream.kind == UpstreamKind::kPlainService &&
          FindUpstream(present_, upstream.id) != nullptr) {
        AddError(LineOf(move.pool),
                 absl::StrCat(
                     "upstream ", upstream.id.value(),
                     " is a plain service and cannot be switched to version ",
                     move.to.value(),
                     "; add upstreams that run it and withdraw this one"));
      }
    }
  }

  void CheckAddresses() {
    std::map<std::string, UpstreamId> owners;
    for (const UpstreamSpec& upstream : target_.upstreams) {
      const auto [owner, is_new] =
          owners.emplace(upstream.address, upstream.id);
      if (!is_new && !upstream.address.empty()) {
        AddError(LineOf(upstream.pool),
                 absl::StrCat("upstreams ", owner->second.value(), " and ",
                              upstream.id.value(), " have the same address ",
                              upstream.address));
      }
    }
  }

  const ReleaseNote& note_;
  const FleetConfig& present_;
  const FleetConfig target_;
  const WallTime wall_;
  const Duration min_judged_move_;
  std::vector<TextFault>* const faults_;
};

}  // namespace

std::vector<TextFault> CheckReleaseNote(const std::string& text,
                                        const FleetConfig* present,
                                        WallTime wall,
                                        Duration min_judged_move) {
  std::vector<TextFault> faults;
  const ReleaseNote note = ReleaseNote::Parse(text, &faults);
  const FleetConfig empty;
  NoteChecker(note, present != nullptr ? *present : empty, wall,
              min_judged_move, &faults)
      .CheckAll();
  std::stable_sort(
      faults.begin(), faults.end(),
      [](const TextFault& a, const TextFault& b) { return a.line < b.line; });
  return faults;
}

}  // namespace papaya
