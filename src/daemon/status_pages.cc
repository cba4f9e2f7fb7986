#include "src/daemon/status_pages.h"

#include <boost/json.hpp>
#include <memory>
#include <set>
#include <vector>

#include "src/daemon/control_plane.h"
#include "src/daemon/scheduler_host.h"

namespace papaya {

namespace {

namespace json = boost::json;

json::object CountsOf(const CallCounts& counts) {
  return {{"sent", counts.sent},
          {"refused", counts.refused},
          {"failed", counts.failed}};
}

json::array NamesOf(const std::vector<RouterId>& routers) {
  json::array names;
  for (const RouterId& router : routers) {
    names.emplace_back(router.value());
  }
  return names;
}

const char* KindName(UpstreamKind kind) {
  return kind == UpstreamKind::kModelEngine ? "engine" : "service";
}

}  // namespace

std::string StatusPages::MakeStatus(const std::string& state) const {
  const RevisionReport report = control_->fleet()->Report();
  const std::shared_ptr<const FleetConfig> config = control_->fleet()->config();
  const Revision own = config == nullptr ? Revision() : config->revision;
  json::array stopped;
  for (const StoppedVersion& fact : control_->fleet()->facts().stopped()) {
    stopped.push_back(json::object{{"note", fact.note.value()},
                                   {"pool", fact.pool.value()},
                                   {"version", fact.version.value()},
                                   {"upstream", fact.upstream.value()},
                                   {"reason", fact.reason}});
  }
  const HttpObjectStore& store = control_->store();
  return json::serialize(
      json::object{{"router", settings_->router.value()},
                   {"state", state},
                   {"revision", own.value()},
                   {"highest_revision", report.highest.value()},
                   {"routers", report.routers.size()},
                   {"routers_in_force", report.CountInForce(report.highest)},
                   {"lacking", NamesOf(report.FindLacking(report.highest))},
                   {"queued", scheduler_->queued()},
                   {"running", scheduler_->running()},
                   {"note_holder", control_->rollout().runner().seen_holder()},
                   {"stopped", stopped},
                   {"store_reads", CountsOf(store.read_counts())},
                   {"store_writes", CountsOf(store.write_counts())},
                   {"store_watches", CountsOf(store.watch_counts())}});
}

std::string StatusPages::MakeRouters() const {
  const RevisionReport report = control_->fleet()->Report();
  json::array rows;
  for (const RouterView& router : control_->fleet()->view().routers) {
    uint64_t revision = 0;
    for (const RouterRevision& entry : report.routers) {
      if (entry.router == router.id) {
        revision = entry.revision.value();
      }
    }
    rows.push_back(json::object{{"router", router.id.value()},
                                {"state", RouterStateName(router.state)},
                                {"zone", router.zone.value()},
                                {"region", router.region.value()},
                                {"address", router.address},
                                {"revision", revision}});
  }
  return json::serialize(json::object{{"routers", rows}});
}

std::string StatusPages::MakeUpstreams() const {
  json::array rows;
  const std::shared_ptr<const FleetConfig> config = control_->fleet()->config();
  if (config != nullptr) {
    for (const UpstreamSpec& upstream : config->upstreams) {
      const bool is_leaving = control_->fleet()->facts().IsLeaving(upstream.id);
      rows.push_back(
          json::object{{"upstream", upstream.id.value()},
                       {"kind", KindName(upstream.kind)},
                       {"pool", upstream.pool.value()},
                       {"version", upstream.version.value()},
                       {"generation", upstream.generation.value()},
                       {"zone", upstream.zone.value()},
                       {"address", upstream.address},
                       {"slots", upstream.slots},
                       {"state", is_leaving ? "leaving" : "active"}});
    }
  }
  return json::serialize(json::object{{"upstreams", rows}});
}

}  // namespace papaya
