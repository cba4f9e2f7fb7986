#include "src/daemon/stream_id.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "src/daemon/token_digest.h"

namespace papaya {

namespace {

constexpr char kSeparator = '~';
constexpr size_t kMacBytes = 12;

std::string MakeMac(const std::string& name,
                    const AccountId& account,
                    const std::string& secret) {
  const std::string mac =
      HmacSha256(secret, absl::StrCat("stream\n", account.value(), "\n", name));
  return absl::BytesToHexString(mac.substr(0, kMacBytes));
}

}  // namespace

std::string MakeStreamId(const UpstreamId& upstream,
                         const std::string& request,
                         const AccountId& account,
                         const std::string& fleet_secret) {
  const std::string name =
      absl::StrCat(upstream.value(), std::string(1, kSeparator), request);
  return absl::StrCat(name, std::string(1, kSeparator),
                      MakeMac(name, account, fleet_secret));
}

std::optional<UpstreamId> UpstreamOfStream(const std::string& stream_id,
                                           const AccountId& account,
                                           const std::string& fleet_secret) {
  const size_t mac_at = stream_id.rfind(kSeparator);
  if (mac_at == std::string::npos) {
    return std::nullopt;
  }
  const std::string name = stream_id.substr(0, mac_at);
  const std::string mac = MakeMac(name, account, fleet_secret);
  if (!EqualInConstantTime(mac, stream_id.substr(mac_at + 1))) {
    return std::nullopt;
  }
  const size_t request_at = name.rfind(kSeparator);
  if (request_at == std::string::npos) {
    return std::nullopt;
  }
  return UpstreamId(name.substr(0, request_at));
}

}  // namespace papaya
