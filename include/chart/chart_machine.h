#ifndef INCLUDE_CHART_CHART_MACHINE_H_
#define INCLUDE_CHART_CHART_MACHINE_H_

#include <memory>
#include <string>

namespace papaya {

class StateChart;

// One thing that lives by a StateChart: holds its state, follows its events.
class ChartMachine {
 public:
  // Starts in the chart's initial state. `chart` must not be null.
  explicit ChartMachine(std::shared_ptr<const StateChart> chart);

  // Starts in `state`, which must be one of the chart's.
  ChartMachine(std::shared_ptr<const StateChart> chart,
               const std::string& state);

  const std::string& state() const { return *state_; }
  bool IsFinal() const;

  // True if Fire(event) would be accepted now.
  bool Accepts(const std::string& event) const;

  // Follows `event`. False, with nothing changed, if the state does not accept
  // it; an event that no state of the chart accepts is a programming error.
  bool Fire(const std::string& event);

 private:
  std::shared_ptr<const StateChart> chart_;
  const std::string* state_;  // owned by the chart
};

}  // namespace papaya

#endif  // INCLUDE_CHART_CHART_MACHINE_H_
