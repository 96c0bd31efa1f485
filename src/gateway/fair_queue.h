#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/base_types.h"

namespace monsoonshelf::gateway {

// Decides which requests of a service go first when its targets are full. Load pattern: requests of
// several priorities and teams compete for the same targets, one team sends many times its usual
// rate, and others send a request now and then. Pure logic: the time is passed in.

// Recent requests of each team that were sent to targets of one service by this host, as
// exponentially decayed counts.
struct TeamUse {
  struct Count {
    double requests_ = 0;
    Time updated_{};
  };
  std::unordered_map<std::string, Count> counts_;  // By name of the team.
};

void RecordTeamUse(TeamUse& use, const std::string& team, Time now);
// Returns the decayed count of the team; 0 if it is not known.
double RecentTeamUse(const TeamUse& use, const std::string& team, Time now);

// A request that waits for a target.
struct WaitingRequest {
  int priority_ = 0;     // 0 is the highest.
  double team_use_ = 0;  // RecentTeamUse of its team.
  Time arrived_at_{};
};

// Returns whether `left` is served before `right`: the more urgent one; of the same priority, the
// one whose team has used the service less, in steps that ignore small differences; then the older
// one.
bool IsServedBefore(const WaitingRequest& left, const WaitingRequest& right);

// Returns the index of the request that is served next, std::nullopt if there is none. `turn`
// counts the requests that left the queue: at regular turns the oldest of the least urgent ones
// goes first, so that they are never starved.
std::optional<std::size_t> SelectNext(const std::vector<WaitingRequest>& queue, std::uint64_t turn);

// Returns the index of the request that gives its place in a full queue to `arriving`, which is
// served before it. The oldest of the least urgent ones keeps its
// place. Returns std::nullopt if `arriving` itself has to be rejected.
std::optional<std::size_t> SelectVictim(const std::vector<WaitingRequest>& queue,
                                        const WaitingRequest& arriving);

// Returns whether a request has to leave the queues of targets to more urgent requests of its
// service: some of them were refused in the last second. `refused_more_urgent` is the decayed count
// of those, `random` a number from 0 to 1: a part of the less urgent ones goes on.
bool YieldsToUrgent(double refused_more_urgent, double random);

}  // namespace monsoonshelf::gateway
