#include "gateway/limits.h"

#include <xxhash.h>

#include <algorithm>

namespace monsoonshelf::gateway {

namespace {

// Part of the fleet's allowance that is used. The rest covers hosts that start anew with a full
// bucket, and requests counted in another window than their repeats.
constexpr double kUsedRatio = 0.6;
constexpr double kUsedExtra = 0.5;

double ExtraPerHost(const FleetBounds& bounds, std::size_t hosts) {
  return kUsedExtra * bounds.extra_retries_per_window_ /
         static_cast<double>(std::max<std::size_t>(hosts, 1));
}

double Capacity(const FleetBounds& bounds, std::size_t hosts) {
  return std::max(1.0, ExtraPerHost(bounds, hosts));
}

void Refill(RetryBudget& budget, const FleetBounds& bounds, std::size_t hosts, Time now) {
  if (!budget.started_) {
    budget.started_ = true;
    budget.tokens_ = Capacity(bounds, hosts);
    budget.filled_ = now;
    return;
  }
  const double windows = std::chrono::duration<double>(now - budget.filled_) /
                         std::chrono::duration<double>(bounds.retry_window_);
  budget.filled_ = now;
  budget.tokens_ =
      std::min(Capacity(bounds, hosts), budget.tokens_ + windows * ExtraPerHost(bounds, hosts));
}

}  // namespace

void FillRetryBudget(RetryBudget& budget, const FleetBounds& bounds, std::size_t hosts, Time now) {
  Refill(budget, bounds, hosts, now);
  budget.tokens_ =
      std::min(budget.tokens_ + kUsedRatio * bounds.retry_ratio_, Capacity(bounds, hosts) + 1);
}

bool HasRetry(RetryBudget& budget, const FleetBounds& bounds, std::size_t hosts, Time now) {
  Refill(budget, bounds, hosts, now);
  return budget.tokens_ >= 1;
}

bool TakeRetry(RetryBudget& budget, const FleetBounds& bounds, std::size_t hosts, Time now) {
  if (!HasRetry(budget, bounds, hosts, now)) return false;
  budget.tokens_ -= 1;
  return true;
}

bool IsCold(const ColdState& state, Time now) { return now < state.cold_until_; }

Duration ColdSendInterval(const ServiceSpec& service, const FleetBounds& bounds) {
  constexpr double kSlowestRate = 0.2;  // Per second; a target that bears less is tried this often.
  // Both ends of a second may hold a send, so that one more fits than the rate says.
  const double allowed =
      service.cold_requests_per_second_ * bounds.cold_rate_factor_ + bounds.cold_rate_slack_;
  const double rate =
      std::max(std::min(service.cold_requests_per_second_, allowed / 2 - 1), kSlowestRate);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / rate));
}

HostName ColdTargetOwner(const TargetId& target, const std::vector<HostName>& hosts) {
  HostName owner;
  XXH64_hash_t highest = 0;
  for (const HostName& host : hosts) {
    std::string key = target;
    key.append(" ").append(host);
    const XXH64_hash_t hash = XXH3_64bits(key.data(), key.size());
    if (owner.empty() || hash > highest) {
      owner = host;
      highest = hash;
    }
  }
  return owner;
}

}  // namespace monsoonshelf::gateway
