#include "src/daemon/control_plane.h"

#include <boost/asio/post.hpp>
#include <set>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/base/stable_hash.h"
#include "include/wire/steady_time.h"

namespace papaya {

namespace {

constexpr std::chrono::milliseconds kControlTickInterval{20};
// Tick interval of the fleet controller, the rollout controller and the
// upstream poller.
constexpr std::chrono::milliseconds kSlowTickInterval{100};
// An upstream that is only marked as leaving in the VM list must get no new
// work after 3 s.
constexpr std::chrono::seconds kVmReadInterval{2};

HttpObjectStoreOptions MakeStoreOptions(const RouterSettings& settings) {
  HttpObjectStoreOptions options;
  options.address = settings.store_address;
  return options;
}

// Returns a seed that differs between routers and between restarts of one
// router.
uint64_t MakeSeed(const RouterSettings& settings,
                  Incarnation incarnation,
                  const char* part) {
  return StableHash(absl::StrCat(settings.router.value(), "/", part),
                    incarnation.value());
}

}  // namespace

ControlPlane::ControlPlane(boost::asio::io_context& context,
                           const RouterSettings& settings,
                           Incarnation incarnation,
                           const std::shared_ptr<const StateChart>& note_chart,
                           Hooks hooks)
    : context_(context),
      timer_(context),
      settings_(settings),
      incarnation_(incarnation),
      hooks_(std::move(hooks)),
      store_(context.get_executor(), MakeStoreOptions(settings)),
      forwards_(
          [this](const RouterId& issuer, const ForwardRequest& request) {
            SendTo(issuer, request);
          },
          [this](const RouterId& router, Incarnation incarnation) {
            return fleet_->IsAlive(router, incarnation);
          }),
      poller_(context,
              {.load = hooks_.load,
               .cache = hooks_.cache,
               .leaving = [this](const UpstreamId& upstream) {
                 fleet_->OnUpstreamLeaving(upstream, SteadyNow());
               }}) {
  MakeOnce();
  MakeRollout(note_chart);
}

ControlPlane::~ControlPlane() = default;

void ControlPlane::Start(const std::string& peer_address) {
  MakeFleet(peer_address);
  Tick();
}

void ControlPlane::Stop() {
  stopped_ = true;
  timer_.cancel();
  fleet_->Leave(SteadyNow());
}

void ControlPlane::OnMessage(const RouterId& from, const PeerMessage& message) {
  if (stopped_) {
    return;
  }
  std::visit([this, &from](const auto& one) { Handle(from, one); }, message);
}

void ControlPlane::SendDemand(const DemandParts& parts) {
  for (const auto& [router, part] : parts) {
    SendTo(router, MakeDemandNotice(part));
  }
}

void ControlPlane::SetDraining() {
  fleet_->SetDraining(SteadyNow());
}

void ControlPlane::CountReply(const ReplySample& sample) {
  if (!rollout_->IsCounting()) {
    return;
  }
  boost::asio::post(context_, [this, sample] { rollout_->OnReply(sample); });
}

void ControlPlane::Handle(const RouterId& from, const MemberMessage& message) {
  fleet_->OnMessage(from, message, SteadyNow());
}

void ControlPlane::Handle(const RouterId& from, const ConfigMessage& message) {
  fleet_->OnMessage(from, message, SteadyNow());
}

void ControlPlane::Handle(const RouterId&, const StatsReport& report) {
  rollout_->OnReport(report);
}

void ControlPlane::Handle(const RouterId& from, const DemandNotice& notice) {
  // Notices of earlier releases carry no incarnation and cannot be interpreted;
  // their senders count as not having reported.
  if (notice.incarnation != Incarnation()) {
    hooks_.demand(demand_names_.Resolve(from, notice));
  }
}

void ControlPlane::Handle(const RouterId&, const ClaimQuery& query) {
  once_->OnQuery(query);
}

void ControlPlane::Handle(const RouterId&, const ClaimReply& reply) {
  once_->OnReply(reply, SteadyNow());
}

void ControlPlane::Handle(const RouterId& from, const ForwardRequest& request) {
  hooks_.forwarded(request, [this, alive = std::weak_ptr<bool>(alive_), from,
                             serial = request.serial](HttpResponse response) {
    boost::asio::post(context_, [this, alive, from, serial,
                                 response = std::move(response)]() mutable {
      if (alive.expired()) {
        return;
      }
      ForwardReply reply{.serial = serial};
      reply.response = std::move(response);
      SendTo(from, reply);
    });
  });
}

void ControlPlane::Handle(const RouterId&, const ForwardReply& reply) {
  forwards_.OnReply(reply);
}

void ControlPlane::MakeOnce() {
  OnceController::Hooks hooks;
  hooks.send_query = [this](const RouterId& to, const ClaimQuery& query) {
    SendTo(to, query);
  };
  hooks.send_reply = [this](const RouterId& to, const ClaimReply& reply) {
    SendTo(to, reply);
  };
  hooks.is_alive = [this](const RouterId& router, Incarnation incarnation) {
    return fleet_->IsAlive(router, incarnation);
  };
  hooks.is_sweeper = [this] { return fleet_->IsCandidate(); };
  hooks.event = hooks_.event;
  once_ = std::make_unique<OnceController>(
      settings_, incarnation_, &store_, std::move(hooks),
      MakeSeed(settings_, incarnation_, "once"));
}

void ControlPlane::MakeRollout(
    const std::shared_ptr<const StateChart>& note_chart) {
  RolloutController::Hooks hooks;
  hooks.send_stats = [this](const RouterId& to, const StatsReport& report) {
    SendTo(to, report);
  };
  hooks.stop = [this](const StopFact& fact) {
    fleet_->Stop(fact, SteadyNow());
  };
  hooks.offer = [this](const FleetConfig& config) {
    fleet_->Offer(config, SteadyNow());
  };
  hooks.event = hooks_.event;
  rollout_ = std::make_unique<RolloutController>(
      context_, settings_, incarnation_, note_chart, &store_, std::move(hooks),
      MakeSeed(settings_, incarnation_, "rollout"));
}

void ControlPlane::MakeFleet(const std::string& peer_address) {
  FleetController::Hooks hooks;
  hooks.send = hooks_.send;
  hooks.publish = [this](std::shared_ptr<const RoutingSnapshot> snapshot) {
    Publish(std::move(snapshot));
  };
  hooks.in_force = [this](const std::shared_ptr<const FleetConfig>& config) {
    rollout_->OnConfig(config);
    hooks_.in_force(config->revision);
  };
  hooks.stopped = [this](const StopFact& fact) { rollout_->OnStopFact(fact); };
  hooks.incarnation_changed = [this](Incarnation incarnation) {
    once_->SetIncarnation(incarnation, SteadyNow());
  };
  hooks.event = hooks_.event;
  fleet_ = std::make_unique<FleetController>(
      settings_, incarnation_, peer_address, &store_, std::move(hooks),
      MakeSeed(settings_, incarnation_, "fleet"), SteadyNow());
}

void ControlPlane::Publish(std::shared_ptr<const RoutingSnapshot> snapshot) {
  snapshot_ = std::move(snapshot);
  demand_names_ = DemandNameResolver(*snapshot_);
  poller_.OnSnapshot(snapshot_);
  hooks_.publish(snapshot_);
}

void ControlPlane::SendTo(const RouterId& router, const PeerMessage& message) {
  const RouterView* view = FindRouter(fleet_->view(), router);
  if (view != nullptr) {
    hooks_.send({.router = router, .address = view->address}, message);
  }
}

void ControlPlane::ScheduleTick() {
  timer_.expires_after(kControlTickInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && !stopped_) {
      Tick();
    }
  });
}

