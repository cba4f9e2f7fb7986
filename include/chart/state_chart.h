#ifndef INCLUDE_CHART_STATE_CHART_H_
#define INCLUDE_CHART_STATE_CHART_H_

#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

namespace papaya {

// A life cycle read from a file: states, the events that each accepts, and the
// state that each event leads to. Immutable; shared freely.
//
// The file is INI:
//
//   [chart]
//   name = request
//   initial = received
//
//   [state received]
//   queue = queued
//   refuse = refused
//
//   [state refused]
//   final = yes
class StateChart {
 public:
  // Reads a chart. Fails with kInvalidArgument and a line `file:line: fault`
  // for each fault: a target that is no state, a state that can't be reached,
  // a state neither final nor with a transition, a final state with one, a
  // transition without target, a missing name or initial state.
  static absl::StatusOr<StateChart> Parse(const std::string& text,
                                          const std::string& file);

  // Reads the chart file at `path`.
  static absl::StatusOr<StateChart> Load(const std::string& path);

  const std::string& name() const { return name_; }
  const std::string& initial() const { return initial_; }

  // Names of all states, sorted.
  std::vector<std::string> states() const;

  // The chart's own copy of the name `state`; null if it is no state.
  const std::string* FindState(const std::string& state) const;

  // True if `state` accepts no event any more. It must be a state.
  bool IsFinal(const std::string& state) const;

  // The state that `event` leads to from `state`; null if not accepted there.
  const std::string* Next(const std::string& state,
                          const std::string& event) const;

  // True if some state accepts `event`.
  bool HasEvent(const std::string& event) const;

 private:
  struct State {
    bool is_final = false;
    std::map<std::string, std::string> transitions;
  };

  std::string name_;
  std::string initial_;
  std::map<std::string, State> states_;
};

}  // namespace papaya

#endif  // INCLUDE_CHART_STATE_CHART_H_
