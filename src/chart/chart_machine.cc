#include "include/chart/chart_machine.h"

#include <cassert>
#include <utility>

#include "include/chart/state_chart.h"

namespace papaya {

ChartMachine::ChartMachine(std::shared_ptr<const StateChart> chart)
    : chart_(std::move(chart)), state_(&chart_->initial()) {}

ChartMachine::ChartMachine(std::shared_ptr<const StateChart> chart,
                           const std::string& state)
    : chart_(std::move(chart)), state_(chart_->FindState(state)) {
  assert(state_ != nullptr);
}

bool ChartMachine::IsFinal() const {
  return chart_->IsFinal(*state_);
}

bool ChartMachine::Accepts(const std::string& event) const {
  return chart_->Next(*state_, event) != nullptr;
}

bool ChartMachine::Fire(const std::string& event) {
  assert(chart_->HasEvent(event));
  const std::string* next = chart_->Next(*state_, event);
  if (next == nullptr) {
    return false;
  }
  state_ = next;
  return true;
}

}  // namespace papaya
