// The script cases of the review, one function each:
//   cases NAME GATEWAY DIRECTORY RECORD
// Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
// With TROUBLE=0 in the environment, the case runs without the disruption.

#include <algorithm>

#include "review/standins-3/lab.hpp"

namespace lab {
namespace {

std::string Trouble() {
  const char* value = getenv("TROUBLE");
  return value == nullptr ? "" : value;
}

bool HasTrouble() {
  return Trouble() != "0";
}

// What clients and replicas have seen of each request, by attempt id.
struct Seen {
  int runs = 0;
  int status = 0;
};

class Ledger {
 public:
  void Ran(const std::string& id, const std::string& replica) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++seen_[id].runs;
    REC("replica %s runs %s", replica.c_str(), id.c_str());
  }
  void Answered(const std::string& id, int status) {
    const std::lock_guard<std::mutex> lock(mutex_);
    seen_[id].status = status;
    REC("client gets %d for %s", status, id.c_str());
  }
  std::map<std::string, Seen> All() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return seen_;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, Seen> seen_;
};

std::string Answer(int status,
                   const std::string& id,
                   const std::string& instance,
                   const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         (status == 200 ? " OK" : " Internal Server Error") +
         "\r\nPapayaarch-Attempt-Id: " + id +
         "\r\nPapayaarch-Response-Seal: " + instance + "." + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string Post(const std::string& path,
                 const std::string& id,
                 int deadline_ms) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: shop.example\r\nPapayaarch-Attempt-Id: " + id +
         "\r\nPapayaarch-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nContent-Length: 5\r\n\r\nhello";
}

struct Lab {
  std::string program;
  std::string directory;
};

// Ends the run. The threads of the stand-ins end with the process.
[[noreturn]] void Finish(int result) {
  fflush(nullptr);
  _exit(result);
}

json::object PlainService(const std::string& name) {
  return {{"name", name}, {"health_path", "/healthz"}, {"max_conns", 100}};
}

json::object EngineService(const std::string& name) {
  return {{"name", name},
          {"health_path", "/healthz"},
          {"max_conns", 360},
          {"engine",
           {{"slots", 8},
            {"kv_capacity_tokens", 431056},
            {"stride", 6},
            {"models", json::array{{{"name", "m"}}}}}}};
}

// Two replicas of a booking service behind one router, and a client that sends
// kBookings requests on one channel. `serve` answers the requests of one
// connection to a replica.
constexpr int kBookings = 80;

using ServeBookings =
    std::function<void(Conn* conn, const std::string& instance)>;

[[noreturn]] void RunBookings(const Lab& lab,
                              const ServeBookings& serve,
                              const std::function<int()>& count_broken,
                              Ledger* ledger) {
  Store store(Ip(250));
  std::vector<std::unique_ptr<Server>> replicas;
  for (int i = 1; i <= 2; ++i) {
    const std::string instance = "i-" + std::to_string(i);
    replicas.push_back(std::make_unique<Server>(
        Ip(100 + i), [&serve, instance](const std::shared_ptr<Conn>& conn) {
          serve(conn.get(), instance);
        }));
    store.Put("servers", instance,
              Registration("app", replicas.back()->Address(), "v1", 6));
  }
  store.Put(
      "config", "main",
      Manifest(7,
               {Route("book", "/book/", "non_idempotent", "app", 1500, 100, 2)},
               {PlainService("app")}));
  Router router(lab.program, lab.directory, Ip(1), "edge-1");
  router.Configure(store.Address(), {});
  router.Start();
  router.AwaitReady();
  SleepMs(500);
  auto client = std::make_unique<Conn>();
  int served = 0;
  for (int i = 0; i < kBookings; ++i) {
    if (client->fd() < 0 && !client->Connect(Ip(1), 8221, 1000)) {
      CannotRun("no connection to the router");
    }
    const std::string id = "book-" + std::to_string(i);
    REC("client sends %s", id.c_str());
    client->Send(Post("/book/now", id, 1500));
    const Message answer = ReadMessage(client.get(), 4000, true);
    ledger->Answered(id, answer.Status());
    served += answer.Status() == 200 ? 1 : 0;
    if (!answer.is_whole) {
      client = std::make_unique<Conn>();
    }
    SleepMs(20);
  }
  router.Kill();
  REC("%d of %d answered with 200", served, kBookings);
  if (served < kBookings / 2) {
    CannotRun("the router does not serve");
  }
  // The threads of the stand-ins use what this function owns, so it does not
  // return.
  Finish(count_broken() > 0 ? 1 : 0);
}

// A replica sheds a request, and later sends the beginning of the same answer
// once more: additional bytes after a complete answer, on a channel that is in
// use again.
[[noreturn]] void LateRejection(const Lab& lab) {
  Ledger ledger;
  std::atomic<int> received{0};
  const ServeBookings serve = [&](Conn* conn, const std::string& instance) {
    bool owes_copy = false;
    while (true) {
      const Message request = ReadMessage(conn, 60000, false);
      if (!request.is_whole) {
        return;
      }
      const std::string id = request.Get("Papayaarch-Attempt-Id");
      const std::string shed =
          "HTTP/1.1 503 Service Unavailable\r\nPapayaarch-Not-Executed: 1";
      // Once in the run, a replica is full.
      if (++received == 10) {
        REC("replica %s rejects %s", instance.c_str(), id.c_str());
        conn->Send(shed + "\r\nPapayaarch-Attempt-Id: " + id +
                   "\r\nContent-Length: 0\r\n\r\n");
        owes_copy = HasTrouble();
        continue;
      }
      ledger.Ran(id, instance);
      if (owes_copy) {
        owes_copy = false;
        REC("replica %s sends part of its last rejection again",
            instance.c_str());
        conn->Send(shed);
        SleepMs(20);
      }
      SleepMs(5);
      conn->Send(Answer(200, id, instance, "done"));
    }
  };
  const auto count_broken = [&] {
    int broken = 0;
    for (const auto& [id, seen] : ledger.All()) {
      if (seen.runs > 1) {
        REC("TWICE: %s ran %d times", id.c_str(), seen.runs);
        ++broken;
      }
    }
    return broken;
  };
  RunBookings(lab, serve, count_broken, &ledger);
}

// A replica answers a request with success, and later sends the first line of
// that answer once more, on a channel that is in use again. The request that
// uses it fails at the replica.
[[noreturn]] void LateSuccess(const Lab& lab) {
  Ledger ledger;
  std::mutex mutex;
  std::set<std::string> failed;
  std::atomic<int> received{0};
  const ServeBookings serve = [&](Conn* conn, const std::string& instance) {
    bool fails_next = false;
    while (true) {
      const Message request = ReadMessage(conn, 60000, false);
      if (!request.is_whole) {
        return;
      }
      const std::string id = request.Get("Papayaarch-Attempt-Id");
      ledger.Ran(id, instance);
      if (!fails_next) {
        SleepMs(5);
        conn->Send(Answer(200, id, instance, "done"));
        fails_next = ++received == 10;
        continue;
      }
      fails_next = false;
      if (HasTrouble()) {
        REC("replica %s sends part of its last answer again", instance.c_str());
        conn->Send("HTTP/1.1 200 OK");
        SleepMs(20);
      }
      REC("replica %s answers 500 for %s", instance.c_str(), id.c_str());
      {
        const std::lock_guard<std::mutex> lock(mutex);
        failed.insert(id);
      }
      conn->Send(Answer(500, id, instance, "fail"));
    }
  };
  const auto count_broken = [&] {
    const std::lock_guard<std::mutex> lock(mutex);
    if (failed.empty()) {
      CannotRun("no request failed at a replica");
    }
    int broken = 0;
    for (const auto& [id, seen] : ledger.All()) {
      if (seen.status / 100 == 2 && failed.contains(id)) {
        REC("MIXED: the client gets %d for %s, the replica answered 500",
            seen.status, id.c_str());
        ++broken;
      }
    }
    return broken;
  };
  RunBookings(lab, serve, count_broken, &ledger);
}

std::string Event(int number, const std::string& text) {
  return "id: " + std::to_string(number) + "\ndata: " + text + "\n\n";
}

// A replica announces the length of a stream, and breaks off in the middle of
// it. Another one goes on, and its text is a little longer.
[[noreturn]] void ResumedLength(const Lab& lab) {
  constexpr int kRequests = 100;
  constexpr int kEvents = 10;
  std::mutex mutex;
  std::map<std::string, int> arrivals;
  const auto serve = [&](const std::shared_ptr<Conn>& conn,
                         const std::string& instance) {
    while (true) {
      const Message request = ReadMessage(conn.get(), 60000, false);
      if (!request.is_whole) {
        return;
      }
      const std::string id = request.Get("Papayaarch-Attempt-Id");
      const int from = atoi(request.Get("Last-Event-Id").c_str());
      bool is_first = false;
      {
        const std::lock_guard<std::mutex> lock(mutex);
        is_first = ++arrivals[id] == 1;
      }
      REC("replica %s runs %s after event %d", instance.c_str(), id.c_str(),
          from);
      // One stream in the run breaks off.
      const bool breaks_off = HasTrouble() && is_first && id == "chat-5";
      std::vector<std::string> events;
      size_t length = 0;
      for (int i = from + 1; i <= kEvents; ++i) {
        events.push_back(Event(i, from == 0 ? "stone" : "marble"));
        length += events.back().size();
      }
      conn->Send("HTTP/1.1 200 OK\r\nPapayaarch-Attempt-Id: " + id +
                 "\r\nPapayaarch-Response-Seal: " + instance + "." + id +
                 "\r\nContent-Type: text/event-stream\r\nContent-Length: " +
                 std::to_string(length) + "\r\n\r\n");
      for (size_t i = 0; i < events.size(); ++i) {
        if (breaks_off && i == events.size() / 2) {
          REC("replica %s breaks off %s after event %zu", instance.c_str(),
              id.c_str(), i);
          conn->Reset();
          return;
        }
        if (!conn->Send(events[i])) {
          return;
        }
        SleepMs(5);
      }
    }
  };
  Store store(Ip(250));
  std::vector<std::unique_ptr<Server>> replicas;
  for (int i = 1; i <= 2; ++i) {
    const std::string instance = "i-" + std::to_string(i);
    replicas.push_back(std::make_unique<Server>(
        Ip(100 + i), [&serve, instance](const std::shared_ptr<Conn>& conn) {
          serve(conn, instance);
        }));
    store.Put("servers", instance,
              Registration("llm", replicas.back()->Address(), "v1", 8));
  }
  store.Put("config", "main",
            Manifest(7,
                     {Route("chat", "/chat/", "streaming", "llm", 12000, 300, 2,
                            /*can_resume=*/true)},
                     {EngineService("llm")}));
  Router router(lab.program, lab.directory, Ip(1), "edge-1");
  router.Configure(store.Address(), {});
  router.Start();
  router.AwaitReady();
  SleepMs(500);
  auto client = std::make_unique<Conn>();
  if (!client->Connect(Ip(1), 8221, 1000)) {
    CannotRun("no connection to the router");
  }
  int broken = 0;
  int whole = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "chat-" + std::to_string(i);
    REC("client sends %s", id.c_str());
    client->Send(
        "POST /chat/now HTTP/1.1\r\nHost: shop.example\r\n"
        "Papayaarch-Attempt-Id: " +
        id +
        "\r\nPapayaarch-Model: m\r\nPapayaarch-Token-Usage: 60,60\r\n"
        "Papayaarch-Prompt-Prefix: a1:20," +
        std::to_string(1000 + i) +
        ":40\r\nPapayaarch-Deadline-Ms: 12000\r\nContent-Length: 5\r\n\r\n"
        "hello");
    const Message answer = ReadMessage(client.get(), 4000, true);
    const std::string end = "\n\n";
    const bool ends_whole =
        answer.body.size() > end.size() &&
        answer.body.compare(answer.body.size() - 2, 2, end) == 0 &&
        answer.body.find("id: 10\n") != std::string::npos;
    REC("client gets %d for %s, %zu bytes of %s, %s", answer.Status(),
        id.c_str(), answer.body.size(),
        answer.Has("Content-Length") ? answer.Get("Content-Length").c_str()
                                     : "unknown length",
        answer.is_whole ? "complete" : "broken off");
    whole += answer.is_whole && ends_whole ? 1 : 0;
    if (answer.is_whole && answer.Status() == 200 && !ends_whole) {
      REC("ORDER: the stream of %s is complete without its last event",
          id.c_str());
      ++broken;
    }
    if (answer.is_whole) {
      client->Read(100);
    }
    if (!client->in.empty()) {
      REC("MIXED: %zu bytes that are no answer follow that to %s",
          client->in.size(), id.c_str());
      ++broken;
    }
    if (!answer.is_whole || !client->in.empty()) {
      client = std::make_unique<Conn>();
      client->Connect(Ip(1), 8221, 1000);
    }
  }
  REC("%d of %d streams whole, %d faults", whole, kRequests, broken);
  router.Kill();
  if (whole < kRequests / 2) {
    CannotRun("the router does not serve");
  }
  Finish(broken > 0 ? 1 : 0);
}

