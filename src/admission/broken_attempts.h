#ifndef SRC_ADMISSION_BROKEN_ATTEMPTS_H_
#define SRC_ADMISSION_BROKEN_ATTEMPTS_H_

#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// Tells crashes of upstreams from single connections that were closed: holds
// each attempt that an upstream broke off until the upstream has had time to
// show on another connection that it is running.
class BrokenAttempts {
 public:
  // Attempts held at most. More are ignored; they would be of a mass crash.
  static constexpr size_t kCapacity = 1024;
  // How long an attempt is held.
  static constexpr Duration kHoldTime = std::chrono::milliseconds(300);
  // Bytes that an upstream sent before it crashed may be read this much later
  // than the end of another connection.
  static constexpr Duration kReadDelay = std::chrono::milliseconds(150);

  struct Attempt {
    // The shared parts of its prompt, outermost first.
    std::vector<PromptPartId> parts;
    TimePoint broken;
    // Its last part, which belongs to the request or its session.
    std::optional<PromptPartId> own;
  };
  // The broken attempts of one crashed upstream.
  struct Crash {
    CrashId id;
    std::vector<Attempt> attempts;
  };

  void Add(CrashId upstream,
           std::vector<PromptPartId> parts,
           std::optional<PromptPartId> own,
           TimePoint now);

  // The upstream has sent something. Its attempts that ended well before are
  // dropped.
  void OnAlive(CrashId upstream, TimePoint now);

  // Removes and returns the attempts whose hold time is over.
  std::vector<Crash> TakeCrashes(TimePoint now);

  bool empty() const { return size_ == 0; }

 private:
  absl::flat_hash_map<CrashId, std::vector<Attempt>> held_;
  size_t size_ = 0;
};

}  // namespace papaya

#endif  // SRC_ADMISSION_BROKEN_ATTEMPTS_H_
