#include "src/daemon/account_directory.h"

#include <openssl/rand.h>

#include <algorithm>

#include "absl/strings/escaping.h"
#include "src/daemon/token_digest.h"

namespace papaya {

namespace {

constexpr size_t kLookupKeyBytes = 32;

std::string MakeLookupKey() {
  std::string key(kLookupKeyBytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(key.data()),
             static_cast<int>(key.size()));
  return key;
}

}  // namespace

AccountDirectory::AccountDirectory(const std::vector<AccountSettings>& accounts)
    : lookup_key_(MakeLookupKey()) {
  for (const AccountSettings& account : accounts) {
    const std::string digest = absl::HexStringToBytes(account.token_sha256);
    entries_[HmacSha256(lookup_key_, digest)] = {.digest = digest,
                                                 .account = &account};
  }
}

const AccountSettings* AccountDirectory::Find(const std::string& token) const {
  const std::string digest = Sha256(token);
  const auto found = entries_.find(HmacSha256(lookup_key_, digest));
  if (found == entries_.end() ||
      !EqualInConstantTime(found->second.digest, digest)) {
    return nullptr;
  }
  return found->second.account;
}

const AccountSettings* AccountDirectory::FindById(const AccountId& id) const {
  for (const auto& [key, entry] : entries_) {
    if (entry.account->id == id) {
      return entry.account;
    }
  }
  return nullptr;
}

bool MayUseRoute(const AccountSettings& account, const RouteId& route) {
  return account.routes.empty() ||
         std::find(account.routes.begin(), account.routes.end(), route) !=
             account.routes.end();
}

}  // namespace papaya
