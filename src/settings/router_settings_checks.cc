#include "src/settings/router_settings_checks.h"

#include <algorithm>
#include <array>
#include <map>
#include <string>

#include "absl/strings/str_cat.h"

namespace papaya {

namespace {

// Paths of the router's own interface, where the request's `model` names the
// pool.
constexpr const char* kChatPath = "/v1/chat/completions";

// A section that stands in the document, since settings were read from it.
const IniSection& SectionOf(const IniDocument& document,
                            const std::string& kind,
                            const std::string& label) {
  return *document.Find(absl::StrCat(kind, " ", label));
}

// Adds a fault at `key` of `section`, or at the section where it is missing.
void AddAtKey(const IniSection& section,
              const std::string& key,
              const std::string& expected,
              FaultList& faults) {
  const IniEntry* entry = section.Find(key);
  if (entry == nullptr) {
    faults.AddMissing(section, key, expected);
    return;
  }
  faults.AddValue(section, *entry, expected);
}

void CheckAccounts(const IniDocument& document,
                   const RouterSettings& settings,
                   FaultList& faults) {
  std::map<std::string, AccountId> owners;
  for (const AccountSettings& account : settings.accounts) {
    const IniSection& section =
        SectionOf(document, "account", account.id.value());
    if (account.token_sha256.empty()) {
      continue;
    }
    const auto [owner, is_new] =
        owners.emplace(account.token_sha256, account.id);
    if (!is_new) {
      AddAtKey(section, "token_sha256",
               absl::StrCat("a token other than that of [account ",
                            owner->second.value(), "]"),
               faults);
    }
    if (account.token_sha256 == settings.operator_token_sha256) {
      AddAtKey(section, "token_sha256",
               "a token other than the operators' token", faults);
    }
  }
}

void CheckAccountRoutes(const IniDocument& document,
                        const RouterSettings& settings,
                        FaultList& faults) {
  for (const AccountSettings& account : settings.accounts) {
    for (const RouteId& route : account.routes) {
      if (document.Find(absl::StrCat("route ", route.value())) == nullptr) {
        AddAtKey(SectionOf(document, "account", account.id.value()), "routes",
                 absl::StrCat("routes that have a section, unlike `",
                              route.value(), "`"),
                 faults);
      }
    }
  }
}

bool PathCovers(const std::string& outer, const std::string& inner) {
  if (!outer.ends_with('*')) {
    return outer == inner;
  }
  return inner.starts_with(outer.substr(0, outer.size() - 1));
}

// True if every request that matches `later` takes `earlier` first.
bool Hides(const RouteSettings& earlier, const RouteSettings& later) {
  const bool method_covers =
      earlier.method == "ANY" || earlier.method == later.method;
  const bool model_covers = later.path != kChatPath || earlier.pool.empty() ||
                            earlier.pool == later.pool;
  return !earlier.by_header && method_covers && model_covers &&
         PathCovers(earlier.path, later.path);
}

void CheckRouteOrder(const IniDocument& document,
                     const RouterSettings& settings,
                     FaultList& faults) {
  const std::vector<RouteSettings>& routes = settings.routes;
  for (size_t later = 0; later < routes.size(); ++later) {
    for (size_t earlier = 0; earlier < later; ++earlier) {
      if (!Hides(routes[earlier], routes[later])) {
        continue;
      }
      AddAtKey(SectionOf(document, "route", routes[later].id.value()), "path",
               absl::StrCat("a path that [route ", routes[earlier].id.value(),
                            "] before it does not take whole"),
               faults);
      break;
    }
  }
}

void CheckRoutes(const IniDocument& document,
                 const RouterSettings& settings,
                 FaultList& faults) {
  for (const RouteSettings& route : settings.routes) {
    const IniSection& section = SectionOf(document, "route", route.id.value());
    if (!route.idempotent && section.Find("deadline") == nullptr) {
      faults.AddMissing(section, "deadline",
                        "a deadline, as the route is not idempotent");
    }
    if (route.path != kChatPath && !route.path.empty() && route.pool.empty() &&
        section.Find("pool") == nullptr) {
      faults.AddMissing(section, "pool",
                        absl::StrCat("a pool, as only ", kChatPath,
                                     " takes it from `model`"));
    }
    if (!route.idempotent && route.path == kChatPath) {
      AddAtKey(
          section, "idempotent",
          absl::StrCat("true or yes, as ", kChatPath, " may be tried again"),
          faults);
    }
  }
}

void CheckAddresses(const IniDocument& document,
                    const RouterSettings& settings,
                    FaultList& faults) {
  const std::array<std::pair<const char*, const std::string*>, 3> addresses = {
      {{"caller_address", &settings.caller_address},
       {"peer_address", &settings.peer_address},
       {"operator_address", &settings.operator_address}}};
  const IniSection* router = document.Find("router");
  for (size_t later = 1; later < addresses.size(); ++later) {
    for (size_t earlier = 0; earlier < later; ++earlier) {
      const std::string& address = *addresses[later].second;
      const bool is_fixed = !address.empty() && !address.ends_with(":0");
      if (is_fixed && address == *addresses[earlier].second) {
        AddAtKey(
            *router, addresses[later].first,
            absl::StrCat("an address other than ", addresses[earlier].first),
            faults);
      }
    }
  }
}

void CheckLimits(const IniDocument& document,
                 const RouterSettings& settings,
                 FaultList& faults) {
  const LimitSettings& limits = settings.limits;
  const IniSection* section = document.Find("limits");
  if (section != nullptr && limits.max_queued_bytes < limits.max_body_bytes) {
    const char* key = section->Find("max_queued_bytes") != nullptr
                          ? "max_queued_bytes"
                          : "max_body_bytes";
    AddAtKey(*section, key,
             "max_queued_bytes to be no less than max_body_bytes", faults);
  }
}

void CheckNotEmpty(const RouterSettings& settings, FaultList& faults) {
  if (settings.accounts.empty()) {
    faults.Add(1, "found no [account NAME] section, expected at least one");
  }
  if (settings.routes.empty()) {
    faults.Add(1, "found no [route NAME] section, expected at least one");
  }
}

}  // namespace

void CheckAcrossKeys(const IniDocument& document,
                     const RouterSettings& settings,
                     FaultList& faults) {
  CheckNotEmpty(settings, faults);
  CheckAddresses(document, settings, faults);
  CheckLimits(document, settings, faults);
  CheckAccounts(document, settings, faults);
  CheckAccountRoutes(document, settings, faults);
  CheckRoutes(document, settings, faults);
  CheckRouteOrder(document, settings, faults);
}

}  // namespace papaya