// A service during a roll-out, with its replicas of two versions.
class Rollout {
 public:
  static constexpr int kReplicas = 3;
  static constexpr int kSeconds = 6;

  explicit Rollout(Store* store) : store_(store) {
    for (int i = 0; i < 2 * kReplicas; ++i) {
      const std::string version = i < kReplicas ? "v2" : "v3";
      replicas_.push_back(std::make_unique<Server>(
          Ip(100 + i), [this, i, version](const std::shared_ptr<Conn>& conn) {
            Serve(conn, InstanceOf(i), version);
          }));
    }
  }
  static std::string InstanceOf(int i) { return "i-" + std::to_string(i); }
  void Register(const std::string& version, const std::string& state) {
    const int first = version == "v2" ? 0 : kReplicas;
    for (int i = first; i < first + kReplicas; ++i) {
      store_->Put(
          "servers", InstanceOf(i),
          Registration("app", replicas_[i]->Address(), version, 6, state));
    }
    REC("replicas of %s register as %s", version.c_str(), state.c_str());
  }
  void Remove(const std::string& version) {
    const int first = version == "v2" ? 0 : kReplicas;
    for (int i = first; i < first + kReplicas; ++i) {
      store_->Delete("servers", InstanceOf(i));
    }
    REC("entries of %s are removed", version.c_str());
  }
  // The replicas of `version` end.
  void Stop(const std::string& version) {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopped_.insert(version);
    REC("replicas of %s end", version.c_str());
  }
  void Order() {
    store_->Put(
        "rollouts", "app",
        {{"service", "app"}, {"target", "v3"}, {"duration_s", kSeconds}});
    REC("operator orders v3 within %d s", kSeconds);
  }
  std::string State() {
    const json::value status = store_->StatusOf("rollouts", "app");
    return status.is_object() && status.as_object().contains("state")
               ? std::string(status.at("state").as_string())
               : "";
  }
  // Waits until the order is over. Returns its state.
  std::string AwaitEnd(int64_t timeout_ms) {
    const int64_t end = NowMs() + timeout_ms;
    while (NowMs() < end && State() != "completed" &&
           State() != "rolled_back") {
      SleepMs(10);
    }
    REC("state of the order: %s", State().c_str());
    return State();
  }

