#ifndef SRC_DAEMON_ACCOUNT_DIRECTORY_H_
#define SRC_DAEMON_ACCOUNT_DIRECTORY_H_

#include <map>
#include <string>
#include <vector>

#include "include/settings/router_settings.h"

namespace papaya {

// Maps bearer tokens to client accounts. Token digests are looked up by their
// HMAC under a random key generated at startup and compared in constant time,
// so that response times reveal nothing about the stored digests. Immutable
// after construction; may be used on any thread.
class AccountDirectory {
 public:
  // `accounts` must outlive the directory.
  explicit AccountDirectory(const std::vector<AccountSettings>& accounts);

  // Returns the account that owns `token`, or null.
  const AccountSettings* Find(const std::string& token) const;

  // Returns the account with the id `id`, or null.
  const AccountSettings* FindById(const AccountId& id) const;

 private:
  struct Entry {
    std::string digest;
    const AccountSettings* account;
  };

  std::string lookup_key_;
  // Keyed by the HMAC of the digest under lookup_key_.
  std::map<std::string, Entry> entries_;
};

// An account without a list of routes may use every route.
bool MayUseRoute(const AccountSettings& account, const RouteId& route);

}  // namespace papaya

#endif  // SRC_DAEMON_ACCOUNT_DIRECTORY_H_
