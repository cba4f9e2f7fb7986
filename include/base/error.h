#ifndef INCLUDE_BASE_ERROR_H_
#define INCLUDE_BASE_ERROR_H_

#include <string>

#include "absl/status/status.h"

namespace papaya {

// Where an error arose.
struct ErrorOrigin {
  // What was being done, as `store.put` or `upstream.connect`.
  std::string step;
  // Whom it was done with: an address, upstream, router or file. Empty if
  // nobody else took part.
  std::string peer;
};

// An error that carries its origin; `message` says what went wrong there. Its
// text reads `<step> <peer>: <message>`.
absl::Status MakeError(absl::StatusCode code,
                       const ErrorOrigin& origin,
                       const std::string& message);

// The origin that MakeError gave `status`; both parts empty if there is none.
ErrorOrigin GetErrorOrigin(const absl::Status& status);

}  // namespace papaya

#endif  // INCLUDE_BASE_ERROR_H_