 private:
  bool IsStopped(const std::string& version) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return stopped_.contains(version);
  }
  void Serve(const std::shared_ptr<Conn>& conn,
             const std::string& instance,
             const std::string& version) {
    while (!IsStopped(version)) {
      const Message request = ReadMessage(conn.get(), 60000, false);
      if (!request.is_whole || IsStopped(version)) {
        break;
      }
      SleepMs(10);
      conn->Send(
          Answer(200, request.Get("Papayaarch-Attempt-Id"), instance, "done"));
    }
    conn->Reset();
  }

  Store* const store_;
  std::vector<std::unique_ptr<Server>> replicas_;
  std::mutex mutex_;
  std::set<std::string> stopped_;
};

// Clients that ask again and again, and how they were answered since the last
// call of Take.
class Crowd {
 public:
  Crowd(int clients, int routers) {
    for (int i = 0; i < clients; ++i) {
      std::thread([this, i, routers] { Run(i, i % routers + 1); }).detach();
    }
  }
  struct Count {
    int sent = 0;
    int served = 0;
  };
  Count Take(const char* what) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Count count = std::exchange(count_, Count());
    REC("%s: %d of %d requests served", what, count.served, count.sent);
    return count;
  }

 private:
  void Run(int client, int router) {
    std::unique_ptr<Conn> conn;
    for (int i = 0;; ++i) {
      SleepMs(80);
      if (conn == nullptr) {
        conn = std::make_unique<Conn>();
        if (!conn->Connect(Ip(router), 8221, 500)) {
          conn.reset();
        }
      }
      const std::string id =
          "look-" + std::to_string(client) + "-" + std::to_string(i);
      Message answer;
      if (conn != nullptr &&
          conn->Send("GET /look/up HTTP/1.1\r\nHost: shop.example\r\n"
                     "Papayaarch-Attempt-Id: " +
                     id + "\r\nPapayaarch-Deadline-Ms: 1500\r\n\r\n")) {
        answer = ReadMessage(conn.get(), 2500, true);
      }
      REC("%s at edge-%d is answered %d", id.c_str(), router, answer.Status());
      if (!answer.is_whole ||
          strcasecmp(answer.Get("Connection").c_str(), "close") == 0) {
        conn.reset();
      }
      const std::lock_guard<std::mutex> lock(mutex_);
      ++count_.sent;
      count_.served += answer.Status() == 200 && answer.is_whole ? 1 : 0;
    }
  }

  std::mutex mutex_;
  Count count_;
};

