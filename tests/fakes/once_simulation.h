#ifndef TESTS_FAKES_ONCE_SIMULATION_H_
#define TESTS_FAKES_ONCE_SIMULATION_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/once/claim_coordinator.h"
#include "include/once/ticket_issuer.h"
#include "tests/fakes/fake_object_store.h"

namespace papaya {

// Simulates routers that decide on at-most-once requests, callers that retry
// through any router, and faults, all in virtual time.
class OnceSimulation {
 public:
  struct Faults {
    double lost_message = 0.0;
    Duration max_message_delay = std::chrono::milliseconds(20);
    // Share of requests that are shed after they proceeded.
    double shed = 0.0;
  };

  // One request of one caller with all its attempts.
  struct Call {
    std::string key;
    Ticket ticket;
    bool is_ticketed = false;
    // True if the caller states which attempt is its first. Such a caller only
    // accepts the response to its latest attempt, and it makes no further
    // attempt after a `not-run` response.
    bool declares_first_attempt = false;
    int attempts = 0;
    int dispatches = 0;
    int not_run_responses = 0;
    int ran_responses = 0;
    int unknown_responses = 0;
    TimePoint first_response_time;
    // Attempts accepted by routers that are still alive and have not responded.
    int undecided = 0;
  };

  OnceSimulation(uint64_t seed, int routers)
      : backend(seed), random_(seed ^ 0x5eed), routers_(routers) {
    for (int i = 0; i < routers; ++i) {
      Start(i);
    }
    Tick();
  }

  // Adds a call without attempts and returns its index.
  size_t AddKeyedCall(bool declares_first_attempt) {
    calls.push_back({.key = absl::StrCat("key-", calls.size()),
                     .declares_first_attempt = declares_first_attempt});
    return calls.size() - 1;
  }

  // Adds a call with a ticket issued by `router`. Returns false if the router
  // issued none.
  bool AddTicketedCall(int router) {
    const std::vector<Ticket> tickets =
        routers_[router].ticket_issuer->Issue(1, backend.now);
    if (tickets.empty()) {
      return false;
    }
    calls.push_back({.ticket = tickets.front(), .is_ticketed = true});
    return true;
  }

  // Sends one attempt of `call` through `router`. Does nothing if the caller
  // has stopped retrying.
  void SendAttempt(size_t call, int router) {
    if (calls[call].declares_first_attempt &&
        calls[call].not_run_responses > 0) {
      return;
    }
    const int number = ++calls[call].attempts;
    Deliver(router, Delay(),
            [this, call, router, number] { Accept(call, router, number); });
  }

  // Replaces the router's process by a new one with empty memory.
  void Restart(int router) {
    Stop(router);
    Start(router);
  }

  // Moves the running process to its next incarnation.
  void ChangeIncarnation(int router) {
    Router& changed = routers_[router];
    changed.incarnation = changed.incarnation.Next();
    changed.ticket_issuer->SetIncarnation(changed.incarnation, backend.now);
    changed.claim_coordinator->SetIncarnation(changed.incarnation, backend.now);
  }

  // The router handles nothing for `time`; deliveries wait until then.
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

  // Runs store callbacks through Deliver, so that a paused router receives them
  // after its pause and a restarted one never does.
  class RouterStore : public ObjectStore {
   public:
    RouterStore(OnceSimulation* simulation, int router)
        : simulation_(simulation),
          router_(router),
          store_(&simulation->backend) {}

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
      return [simulation = simulation_, router = router_,
              done = std::move(done)](const absl::StatusOr<T>& result) {
        simulation->Deliver(router, Duration(0),
                            [done, result] { done(result); });
      };
    }

    OnceSimulation* simulation_;
    int router_;
    FakeObjectStore store_;
  };

  struct Router {
    // Number of processes started for this router so far.
    int process_number = 0;
    Incarnation incarnation;
    TimePoint paused_until;
    uint64_t next_request = 1;
    std::unique_ptr<RouterStore> store;
    std::unique_ptr<TicketIssuer> ticket_issuer;
    std::unique_ptr<ClaimCoordinator> claim_coordinator;
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

  // Runs `action` at `router` after `delay`, or at the end of its pause if that
  // is later. Does nothing if the process was replaced by then.
  void Deliver(int router,
               Duration delay,
               const std::function<void()>& action) {
    const int process_number = routers_[router].process_number;
    backend.At(backend.now + delay, [this, router, process_number, action] {
      Router& target = routers_[router];
      if (target.process_number != process_number) {
        return;
      }
      if (target.paused_until > backend.now) {
        Deliver(router, target.paused_until - backend.now, action);
        return;
      }
      action();
    });
  }

  // Like Deliver, but with a random delay and subject to message loss.
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
    routers_[router].claim_coordinator.reset();
    routers_[router].ticket_issuer.reset();
  }

