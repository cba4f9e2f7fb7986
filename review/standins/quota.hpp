// What a case on usage caps needs: the manifest with one capped tenant,
// engines that stream short answers, callers, and the rule.
#ifndef REVIEW_STANDINS_QUOTA_HPP_
#define REVIEW_STANDINS_QUOTA_HPP_

#include "standins.hpp"

namespace review::quota {

constexpr int kMachines = 3;  // of a group
constexpr int64_t kWindowMs = 8000;
constexpr int64_t kRate = 60000;
constexpr int64_t kBurst = 60000;
constexpr double kOverage = 0.1;
constexpr double kSlack = 140000;
constexpr int64_t kTokens = 2000;  // of one request

inline const char kManifest[] =
    "{\"version\":3,\"routes\":[{\"name\":\"r-chat\",\"host\":\"hire.example\","
    "\"path_prefix\":\"/chat/\",\"kind\":\"streaming\",\"timeout_ms\":12000,"
    "\"target_latency_ms\":250,\"priority\":1,\"service\":\"llm\","
    "\"max_attempts\":1,\"anonymous\":false,\"sticky\":true,\"can_resume\":"
    "false,\"gap_aim_ms\":200}],\"services\":[{\"name\":\"llm\",\"health_path\""
    ":\"/healthz\",\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,"
    "\"engine\":{\"slots\":11,\"kv_capacity_tokens\":854660,\"stride\":6}}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{"
    "\"name\":\"poskok\",\"api_keys\":[\"key-of-poskok\"],\"priority\":1,"
    "\"unit\":\"token_stream\",\"plain_tokens\":200,\"rate_per_s\":60000,"
    "\"burst\":60000}]}";

struct Spent {
  int64_t sent_ms = 0;
  int64_t run_ms = 0;
};

inline std::mutex g_mutex;
inline std::map<std::string, int64_t> g_sent;
inline std::vector<Spent> g_spent;
inline std::atomic<int> g_refused{0};

// Streams eight events.
inline bool Chat(Replica* replica, const Message& request, Conn* conn) {
  const std::string id = request.Get("Papayaarch-Attempt-Id");
  Record::Get().Line("run %s at %s", id.c_str(), replica->id().c_str());
  {
    std::lock_guard<std::mutex> lock(g_mutex);
    g_spent.push_back({.sent_ms = g_sent[id], .run_ms = NowMs()});
  }
  std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Papayaarch-Attempt-Id: " +
      id +
      "\r\nPapayaarch-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 1; i <= 8; ++i) {
    SleepMs(6);
    const std::string event = "id: " + std::to_string(i) + "\ndata: x\n\n";
    char size[16];
    snprintf(size, sizeof(size), "%zx\r\n", event.size());
    if (!conn->Write(head + size + event + "\r\n")) {
      return false;
    }
    head.clear();
  }
  return conn->Write("0\r\n\r\n");
}

inline void SendOne(const Gateway& gateway) {
  const std::string id = NewId();
  {
    std::lock_guard<std::mutex> lock(g_mutex);
    g_sent[id] = NowMs();
  }
  Record::Get().Line("send %s to %s", id.c_str(), gateway.name().c_str());
  const Answer answer =
      Send(gateway.frontend(), "POST", "/chat/1",
           "Host: hire.example\r\nPapayaarch-Attempt-Id: " + id +
               "\r\nPapayaarch-Model: m\r\nPapayaarch-Token-Usage: 1952,48\r\n"
               "Papayaarch-Prompt-Prefix: 5c1e07a2:60," +
               id + ":1892\r\nAuthorization: Token key-of-poskok\r\n",
           "{}", 12000);
  g_refused += answer.status == 429 ? 1 : 0;
  Record::Get().Line("answer %s %d", id.c_str(), answer.status);
}

using Gateways = std::vector<std::unique_ptr<Gateway>>;

inline Gateways MakeGateways(const CaseSetup& setup,
                             const Store& store,
                             int first) {
  Gateways gateways;
  const char* zones[] = {"z-a", "z-b", "z-c"};
  for (int i = 0; i < kMachines; ++i) {
    gateways.push_back(std::make_unique<Gateway>(
        Gateway::Options{.program = setup.program,
                         .dir = setup.dir,
                         .name = "edge-" + std::to_string(first + i),
                         .zone = zones[i],
                         .store = store.address()},
        first + i));
  }
  return gateways;
}

inline std::vector<std::string> SeedsOf(const Gateways& gateways) {
  std::vector<std::string> seeds;
  for (const auto& gateway : gateways) {
    seeds.push_back(gateway->control());
  }
  return seeds;
}

inline bool AreReady(const Gateways& gateways) {
  return std::all_of(gateways.begin(), gateways.end(), [](const auto& gateway) {
    return gateway->AwaitReady(10000);
  });
}

// Starts nine engines. Returns an empty list if that failed.
inline std::vector<std::unique_ptr<Replica>> StartEngines(Store* store) {
  std::vector<std::unique_ptr<Replica>> engines;
  for (int i = 0; i < 9; ++i) {
    engines.push_back(
        std::make_unique<Replica>(store, "llm", "i-llm" + std::to_string(i),
                                  FreeAddress(ServerIp()), 11, &Chat));
    if (!engines.back()->Start()) {
      return {};
    }
  }
  return engines;
}

// Sends several times the tenant's cap, evenly to all gateways, and applies the
// rule: the most that was both sent and run within one window.
inline int Judge(const Gateways& gateways) {
  std::atomic<bool> is_over{false};
  std::vector<std::thread> clients;
  for (const auto& gateway : gateways) {
    for (int i = 0; i < 3; ++i) {
      clients.emplace_back([&gateway, &is_over] {
        while (!is_over) {
          const int64_t next = NowMs() + 100;
          SendOne(*gateway);
          SleepMs(next - NowMs());
        }
      });
    }
  }
  SleepMs(12000);
  is_over = true;
  for (std::thread& client : clients) {
    client.join();
  }
  int64_t most = 0;
  for (const Spent& first : g_spent) {
    const int64_t begin = first.sent_ms;
    int64_t sum = 0;
    for (const Spent& spent : g_spent) {
      const bool is_inside =
          spent.sent_ms >= begin && spent.run_ms <= begin + kWindowMs;
      sum += is_inside ? kTokens : 0;
    }
    most = std::max(most, sum);
  }
  const double allowed =
      (static_cast<double>(kRate) * kWindowMs / 1e3 + kBurst) *
          (1.0 + kOverage) +
      kSlack;
  Record::Get().Line("most tokens in a window: %lld, allowed %.0f, 429: %d",
                     static_cast<long long>(most), allowed, g_refused.load());
  printf("most tokens in a window: %lld, allowed %.0f, answers 429: %d\n",
         static_cast<long long>(most), allowed, g_refused.load());
  if (g_spent.size() < 200) {
    return kCouldNotRun;
  }
  return static_cast<double>(most) > allowed ? kBroken : kHeld;
}

}  // namespace review::quota

#endif  // REVIEW_STANDINS_QUOTA_HPP_
