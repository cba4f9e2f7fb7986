#ifndef TESTS_FAKES_ONCE_WORLD_H_
#define TESTS_FAKES_ONCE_WORLD_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/once/claim_keeper.h"
#include "include/once/ticket_desk.h"
#include "tests/fakes/fake_object_store.h"

namespace papaya {

// Routers that decide on requests which must not run twice, callers that try
// again through any router, and the faults between them, in virtual time.
class OnceWorld {
 public:
  struct Faults {
    double lost_message = 0.0;
    Duration max_message_delay = std::chrono::milliseconds(20);
    // Share of requests that are refused after they proceeded.
    double shed = 0.0;
  };

  // One request of one caller, over all its attempts.
  struct Call {
    std::string key;
    Ticket ticket;
    bool is_ticketed = false;
    // Says which attempt is its first. Such a caller hears its latest attempt
    // only, and leaves a key of which it was told `not-run`.
    bool declares_first = false;
    int attempts = 0;
    int dispatches = 0;
    int told_not_run = 0;
    int told_ran = 0;
    int told_unknown = 0;
    TimePoint first_told;
    // Attempts that a router, still living, took and has not answered.
    int undecided = 0;
  };

  OnceWorld(uint64_t seed, int routers)
      : backend(seed), random_(seed ^ 0x5eed), routers_(routers) {
    for (int i = 0; i < routers; ++i) {
      Start(i);
    }
    Tick();
  }

  // Adds a call that has not been tried yet; gives its index.
  size_t AddKeyedCall(bool declares_first) {
    calls.push_back({.key = absl::StrCat("key-", calls.size()),
                     .declares_first = declares_first});
    return calls.size() - 1;
  }

  // The same with a ticket issued by `router`; false if none was to be had.
  bool AddTicketedCall(int router) {
    const std::vector<Ticket> tickets =
        routers_[router].desk->Issue(1, backend.now);
    if (tickets.empty()) {
      return false;
    }
    calls.push_back({.ticket = tickets.front(), .is_ticketed = true});
    return true;
  }

  // One attempt of `call` through `router`.
  void Try(size_t call, int router) {
    if (calls[call].declares_first && calls[call].told_not_run > 0) {
      return;
    }
    const int number = ++calls[call].attempts;
    Deliver(router, Delay(),
            [this, call, router, number] { Accept(call, router, number); });
  }

  // A process death and its replacement; what it had in memory is lost.
  void Restart(int router) {
    Stop(router);
    Start(router);
  }

  // The process goes on under a later incarnation.
  void Rename(int router) {
    Router& renamed = routers_[router];
    renamed.incarnation = renamed.incarnation.Next();
    renamed.desk->SetIncarnation(renamed.incarnation, backend.now);
    renamed.keeper->SetIncarnation(renamed.incarnation, backend.now);
  }

  void Pause(int router, Duration time) {
    routers_[router].paused_until = backend.now + time;
  }

  void RunFor(Duration time) { backend.RunUntil(backend.now + time); }

  int router_count() const { return static_cast<int>(routers_.size()); }

  FakeObjectStoreBackend backend;
  Faults faults;
  std::vector<Call> calls;

 private:
  struct Attempt {
    size_t call = 0;
    // Counted from 1 over all attempts of the call.
    int number = 0;
  };

  struct Router;

  // Calls back through the router, so that a paused one hears nothing.
  class RouterStore : public ObjectStore {
   public:
    RouterStore(OnceWorld* world, int router)
        : world_(world), router_(router), store_(&world->backend) {}

    void Get(const std::string& key, GetCallback done) override {
      store_.Get(key, Wrap<StoredObject>(std::move(done)));
    }
    void Put(const ConditionalWrite& write, PutCallback done) override {
      store_.Put(write, Wrap<ObjectVersion>(std::move(done)));
    }
    void List(const std::string& prefix, ListCallback done) override {
      store_.List(prefix, Wrap<std::vector<StoredObject>>(std::move(done)));
    }
    void Watch(const std::string& key,
               ObjectVersion after,
               GetCallback done) override {
      store_.Watch(key, after, Wrap<StoredObject>(std::move(done)));
    }

