#include "include/config/fleet_config_check.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "include/config/fleet_config.h"

namespace papaya {

namespace {

constexpr int32_t kWholeShare = 1000;

// Printable ASCII without spaces and quotes, so that names stand unchanged in
// logs, headers and paths.
bool IsNameChar(char c) {
  return c > ' ' && c <= '~' && c != '"' && c != '\\';
}

bool IsName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxConfigNameLength &&
         std::all_of(name.begin(), name.end(), &IsNameChar);
}

bool IsNameOrEmpty(const std::string& name) {
  return name.empty() || IsName(name);
}

bool IsSound(const UpstreamSpec& upstream) {
  return IsName(upstream.id.value()) && IsNameOrEmpty(upstream.vm.value()) &&
         IsName(upstream.zone.value()) && IsName(upstream.pool.value()) &&
         IsNameOrEmpty(upstream.version.value()) &&
         IsNameOrEmpty(upstream.generation.value()) &&
         IsName(upstream.address) &&
         upstream.address.find(':') != std::string::npos &&
         upstream.slots >= 1 && upstream.slots <= kMaxUpstreamSlots;
}

class Checker {
 public:
  void CheckName(const std::string& where, const std::string& name) {
    if (!IsName(name)) {
      Add(where, "expected a name of 1 to 128 printable characters");
    }
  }

  void CheckNameOrEmpty(const std::string& where, const std::string& name) {
    if (!IsNameOrEmpty(name)) {
      Add(where, "expected at most 128 printable characters");
    }
  }

  // Looks for the faults of an upstream that is not sound, one by one.
  void CheckUpstream(const UpstreamSpec& upstream) {
    if (IsSound(upstream)) {
      return;
    }
    const std::string at = absl::StrCat("upstream ", upstream.id.value());
    CheckName(at + " id", upstream.id.value());
    CheckNameOrEmpty(at + " vm", upstream.vm.value());
    CheckName(at + " zone", upstream.zone.value());
    CheckName(at + " pool", upstream.pool.value());
    CheckNameOrEmpty(at + " version", upstream.version.value());
    CheckNameOrEmpty(at + " generation", upstream.generation.value());
    CheckName(at + " address", upstream.address);
    if (upstream.address.find(':') == std::string::npos) {
      Add(at + " address", "expected IP:PORT");
    }
    if (upstream.slots < 1 || upstream.slots > kMaxUpstreamSlots) {
      Add(at + " slots", "expected 1 to 4096");
    }
  }

  void CheckUpstreams(const std::vector<UpstreamSpec>& upstreams) {
    if (upstreams.size() > kMaxConfigUpstreams) {
      Add("upstreams", "expected at most 10000");
    }
    const UpstreamSpec* last = nullptr;
    for (const UpstreamSpec& upstream : upstreams) {
      CheckUpstream(upstream);
      if (last != nullptr && !(last->id < upstream.id)) {
        Add(absl::StrCat("upstream ", upstream.id.value()),
            "stands twice or out of order");
      }
      last = &upstream;
    }
  }

  void CheckShare(const VersionShare& share) {
    const std::string at =
        absl::StrCat("share ", share.pool.value(), "/", share.version.value());
    CheckName(at + " pool", share.pool.value());
    CheckNameOrEmpty(at + " version", share.version.value());
    if (share.share.value() < 0 || share.share.value() > kWholeShare) {
      Add(at, "expected 0 to 1000");
    }
  }

  void CheckShares(const std::vector<VersionShare>& shares) {
    if (shares.size() > kMaxConfigShares) {
      Add("shares", "expected at most 2000");
    }
    std::map<PoolId, int64_t> sums;
    const VersionShare* last = nullptr;
    for (const VersionShare& share : shares) {
      CheckShare(share);
      sums[share.pool] += share.share.value();
      if (last != nullptr && !(std::tie(last->pool, last->version) <
                               std::tie(share.pool, share.version))) {
        Add(absl::StrCat("share ", share.pool.value(), "/",
                         share.version.value()),
            "stands twice or out of order");
      }
      last = &share;
    }
    for (const auto& [pool, sum] : sums) {
      if (sum != kWholeShare) {
        Add(absl::StrCat("shares of pool ", pool.value()),
            absl::StrCat("add up to ", sum, ", expected 1000"));
      }
    }
  }

  void Add(const std::string& where, const std::string& fault) {
    faults_.push_back(absl::StrCat(where, ": ", fault));
  }

  std::vector<std::string> TakeFaults() { return std::move(faults_); }

 private:
  std::vector<std::string> faults_;
};

}  // namespace

std::vector<std::string> CheckFleetConfig(const FleetConfig& config) {
  Checker checker;
  if (config.revision == Revision(0)) {
    checker.Add("revision", "expected 1 or more");
  }
  checker.CheckNameOrEmpty("note", config.note.value());
  checker.CheckUpstreams(config.upstreams);
  checker.CheckShares(config.shares);
  return checker.TakeFaults();
}

}  // namespace papaya
