// The channels to the store that are open at one moment go silent for good; new
// ones work. Shortly after that a manifest moves a route to another service.
// Requests sent later than the bounds allow must not run at the old service.
#include "../standins/standins.hpp"

namespace {

using namespace review;

constexpr int kGateways = 3;
constexpr int64_t kStableWindowMs = 3000;
constexpr int64_t kConfigApplyMs = 2000;

std::string Manifest(int version, const std::string& service) {
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"r-book\",\"host\":\"hire.example\","
         "\"path_prefix\":\"/book/\",\"kind\":\"non_idempotent\","
         "\"timeout_ms\":1000,\"target_latency_ms\":100,\"priority\":2,"
         "\"service\":\"" +
         service +
         "\",\"max_attempts\":1,\"anonymous\":true,\"sticky\":false}],"
         "\"services\":[{\"name\":\"old-app\",\"health_path\":\"/healthz\","
         "\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false},{\"name\":"
         "\"new-app\",\"health_path\":\"/healthz\",\"max_conns\":100,"
         "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":"
         "16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000},\"tenants\":[]}";
}

struct Outcome {
  int64_t sent_ms = 0;
  std::string gateway;
  std::string service;
};

std::mutex g_mutex;
std::map<std::string, std::string> g_runs;  // the service that ran a request
std::vector<Outcome> g_outcomes;

Replica::Work MakeWork(const std::string& service) {
  return [service](Replica* replica, const Message& request, Conn* conn) {
    const std::string id = request.Get("Papayaarch-Attempt-Id");
    {
      std::lock_guard<std::mutex> lock(g_mutex);
      g_runs[id] = service;
    }
    Record::Get().Line("run %s at %s of %s", id.c_str(), replica->id().c_str(),
                       service.c_str());
    SleepMs(15);
    return conn->Write(Response(200, "booked",
                                "Papayaarch-Attempt-Id: " + id +
                                    "\r\nPapayaarch-Response-Seal: s\r\n"));
  };
}

void SendOne(const Gateway& gateway) {
  const std::string id = NewId();
  const int64_t sent = NowMs();
  Record::Get().Line("send %s to %s", id.c_str(), gateway.name().c_str());
  const Answer answer =
      Send(gateway.frontend(), "POST", "/book/1",
           "Host: hire.example\r\nPapayaarch-Attempt-Id: " + id + "\r\n",
           "stencil=7", 1000);
  Record::Get().Line("answer %s %d after %lld ms", id.c_str(), answer.status,
                     static_cast<long long>(answer.took_ms));
  std::lock_guard<std::mutex> lock(g_mutex);
  const auto run = g_runs.find(id);
  g_outcomes.push_back({.sent_ms = sent,
                        .gateway = gateway.name(),
                        .service = run == g_runs.end() ? "" : run->second});
}

int RunCase() {
  const CaseSetup setup = CaseSetup::Read();
  Store store;
  if (!store.Start(FreeAddress(ServerIp()))) {
    return kCouldNotRun;
  }
  store.Put("config", "main", Manifest(3, "old-app"));
  std::vector<std::unique_ptr<Replica>> replicas;
  for (const char* service : {"old-app", "new-app"}) {
    for (int i = 0; i < 3; ++i) {
      replicas.push_back(std::make_unique<Replica>(
          &store, service, std::string("i-") + service + std::to_string(i),
          FreeAddress(ServerIp()), 6, MakeWork(service)));
      if (!replicas.back()->Start()) {
        return kCouldNotRun;
      }
    }
  }
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::vector<std::string> seeds;
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(std::make_unique<Gateway>(
        Gateway::Options{.program = setup.program,
                         .dir = setup.dir,
                         .name = "edge-" + std::to_string(i + 1),
                         .store = store.address()},
        i + 1));
    seeds.push_back(gateways.back()->control());
  }
  for (const auto& gateway : gateways) {
    gateway->WriteSettings(seeds, /*bootstrap=*/true);
    gateway->Start();
  }
  for (const auto& gateway : gateways) {
    if (!gateway->AwaitReady(10000)) {
      return kCouldNotRun;
    }
  }
  SleepMs(10000);
  std::atomic<bool> is_over{false};
  std::vector<std::thread> clients;
  for (const auto& gateway : gateways) {
    clients.emplace_back([&gateway, &is_over] {
      while (!is_over) {
        SendOne(*gateway);
        SleepMs(80);
      }
    });
  }
  SleepMs(2000);
  const int64_t silence = NowMs();
  if (setup.has_trouble) {
    store.SilenceOpenConnections();
    Record::Get().Line("the open channels to the store go silent");
  }
  SleepMs(300);
  store.Put("config", "main", Manifest(7, "new-app"));
  const int64_t ack = NowMs();
  Record::Get().Line("manifest 7 acknowledged: /book/ moves to new-app");
  SleepMs(9000);
  is_over = true;
  for (std::thread& client : clients) {
    client.join();
  }
  const int64_t bound =
      std::max(silence + kStableWindowMs, ack + kConfigApplyMs);
  int checked = 0;
  int late = 0;
  int64_t last = 0;
  for (const Outcome& outcome : g_outcomes) {
    if (outcome.sent_ms <= bound || outcome.service.empty()) {
      continue;
    }
    ++checked;
    if (outcome.service == "old-app") {
      ++late;
      last = std::max(last, outcome.sent_ms);
    }
  }
  Record::Get().Line(
      "sent later than the bounds and run: %d; of these at the old service: "
      "%d, the last sent %lld ms after the ack",
      checked, late, static_cast<long long>(late == 0 ? 0 : last - ack));
  printf("run later than the bounds: %d, at the old service: %d\n", checked,
         late);
  if (checked < 50) {
    return kCouldNotRun;
  }
  return late > 0 ? kBroken : kHeld;
}

}  // namespace

int main() {
  const int result = RunCase();
  fflush(stdout);
  _exit(result);
}
