#include "include/gateway/route_table.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "absl/strings/ascii.h"
#include "include/base/stable_hash.h"

namespace papaya {

namespace {

// Returns the host name of a Host header, in lower case and without the port.
// The colons of an IPv6 literal stand in brackets.
std::string HostName(const std::string& host) {
  const size_t bracket = host.rfind(']');
  const size_t name_end = bracket == std::string::npos ? 0 : bracket;
  return absl::AsciiStrToLower(host.substr(0, host.find(':', name_end)));
}

constexpr std::array<Tier, 3> kTiers = {Tier::kInteractive, Tier::kStandard,
                                        Tier::kBatch};

// Returns the sort key of a request. Accounts without a priority, and requests
// without an account, count as priority 0.
std::pair<int, int> RankOf(const ServiceRoute& route,
                           const ClientAccount* account) {
  const int own = account != nullptr ? account->priority.value_or(0) : 0;
  return {own, route.priority};
}

std::vector<std::pair<int, int>> CollectRanks(const GatewayConfig& config) {
  std::set<std::pair<int, int>> ranks;
  for (const ServiceRoute& route : config.routes) {
    if (config.accounts.empty()) {
      ranks.insert(RankOf(route, nullptr));
    }
    for (const ClientAccount& account : config.accounts) {
      ranks.insert(RankOf(route, &account));
    }
  }
  return {ranks.begin(), ranks.end()};
}

}  // namespace

RouteTable::RouteTable(std::shared_ptr<const GatewayConfig> config)
    : config_(std::move(config)) {
  for (const ServiceRoute& route : config_->routes) {
    routes_[route.host].emplace(route.path_prefix, &route);
  }
  for (const ClientAccount& account : config_->accounts) {
    for (const std::string& key : account.api_keys) {
      accounts_.emplace(key, &account);
    }
  }
  for (const ServiceInfo& service : config_->services) {
    services_.emplace(service.id, &service);
  }
  ranks_ = CollectRanks(*config_);
}

const ServiceRoute* RouteTable::FindRoute(const std::string& host,
                                          const std::string& target) const {
  const auto found = routes_.find(HostName(host));
  if (found == routes_.end()) {
    return nullptr;
  }
  // Prefixes end in a slash, so it is enough to look up the path's prefixes
  // that do.
  std::string prefix = target.substr(0, target.find('?'));
  while (true) {
    const size_t slash = prefix.rfind('/');
    if (slash == std::string::npos) {
      return nullptr;
    }
    prefix.resize(slash + 1);
    const auto route = found->second.find(prefix);
    if (route != found->second.end()) {
      return route->second;
    }
    prefix.resize(slash);
  }
}

Tier RouteTable::TierOf(const ServiceRoute& route,
                        const ClientAccount* account) const {
  const auto rank =
      std::lower_bound(ranks_.begin(), ranks_.end(), RankOf(route, account));
  const size_t index = static_cast<size_t>(rank - ranks_.begin());
  const size_t tier = std::max(ranks_.size(), kTiers.size()) == kTiers.size()
                          ? index
                          : index * kTiers.size() / ranks_.size();
  return kTiers[std::min(tier, kTiers.size() - 1)];
}

const ClientAccount* RouteTable::FindAccount(const std::string& key) const {
  const auto found = accounts_.find(key);
  return found == accounts_.end() ? nullptr : found->second;
}

const ServiceInfo* RouteTable::FindService(const PoolId& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second;
}

const PoolId& ChooseService(const ServiceRoute& route, uint64_t hash) {
  int total = 0;
  for (const ServiceShare& share : route.services) {
    total += share.weight;
  }
  double point = HashToUnit(hash) * total;
  for (const ServiceShare& share : route.services) {
    if (point < share.weight) {
      return share.service;
    }
    point -= share.weight;
  }
  return route.services.back().service;
}

}  // namespace papaya
