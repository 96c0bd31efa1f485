#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/base_types.h"
#include "gateway/gateway_types.h"

namespace monsoonshelf::gateway {

// Limits for the whole fleet that need no messages between entry hosts: each host enforces a fixed
// share. The parameter `hosts` is the number of entry hosts in the fleet.

// Token bucket for the retries of one service on one entry host.
struct RetryBudget {
  double tokens_ = 0;
  Time last_refill_{};
  bool initialized_ = false;
};

// Adds the retry allowance that one new request of the service earns.
void CreditRetryBudget(RetryBudget& budget, const FleetBounds& bounds, std::size_t hosts, Time now);
// Refills the bucket and returns whether it holds a token.
bool HasRetryToken(RetryBudget& budget, const FleetBounds& bounds, std::size_t hosts, Time now);
// Consumes the token for one retry. Returns false if the budget is exhausted.
bool ConsumeRetryToken(RetryBudget& budget, const FleetBounds& bounds, std::size_t hosts, Time now);

// Rate limit for requests to a target that is cold, which means that it is still warming up.
struct ColdState {
  Time cold_until_{};
  Time next_send_{};
};

bool IsCold(const ColdState& state, Time now);
// Returns the minimum time between two requests of one host to a cold target. Two hosts may send to
// the same target while they disagree on which hosts are alive; together they stay within the limit
// of the fleet.
Duration ColdSendInterval(const ServiceSpec& service, const FleetBounds& bounds);
// Returns the only entry host that sends to a cold target: the one with the highest rendezvous
// hash. Returns an empty name if `hosts` is empty.
HostName ColdTargetOwner(const TargetId& target, const std::vector<HostName>& hosts);

}  // namespace monsoonshelf::gateway
