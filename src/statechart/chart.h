#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace monsoonshelf::statechart {

struct Transition {
  std::size_t from_ = 0;   // Index in Chart::states_.
  std::size_t event_ = 0;  // Index in Chart::events_.
  std::size_t to_ = 0;     // Index in Chart::states_.
};

// A validated state chart. An event without a transition leaves the state unchanged.
struct Chart {
  std::string name_;
  std::vector<std::string> states_;
  std::vector<std::string> events_;  // In the order of their first transition.
  std::size_t initial_ = 0;          // Index in states_.
  std::vector<Transition> transitions_;
};

// Parses a chart from TOML text:
//   name = "door"
//   initial = "closed"
//   states = ["closed", "open"]
//   [[transition]]
//   from = "closed"     # or a list of states
//   event = "push"
//   to = "open"
// Errors: kChartSyntax if the text is not TOML; kChartInvalid for missing or unknown keys, unknown
// states, duplicate states or transitions, unreachable states, and events without names.
Result<Chart> ParseChart(std::string_view text);

// Returns the index of the state after an event, or std::nullopt if the state has no transition for
// the event.
std::optional<std::size_t> NextState(const Chart& chart, std::size_t state, std::size_t event);

// Return the index of a name, or std::nullopt if the chart does not have it.
std::optional<std::size_t> FindState(const Chart& chart, std::string_view name);
std::optional<std::size_t> FindEvent(const Chart& chart, std::string_view name);

}  // namespace monsoonshelf::statechart
