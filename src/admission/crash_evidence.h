#ifndef SRC_ADMISSION_CRASH_EVIDENCE_H_
#define SRC_ADMISSION_CRASH_EVIDENCE_H_

#include <map>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// Which prompt parts were in progress at which crashes, from all routers, and
// which part explains the crashes.
//
// A part that crashes every upstream is on each of its crashes and never
// survives. Other parts are there by chance or because they are in the same
// requests. So a part is only suspected of the crashes since an upstream last
// survived it. Crashes within kMassCrashWindow count as one, because a single
// cause, such as the loss of a rack, can end many upstreams at once and
// whatever runs there; unless the part is on each crash of that time and on no
// upstream that goes on. And crashes that one culprit explains count against no
// other part. Does no I/O and reads no clock.
class CrashEvidence {
 public:
  static constexpr Duration kMassCrashWindow = std::chrono::milliseconds(150);
  // Reports of other routers, and of upstreams that survive the part, have
  // this time to arrive before a crash is judged.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(500);
  // Crashes are forgotten after this time.
  static constexpr Duration kLifetime = std::chrono::seconds(60);
  // Crashes of a culprit that no upstream is known to have survived and that no
  // other shared part follows, and of any other culprit: an outer part is
  // shared by sound requests more often.
  static constexpr int kMinCrashes = 3;
  static constexpr int kMinOuterCrashes = 5;
  // A part that upstreams are not known to have survived is also a culprit if
  // it was on so many crashes within kBurstWindow, and not all of them within
  // kMassCrashWindow: many such requests can end all upstreams at once.
  static constexpr size_t kMinBurstCrashes = 6;
  static constexpr Duration kBurstWindow = std::chrono::seconds(1);
  // The same within kMassCrashWindow, if no upstream crashed at that time
  // without the part and another one goes on.
  static constexpr size_t kMinExclusiveCrashes = 5;
  // Room for the parts of all requests with long prompts on a few engines.
  static constexpr size_t kMaxParts = 2048;
  static constexpr size_t kMaxCrashesPerPart = 64;

  struct Record {
    bool is_innermost = true;
    // It is the last part of a prompt. It explains crashes before a shared part
    // that is on the same ones, as it keeps fewer requests away.
    bool is_own = false;
    std::map<CrashId, TimePoint> crashes;
    // When an upstream last survived the part, as far as known.
    std::optional<TimePoint> proven;
    // The part was found to be a culprit before, so one more crash is enough.
    bool is_known_culprit = false;
    // Since when it is a culprit: its crashes count against no other part.
    std::optional<TimePoint> culprit_since;
    TimePoint changed;
  };
  using Records = std::map<PromptPartId, Record>;

  // Adds a crash. Returns false if that changes nothing: it is known, explained
  // by a culprit or older than the last proof, or there is no room.
  bool AddCrash(PromptPartId part,
                CrashId crash,
                TimePoint when,
                bool is_innermost,
                TimePoint now,
                bool is_own = false);

  // An upstream has sent something.
  void OnAlive(CrashId upstream, TimePoint now) { alive_[upstream] = now; }

  // An upstream survived the part at `when`. Returns true if this was not known
  // of a suspected part, voids crashes, or clears a culprit.
  bool Prove(PromptPartId part, TimePoint when);

  // Returns the part that explains most crashes, if any is to be taken for a
  // culprit.
  std::optional<PromptPartId> FindCulprit(TimePoint now) const;

  // Takes the part for a culprit since `since`.
  void MarkCulprit(PromptPartId part, TimePoint since, TimePoint now);
  // The part is no longer a culprit, but becomes one after one more crash.
  void EndCulprit(PromptPartId part, TimePoint now);
  // The part is judged like any other from now on.
  void ForgetCulprit(PromptPartId part);

  // True if an upstream other than `crash` crashed with the part before, and
  // none has survived it.
  bool IsSuspect(PromptPartId part, CrashId crash, TimePoint now) const;

  // Returns the record of `part`, or null.
  const Record* Find(PromptPartId part) const;
  const Records& records() const { return records_; }

  // Forgets old crashes, and then the records without any.
  void Expire(TimePoint now);

 private:
  // Returns the record of `part`, which is added if there is room.
  Record* Upsert(PromptPartId part, TimePoint now);
  // Drops a quarter of the records, those that matter least.
  void MakeRoom();
  bool IsExplained(CrashId crash) const;
  // Removes the crashes of a culprit from the other parts.
  void ExplainAway(PromptPartId culprit);
  // Returns the times of the crashes that are old enough to be judged, in
  // order.
  static std::vector<TimePoint> SettledTimes(const Record& record,
                                             TimePoint now);
  // Number of crashes, counting those within kMassCrashWindow as one.
  static int CountSeparate(const std::vector<TimePoint>& times);
  static bool HasBurst(const std::vector<TimePoint>& times);
  // True if the part is on all of many crashes at one time, but upstreams
  // without it go on.
  bool IsExclusive(const Record& record,
                   const std::vector<TimePoint>& times) const;
  static int RequiredCrashes(const Record& record);
  bool HasEnough(const Record& record, TimePoint now) const;

  Records records_;
  // All crashes, also those that count against no part any more, and when each
  // upstream last sent something.
  absl::flat_hash_map<CrashId, TimePoint> crashed_;
  absl::flat_hash_map<CrashId, TimePoint> alive_;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_CRASH_EVIDENCE_H_
