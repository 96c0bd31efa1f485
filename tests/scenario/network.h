#pragma once

#include <map>
#include <set>
#include <string>

#include "tests/scenario/simulation.h"

namespace monsoonshelf::scenario {

// The network between zones. Peer messages can be lost, duplicated and reordered. Connections
// cannot lose single messages; they fail to open or stop carrying data.
class Network {
 public:
  explicit Network(Simulation& simulation) : simulation_(simulation) {}

  double loss_probability_ = 0;
  double duplication_probability_ = 0;
  Duration mean_jitter_ = std::chrono::microseconds(500);
  // Entry hosts that reach neither other hosts nor the platform. Targets and callers stay
  // reachable.
  std::set<std::string> isolated_hosts_;
  std::set<std::string> without_platform_;  // Entry hosts that do not reach the platform.
  std::map<std::string, int> groups_;       // Partition by zone name or "platform"; 0 if missing.

  // Returns a random one-way delay between two zones.
  Duration Delay(const std::string& zone, const std::string& other) {
    const Duration base =
        zone == other ? std::chrono::microseconds(500) : Duration(std::chrono::milliseconds(4));
    return base + simulation_.Exponential(mean_jitter_);
  }
  // Whether both zones are in the same group, that is, no partition separates them.
  bool AreConnected(const std::string& zone, const std::string& other) const {
    return GroupOf(zone) == GroupOf(other);
  }
  // Sends a peer message. Calls `on_arrival` for each copy that arrives: none, one or two.
  void Send(const std::string& zone, const std::string& other,
            const Simulation::Event& on_arrival) {
    if (!AreConnected(zone, other)) return;
    const int copies = simulation_.Uniform() < duplication_probability_ ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (simulation_.Uniform() >= loss_probability_)
        simulation_.ScheduleAfter(Delay(zone, other), on_arrival);
    }
  }

 private:
  int GroupOf(const std::string& zone) const {
    const auto found = groups_.find(zone);
    return found == groups_.end() ? 0 : found->second;
  }

  Simulation& simulation_;
};

}  // namespace monsoonshelf::scenario
