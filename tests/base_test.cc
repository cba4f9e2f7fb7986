#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "include/base/error.h"
#include "include/base/ids.h"
#include "include/base/outcome.h"
#include "include/base/random.h"
#include "include/base/stable_hash.h"
#include "include/base/tier.h"

namespace papaya {
namespace {

TEST_CASE("Error: carries its step and peer", "[base]") {
  const absl::Status status =
      MakeError(absl::StatusCode::kUnavailable,
                {.step = "upstream.connect", .peer = "10.0.0.7:8000"},
                "connection refused");
  CHECK(GetErrorOrigin(status).step == "upstream.connect");
  CHECK(GetErrorOrigin(status).peer == "10.0.0.7:8000");
  CHECK(std::string(status.message()) ==
        "upstream.connect 10.0.0.7:8000: connection refused");
}

TEST_CASE("Tier: every name parses back", "[base]") {
  for (Tier tier : kAllTiers) {
    CHECK(ParseTier(TierName(tier)) == tier);
  }
  CHECK_FALSE(ParseTier("urgent").has_value());
}

TEST_CASE("Random: one seed gives one sequence", "[base]") {
  rc::prop("equal seeds, equal values", [](uint64_t seed) {
    Random first(seed);
    Random second(seed);
    RC_ASSERT(first.Uniform() == second.Uniform());
    RC_ASSERT(first.LogNormal(3.0, 1.0) == second.LogNormal(3.0, 1.0));
  });
}

TEST_CASE("StableHash: the value never changes between releases", "[base]") {
  CHECK(StableHash("sk-west-a") == StableHash("sk-west-a"));
  CHECK(StableHash("sk-west-a") != StableHash("sk-west-b"));
  CHECK(StableHash("sk-west-a", 1) != StableHash("sk-west-a", 2));
  rc::prop("unit values stay in range", [](const std::string& text) {
    const double unit = HashToUnit(StableHash(text));
    RC_ASSERT(unit >= 0.0);
    RC_ASSERT(unit < 1.0);
  });
}

}  // namespace
}  // namespace papaya
