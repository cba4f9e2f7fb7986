#ifndef INCLUDE_ADMISSION_CRASH_MESSAGES_H_
#define INCLUDE_ADMISSION_CRASH_MESSAGES_H_

#include <optional>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// A crash of an upstream that had a request with the part in progress.
struct PartCrash {
  CrashId crash;
  Duration age{};

  bool operator==(const PartCrash&) const = default;
};

// What a router knows of one part of prompts.
struct PartNews {
  PromptPartId part;
  // In each of the crashed requests, no other part that requests share follows.
  bool is_innermost = true;
  std::vector<PartCrash> crashes;
  // Time since an upstream last began a response to a request with the part and
  // survived it; empty if this is not known to have happened lately.
  std::optional<Duration> proven_age;
  // Time since the part was last quarantined; empty if it never was.
  std::optional<Duration> quarantine_age;
  // How often it was quarantined in a row.
  int quarantines = 0;
  // It is the last part of a prompt, which belongs to a request or a session.
  bool is_own = false;

  bool operator==(const PartNews&) const = default;
};

// Passes on what has changed about parts that requests had in common when their
// upstreams crashed.
struct CrashNews {
  std::vector<PartNews> parts;

  bool operator==(const CrashNews&) const = default;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_CRASH_MESSAGES_H_
