// Of six machines, three are lost for good and replaced by three at new
// addresses. The settings of the new ones first list the lost machines as
// seeds; within the lag that the pages allow, all settings files list live
// ones. Later one tenant sends several times its usage cap, evenly to all
// machines.
#include "../standins/quota.hpp"

namespace {

using namespace review;
using namespace review::quota;

constexpr int64_t kSeedLagMs = 3000;

int RunCase() {
  const CaseSetup setup = CaseSetup::Read();
  Store store;
  if (!store.Start(FreeAddress(ServerIp()))) {
    return kCouldNotRun;
  }
  store.Put("config", "main", kManifest);
  const std::vector<std::unique_ptr<Replica>> engines = StartEngines(&store);
  if (engines.empty()) {
    return kCouldNotRun;
  }
  const Gateways lost = MakeGateways(setup, store, 1);
  Gateways live = MakeGateways(setup, store, 4);
  Gateways added = MakeGateways(setup, store, 7);
  for (const Gateways* group : {&lost, static_cast<const Gateways*>(&live)}) {
    for (const auto& gateway : *group) {
      gateway->WriteSettings(SeedsOf(lost), /*bootstrap=*/true);
      gateway->Start();
    }
    // The seeds first, so that all join them.
    if (!AreReady(*group)) {
      return kCouldNotRun;
    }
    SleepMs(2500);
  }
  const std::vector<std::string> live_seeds = SeedsOf(live);
  for (const auto& gateway : added) {
    gateway->WriteSettings(setup.has_trouble ? SeedsOf(lost) : live_seeds,
                           /*bootstrap=*/false);
  }
  for (const auto& gateway : lost) {
    gateway->Kill(SIGKILL);
  }
  const int64_t loss = NowMs();
  Record::Get().Line(
      "edge-1 to edge-3 are lost for good, edge-7 to edge-9 are added");
  for (const auto& gateway : added) {
    gateway->Start();
  }
  if (!AreReady(added)) {
    return kCouldNotRun;
  }
  std::move(added.begin(), added.end(), std::back_inserter(live));
  SleepMs(loss + kSeedLagMs - NowMs());
  for (const auto& gateway : live) {
    gateway->WriteSettings(live_seeds, /*bootstrap=*/false);
    gateway->Signal(SIGHUP);
  }
  Record::Get().Line(
      "all settings files list edge-4 to edge-6 as seeds, SIGHUP");
  SleepMs(20000);
  return Judge(live);
}

}  // namespace

int main() {
  const int result = RunCase();
  fflush(stdout);
  _exit(result);
}
