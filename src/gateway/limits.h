#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/base_types.h"
#include "gateway/gateway_types.h"

namespace monsoonshelf::gateway {

// Limits over all entry hosts, kept without a message: each host takes a fixed part.

// Repeated sends to a service. One bucket per service.
struct RetryBudget {
  double tokens_ = 0;
  Time filled_{};
  bool started_ = false;
};

// A request for the service arrived.
void FillRetryBudget(RetryBudget& budget, const FleetBounds& bounds, std::size_t hosts, Time now);
// Whether one repeated send is left.
bool HasRetry(RetryBudget& budget, const FleetBounds& bounds, std::size_t hosts, Time now);
// Takes one repeated send; false if the budget is spent.
bool TakeRetry(RetryBudget& budget, const FleetBounds& bounds, std::size_t hosts, Time now);

// Sends to one cold target.
struct ColdState {
  Time cold_until_{};
  Time next_send_{};
};

bool IsCold(const ColdState& state, Time now);
// Shortest time between two sends of the host that serves a cold target. While hosts disagree on
// who is alive two of them may serve it, and together they stay within the allowance of the fleet.
Duration ColdSendInterval(const ServiceSpec& service, const FleetBounds& bounds);
// The entry host that alone sends to a cold target: the highest rendezvous hash among the hosts.
HostName ColdTargetOwner(const TargetId& target, const std::vector<HostName>& hosts);

}  // namespace monsoonshelf::gateway
