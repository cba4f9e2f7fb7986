#include "src/daemon/fleet_controller.h"

#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/base/random.h"

namespace papaya {

namespace {

// Membership and ConfigSpreader need different seeds; otherwise both would draw
// the same sequence of random numbers.
constexpr uint64_t kSpreaderSeedXor = 0x9e3779b97f4a7c15;

Membership::Options MakeMemberOptions(const RouterSettings& settings,
                                      Incarnation incarnation,
                                      const std::string& peer_address) {
  Membership::Options options;
  options.self = settings.router;
  options.incarnation = incarnation;
  options.address = peer_address;
  options.region = settings.region;
  options.zone = settings.zone;
  options.seeds = settings.seeds;
  return options;
}

ConfigSpreader::Options MakeSpreaderOptions(const RouterSettings& settings) {
  ConfigSpreader::Options options;
  options.self = settings.router;
  options.store_key = absl::StrCat(settings.store_prefix, "/config");
  return options;
}

// Includes draining routers because their running requests still occupy slots.
std::vector<RouterLocation> LocationsOf(const FleetView& view) {
  std::vector<RouterLocation> locations;
  locations.reserve(view.routers.size());
  for (const RouterView& router : view.routers) {
    locations.push_back({.id = router.id, .zone = router.zone});
  }
  return locations;
}

}  // namespace

FleetController::FleetController(const RouterSettings& settings,
                                 Incarnation incarnation,
                                 const std::string& peer_address,
                                 ObjectStore* store,
                                 Hooks hooks,
                                 uint64_t seed,
                                 TimePoint now)
    : settings_(settings), hooks_(std::move(hooks)), now_(now) {
  Membership::Hooks member_hooks;
  member_hooks.send = [this](const PeerAddress& to,
                             const MemberMessage& message) {
    hooks_.send(to, message);
  };
  member_hooks.view_changed = [this](const FleetView& view) {
    if (spreader_ != nullptr) {
      spreader_->OnView(view, now_);
      Publish();
    }
  };
  member_hooks.incarnation_changed = hooks_.incarnation_changed;
  member_hooks.event = hooks_.event;
  membership_ = std::make_unique<Membership>(
      MakeMemberOptions(settings, incarnation, peer_address),
      std::move(member_hooks), Random(seed), now);

  ConfigSpreader::Hooks spreader_hooks;
  spreader_hooks.send = [this](const RouterId& to,
                               const ConfigMessage& message) {
    const RouterView* router = FindRouter(view(), to);
    if (router != nullptr) {
      hooks_.send({.router = to, .address = router->address}, message);
    }
  };
  spreader_hooks.in_force =
      [this](const std::shared_ptr<const FleetConfig>& config) {
        // Publish first, so that a router never reports itself as ready without
        // a snapshot to route by.
        Publish();
        hooks_.in_force(config);
      };
  spreader_hooks.facts_changed = [this](const FactSet& facts) {
    OnFacts(facts);
  };
  spreader_hooks.event = hooks_.event;
  spreader_ = std::make_unique<ConfigSpreader>(
      MakeSpreaderOptions(settings), store, std::move(spreader_hooks),
      Random(seed ^ kSpreaderSeedXor), now);
}

FleetController::~FleetController() = default;

void FleetController::OnTick(TimePoint now) {
  now_ = now;
  membership_->OnTick(now);
  spreader_->OnTick(now);
}

void FleetController::OnMessage(const RouterId& from,
                                const MemberMessage& message,
                                TimePoint now) {
  now_ = now;
  membership_->OnMessage(from, message, now);
}

void FleetController::OnMessage(const RouterId& from,
                                const ConfigMessage& message,
                                TimePoint now) {
  now_ = now;
  spreader_->OnMessage(from, message, now);
}

void FleetController::OnVmList(const std::set<VmId>& leaving,
                               const std::set<VmId>& running,
                               TimePoint now) {
  now_ = now;
  std::vector<RouterId> routers;
  routers.reserve(running.size());
  for (const VmId& vm : running) {
    routers.emplace_back(vm.value());
  }
  membership_->OnVmList(routers, now);
  const std::shared_ptr<const FleetConfig> config = spreader_->config();
  if (config == nullptr ||
      (leaving == leaving_vms_ && config->revision == leaving_revision_)) {
    return;
  }
  leaving_vms_ = leaving;
  leaving_revision_ = config->revision;
  for (const UpstreamSpec& upstream : config->upstreams) {
    if (leaving.contains(upstream.vm)) {
      OnUpstreamLeaving(upstream.id, now);
    }
  }
}

void FleetController::OnUpstreamLeaving(const UpstreamId& upstream,
                                        TimePoint now) {
  now_ = now;
  const std::shared_ptr<const FleetConfig> config = spreader_->config();
  if (config == nullptr || spreader_->facts().IsLeaving(upstream)) {
    return;
  }
  spreader_->AddFact(LeavingUpstream{.id = upstream, .since = config->revision},
                     now);
}

void FleetController::Stop(const StopFact& fact, TimePoint now) {
  now_ = now;
  const std::shared_ptr<const FleetConfig> config = spreader_->config();
  if (config == nullptr) {
    return;
  }
  spreader_->AddFact(StoppedVersion{.note = fact.note,
                                    .pool = fact.pool,
                                    .version = fact.version,
                                    .upstream = fact.upstream,
                                    .revision = config->revision,
                                    .reason = FormatStopFact(fact)},
                     now);
}

void FleetController::Offer(const FleetConfig& config, TimePoint now) {
  now_ = now;
  spreader_->Offer(std::make_shared<const FleetConfig>(config), now);
}

bool FleetController::IsAlive(const RouterId& router,
                              Incarnation incarnation) const {
  const RouterView* found = FindRouter(view(), router);
  return found != nullptr && found->incarnation == incarnation &&
         found->state != RouterState::kDead;
}

void FleetController::OnFacts(const FactSet& facts) {
  std::set<StopFact> current;
  for (const StoppedVersion& stopped : facts.stopped()) {
    std::optional<StopFact> fact = ParseStopFact(stopped.reason);
    if (fact.has_value()) {
      current.insert(std::move(*fact));
    }
  }
  stops_ = StopSet();
  for (const StopFact& fact : current) {
    stops_.Add(fact);
    if (!known_stops_.contains(fact)) {
      hooks_.stopped(fact);
    }
  }
  known_stops_ = std::move(current);
  Publish();
}

void FleetController::Publish() {
  const std::shared_ptr<const FleetConfig> config =
      spreader_ == nullptr ? nullptr : spreader_->config();
  if (config == nullptr) {
    return;
  }
  RoutingInput input;
  input.config = std::make_shared<const FleetConfig>(stops_.Apply(*config));
  for (const auto& [upstream, since] : spreader_->facts().leaving()) {
    input.leaving.push_back(upstream);
  }
  input.self = {.id = settings_.router, .zone = settings_.zone};
  input.routers = LocationsOf(view());
  hooks_.publish(RoutingSnapshot::Build(input));
}

}  // namespace papaya