// The store comes back from a copy of the time before an order was completed,
// and all routers lose power at the same moment. The old replicas have ended by
// then.
[[noreturn]] void ForgottenOrder(const Lab& lab) {
  constexpr int64_t kRecoverMs = 12000;
  Store store(Ip(250));
  Rollout rollout(&store);
  rollout.Register("v2", "ready");
  store.Put(
      "config", "main",
      Manifest(7, {Route("look", "/look/", "idempotent", "app", 1500, 100, 2)},
               {PlainService("app")}));
  std::vector<std::unique_ptr<Router>> routers;
  for (int i = 1; i <= 2; ++i) {
    routers.push_back(std::make_unique<Router>(
        lab.program, lab.directory, Ip(i), "edge-" + std::to_string(i)));
    routers.back()->Configure(store.Address(),
                              {Ip(1) + ":8229", Ip(2) + ":8229"});
    routers.back()->Start();
  }
  for (const std::unique_ptr<Router>& router : routers) {
    router->AwaitReady();
  }
  Crowd crowd(16, 2);
  SleepMs(3000);
  rollout.Register("v3", "ready");
  rollout.Order();
  SleepMs(2500);
  const Store::Backup copy = store.Save();
  const int64_t copied = NowMs();
  if (rollout.AwaitEnd(Rollout::kSeconds * 1000) != "completed") {
    CannotRun("the order was not completed");
  }
  rollout.Stop("v2");
  rollout.Remove("v2");
  const Crowd::Count before = crowd.Take("before");
  const bool has_kill = HasTrouble() && Trouble() != "store";
  const bool has_drill = HasTrouble() && Trouble() != "kill";
  if (has_kill) {
    for (const std::unique_ptr<Router>& router : routers) {
      router->Signal(SIGKILL);
      router->Kill();
    }
  }
  store.is_busy = has_drill;
  SleepMs(HasTrouble() ? 1000 : 0);
  if (has_drill) {
    store.Restore(copy);
    store.is_busy = false;
    REC("the store is back from a copy that is %lld ms old",
        static_cast<long long>(NowMs() - copied));
    // What the replicas and their platform wrote since the copy.
    rollout.Register("v3", "ready");
    rollout.Remove("v2");
  }
  if (has_kill) {
    for (const std::unique_ptr<Router>& router : routers) {
      router->settings["bootstrap"] = false;
      router->Start();
    }
  }
  const int64_t back = NowMs();
  bool is_draining = false;
  bool is_gone = false;
  while (NowMs() < back + kRecoverMs) {
    const bool is_rolled_back = rollout.State() == "rolled_back";
    if (is_rolled_back && !is_draining) {
      is_draining = true;
      REC("state of the order: rolled_back");
      SleepMs(1000);
      rollout.Register("v3", "draining");
      SleepMs(2500);
      rollout.Stop("v3");
      rollout.Remove("v3");
      is_gone = true;
    }
    SleepMs(20);
  }
  crowd.Take("until recover_s");
  SleepMs(6000);
  const Crowd::Count after = crowd.Take("after recover_s");
  for (const std::unique_ptr<Router>& router : routers) {
    router->Kill();
  }
  if (before.served * 4 < before.sent || after.sent == 0) {
    CannotRun("the routers did not serve before");
  }
  const bool is_broken = after.served * 4 < after.sent;
  REC("RECOVER is %s; the replicas of v3 are %s", is_broken ? "broken" : "kept",
      is_gone ? "gone" : "there");
  Finish(is_broken ? 1 : 0);
}

