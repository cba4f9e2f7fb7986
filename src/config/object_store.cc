#include "include/config/object_store.h"

namespace papaya {

bool MayHaveTakenEffect(const absl::Status& status) {
  return status.code() == absl::StatusCode::kUnavailable ||
         status.code() == absl::StatusCode::kDeadlineExceeded;
}

}  // namespace papaya
