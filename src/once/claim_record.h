#ifndef SRC_ONCE_CLAIM_RECORD_H_
#define SRC_ONCE_CLAIM_RECORD_H_

#include <string>

#include "absl/status/statusor.h"
#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// The value of a claim in the Object API.
struct ClaimRecord {
  RouterId router;
  Incarnation incarnation;
  WallTime claimed_at;
  // True once a caller was told `not-run`; the key is closed.
  bool is_not_run = false;
};

std::string EncodeClaimRecord(const ClaimRecord& record);

// Fails with kDataLoss if `text` is no claim record.
absl::StatusOr<ClaimRecord> DecodeClaimRecord(const std::string& text);

}  // namespace papaya

#endif  // SRC_ONCE_CLAIM_RECORD_H_
