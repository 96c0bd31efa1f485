#pragma once

#include <array>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "base/result.h"
#include "statechart/chart.h"

namespace monsoonshelf::statechart {

// A state chart whose states and events are the enums `State` and `Event`.
template <typename State, std::size_t kStates, typename Event, std::size_t kEvents>
class Machine {
 public:
  using StateNames = EnumNames<State, kStates>;
  using EventNames = EnumNames<Event, kEvents>;

  // Parses a chart. Error: kChartInvalid if its states and events differ from the given names, so
  // that a chart always matches the code; otherwise as for ParseChart.
  static Result<Machine> Load(std::string_view text, const StateNames& states,
                              const EventNames& events) {
    BOOST_LEAF_AUTO(chart, ParseChart(text));
    if (chart.states_.size() != kStates || chart.events_.size() != kEvents) {
      return Fail(ResultCode::kChartInvalid,
                  "chart " + chart.name_ + ": found " + std::to_string(chart.states_.size()) +
                      " states and " + std::to_string(chart.events_.size()) +
                      " events, which differs from the enums in the code");
    }
    Machine machine;
    for (const auto& [state, state_name] : states) {
      BOOST_LEAF_AUTO(from, RequireIndex(FindState(chart, state_name), chart, state_name));
      if (from == chart.initial_) machine.initial_ = state;
      for (const auto& [event, event_name] : events) {
        BOOST_LEAF_AUTO(index, RequireIndex(FindEvent(chart, event_name), chart, event_name));
        const auto to = statechart::NextState(chart, from, index);
        const auto& to_name = chart.states_[to.value_or(from)];
        const auto to_state = ValueOf(states, to_name);
        if (!to_state) {
          return Fail(ResultCode::kChartInvalid,
                      "chart " + chart.name_ + ": state not in the code: \"" + to_name + "\"");
        }
        machine.next_[IndexOf(state)][IndexOf(event)] = *to_state;
      }
    }
    return machine;
  }

  State Initial() const { return initial_; }

  // Returns the state after an event, or `state` if the chart has no transition for the event.
  State Next(State state, Event event) const { return next_[IndexOf(state)][IndexOf(event)]; }

 private:
  template <typename Enum>
  static std::size_t IndexOf(Enum value) {
    return static_cast<std::size_t>(value);
  }

  static Result<std::size_t> RequireIndex(std::optional<std::size_t> index, const Chart& chart,
                                          std::string_view name) {
    if (index) return *index;
    return Fail(ResultCode::kChartInvalid,
                "chart " + chart.name_ + ": missing state or event \"" + std::string(name) + "\"");
  }

  State initial_{};
  std::array<std::array<State, kEvents>, kStates> next_{};
};

}  // namespace monsoonshelf::statechart
