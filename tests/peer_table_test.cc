#include "src/admission/peer_table.h"

#include <catch2/catch.hpp>

namespace papaya {
namespace {

constexpr Duration kLifetime = std::chrono::seconds(3);
const TimePoint kStart(std::chrono::hours(1));
const RouterId kPeer("r1");

DemandReport MakeReport(uint64_t incarnation, uint64_t sequence) {
  return {.router = kPeer,
          .incarnation = Incarnation(incarnation),
          .sequence = sequence};
}

}  // namespace

TEST_CASE("PeerTable: a later report replaces a lost one", "[admission]") {
  PeerTable table(kLifetime);
  CHECK(table.Update(MakeReport(1, 1), kStart));
  CHECK(table.Update(MakeReport(1, 4), kStart));
  REQUIRE(table.Find(kPeer, kStart) != nullptr);
  CHECK(table.Find(kPeer, kStart)->sequence == 4);
}

TEST_CASE("PeerTable: a report that arrives out of order is ignored",
          "[admission]") {
  PeerTable table(kLifetime);
  CHECK(table.Update(MakeReport(1, 5), kStart));
  const TimePoint later = kStart + std::chrono::seconds(2);
  CHECK(!table.Update(MakeReport(1, 4), later));
  CHECK(!table.Update(MakeReport(1, 5), later));
  CHECK(table.Find(kPeer, kStart)->sequence == 5);
  // Nor does it extend the lifetime of the stored report.
  CHECK(table.Find(kPeer, kStart + kLifetime + std::chrono::seconds(1)) ==
        nullptr);
}

TEST_CASE("PeerTable: a restarted router replaces its former reports",
          "[admission]") {
  PeerTable table(kLifetime);
  CHECK(table.Update(MakeReport(1, 900), kStart));
  CHECK(table.Update(MakeReport(2, 1), kStart));
  CHECK(!table.Update(MakeReport(1, 901), kStart));
  CHECK(table.Find(kPeer, kStart)->incarnation == Incarnation(2));
  CHECK(table.size() == 1);
}

TEST_CASE(
    "PeerTable: reports of a router whose clock was set back are accepted once "
    "its former reports have expired",
    "[admission]") {
  PeerTable table(kLifetime);
  CHECK(table.Update(MakeReport(2, 900), kStart));
  CHECK(!table.Update(MakeReport(1, 1), kStart + kLifetime));
  const TimePoint later = kStart + kLifetime + std::chrono::milliseconds(1);
  CHECK(!table.Update(MakeReport(2, 899), later));
  CHECK(table.Update(MakeReport(1, 2), later));
  REQUIRE(table.Find(kPeer, later) != nullptr);
  CHECK(table.Find(kPeer, later)->incarnation == Incarnation(1));
  CHECK(table.Update(MakeReport(1, 3), later));
  CHECK(table.Update(MakeReport(2, 901), later));
}

}  // namespace papaya
