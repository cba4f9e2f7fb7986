#include "src/daemon/stream_id.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "src/daemon/token_digest.h"

namespace papaya {

namespace {

constexpr char kSeparator = '~';
constexpr size_t kCodeBytes = 12;

std::string MakeCode(const std::string& name,
                     const AccountId& account,
                     const std::string& secret) {
  const std::string code =
      HmacSha256(secret, absl::StrCat("stream\n", account.value(), "\n", name));
  return absl::BytesToHexString(code.substr(0, kCodeBytes));
}

}  // namespace

std::string MakeStreamId(const UpstreamId& upstream,
                         const std::string& request,
                         const AccountId& account,
                         const std::string& fleet_secret) {
  const std::string name =
      absl::StrCat(upstream.value(), std::string(1, kSeparator), request);
  return absl::StrCat(name, std::string(1, kSeparator),
                      MakeCode(name, account, fleet_secret));
}

std::optional<UpstreamId> UpstreamOfStream(const std::string& stream_id,
                                           const AccountId& account,
                                           const std::string& fleet_secret) {
  const size_t code_at = stream_id.rfind(kSeparator);
  if (code_at == std::string::npos) {
    return std::nullopt;
  }
  const std::string name = stream_id.substr(0, code_at);
  const std::string code = MakeCode(name, account, fleet_secret);
  if (!EqualInConstantTime(code, stream_id.substr(code_at + 1))) {
    return std::nullopt;
  }
  const size_t request_at = name.rfind(kSeparator);
  if (request_at == std::string::npos) {
    return std::nullopt;
  }
  return UpstreamId(name.substr(0, request_at));
}

}  // namespace papaya