  void Start(int index) {
    Router& router = routers_[index];
    ++router.process_number;
    router.incarnation = router.incarnation.Next();
    router.paused_until = TimePoint();
    router.store = std::make_unique<RouterStore>(this, index);
    const auto is_alive = [this](const RouterId& name, Incarnation number) {
      return IsAlive(name, number);
    };
    router.ticket_issuer = std::make_unique<TicketIssuer>(
        TicketIssuer::Options{.router = NameOf(index),
                              .incarnation = router.incarnation,
                              .lifetime = std::chrono::seconds(4),
                              .outcome_retention = std::chrono::seconds(8),
                              .max_tickets = 200},
        is_alive);
    router.claim_coordinator = std::make_unique<ClaimCoordinator>(
        ClaimCoordinator::Options{.router = NameOf(index),
                                  .incarnation = router.incarnation,
                                  .key_prefix = "fleet/"},
        ClaimCoordinator::Hooks{
            .on_decision =
                [this, index](RequestId id, const OnceDecision& decision) {
                  OnDecision(index, id, decision);
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
      const ClaimReply reply =
          routers_[target].claim_coordinator->OnQuery(query);
      Send(from, [this, from, reply] {
        routers_[from].claim_coordinator->OnReply(reply, backend.now);
      });
    });
  }

  void Accept(size_t call, int entry_router, int number) {
    Router& router = routers_[entry_router];
    const RequestId id(router.next_request++);
    ++calls[call].undecided;
    router.attempts[id] = {.call = call, .number = number};
    if (!calls[call].is_ticketed) {
      router.claim_coordinator->Start(
          {.id = id,
           .claim = ClaimName(AccountId("a"), IdempotencyKey(calls[call].key)),
           .deadline = backend.now + std::chrono::seconds(2),
           .is_first = calls[call].declares_first_attempt && number == 1},
          backend.now);
      return;
    }
    const OnceDecision decision =
        router.ticket_issuer->Decide(calls[call].ticket, backend.now);
    if (decision.action != OnceAction::kForward) {
      OnDecision(entry_router, id, decision);
      return;
    }
    ForwardTicket(call, entry_router, id, IndexOf(decision.router));
  }

  // The entry router responds `unknown` if the issuer has not replied by the
  // deadline.
  void ForwardTicket(size_t call, int entry_router, RequestId id, int issuer) {
    Send(issuer, [this, call, entry_router, id, issuer] {
      Router& router = routers_[issuer];
      const OnceDecision decision =
          router.ticket_issuer->Decide(calls[call].ticket, backend.now);
      const auto reply = [this, entry_router, id](Outcome outcome) {
        Send(entry_router, [this, entry_router, id, outcome] {
          DeliverResponse(entry_router, id, outcome);
        });
      };
      if (decision.action == OnceAction::kProceed) {
        Schedule(call, issuer, reply);
        return;
      }
      const bool is_response = decision.action == OnceAction::kRespond;
      reply(is_response ? decision.outcome : Outcome::kUnknown);
    });
    Deliver(entry_router, std::chrono::seconds(2), [this, entry_router, id] {
      DeliverResponse(entry_router, id, Outcome::kUnknown);
    });
  }

  void OnDecision(int index, RequestId id, const OnceDecision& decision) {
    if (decision.action == OnceAction::kRespond) {
      DeliverResponse(index, id, decision.outcome);
      return;
    }
    const size_t call = routers_[index].attempts.at(id).call;
    const bool is_ticketed = calls[call].is_ticketed;
    Schedule(call, index, [this, index, id, is_ticketed](Outcome outcome) {
      if (!is_ticketed) {
        routers_[index].claim_coordinator->End(id, outcome, {});
      }
      DeliverResponse(index, id, outcome);
    });
  }

  // Simulates a queue delay, then an upstream, and reports the outcome to
  // `done` and, for a ticket, to the ticket issuer.
  void Schedule(size_t call,
                int index,
                const std::function<void(Outcome)>& done) {
    Deliver(index, Delay(), [this, call, index, done] {
      const bool is_shed = random_.Chance(faults.shed);
      calls[call].dispatches += is_shed ? 0 : 1;
      Deliver(index, Delay(), [this, call, index, is_shed, done] {
        const Outcome outcome = is_shed ? Outcome::kNotRun : Outcome::kRan;
        if (calls[call].is_ticketed) {
          routers_[index].ticket_issuer->End(calls[call].ticket, outcome, {});
        }
        done(outcome);
      });
    });
  }

  void DeliverResponse(int index, RequestId id, Outcome outcome) {
    const auto found = routers_[index].attempts.find(id);
    if (found == routers_[index].attempts.end()) {
      return;
    }
    Call& call = calls[found->second.call];
    const bool is_latest = found->second.number == call.attempts;
    routers_[index].attempts.erase(found);
    --call.undecided;
    if (call.declares_first_attempt && !is_latest) {
      return;
    }
    call.not_run_responses += outcome == Outcome::kNotRun ? 1 : 0;
    call.ran_responses += outcome == Outcome::kRan ? 1 : 0;
    call.unknown_responses += outcome == Outcome::kUnknown ? 1 : 0;
    if (call.first_response_time == TimePoint()) {
      call.first_response_time = backend.now;
    }
  }

  void Tick() {
    for (int i = 0; i < router_count(); ++i) {
      if (routers_[i].paused_until <= backend.now) {
        routers_[i].claim_coordinator->OnTick(backend.now);
        routers_[i].ticket_issuer->OnTick(backend.now);
      }
    }
    backend.At(backend.now + std::chrono::milliseconds(20), [this] { Tick(); });
  }

  Random random_;
  std::vector<Router> routers_;
};

}  // namespace papaya

#endif  // TESTS_FAKES_ONCE_SIMULATION_H_
