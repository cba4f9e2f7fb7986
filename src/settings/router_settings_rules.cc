#include "src/settings/router_settings_rules.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "include/settings/value_parsers.h"

namespace papaya {

namespace {

constexpr int kMaxThreads = 64;
constexpr int kMaxWeight = 1000;
constexpr int kMaxConcurrentLoads = 1000;
constexpr int kMaxCount = 10'000'000;
constexpr size_t kMinSecretLength = 16;
constexpr size_t kMaxPrefixLength = 64;
constexpr std::array<const char*, 7> kMethods = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "ANY"};

constexpr const char* kNameExpected =
    "a name of at most 64 letters, digits, `-`, `_` and `.`";
constexpr const char* kListenExpected =
    "IP:PORT, as 10.0.0.5:8080; port 0 takes a free one";
constexpr const char* kConnectExpected = "IP:PORT, as 10.0.0.5:8080";
constexpr const char* kDigestExpected =
    "the SHA-256 of a token, 64 lower-case hex digits";
constexpr const char* kDurationExpected =
    "a positive time with its unit, as 250ms, 10s, 5m or 2h";
constexpr const char* kBytesExpected =
    "a positive size in bytes, as 4096, 16KiB or 4MiB";
constexpr const char* kCountExpected = "a whole number from 1 to 10000000";
constexpr const char* kBoolExpected = "one of true, yes, false and no";

template <typename T>
using Read = std::function<bool(const std::string&, T&)>;

// Each of these makes the reader of one kind of value for a member of `T`.

template <typename T, typename Id>
Read<T> NameInto(Id T::*member) {
  return [member](const std::string& value, T& target) {
    if (!IsName(value)) {
      return false;
    }
    target.*member = Id(value);
    return true;
  };
}

template <typename T>
Read<T> TextInto(std::string T::*member,
                 std::function<bool(const std::string&)> is_valid) {
  return [member, is_valid = std::move(is_valid)](const std::string& value,
                                                  T& target) {
    if (!is_valid(value)) {
      return false;
    }
    target.*member = value;
    return true;
  };
}

template <typename T>
Read<T> NumberInto(int T::*member, int most) {
  return [member, most](const std::string& value, T& target) {
    const std::optional<int64_t> number = ParseWholeNumber(value, 1, most);
    if (!number) {
      return false;
    }
    target.*member = static_cast<int>(*number);
    return true;
  };
}

// For values whose parser gives an optional of the member's own type.
template <typename T, typename V>
Read<T> ParsedInto(V T::*member,
                   std::optional<V> (*parse)(const std::string&)) {
  return [member, parse](const std::string& value, T& target) {
    const std::optional<V> parsed = parse(value);
    if (!parsed) {
      return false;
    }
    target.*member = *parsed;
    return true;
  };
}

bool IsListenAddress(const std::string& value) {
  return IsIpAddressAndPort(value, PortZero::kAllowed);
}

bool IsConnectAddress(const std::string& value) {
  return IsIpAddressAndPort(value, PortZero::kRefused);
}

bool IsStorePrefix(const std::string& value) {
  if (value.empty() || value.size() > kMaxPrefixLength ||
      value.front() == '/' || value.back() == '/') {
    return false;
  }
  return std::all_of(value.begin(), value.end(), [](char c) {
    return c == '/' || IsName(std::string("a") + c);
  });
}

bool IsMethod(const std::string& value) {
  return std::find(kMethods.begin(), kMethods.end(), value) != kMethods.end();
}

bool IsPath(const std::string& value) {
  const size_t star = value.find('*');
  const bool star_is_last =
      star == std::string::npos || star + 1 == value.size();
  return value.starts_with('/') && star_is_last &&
         value.find_first_of(" \t?#") == std::string::npos;
}

bool IsNotEmpty(const std::string& value) {
  return !value.empty();
}

bool IsSecret(const std::string& value) {
  return value.size() >= kMinSecretLength;
}

bool ReadSeeds(const std::string& value, RouterSettings& settings) {
  const std::vector<std::string> seeds = SplitList(value);
  if (!std::all_of(seeds.begin(), seeds.end(), IsConnectAddress)) {
    return false;
  }
  settings.seeds = seeds;
  return true;
}

bool ReadAccountRoutes(const std::string& value, AccountSettings& account) {
  const std::vector<std::string> names = SplitList(value);
  if (!std::all_of(names.begin(), names.end(), IsName)) {
    return false;
  }
  account.routes.clear();
  for (const std::string& name : names) {
    account.routes.emplace_back(name);
  }
  return true;
}

constexpr Presence kRequired = Presence::kRequired;
constexpr Presence kOptional = Presence::kOptional;

}  // namespace

