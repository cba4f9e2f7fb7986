// The cases of this review that are scripts. Usage: cases NAME RECORD
#include <algorithm>

#include "rig.hpp"

using namespace rig;

namespace {

bool g_trouble = true;

int Finish(bool is_broken, const string& result) {
  Record((is_broken ? "BROKEN: " : "held: ") + result);
  printf("%s: %s\n", is_broken ? "BROKEN" : "held", result.c_str());
  return is_broken ? 1 : 0;
}

// ---- Clients that read slowly ----------------------------------------------

// A stream of events with increasing ids, in chunks, made within a third of a
// second.
void SendStream(Channel* channel, const Message& request, Replica* replica) {
  constexpr int kEvents = 48;
  constexpr int kEventBytes = 340;
  const string attempt = request.Get("papayaarch-attempt-id");
  replica->Ran(request);
  Record("replica runs " + attempt);
  string head = "HTTP/1.1 200 OK\r\n" + replica->Headers(request) +
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n";
  bool is_sent = channel->Write(head);
  for (int i = 1; i <= kEvents && is_sent; ++i) {
    const string event =
        Format("id: %d\ndata: %s\n\n", i, string(kEventBytes, 'x').c_str());
    is_sent = channel->Write(Format("%zx\r\n", event.size()) + event + "\r\n");
    Sleep(0.005);
  }
  is_sent = is_sent && channel->Write("0\r\n\r\n");
  Record(is_sent ? "replica has sent all of " + attempt
                 : "replica cannot write " + attempt);
  if (!is_sent) {
    channel->Close();
  }
}

// Returns the highest id of the events in `body`.
int LastEvent(const string& body) {
  const size_t last = body.rfind("id: ");
  return last == string::npos ? 0 : atoi(body.c_str() + last + 4);
}

int SlowReaders() {
  constexpr int kClients = 6;
  constexpr int kDeadlineMs = 12000;
  // As in odwrot-etykiety-grown.
  for (const auto& [name, value] : json::object{{"stable_window_ms", 4000},
                                                {"ack_ms", 6000},
                                                {"catch_up_s", 6},
                                                {"drain_ms", 3000},
                                                {"config_apply_ms", 3000},
                                                {"max_skew_ms", 6000},
                                                {"budget_slack", 196},
                                                {"recover_s", 15},
                                                {"pass_ms", 200}}) {
    g_bounds[name] = value;
  }
  Deployment& site = *new Deployment(1);
  site.AddReplica("i-llm-1", "llm", 11, &SendStream);
  site.AddReplica("i-llm-2", "llm", 11, &SendStream);
  site.AddReplica(
      "i-app-1", "app", 6,
      [](Channel* channel, const Message& request, Replica* replica) {
        replica->Ran(request);
        channel->Write(Answer(200, replica->Headers(request), "ok"));
      });
  site.store.Put(
      "config", "main",
      Manifest(
          1, {Route("status", "idempotent", "app", 1000, 120, 2),
              Route("report", "streaming", "llm", kDeadlineMs, 800, 2, true)}));
  site.StartRouters();
  Router& router = *site.routers[0];
  // Planned work; the settings are unchanged.
  Record("SIGHUP to the router");
  router.Signal(SIGHUP);
  Sleep(0.1);

  std::atomic<int> cut{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const auto channel =
          Channel::Connect(router.ip(), router.frontend(), 4096);
      // A first request on the channel, which the router keeps open.
      Message first;
      channel->Write(RequestBytes("GET", "/status/x", NewAttempt(), 1000));
      if (!ReadHead(channel.get(), &first, 5.0) ||
          !ReadBody(channel.get(), &first, true, 5.0) ||
          first.status() != 200 || first.Get("connection") == "close") {
        CannotRun("the first request is not served");
      }
      const string attempt = NewAttempt();
      Record(Format("client %d sends %s", i, attempt.c_str()));
      const double begin = Now();
      channel->Write(RequestBytes("POST", "/report/x", attempt, kDeadlineMs,
                                  "Papayaarch-Token-Usage: 6610,384\r\n",
                                  "{}"));
      Message answer;
      // 2 kB a second, which is 6 events a second.
      const auto paced = [&]() -> size_t {
        if (!g_trouble) {
          return 65536;
        }
        Sleep(0.125);
        return 256;
      };
      const bool is_whole =
          ReadHead(channel.get(), &answer, 5.0, g_trouble ? 64 : 65536) &&
          ReadBody(channel.get(), &answer, true, 5.0, paced);
      Record(Format("client %d: status %d, events to %d of %s after %.1f s: %s",
                    i, answer.status(), LastEvent(answer.body), attempt.c_str(),
                    Now() - begin, is_whole ? "whole" : answer.error.c_str()));
      cut += is_whole ? 0 : 1;
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  return Finish(cut > 3,
                Format("%d of %d answers were cut off", cut.load(), kClients));
}

// ---- A tenant that sends many requests at once ------------------------------

int Quota() {
  constexpr int kRouters = 7;
  // The tenant's limit, and the bounds of the settings.
  constexpr double kRate = 6500.0;
  constexpr double kBurst = 6500.0;
  constexpr double kWindow = 8.0;
  constexpr double kAllowed = (kRate * kWindow + kBurst) * 1.1 + 140000.0;
  constexpr int kUsual = 12;
  constexpr double kUsualSeconds = 6.5;
  constexpr int kHot = 90;
  const string tokens = "Papayaarch-Token-Usage: 3000,500\r\n";
  Deployment& site = *new Deployment(kRouters);
  const auto work = [](Channel* channel, const Message& request,
                       Replica* replica) {
    replica->Ran(request);
    Sleep(0.015);
    if (!channel->Write(Answer(200, replica->Headers(request), "ok"))) {
      channel->Close();
    }
  };
  for (int i = 1; i <= 3; ++i) {
    site.AddReplica(Format("i-app-%d", i), "app", 6, work);
  }
  site.store.Put(
      "config", "main",
      Manifest(1, {Route("status", "idempotent", "app", 2500, 150, 1)}, kRate,
               kBurst));
  site.StartRouters();

  std::map<int, int> statuses;
  const auto read = [&statuses](Channel* channel) {
    Message answer;
    const bool is_whole = ReadHead(channel, &answer, 5.0) &&
                          ReadBody(channel, &answer, true, 5.0);
    ++statuses[is_whole ? answer.status() : 0];
  };
  const auto connect = [&site](int i) {
    Router& router = *site.routers[static_cast<size_t>(i % kRouters)];
    return Channel::Connect(router.ip(), router.frontend());
  };
  // Two of the usual spans, so that each router has had some requests.
  for (int i = 0; i < 2 * kUsual; ++i) {
    const auto channel = connect(i);
    channel->Write(
        RequestBytes("GET", "/status/x", NewAttempt(), 2500, tokens));
    read(channel.get());
    Sleep(kUsualSeconds / kUsual);
  }
  Record(
      Format("usual: %d requests of 3500 tokens in %.1f s; %d served, "
             "%d refused",
             2 * kUsual, 2 * kUsualSeconds, statuses[200], statuses[429]));
  statuses.clear();
  if (g_trouble) {
    std::vector<std::unique_ptr<Channel>> channels;
    for (int i = 0; i < kHot; ++i) {
      channels.push_back(connect(i));
    }
    const double begin = Now();
    for (const auto& channel : channels) {
      channel->Write(
          RequestBytes("GET", "/status/x", NewAttempt(), 2500, tokens));
    }
    Record(Format("%d requests of 3500 tokens sent within %.0f ms", kHot,
                  1000.0 * (Now() - begin)));
    for (const auto& channel : channels) {
      read(channel.get());
    }
    for (const auto& [status, count] : statuses) {
      Record(Format("%d answers with status %d", count, status));
    }
  } else {
    Sleep(1.0);
  }
  // What ran, in windows that slide.
  std::vector<std::pair<double, double>> runs;
  for (const auto& replica : site.replicas) {
    for (const Run& run : replica->runs()) {
      runs.emplace_back(run.time, run.tokens);
      Record(Format("%s ran %s at %.3f s, %.0f tokens", run.replica.c_str(),
                    run.attempt.c_str(), run.time, run.tokens));
    }
  }
  std::sort(runs.begin(), runs.end());
  double in_window = 0.0;
  double most = 0.0;
  for (size_t first = 0, last = 0; last < runs.size(); ++last) {
    in_window += runs[last].second;
    while (runs[last].first - runs[first].first > kWindow) {
      in_window -= runs[first++].second;
    }
    most = std::max(most, in_window);
  }
  return Finish(most > kAllowed,
                Format("%.0f tokens of the tenant ran within %.0f s, allowed "
                       "are %.0f",
                       most, kWindow, kAllowed));
}

// ---- The last tenant is removed ---------------------------------------------

int NoTenants() {
  constexpr double kConfigApplySeconds = 2.0;
  constexpr int kRequests = 10;
  Deployment& site = *new Deployment(2);
  const auto work = [](Channel* channel, const Message& request,
                       Replica* replica) {
    replica->Ran(request);
    Record("replica runs " + request.Get("papayaarch-attempt-id"));
    if (!channel->Write(Answer(200, replica->Headers(request), "ok"))) {
      channel->Close();
    }
  };
  site.AddReplica("i-app-1", "app", 6, work);
  site.AddReplica("i-app-2", "app", 6, work);
  const json::array routes = {
      Route("status", "idempotent", "app", 1000, 100, 2)};
  site.store.Put("config", "main", Manifest(1, routes));
  site.StartRouters();

  // Returns how many requests with `key` ran, of kRequests at each router.
  const auto count_runs = [&site](const string& key) {
    int runs = 0;
    for (const auto& router : site.routers) {
      for (int i = 0; i < kRequests; ++i) {
        const auto channel = Channel::Connect(router->ip(), router->frontend());
        string bytes = RequestBytes("GET", "/status/x", NewAttempt(), 1000);
        const string sent_key = "Token key-a";
        bytes.replace(bytes.find(sent_key), sent_key.size(), "Token " + key);
        channel->Write(bytes);
        Message answer;
        ReadHead(channel.get(), &answer, 3.0);
        Record(Format("%s, key %s: status %d", router->name().c_str(),
                      key.c_str(), answer.status()));
        runs += answer.status() == 200 ? 1 : 0;
      }
    }
    return runs;
  };
  const int before = count_runs("key-a");
  const int unknown_before = count_runs("key-b");
  json::object next = Manifest(2, routes);
  if (g_trouble) {
    next["tenants"] = json::array();
  } else {
    next["tenants"].as_array()[0].as_object()["api_keys"] = json::array();
  }
  Record("manifest 2: tenants " + json::serialize(next["tenants"]));
  site.store.Put("config", "main", next);
  Sleep(kConfigApplySeconds + 0.5);
  const int dropped = count_runs("key-a");
  const int unknown = count_runs("key-b");
  if (before != 2 * kRequests || unknown_before != 0) {
    CannotRun("the first manifest is not in force");
  }
  return Finish(
      dropped > 0 || unknown > 0,
      Format("2.5 s after manifest 2: %d of %d requests with the dropped key "
             "ran, and %d of %d with a key that no manifest ever held",
             dropped, 2 * kRequests, unknown, 2 * kRequests));
}

// ---- A part that crashes replicas, with a long id
// ----------------------------

int LongPartIds() {
  constexpr int kReplicas = 8;
  constexpr double kStableWindow = 3.0;
  constexpr double kPoisonSeconds = 20.0;
  constexpr double kBackAfter = 3.0;
  // 128 bits, as the hash of a text may have. SHORT_IDS=1 uses 32 bits.
  const bool is_short = getenv("SHORT_IDS") != nullptr;
  // DEEP=1: 70 other parts, which no two requests share, come before the part.
  const int parts_before = getenv("DEEP") != nullptr ? 70 : 0;
  const auto id_of = [is_short](int number) {
    return is_short ? Format("%08x", 0x5c1e0000 + number)
                    : Format("9b2f6a01d47c%020x", 0x5c1e0000 + number);
  };
  const string deadly = id_of(0xdead);
  Deployment& site = *new Deployment(3);
  std::mutex mutex;
  std::vector<double> crash_times;
  std::vector<double> poison_times;
  std::atomic<int> broken_off{0};
  const auto work = [&](Channel* channel, const Message& request,
                        Replica* replica) {
    const string attempt = request.Get("papayaarch-attempt-id");
    const bool is_poison =
        request.Get("papayaarch-prompt-prefix").find(deadly) != string::npos;
    if (is_poison) {
      Record("poison " + attempt + " reaches " + replica->id());
      const std::lock_guard<std::mutex> lock(mutex);
      poison_times.push_back(Now());
    }
    Sleep(0.1);
    replica->Ran(request);
    if (is_poison) {
      if (!replica->is_down()) {
        const std::lock_guard<std::mutex> lock(mutex);
        crash_times.push_back(Now());
      }
      replica->Crash(kBackAfter);
      channel->Reset();
      return;
    }
    bool is_sent =
        channel->Write("HTTP/1.1 200 OK\r\n" + replica->Headers(request) +
                       "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = 1; i <= 10 && is_sent; ++i) {
      const string event = Format("id: %d\ndata: x\n\n", i);
      is_sent =
          channel->Write(Format("%zx\r\n", event.size()) + event + "\r\n");
      Sleep(0.03);
    }
    if (!is_sent || !channel->Write("0\r\n\r\n")) {
      ++broken_off;
      channel->Close();
    }
  };
  for (int i = 1; i <= kReplicas; ++i) {
    site.AddReplica(Format("i-llm-%d", i), "llm", 11, work);
  }
  site.store.Put(
      "config", "main",
      Manifest(1, {Route("chat", "streaming", "llm", 12000, 250, 1)}));
  site.StartRouters();

  std::atomic<bool> is_over{false};
  std::map<int, int> statuses;
  const auto send = [&](Router* router, const string& middle) {
    const auto channel = Channel::Connect(router->ip(), router->frontend());
    if (channel == nullptr) {
      return;
    }
    const string attempt = NewAttempt();
    const int number = atoi(attempt.c_str() + 1);
    const string last = id_of(100000 + number);
    string before;
    for (int i = 0; i < parts_before && middle == deadly; ++i) {
      before += id_of(1000000 + 100 * number + i) + ":10,";
    }
    channel->Write(RequestBytes(
        "POST", "/chat/x", attempt, 12000,
        "Papayaarch-Model: m\r\nPapayaarch-Token-Usage: 700,60\r\n"
        "Papayaarch-Prompt-Prefix: " +
            id_of(1) + ":60," + before + middle + ":400," + last + ":240\r\n",
        "{}"));
    Message answer;
    const bool is_whole = ReadHead(channel.get(), &answer, 10.0) &&
                          ReadBody(channel.get(), &answer, true, 10.0);
    const std::lock_guard<std::mutex> lock(mutex);
    ++statuses[is_whole ? answer.status() : 0];
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < 24; ++i) {
    threads.emplace_back([&, i] {
      Router* router = site.routers[static_cast<size_t>(i % 3)].get();
      while (!is_over) {
        send(router, id_of(10 + i % 8));
        Sleep(0.2);
      }
    });
  }
  Sleep(4.0);
  if (g_trouble) {
    const double end = Now() + kPoisonSeconds;
    std::vector<std::thread> poison;
    for (int i = 0; Now() < end; ++i) {
      poison.emplace_back([&, i] {
        send(site.routers[static_cast<size_t>(i % 3)].get(), deadly);
      });
      Sleep(0.9);
    }
    for (std::thread& thread : poison) {
      thread.join();
    }
  }
  is_over = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (const auto& [status, count] : statuses) {
    Record(Format("%d answers with status %d", count, status));
  }
  const std::lock_guard<std::mutex> lock(mutex);
  int late = 0;
  if (crash_times.size() >= 5) {
    for (double time : poison_times) {
      late += time > crash_times[4] + kStableWindow ? 1 : 0;
    }
  }
  return Finish(
      late > 3,
      Format("%zu crashes; %d requests with the part reached replicas "
             "later than %.0f s after the fifth",
             crash_times.size(), late, kStableWindow));
}

// ---- The store's address changes
// ---------------------------------------------

int StoreMoves() {
  constexpr double kStableWindow = 3.0;
  constexpr double kConfigApply = 2.0;
  constexpr int kRequests = 10;
  Deployment& site = *new Deployment(2);
  const auto work = [](Channel* channel, const Message& request,
                       Replica* replica) {
    replica->Ran(request);
    Record("replica runs " + request.Get("papayaarch-attempt-id"));
    if (!channel->Write(Answer(200, replica->Headers(request), "ok"))) {
      channel->Close();
    }
  };
  site.AddReplica("i-app-1", "app", 6, work);
  const json::object kept = Route("kept", "idempotent", "app", 1000, 100, 2);
  const json::object dropped =
      Route("dropped", "idempotent", "app", 1000, 100, 2);
  site.store.Put("config", "main", Manifest(1, {kept, dropped}));
  site.StartRouters();
  const auto count = [&site](const string& path, int status) {
    int found = 0;
    for (const auto& router : site.routers) {
      for (int i = 0; i < kRequests; ++i) {
        const auto channel = Channel::Connect(router->ip(), router->frontend());
        channel->Write(RequestBytes("GET", path, NewAttempt(), 1000));
        Message answer;
        ReadHead(channel.get(), &answer, 3.0);
        found += answer.status() == status ? 1 : 0;
      }
    }
    return found;
  };
  if (count("/dropped/x", 200) != 2 * kRequests) {
    CannotRun("the first manifest is not in force");
  }
  if (g_trouble) {
    site.store.Move(site.net + "251");
    Record("the store goes on at " + site.store.address());
  }
  for (const auto& router : site.routers) {
    router->WriteSettings(site.Seeds(), false, 260);
    router->Signal(SIGHUP);
  }
  Record("settings written, SIGHUP to the routers");
  Sleep(kStableWindow + 1.5);
  site.store.Put("config", "main", Manifest(2, {kept}));
  Record("manifest 2, without the route `dropped`");
  Sleep(kConfigApply + 0.5);
  const int ran = count("/dropped/x", 200);
  Sleep(20.0);
  const int ran_later = count("/dropped/x", 200);
  return Finish(
      ran > 0 || ran_later > 0,
      Format("2.5 s after manifest 2, %d of %d requests on the dropped "
             "route ran; 20 s later %d",
             ran, 2 * kRequests, ran_later));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    fprintf(stderr, "usage: cases NAME RECORD\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  g_record.open(argv[2], std::ios::trunc);
  const char* trouble = getenv("TROUBLE");
  g_trouble = trouble == nullptr || string(trouble) != "0";
  char folder[] = "/tmp/papaya-review-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    return 2;
  }
  g_dir = folder;
  Record(string("trouble: ") + (g_trouble ? "yes" : "no"));
  std::thread([] {
    Sleep(115.0);
    CannotRun("the case takes too long");
  }).detach();
  const std::map<string, std::function<int()>> cases = {
      {"slow-readers", &SlowReaders}, {"long-part-ids", &LongPartIds},
      {"no-tenants", &NoTenants},     {"quota", &Quota},
      {"store-moves", &StoreMoves},
  };
  const auto found = cases.find(argv[1]);
  const int result = found == cases.end() ? 2 : found->second();
  EndProcesses();
  const char* keep = getenv("KEEP");
  if (keep == nullptr) {
    const string clear = string("rm -rf ") + folder;
    if (system(clear.c_str()) != 0) {
      fprintf(stderr, "cannot remove %s\n", folder);
    }
  } else {
    fprintf(stderr, "logs: %s\n", folder);
  }
  fflush(stdout);
  _exit(result);
}