   private:
    template <typename T>
    std::function<void(absl::StatusOr<T>)> Wrap(
        std::function<void(absl::StatusOr<T>)> done) {
      return [world = world_, router = router_,
              done = std::move(done)](const absl::StatusOr<T>& result) {
        world->Deliver(router, Duration(0), [done, result] { done(result); });
      };
    }

    OnceWorld* world_;
    int router_;
    FakeObjectStore store_;
  };

  struct Router {
    // Counts processes.
    int life = 0;
    Incarnation incarnation;
    TimePoint paused_until;
    uint64_t next_request = 1;
    std::unique_ptr<RouterStore> store;
    std::unique_ptr<TicketDesk> desk;
    std::unique_ptr<ClaimKeeper> keeper;
    std::map<RequestId, Attempt> attempts;
  };

  static WallTime ToWallTime(TimePoint time) {
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
        time.time_since_epoch()));
  }

  static RouterId NameOf(int router) {
    return RouterId(absl::StrCat("r", router));
  }

  int IndexOf(const RouterId& name) const {
    for (int i = 0; i < router_count(); ++i) {
      if (NameOf(i) == name) {
        return i;
      }
    }
    return -1;
  }

  Duration Delay() {
    return SecondsToDuration(ToSeconds(faults.max_message_delay) *
                             random_.Uniform());
  }

  // Runs `action` at `router` after `delay`, or when its pause is over; never
  // if the process has died by then.
  void Deliver(int router,
               Duration delay,
               const std::function<void()>& action) {
    const int life = routers_[router].life;
    backend.At(backend.now + delay, [this, router, life, action] {
      Router& target = routers_[router];
      if (target.life != life) {
        return;
      }
      if (target.paused_until > backend.now) {
        Deliver(router, target.paused_until - backend.now, action);
        return;
      }
      action();
    });
  }

  void Send(int router, const std::function<void()>& action) {
    if (!random_.Chance(faults.lost_message)) {
      Deliver(router, Delay(), action);
    }
  }

  bool IsAlive(const RouterId& name, Incarnation incarnation) const {
    const int index = IndexOf(name);
    return index >= 0 && routers_[index].incarnation == incarnation;
  }

  void Stop(int router) {
    for (const auto& [id, attempt] : routers_[router].attempts) {
      --calls[attempt.call].undecided;
    }
    routers_[router].attempts.clear();
    routers_[router].keeper.reset();
    routers_[router].desk.reset();
  }

  void Start(int index) {
    Router& router = routers_[index];
    ++router.life;
    router.incarnation = router.incarnation.Next();
    router.paused_until = TimePoint();
    router.store = std::make_unique<RouterStore>(this, index);
    const auto is_alive = [this](const RouterId& name, Incarnation number) {
      return IsAlive(name, number);
    };
    router.desk = std::make_unique<TicketDesk>(
        TicketDesk::Options{.router = NameOf(index),
                            .incarnation = router.incarnation,
                            .lifetime = std::chrono::seconds(4),
                            .memory = std::chrono::seconds(8),
                            .max_tickets = 200},
        is_alive);
    router.keeper = std::make_unique<ClaimKeeper>(
        ClaimKeeper::Options{.router = NameOf(index),
                             .incarnation = router.incarnation,
                             .key_prefix = "fleet/"},
        ClaimKeeper::Hooks{
            .decide =
                [this, index](RequestId id, const OnceVerdict& verdict) {
                  OnVerdict(index, id, verdict);
                },
            .send_query =
                [this, index](const RouterId& to, const ClaimQuery& query) {
                  SendQuery(index, to, query);
                },
            .is_alive = is_alive,
            .now = [this] { return backend.now; },
            .wall_now = [this] { return ToWallTime(backend.now); }},
        router.store.get(), Random(random_.Next64()));
  }

  void SendQuery(int from, const RouterId& to, const ClaimQuery& query) {
    const int target = IndexOf(to);
    Send(target, [this, from, target, query] {
      const ClaimReply reply = routers_[target].keeper->OnQuery(query);
      Send(from, [this, from, reply] {
        routers_[from].keeper->OnReply(reply, backend.now);
      });
    });
  }

  void Accept(size_t call, int entry, int number) {
    Router& router = routers_[entry];
    const RequestId id(router.next_request++);
    ++calls[call].undecided;
    router.attempts[id] = {.call = call, .number = number};
    if (!calls[call].is_ticketed) {
      router.keeper->Start(
          {.id = id,
           .claim = ClaimName(AccountId("a"), IdempotencyKey(calls[call].key)),
           .deadline = backend.now + std::chrono::seconds(2),
           .is_first = calls[call].declares_first && number == 1},
          backend.now);
      return;
    }
    const OnceVerdict verdict =
        router.desk->Decide(calls[call].ticket, backend.now);
    if (verdict.action != OnceAction::kForward) {
      OnVerdict(entry, id, verdict);
      return;
    }
    ForwardTicket(call, entry, id, IndexOf(verdict.router));
  }

  // The entry router answers `unknown` if the issuer has not by the deadline.
  void ForwardTicket(size_t call, int entry, RequestId id, int issuer) {
    Send(issuer, [this, call, entry, id, issuer] {
      Router& router = routers_[issuer];
      const OnceVerdict verdict =
          router.desk->Decide(calls[call].ticket, backend.now);
      const auto reply = [this, entry, id](Outcome outcome) {
        Send(entry, [this, entry, id, outcome] { Tell(entry, id, outcome); });
      };
      if (verdict.action == OnceAction::kProceed) {
        Schedule(call, issuer, reply);
        return;
      }
      const bool is_answer = verdict.action == OnceAction::kAnswer;
      reply(is_answer ? verdict.outcome : Outcome::kUnknown);
    });
    Deliver(entry, std::chrono::seconds(2),
            [this, entry, id] { Tell(entry, id, Outcome::kUnknown); });
  }

  void OnVerdict(int index, RequestId id, const OnceVerdict& verdict) {
    if (verdict.action == OnceAction::kAnswer) {
      Tell(index, id, verdict.outcome);
      return;
    }
    const size_t call = routers_[index].attempts.at(id).call;
    const bool is_ticketed = calls[call].is_ticketed;
    Schedule(call, index, [this, index, id, is_ticketed](Outcome outcome) {
      if (!is_ticketed) {
        routers_[index].keeper->End(id, outcome, {});
      }
      Tell(index, id, outcome);
    });
  }

  // A queue, then an upstream, then the outcome; the desk learns it too.
  void Schedule(size_t call,
                int index,
                const std::function<void(Outcome)>& done) {
    Deliver(index, Delay(), [this, call, index, done] {
      const bool is_shed = random_.Chance(faults.shed);
      calls[call].dispatches += is_shed ? 0 : 1;
      Deliver(index, Delay(), [this, call, index, is_shed, done] {
        const Outcome outcome = is_shed ? Outcome::kNotRun : Outcome::kRan;
        if (calls[call].is_ticketed) {
          routers_[index].desk->End(calls[call].ticket, outcome, {});
        }
        done(outcome);
      });
    });
  }

  void Tell(int index, RequestId id, Outcome outcome) {
    const auto found = routers_[index].attempts.find(id);
    if (found == routers_[index].attempts.end()) {
      return;
    }
    Call& call = calls[found->second.call];
    const bool is_latest = found->second.number == call.attempts;
    routers_[index].attempts.erase(found);
    --call.undecided;
    if (call.declares_first && !is_latest) {
      return;
    }
    call.told_not_run += outcome == Outcome::kNotRun ? 1 : 0;
    call.told_ran += outcome == Outcome::kRan ? 1 : 0;
    call.told_unknown += outcome == Outcome::kUnknown ? 1 : 0;
    if (call.first_told == TimePoint()) {
      call.first_told = backend.now;
    }
  }

  void Tick() {
    for (int i = 0; i < router_count(); ++i) {
      if (routers_[i].paused_until <= backend.now) {
        routers_[i].keeper->OnTick(backend.now);
        routers_[i].desk->OnTick(backend.now);
      }
    }
    backend.At(backend.now + std::chrono::milliseconds(20), [this] { Tick(); });
  }

  Random random_;
  std::vector<Router> routers_;
};

}  // namespace papaya

#endif  // TESTS_FAKES_ONCE_WORLD_H_