// Clients send requests in chunks, with a chunk extension of almost the longest
// body. The platform ends a process that exceeds its memory.
[[noreturn]] void LongExtension(const Lab& lab) {
  constexpr int kRouters = 2;
  constexpr int kRounds = 3;
  // For each router: a zone with 29 clients, 2 machines and a burst of 2.2.
  constexpr int kUploads = 30;
  // Below `max_body_bytes`.
  constexpr size_t kBytes = 4'000'000;
  // Each client sends 64 kB every 20 ms, as on a link of 25 Mbit/s.
  constexpr size_t kPiece = 64'000;
  constexpr int64_t kMemoryKb = 110 * 1024;
  constexpr int64_t kRoundMs = 8000;
  const auto serve = [&](const std::shared_ptr<Conn>& conn,
                         const std::string& instance) {
    while (true) {
      const Message request = ReadMessage(conn.get(), 60000, false);
      if (!request.is_whole) {
        return;
      }
      const std::string id = request.Get("Papayaarch-Attempt-Id");
      REC("replica %s runs %s", instance.c_str(), id.c_str());
      SleepMs(15);
      conn->Send(Answer(200, id, instance, "done"));
    }
  };
  Store store(Ip(250));
  std::vector<std::unique_ptr<Server>> replicas;
  for (int i = 1; i <= 3; ++i) {
    const std::string instance = "i-" + std::to_string(i);
    replicas.push_back(std::make_unique<Server>(
        Ip(100 + i), [&serve, instance](const std::shared_ptr<Conn>& conn) {
          serve(conn, instance);
        }));
    store.Put("servers", instance,
              Registration("app", replicas.back()->Address(), "v1", 6));
  }
  store.Put(
      "config", "main",
      Manifest(7,
               {Route("book", "/book/", "non_idempotent", "app", 8000, 100, 2)},
               {PlainService("app")}));
  std::vector<std::unique_ptr<Router>> routers;
  for (int i = 1; i <= kRouters; ++i) {
    routers.push_back(std::make_unique<Router>(
        lab.program, lab.directory, Ip(i), "edge-" + std::to_string(i)));
    routers.back()->Configure(store.Address(),
                              {Ip(1) + ":8229", Ip(2) + ":8229"});
    routers.back()->Start();
  }
  for (const std::unique_ptr<Router>& router : routers) {
    router->AwaitReady();
  }
  std::atomic<int> answered{0};
  const auto upload = [&](const std::string& ip, const std::string& id) {
    Conn conn;
    if (!conn.Connect(ip, 8221, 1000)) {
      return;
    }
    const std::string filler(kBytes, 'x');
    char size[32];
    snprintf(size, sizeof(size), "%zx\r\n", kBytes);
    const std::string chunk =
        HasTrouble() ? "5;" + filler + "\r\nhello" : size + filler;
    REC("client sends %s", id.c_str());
    bool is_open = conn.Send(
        "POST /book/up HTTP/1.1\r\nHost: shop.example\r\n"
        "Papayaarch-Attempt-Id: " +
        id +
        "\r\nPapayaarch-Deadline-Ms: 8000\r\n"
        "Transfer-Encoding: chunked\r\n\r\n");
    for (size_t at = 0; is_open && at < chunk.size(); at += kPiece) {
      is_open = conn.Send(chunk.substr(at, kPiece));
      SleepMs(20);
    }
    if (is_open) {
      conn.Send("\r\n0\r\n\r\n");
    }
    const Message answer = ReadMessage(&conn, 9000, true);
    answered += answer.Status() > 0 ? 1 : 0;
    REC("%s is answered %d", id.c_str(), answer.Status());
  };
  std::vector<int> ends(kRouters);
  // When the platform starts a killed router again; 0 while it runs.
  std::vector<int64_t> start_at(kRouters);
  int64_t most_kb = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (int r = 0; r < kRouters; ++r) {
      for (int i = 0; i < kUploads; ++i) {
        const std::string id = "upload-" + std::to_string(round) + "-" +
                               std::to_string(r + 1) + "-" + std::to_string(i);
        std::thread(upload, routers[r]->ip(), id).detach();
      }
    }
    const int64_t end = NowMs() + kRoundMs;
    while (NowMs() < end) {
      for (int r = 0; r < kRouters; ++r) {
        if (start_at[r] != 0) {
          if (NowMs() >= start_at[r]) {
            start_at[r] = 0;
            routers[r]->Start();
          }
          continue;
        }
        const int64_t kb = routers[r]->RssKb();
        most_kb = std::max(most_kb, kb);
        if (kb > kMemoryKb) {
          REC("%s uses %lld KB and is killed", routers[r]->name().c_str(),
              static_cast<long long>(kb));
          routers[r]->Kill();
          ++ends[r];
          routers[r]->settings["bootstrap"] = false;
          start_at[r] = NowMs() + 300;
        }
      }
      SleepMs(2);
    }
    for (const std::unique_ptr<Router>& router : routers) {
      router->AwaitReady();
    }
  }
  for (const std::unique_ptr<Router>& router : routers) {
    router->Kill();
  }
  REC("memory up to %lld KB; edge-1 ended %d times, edge-2 %d times; %d of %d "
      "requests answered",
      static_cast<long long>(most_kb), ends[0], ends[1], answered.load(),
      kRounds * kRouters * kUploads);
  const bool is_broken = std::all_of(
      ends.begin(), ends.end(), [](int count) { return count >= kRounds; });
  Finish(is_broken ? 1 : 0);
}

