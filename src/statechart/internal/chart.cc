#include "statechart/chart.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/toml.h"

namespace monsoonshelf::statechart {

namespace {

leaf::error_id Invalid(const std::string& message) {
  return Fail(ResultCode::kChartInvalid, "state chart: " + message);
}

std::string Quoted(std::string_view name) { return "\"" + std::string(name) + "\""; }

Result<void> CheckKeys(const toml::table& table, const std::set<std::string_view>& known) {
  for (const auto& [key, value] : table) {
    if (!known.contains(key.str())) return Invalid("unknown key " + Quoted(key.str()));
  }
  return {};
}

Result<std::string> ReadName(const toml::table& table, std::string_view key) {
  const auto value = table[key].value<std::string>();
  if (!value) return Invalid("key " + Quoted(key) + " is missing or is not a string");
  if (value->empty()) return Invalid("key " + Quoted(key) + " must not be empty");
  return *value;
}

Result<std::vector<std::string>> ReadNames(const toml::node* node, std::string_view key) {
  std::vector<std::string> names;
  const toml::array* array = node == nullptr ? nullptr : node->as_array();
  if (array == nullptr || array->empty())
    return Invalid(Quoted(key) + " must be a non-empty list of names");
  for (const toml::node& element : *array) {
    const auto name = element.value<std::string>();
    if (!name || name->empty()) return Invalid(Quoted(key) + " has an element that is not a name");
    if (std::find(names.begin(), names.end(), *name) != names.end()) {
      return Invalid(Quoted(key) + " lists " + Quoted(*name) + " twice");
    }
    names.push_back(*name);
  }
  return names;
}

Result<std::size_t> ReadState(const Chart& chart, const std::string& name) {
  const auto state = FindState(chart, name);
  if (!state) return Invalid("unknown state " + Quoted(name));
  return *state;
}

std::size_t FindOrAddEvent(Chart& chart, const std::string& name) {
  if (const auto event = FindEvent(chart, name)) return *event;
  chart.events_.push_back(name);
  return chart.events_.size() - 1;
}

Result<void> ReadTransition(Chart& chart, const toml::table& table) {
  BOOST_LEAF_CHECK(CheckKeys(table, {"from", "event", "to"}));
  BOOST_LEAF_AUTO(event_name, ReadName(table, "event"));
  BOOST_LEAF_AUTO(to_name, ReadName(table, "to"));
  BOOST_LEAF_AUTO(to, ReadState(chart, to_name));
  std::vector<std::string> from_names;
  if (table["from"].is_string()) {
    BOOST_LEAF_AUTO(from_name, ReadName(table, "from"));
    from_names.push_back(from_name);
  } else {
    BOOST_LEAF_ASSIGN(from_names, ReadNames(table.get("from"), "from"));
  }
  const std::size_t event = FindOrAddEvent(chart, event_name);
  for (const std::string& from_name : from_names) {
    BOOST_LEAF_AUTO(from, ReadState(chart, from_name));
    if (NextState(chart, from, event)) {
      return Invalid("duplicate transition from " + Quoted(from_name) + " on " +
                     Quoted(event_name));
    }
    chart.transitions_.push_back({from, event, to});
  }
  return {};
}

Result<void> CheckReachable(const Chart& chart) {
  std::set<std::size_t> reachable = {chart.initial_};
  for (std::size_t size = 0; size != reachable.size();) {
    size = reachable.size();
    for (const Transition& transition : chart.transitions_) {
      if (reachable.contains(transition.from_)) reachable.insert(transition.to_);
    }
  }
  for (std::size_t state = 0; state < chart.states_.size(); ++state) {
    if (!reachable.contains(state))
      return Invalid("unreachable state " + Quoted(chart.states_[state]));
  }
  return {};
}

std::optional<std::size_t> FindIndex(const std::vector<std::string>& names, std::string_view name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) return std::nullopt;
  return static_cast<std::size_t>(found - names.begin());
}

Result<toml::table> ParseToml(std::string_view text) {
  toml::parse_result parsed = toml::parse(text);
  if (parsed) return std::move(parsed).table();
  const toml::parse_error& error = parsed.error();
  return Fail(ResultCode::kChartSyntax, "state chart: line " +
                                            std::to_string(error.source().begin.line) + ": " +
                                            std::string(error.description()));
}

}  // namespace

Result<Chart> ParseChart(std::string_view text) {
  BOOST_LEAF_AUTO(table, ParseToml(text));
  BOOST_LEAF_CHECK(CheckKeys(table, {"name", "initial", "states", "transition"}));
  Chart chart;
  BOOST_LEAF_ASSIGN(chart.name_, ReadName(table, "name"));
  BOOST_LEAF_ASSIGN(chart.states_, ReadNames(table.get("states"), "states"));
  BOOST_LEAF_AUTO(initial, ReadName(table, "initial"));
  BOOST_LEAF_ASSIGN(chart.initial_, ReadState(chart, initial));
  if (const toml::node* node = table.get("transition")) {
    const toml::array* transitions = node->as_array();
    if (transitions == nullptr) return Invalid("\"transition\" must be a list of tables");
    for (const toml::node& element : *transitions) {
      const toml::table* transition = element.as_table();
      if (transition == nullptr) return Invalid("\"transition\" must be a list of tables");
      BOOST_LEAF_CHECK(ReadTransition(chart, *transition));
    }
  }
  BOOST_LEAF_CHECK(CheckReachable(chart));
  return chart;
}

std::optional<std::size_t> NextState(const Chart& chart, std::size_t state, std::size_t event) {
  for (const Transition& transition : chart.transitions_) {
    if (transition.from_ == state && transition.event_ == event) return transition.to_;
  }
  return std::nullopt;
}

std::optional<std::size_t> FindState(const Chart& chart, std::string_view name) {
  return FindIndex(chart.states_, name);
}

std::optional<std::size_t> FindEvent(const Chart& chart, std::string_view name) {
  return FindIndex(chart.events_, name);
}

}  // namespace monsoonshelf::statechart
