#include "include/rollout/stop_fact.h"

#include <algorithm>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace papaya {

namespace {

constexpr size_t kFieldCount = 7;

// Encodes a field as `=` and hex digits, so that it contains no separator and
// is not empty on the line.
std::string Escape(const std::string& part) {
  return absl::StrCat("=", absl::BytesToHexString(part));
}

std::string Unescape(const std::string& part) {
  return std::string(absl::HexStringToBytes(part.substr(1)));
}

bool IsEscaped(const std::string& part) {
  return part.starts_with('=') && part.size() % 2 == 1 &&
         part.find_first_not_of("0123456789abcdef", 1) == std::string::npos;
}

// Returns the share of a pool's version, or null if there is none.
VersionShare* FindShare(FleetConfig* config,
                        const PoolId& pool,
                        const VersionId& version) {
  for (VersionShare& share : config->shares) {
    if (share.pool == pool && share.version == version) {
      return &share;
    }
  }
  return nullptr;
}

bool HasUpstream(const FleetConfig& config,
                 const PoolId& pool,
                 const VersionId& version) {
  return std::any_of(config.upstreams.begin(), config.upstreams.end(),
                     [&pool, &version](const UpstreamSpec& spec) {
                       return spec.pool == pool && spec.version == version;
                     });
}

// Sets the share of `version` to zero and scales the shares of the pool's other
// versions to a sum of 1000 permille. Rounding differences go to the last one.
void DropShare(const PoolId& pool,
               const VersionId& version,
               FleetConfig* config) {
  VersionShare* const dropped = FindShare(config, pool, version);
  if (dropped == nullptr) {
    return;
  }
  dropped->share = Permille(0);
  int total = 0;
  VersionShare* last = nullptr;
  for (VersionShare& share : config->shares) {
    if (share.pool == pool && share.version != version) {
      total += share.share.value();
      last = &share;
    }
  }
  if (last == nullptr) {
    return;
  }
  int assigned = 0;
  for (VersionShare& share : config->shares) {
    if (share.pool == pool && share.version != version) {
      const int new_share = total > 0 ? 1000 * share.share.value() / total : 0;
      share.share = Permille(new_share);
      assigned += new_share;
    }
  }
  last->share += Permille(1000 - assigned);
}

}  // namespace

const char* StopCauseName(StopCause cause) {
  return cause == StopCause::kFailures ? "failures" : "latency";
}

std::string FormatStopFact(const StopFact& fact) {
  return absl::StrCat(
      "stop ", Escape(fact.note.value()), " ", Escape(fact.pool.value()), " ",
      Escape(fact.version.value()), " ", Escape(fact.upstream.value()), " ",
      StopCauseName(fact.cause), " ", Escape(fact.route.value()));
}

std::optional<StopFact> ParseStopFact(const std::string& text) {
  const std::vector<std::string> fields = absl::StrSplit(text, ' ');
  if (fields.size() != kFieldCount || fields[0] != "stop") {
    return std::nullopt;
  }
  for (const size_t i : {1, 2, 3, 4, 6}) {
    if (!IsEscaped(fields[i])) {
      return std::nullopt;
    }
  }
  const bool is_latency = fields[5] == StopCauseName(StopCause::kLatency);
  if (!is_latency && fields[5] != StopCauseName(StopCause::kFailures)) {
    return std::nullopt;
  }
  StopFact fact;
  fact.note = NoteId(Unescape(fields[1]));
  fact.pool = PoolId(Unescape(fields[2]));
  fact.version = VersionId(Unescape(fields[3]));
  fact.upstream = UpstreamId(Unescape(fields[4]));
  fact.cause = is_latency ? StopCause::kLatency : StopCause::kFailures;
  fact.route = RouteId(Unescape(fields[6]));
  return fact;
}

bool StopSet::Add(const StopFact& fact) {
  return facts_.insert(fact).second;
}

const StopFact* StopSet::FindVersionFact(const NoteId& note,
                                         const PoolId& pool,
                                         const VersionId& version) const {
  const auto found =
      std::find_if(facts_.begin(), facts_.end(), [&](const StopFact& fact) {
        return fact.note == note && fact.pool == pool &&
               fact.version == version && fact.upstream.empty();
      });
  return found == facts_.end() ? nullptr : &*found;
}

std::vector<StopFact> StopSet::UpstreamFactsOf(const NoteId& note) const {
  std::vector<StopFact> found;
  for (const StopFact& fact : facts_) {
    if (fact.note == note && !fact.upstream.empty()) {
      found.push_back(fact);
    }
  }
  return found;
}

std::vector<StopFact> StopSet::FactsOf(const NoteId& note) const {
  std::vector<StopFact> found;
  for (const StopFact& fact : facts_) {
    if (fact.note == note) {
      found.push_back(fact);
    }
  }
  return found;
}

void StopSet::Forget(const NoteId& note) {
  std::erase_if(facts_,
                [&note](const StopFact& fact) { return fact.note == note; });
}

FleetConfig StopSet::Apply(const FleetConfig& config) const {
  FleetConfig applied = config;
  for (const VersionShare& share : config.shares) {
    if (share.note.empty()) {
      continue;
    }
    for (const StopFact& fact : UpstreamFactsOf(share.note)) {
      std::erase_if(applied.upstreams, [&](const UpstreamSpec& upstream) {
        return upstream.id == fact.upstream && upstream.pool == share.pool &&
               upstream.version == share.version;
      });
    }
    if (FindVersionFact(share.note, share.pool, share.version) != nullptr) {
      std::erase_if(applied.upstreams, [&](const UpstreamSpec& upstream) {
        return upstream.pool == share.pool && upstream.version == share.version;
      });
    }
    if (!HasUpstream(applied, share.pool, share.version)) {
      DropShare(share.pool, share.version, &applied);
    }
  }
  return applied;
}

}  // namespace papaya