const std::vector<KeyRule<RouterSettings>>& RouterRules() {
  using S = RouterSettings;
  static const std::vector<KeyRule<S>>& rules = *new std::vector<KeyRule<S>>{
      {"fleet", kRequired, kNameExpected, NameInto(&S::fleet)},
      {"id", kRequired, kNameExpected, NameInto(&S::router)},
      {"region", kRequired, kNameExpected, NameInto(&S::region)},
      {"zone", kRequired, kNameExpected, NameInto(&S::zone)},
      {"caller_address", kRequired, kListenExpected,
       TextInto(&S::caller_address, IsListenAddress)},
      {"peer_address", kRequired, kListenExpected,
       TextInto(&S::peer_address, IsListenAddress)},
      {"operator_address", kRequired, kListenExpected,
       TextInto(&S::operator_address, IsListenAddress)},
      {"seeds", kOptional, "a list of IP:PORT between commas", ReadSeeds},
      {"fleet_secret", kRequired, "a secret of at least 16 characters",
       TextInto(&S::fleet_secret, IsSecret)},
      {"operator_token_sha256", kRequired, kDigestExpected,
       TextInto(&S::operator_token_sha256, IsSha256Hex)},
      {"traffic_threads", kOptional, "a whole number from 1 to 64",
       NumberInto(&S::traffic_threads, kMaxThreads)},
      {"chart_directory", kRequired, "the directory of the state charts",
       TextInto(&S::chart_directory, IsNotEmpty)},
      {"span_file", kOptional, "a file to append spans to",
       TextInto(&S::span_file, IsNotEmpty)},
  };
  return rules;
}

const std::vector<KeyRule<RouterSettings>>& StoreRules() {
  using S = RouterSettings;
  static const std::vector<KeyRule<S>>& rules = *new std::vector<KeyRule<S>>{
      {"address", kRequired, kConnectExpected,
       TextInto(&S::store_address, IsConnectAddress)},
      {"prefix", kRequired,
       "a key prefix of at most 64 letters, digits, `-`, `_`, `.` and inner "
       "`/`",
       TextInto(&S::store_prefix, IsStorePrefix)},
  };
  return rules;
}

const std::vector<KeyRule<LimitSettings>>& LimitRules() {
  using S = LimitSettings;
  static const std::vector<KeyRule<S>>& rules = *new std::vector<KeyRule<S>>{
      {"max_connections", kOptional, kCountExpected,
       NumberInto(&S::max_connections, kMaxCount)},
      {"max_header_bytes", kOptional, kBytesExpected,
       ParsedInto(&S::max_header_bytes, ParseBytes)},
      {"max_body_bytes", kOptional, kBytesExpected,
       ParsedInto(&S::max_body_bytes, ParseBytes)},
      {"request_read_timeout", kOptional, kDurationExpected,
       ParsedInto(&S::request_read_timeout, ParseDuration)},
      {"max_queued_requests", kOptional, kCountExpected,
       NumberInto(&S::max_queued_requests, kMaxCount)},
      {"max_queued_bytes", kOptional, kBytesExpected,
       ParsedInto(&S::max_queued_bytes, ParseBytes)},
      {"max_tickets", kOptional, kCountExpected,
       NumberInto(&S::max_tickets, kMaxCount)},
      {"max_claims", kOptional, kCountExpected,
       NumberInto(&S::max_claims, kMaxCount)},
  };
  return rules;
}

const std::vector<KeyRule<RolloutSettings>>& RolloutRules() {
  using S = RolloutSettings;
  static const std::vector<KeyRule<S>>& rules = *new std::vector<KeyRule<S>>{
      {"shortest_move", kOptional, kDurationExpected,
       ParsedInto(&S::shortest_move, ParseDuration)},
      {"load_time", kOptional, kDurationExpected,
       ParsedInto(&S::load_time, ParseDuration)},
      {"concurrent_loads", kOptional, "a whole number from 1 to 1000",
       NumberInto(&S::concurrent_loads, kMaxConcurrentLoads)},
      {"drain_time", kOptional, kDurationExpected,
       ParsedInto(&S::drain_time, ParseDuration)},
  };
  return rules;
}

const std::vector<KeyRule<AccountSettings>>& AccountRules() {
  using S = AccountSettings;
  static const std::vector<KeyRule<S>>& rules = *new std::vector<KeyRule<S>>{
      {"token_sha256", kRequired, kDigestExpected,
       TextInto(&S::token_sha256, IsSha256Hex)},
      {"weight", kOptional, "a whole number from 1 to 1000",
       NumberInto(&S::weight, kMaxWeight)},
      {"routes", kOptional, "a list of route names between commas",
       ReadAccountRoutes},
  };
  return rules;
}

const std::vector<KeyRule<RouteSettings>>& RouteRules() {
  using S = RouteSettings;
  static const std::vector<KeyRule<S>>& rules = *new std::vector<KeyRule<S>>{
      {"method", kOptional,
       "one of GET, HEAD, POST, PUT, PATCH, DELETE and ANY",
       TextInto(&S::method, IsMethod)},
      {"path", kRequired, "a path from `/`, with `*` only at its end",
       TextInto(&S::path, IsPath)},
      {"by_header", kOptional, kBoolExpected,
       ParsedInto(&S::by_header, ParseBool)},
      {"pool", kOptional, kNameExpected, NameInto(&S::pool)},
      {"tier", kRequired, "one of critical, interactive, standard and batch",
       ParsedInto(&S::tier, ParseTier)},
      {"idempotent", kOptional, kBoolExpected,
       ParsedInto(&S::idempotent, ParseBool)},
      {"deadline", kOptional, kDurationExpected,
       ParsedInto(&S::deadline, ParseDuration)},
      {"attempt_timeout", kOptional, kDurationExpected,
       ParsedInto(&S::attempt_timeout, ParseDuration)},
  };
  return rules;
}

}  // namespace papaya
