#pragma once

#include <map>
#include <set>
#include <string>

#include "tests/scenario/simulation.h"

namespace monsoonshelf::scenario {

// Links between zones. Peer messages can be lost, duplicated and reordered; connections can only
// fail to open or stop carrying data.
class Network {
 public:
  explicit Network(Simulation& simulation) : simulation_(simulation) {}

  double loss_ = 0;
  double duplication_ = 0;
  Duration jitter_ = std::chrono::microseconds(500);
  std::set<std::string> isolated_;  // Entry hosts cut off from other hosts and the platform.
  std::set<std::string> without_platform_;  // Entry hosts cut off from the platform only.
  std::map<std::string, int> group_;  // By zone, and "platform"; groups do not reach each other.

  Duration Delay(const std::string& zone, const std::string& other) {
    const Duration base =
        zone == other ? std::chrono::microseconds(500) : Duration(std::chrono::milliseconds(4));
    return base + simulation_.Exponential(jitter_);
  }
  bool Connects(const std::string& zone, const std::string& other) const {
    return Group(zone) == Group(other);
  }
  // Calls `arrive` for each copy of a message that arrives.
  void Send(const std::string& zone, const std::string& other, const Simulation::Event& arrive) {
    if (!Connects(zone, other)) return;
    const int copies = simulation_.Uniform() < duplication_ ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (simulation_.Uniform() >= loss_) simulation_.After(Delay(zone, other), arrive);
    }
  }

 private:
  int Group(const std::string& zone) const {
    const auto found = group_.find(zone);
    return found == group_.end() ? 0 : found->second;
  }

  Simulation& simulation_;
};

}  // namespace monsoonshelf::scenario