void ControlPlane::Tick() {
  const TimePoint now = SteadyNow();
  once_->OnTick(now);
  forwards_.OnTick(now);
  if (now >= next_slow_tick_) {
    next_slow_tick_ = now + kSlowTickInterval;
    fleet_->OnTick(now);
    rollout_->OnTick(now, fleet_->view(), fleet_->IsCandidate());
    poller_.OnTick(now);
  }
  if (now >= next_vm_read_) {
    next_vm_read_ = now + kVmReadInterval;
    ReadVmList(now);
  }
  ScheduleTick();
}

void ControlPlane::ReadVmList(TimePoint) {
  // Only the configuration readers query the platform; the leaving upstreams
  // that they find reach the other routers as facts.
  if (!fleet_->IsCandidate()) {
    return;
  }
  store_.ListVms([this, alive = std::weak_ptr<bool>(alive_)](
                     const absl::StatusOr<std::vector<PlatformVm>>& vms) {
    if (alive.expired() || !vms.ok()) {
      return;
    }
    std::set<VmId> leaving;
    std::set<VmId> running;
    for (const PlatformVm& vm : *vms) {
      (vm.leaving ? leaving : running).insert(vm.id);
    }
    fleet_->OnVmList(leaving, running, SteadyNow());
  });
}

}  // namespace papaya
