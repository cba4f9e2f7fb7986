#include "include/base/error.h"

#include <optional>

#include "absl/strings/cord.h"
#include "absl/strings/str_cat.h"

namespace papaya {

namespace {

constexpr char kStepPayload[] = "papaya/step";
constexpr char kPeerPayload[] = "papaya/peer";

std::string GetPayload(const absl::Status& status, const char* name) {
  const absl::optional<absl::Cord> payload = status.GetPayload(name);
  return payload.has_value() ? std::string(*payload) : std::string();
}

}  // namespace

absl::Status MakeError(absl::StatusCode code,
                       const ErrorOrigin& origin,
                       const std::string& message) {
  const std::string separator = origin.peer.empty() ? "" : " ";
  absl::Status status(
      code, absl::StrCat(origin.step, separator, origin.peer, ": ", message));
  status.SetPayload(kStepPayload, absl::Cord(origin.step));
  status.SetPayload(kPeerPayload, absl::Cord(origin.peer));
  return status;
}

ErrorOrigin GetErrorOrigin(const absl::Status& status) {
  return {.step = GetPayload(status, kStepPayload),
          .peer = GetPayload(status, kPeerPayload)};
}

}  // namespace papaya
