#include "include/admission/demand_packing.h"

#include <limits>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "include/admission/demand_share.h"
#include "include/base/random.h"
#include "include/wire/peer_codec.h"

namespace papaya {
namespace {

constexpr int32_t kMaxCount = std::numeric_limits<int32_t>::max();

// Mostly small, sometimes any value.
int32_t AnyCount(Random* random) {
  if (random->Chance(0.1)) {
    return random->Chance(0.2) ? kMaxCount
                               : static_cast<int32_t>(random->Below(kMaxCount));
  }
  return static_cast<int32_t>(random->Below(20));
}

DemandNotice AnyNotice(Random* random) {
  DemandNotice notice{.incarnation = Incarnation(random->Next64()),
                      .sequence = random->Next64() >> random->Below(64)};
  for (uint64_t i = random->Below(10); i > 0; --i) {
    GroupNotice group{.group =
                          NameHash(static_cast<uint32_t>(random->Next64()))};
    for (TierDemand& tier : group.tiers) {
      tier = {.running = AnyCount(random), .waiting = AnyCount(random)};
    }
    if (random->Chance(0.5)) {
      group.short_tier = kAllTiers[random->Below(kTierCount)];
    }
    notice.groups.push_back(group);
  }
  for (uint64_t i = random->Below(30); i > 0; --i) {
    notice.upstreams.push_back(
        {.upstream = NameHash(static_cast<uint32_t>(random->Next64())),
         .running = AnyCount(random),
         .pending_prefill =
             Tokens(int64_t{AnyCount(random)} * kPrefillGranularity.value()),
         .ejected = random->Chance(0.5),
         .leaving = random->Chance(0.5)});
  }
  return notice;
}

// Offset of the head byte of the only group in NoticeOfOneGroup().
constexpr size_t kHeadOffset = sizeof(uint64_t) + 1 + 1 + sizeof(uint32_t);

DemandNotice NoticeOfOneGroup() {
  DemandNotice notice{.incarnation = Incarnation(5), .sequence = 6};
  notice.groups.push_back({.group = NameHash(7)});
  return notice;
}

}  // namespace

TEST_CASE("PackDemand: any notice is decoded unchanged", "[admission]") {
  rc::prop("any values", [](uint64_t seed) {
    Random random(seed);
    const DemandNotice notice = AnyNotice(&random);
    const std::optional<DemandNotice> back = UnpackDemand(PackDemand(notice));
    RC_ASSERT(back.has_value());
    RC_ASSERT(*back == notice);
  });
}

TEST_CASE("PackDemand: counts around the limit of the short form",
          "[admission]") {
  for (int32_t running : {0, 1, 14, 15, 16, 255, 256, kMaxCount}) {
    for (int32_t waiting : {0, 1, 14, 15, 16, 255, 256, kMaxCount}) {
      DemandNotice notice = NoticeOfOneGroup();
      notice.groups[0].tiers[3] = {.running = running, .waiting = waiting};
      CHECK(UnpackDemand(PackDemand(notice)) == notice);
    }
  }
}

TEST_CASE("UnpackDemand: rejects truncated and overlong input", "[admission]") {
  rc::prop("any notice", [](uint64_t seed) {
    Random random(seed);
    const std::string bytes = PackDemand(AnyNotice(&random));
    for (size_t size = 0; size < bytes.size(); ++size) {
      RC_ASSERT(!UnpackDemand(bytes.substr(0, size)).has_value());
    }
    RC_ASSERT(!UnpackDemand(bytes + '\0').has_value());
  });
}

TEST_CASE("UnpackDemand: rejects values out of range", "[admission]") {
  const std::string good = PackDemand(NoticeOfOneGroup());
  REQUIRE(UnpackDemand(good).has_value());
  std::string no_tier = good;
  no_tier[kHeadOffset] = static_cast<char>(kTierCount + 1);
  CHECK(!UnpackDemand(no_tier).has_value());
  // A head byte with one tier, whose `running` is 2^31 in the long form.
  std::string too_many = good.substr(0, kHeadOffset);
  too_many += "\x10\xff";
  too_many += "\x80\x80\x80\x80\x08";
  too_many += std::string(2, '\0');
  CHECK(!UnpackDemand(too_many).has_value());
  // A varint without an end, and a count that exceeds the entries.
  CHECK(!UnpackDemand(std::string(8, '\0') + std::string(40, '\xff')));
  std::string count = std::string(8, '\0') + '\1';
  count += "\xff\xff\xff\xff\xff\xff\xff\x7f";
  CHECK(!UnpackDemand(count).has_value());
}

TEST_CASE("UnpackDemand: arbitrary bytes are rejected or decoded consistently",
          "[admission][fuzz]") {
  rc::prop("arbitrary and changed bytes",
           [](const std::string& bytes, uint64_t seed) {
             Random random(seed);
             std::string changed = PackDemand(AnyNotice(&random));
             for (uint64_t i = random.Below(6); i > 0; --i) {
               changed[random.Below(changed.size())] =
                   static_cast<char>(random.Next64());
             }
             for (const std::string& one : {bytes, changed}) {
               const std::optional<DemandNotice> notice = UnpackDemand(one);
               if (notice.has_value()) {
                 RC_ASSERT(UnpackDemand(PackDemand(*notice)) == notice);
               }
             }
           });
}

TEST_CASE("DemandWireSize: is no less than the bytes on the wire",
          "[admission]") {
  auto config = std::make_shared<FleetConfig>();
  config->revision = Revision(1);
  RoutingInput input;
  for (int i = 0; i < 40; ++i) {
    config->upstreams.push_back({.id = UpstreamId(absl::StrCat("u", i)),
                                 .pool = PoolId(absl::StrCat("p", i % 4)),
                                 .version = VersionId("v1")});
  }
  for (int i = 0; i < 20; ++i) {
    input.routers.push_back({.id = RouterId(absl::StrCat("r", i))});
  }
  input.config = config;
  input.self = input.routers.front();
  const auto snapshot = RoutingSnapshot::Build(input);
  DemandReport report{.router = input.self.id,
                      .incarnation = Incarnation(uint64_t{1} << 60),
                      .sequence = 1000000};
  constexpr size_t kTcpIpAndLengthBytes = 56;
  for (size_t i = 0; i <= snapshot->upstreams().size(); ++i) {
    size_t sent = 0;
    for (const auto& [router, part] : SplitDemandReport(report, *snapshot)) {
      sent += EncodePeerMessage(MakeDemandNotice(part)).size() +
              kTcpIpAndLengthBytes;
    }
    const size_t cost = static_cast<size_t>(
        DemandWireSize(SplitDemandReport(report, *snapshot)).value());
    CHECK(cost >= sent);
    CHECK(cost < sent * 11 / 10);
    if (i < snapshot->upstreams().size()) {
      report.upstreams.push_back(
          {.upstream = snapshot->upstreams()[i].spec.id, .running = 100});
    }
  }
}

}  // namespace papaya