// Not one of the five cases. The registrations of all replicas lapse and return
// one after the other, and the store comes back from a copy that has them all.
// After the next change of any registration, the router sends them nothing.
[[noreturn]] void MarkedReplicas(const Lab& lab) {
  constexpr int kReplicas = 3;
  constexpr int kRequests = 10;
  Store store(Ip(250));
  Server replica(Ip(100), [](const std::shared_ptr<Conn>& conn) {
    while (true) {
      const Message request = ReadMessage(conn.get(), 60000, false);
      if (!request.is_whole) {
        return;
      }
      conn->Send(
          Answer(200, request.Get("Papayaarch-Attempt-Id"), "i", "done"));
    }
  });
  const auto register_one = [&](int i, const std::string& service) {
    store.Put("servers", "i-" + std::to_string(i),
              Registration(service, replica.Address(), "v1", 6));
  };
  for (int i = 0; i < kReplicas; ++i) {
    register_one(i, "app");
  }
  store.Put(
      "config", "main",
      Manifest(7,
               {Route("book", "/book/", "non_idempotent", "app", 1000, 100, 1)},
               {PlainService("app")}));
  Router router(lab.program, lab.directory, Ip(1), "edge-1");
  router.Configure(store.Address(), {});
  router.Start();
  router.AwaitReady();
  SleepMs(2000);
  int sent = 0;
  const auto ask = [&](const char* when) {
    int served = 0;
    for (int i = 0; i < kRequests; ++i) {
      Conn conn;
      conn.Connect(router.ip(), 8221, 500);
      conn.Send(Post("/book/now", "book-" + std::to_string(sent++), 1000));
      served += ReadMessage(&conn, 3000, true).Status() == 200 ? 1 : 0;
    }
    REC("%s: %d of %d served", when, served, kRequests);
    return served;
  };
  for (int i = 0; HasTrouble() && i < kReplicas; ++i) {
    store.Delete("servers", "i-" + std::to_string(i));
    SleepMs(1500);
    register_one(i, "app");
    SleepMs(1500);
  }
  const Store::Backup copy = store.Save();
  SleepMs(3000);
  const int before = ask("before the drill");
  store.is_busy = true;
  SleepMs(500);
  store.Restore(copy);
  store.is_busy = false;
  for (int i = 0; i < kReplicas; ++i) {
    register_one(i, "app");
  }
  SleepMs(3000);
  ask("3 s after the drill");
  register_one(kReplicas, "other");
  SleepMs(12000);
  const int after = ask("12 s after a registration for another service");
  router.Kill();
  if (before < kRequests) {
    CannotRun("the router does not serve");
  }
  Finish(4 * after < before ? 1 : 0);
}

}  // namespace
}  // namespace lab

int main(int argc, char** argv) {
  if (argc != 5) {
    fprintf(stderr, "usage: cases NAME GATEWAY DIRECTORY RECORD\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  lab::Record::Get().Open(argv[4]);
  const lab::Lab lab{.program = argv[2], .directory = argv[3]};
  const std::map<std::string, std::function<void(const lab::Lab&)>> cases = {
      {"late_rejection", &lab::LateRejection},
      {"late_success", &lab::LateSuccess},
      {"resumed_length", &lab::ResumedLength},
      {"forgotten_order", &lab::ForgottenOrder},
      {"long_extension", &lab::LongExtension},
      {"marked_replicas", &lab::MarkedReplicas},
  };
  const auto found = cases.find(argv[1]);
  if (found == cases.end()) {
    fprintf(stderr, "no case %s\n", argv[1]);
    return 2;
  }
  found->second(lab);
}
