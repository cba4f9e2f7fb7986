#ifndef SRC_DAEMON_ACCOUNT_DIRECTORY_H_
#define SRC_DAEMON_ACCOUNT_DIRECTORY_H_

#include <map>
#include <string>
#include <vector>

#include "include/settings/router_settings.h"

namespace papaya {

// Finds the client account of a bearer token. Digests are looked up under a
// key drawn at start, and compared in constant time, so that response times
// tell nothing of the digests kept. Immutable; any thread.
class AccountDirectory {
 public:
  // `accounts` must outlive this.
  explicit AccountDirectory(const std::vector<AccountSettings>& accounts);

  // The account whose token this is; null if there is none.
  const AccountSettings* Find(const std::string& token) const;

  // The account of that name; null if there is none.
  const AccountSettings* FindById(const AccountId& id) const;

 private:
  struct Entry {
    std::string digest;
    const AccountSettings* account;
  };

  std::string lookup_key_;
  // By HMAC of the digest under lookup_key_.
  std::map<std::string, Entry> entries_;
};

// True if `account` may use `route`.
bool MayUseRoute(const AccountSettings& account, const RouteId& route);

}  // namespace papaya

#endif  // SRC_DAEMON_ACCOUNT_DIRECTORY_H_
