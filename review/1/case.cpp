// Six machines; three of them are the seeds of all. The processes of the seeds
// are killed at the same moment and restarted at once, with the same settings.
// Ten seconds later one tenant sends several times its usage cap, evenly to
// all.
#include "../standins/quota.hpp"

namespace {

using namespace review;
using namespace review::quota;

constexpr int64_t kRestartMs = 500;

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
  Gateways all = MakeGateways(setup, store, 1);
  const std::vector<std::string> seeds = SeedsOf(all);
  Gateways others = MakeGateways(setup, store, 4);
  for (const Gateways* group : {static_cast<const Gateways*>(&all),
                                static_cast<const Gateways*>(&others)}) {
    for (const auto& gateway : *group) {
      gateway->WriteSettings(seeds, /*bootstrap=*/true);
      gateway->Start();
    }
    // The seeds first, so that all join them.
    if (!AreReady(*group)) {
      return kCouldNotRun;
    }
    SleepMs(2500);
  }
  for (const Gateways* group : {static_cast<const Gateways*>(&all),
                                static_cast<const Gateways*>(&others)}) {
    for (const auto& gateway : *group) {
      gateway->WriteSettings(seeds, /*bootstrap=*/false);
    }
  }
  if (setup.has_trouble) {
    Record::Get().Line("the processes of edge-1 to edge-3 are killed");
    for (const auto& gateway : all) {
      gateway->Signal(SIGKILL);
    }
    for (const auto& gateway : all) {
      gateway->Kill(SIGKILL);
    }
    SleepMs(kRestartMs);
    for (const auto& gateway : all) {
      gateway->Start();
    }
    Record::Get().Line("they are started again");
    if (!AreReady(all)) {
      return kCouldNotRun;
    }
  }
  SleepMs(15000);
  std::move(others.begin(), others.end(), std::back_inserter(all));
  return Judge(all);
}

}  // namespace

int main() {
  const int result = RunCase();
  fflush(stdout);
  _exit(result);
}
