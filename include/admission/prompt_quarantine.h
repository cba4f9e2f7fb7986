#ifndef INCLUDE_ADMISSION_PROMPT_QUARANTINE_H_
#define INCLUDE_ADMISSION_PROMPT_QUARANTINE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "include/admission/crash_messages.h"
#include "include/base/ids.h"
#include "include/base/units.h"
#include "include/telemetry/event.h"

namespace papaya {

class BrokenAttempts;
class CrashEvidence;
class ProvenParts;

// Keeps prompts that crash every engine away from the engines.
//
// Answers the load pattern in which requests with one part in their prompts
// arrive at all routers and each of them ends an upstream with all that runs
// there. No router sees enough of it alone, so the routers pass on to their
// neighbours which parts were in progress at which crashes, and which of these
// parts an upstream has survived. Each router finds the culprit by the same
// rule (see CrashEvidence) and quarantines it; what one finds is passed on,
// too. A quarantine ends after a time that doubles each time in a row, or once
// an upstream survives the part. It ends at different times on different
// routers, so that the first crash after it warns the others.
//
// The last part of a prompt belongs to one request or its session. It is judged
// like a shared one, as one and the same request may come again and again, but
// its survival is not remembered: nearly each request has one of its own. Does
// no I/O and reads no clock. Not thread-safe.
class PromptQuarantine {
 public:
  // Duration of the first quarantine of a part, and of the longest.
  static constexpr Duration kFirstQuarantine = std::chrono::minutes(1);
  static constexpr Duration kLongestQuarantine = std::chrono::minutes(30);
  // The part of the duration over which routers spread its end.
  static constexpr double kEndSpread = 0.5;
  // Parts that can be quarantined at the same time.
  static constexpr size_t kMaxQuarantined = 64;
  // Interval between messages to a neighbour, and between the messages that
  // repair lost ones.
  static constexpr Duration kSendInterval = std::chrono::milliseconds(50);
  static constexpr Duration kRepairInterval = std::chrono::seconds(1);
  // Limits of one message.
  static constexpr size_t kMaxPartsPerMessage = 64;
  static constexpr size_t kMaxCrashesPerEntry = 16;

  struct Hooks {
    std::function<void(const RouterId&, const CrashNews&)> send;
    // A quarantine has begun on this router.
    std::function<void(PromptPartId)> begun;
    EventHook event;
  };

  PromptQuarantine(RouterId self, Hooks hooks);
  ~PromptQuarantine();

  // Sets the routers with which this one exchanges news.
  void SetNeighbours(const std::vector<RouterId>& neighbours, TimePoint now);

  // An upstream closed the connection of an attempt before it had written much
  // of the response. Here and below, `parts` are the shared parts of the
  // prompt, outermost first, and `own` is its last part.
  void OnBroken(const UpstreamId& upstream,
                const std::vector<PromptPartId>& parts,
                TimePoint now,
                std::optional<PromptPartId> own = std::nullopt);
  // An upstream has written enough of a response to have survived the prompt.
  void OnSurvived(const std::vector<PromptPartId>& parts,
                  TimePoint now,
                  std::optional<PromptPartId> own = std::nullopt);
  // An upstream has sent something.
  void OnAlive(const UpstreamId& upstream, TimePoint now);
  void OnNews(const CrashNews& news, TimePoint now);

  // Returns the time until the quarantine of all `parts` ends on this router;
  // empty if none of them is quarantined.
  std::optional<Duration> TimeLeft(
      const std::vector<PromptPartId>& parts,
      TimePoint now,
      std::optional<PromptPartId> own = std::nullopt) const;
  // True unless a request with `parts` that `upstream` broke off may crash the
  // next upstream, too.
  bool MayRepeat(const UpstreamId& upstream,
                 const std::vector<PromptPartId>& parts,
                 TimePoint now,
                 std::optional<PromptPartId> own = std::nullopt) const;

  // Call at least every 50 ms.
  void OnTick(TimePoint now);

  // Returns the quarantines in force, without the crashes.
  std::vector<PartNews> Quarantines(TimePoint now) const;
  // Number of quarantined parts.
  size_t size() const;
  // Number of quarantines that have begun on this router.
  uint64_t begun() const { return begun_; }

 private:
  struct Quarantine {
    TimePoint since;
    // How often the part was quarantined in a row.
    int count = 0;
    bool is_over = false;
  };
  static Duration DurationOf(int count);
  // When the quarantine ends on this router.
  TimePoint EndOf(PromptPartId part, const Quarantine& quarantine) const;
  void AddCrashes(TimePoint now);
  void AddCrash(PromptPartId part,
                CrashId crash,
                TimePoint when,
                bool is_innermost,
                TimePoint now,
                bool is_own = false);
  // The time until the quarantine of `part` ends.
  std::optional<Duration> TimeLeftOf(PromptPartId part, TimePoint now) const;
  bool IsSuspect(PromptPartId part, CrashId crash, TimePoint now) const;
  void Prove(PromptPartId part, TimePoint when, TimePoint now);
  // Starts or takes over a quarantine.
  void Begin(PromptPartId part, TimePoint since, int count, TimePoint now);
  void OnQuarantineNews(const PartNews& news, TimePoint now);
  void Judge(TimePoint now);
  void EndQuarantines(TimePoint now);
  PartNews MakeNews(PromptPartId part,
                    const std::vector<CrashId>& crashes,
                    TimePoint now) const;
  // Returns all that matters of what this router knows.
  CrashNews MakeSummary(TimePoint now) const;
  // Has `part` sent to the neighbours. Returns the list of its crashes to send,
  // or null if too much is unsent.
  std::vector<CrashId>* MarkUnsent(PromptPartId part);
  void SendUnsent(TimePoint now);
  void SendSummary(TimePoint now);

  const RouterId self_;
  const Hooks hooks_;
  std::unique_ptr<BrokenAttempts> broken_;
  std::unique_ptr<CrashEvidence> evidence_;
  std::unique_ptr<ProvenParts> proven_;
  std::map<PromptPartId, Quarantine> quarantines_;
  uint64_t begun_ = 0;
  std::vector<RouterId> neighbours_;
  // The crashes to send of each part that has changed. May be empty for a part
  // that was quarantined or survived.
  std::map<PromptPartId, std::vector<CrashId>> unsent_;
  TimePoint next_send_;
  TimePoint next_repair_;
  size_t next_neighbour_ = 0;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_PROMPT_QUARANTINE_H_
