#ifndef SRC_ONCE_CLAIM_RECORD_H_
#define SRC_ONCE_CLAIM_RECORD_H_

#include <string>

#include "absl/status/statusor.h"
#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// The value of a claim's object in the Object API, stored as a JSON object.
struct ClaimRecord {
  RouterId router;
  Incarnation incarnation;
  WallTime claimed_at;
  // True once `not-run` was reported to a caller; the key is then closed.
  bool is_not_run = false;
};

std::string EncodeClaimRecord(const ClaimRecord& record);

// Returns kDataLoss if `text` is not a claim record.
absl::StatusOr<ClaimRecord> DecodeClaimRecord(const std::string& text);

}  // namespace papaya

#endif  // SRC_ONCE_CLAIM_RECORD_H_
