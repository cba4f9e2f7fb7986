#include "include/daemon/router_daemon.h"

#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/chart/state_chart.h"
#include "src/daemon/router_impl.h"

namespace papaya {

namespace {

// In the order of the parameters of Impl.
constexpr const char* kCharts[] = {"request", "router", "release_note"};

std::string ChartPath(const RouterSettings& settings, const std::string& name) {
  return absl::StrCat(settings.chart_directory, "/", name, ".chart");
}

}  // namespace

absl::StatusOr<std::unique_ptr<RouterDaemon>> RouterDaemon::Create(
    const RouterSettings& settings,
    Logger* logger) {
  std::vector<std::shared_ptr<const StateChart>> charts;
  for (const char* name : kCharts) {
    absl::StatusOr<StateChart> chart =
        StateChart::Load(ChartPath(settings, name));
    if (!chart.ok()) {
      return chart.status();
    }
    charts.push_back(std::make_shared<const StateChart>(*std::move(chart)));
  }
  auto impl =
      std::make_unique<Impl>(settings, logger, charts[0], charts[1], charts[2]);
  return std::unique_ptr<RouterDaemon>(new RouterDaemon(std::move(impl)));
}

RouterDaemon::RouterDaemon(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

RouterDaemon::~RouterDaemon() = default;

absl::Status RouterDaemon::Start() {
  return impl_->Start();
}

void RouterDaemon::Drain() {
  impl_->Drain();
}

void RouterDaemon::Wait() {
  impl_->Wait();
}

bool RouterDaemon::IsReady() const {
  return impl_->IsReady();
}

uint16_t RouterDaemon::caller_port() const {
  return impl_->caller_port();
}

uint16_t RouterDaemon::operator_port() const {
  return impl_->operator_port();
}

uint16_t RouterDaemon::peer_port() const {
  return impl_->peer_port();
}

}  // namespace papaya
