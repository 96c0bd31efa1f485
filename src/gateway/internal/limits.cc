#include "gateway/limits.h"

#include <xxhash.h>

#include <algorithm>

namespace monsoonshelf::gateway {

namespace {

// Shares of the fleet's retry allowance that the hosts use. The rest covers restarted hosts, which
// begin with a full bucket, and retries that fall into a later window than their requests.
constexpr double kRetryRatioShare = 0.6;
constexpr double kExtraRetryShare = 0.5;

double ExtraRetriesPerHost(const FleetBounds& bounds, std::size_t hosts) {
  return kExtraRetryShare * bounds.extra_retries_per_window_ /
         static_cast<double>(std::max<std::size_t>(hosts, 1));
}

double BucketCapacity(const FleetBounds& bounds, std::size_t hosts) {
  return std::max(1.0, ExtraRetriesPerHost(bounds, hosts));
}

void Refill(RetryBudget& budget, const FleetBounds& bounds, std::size_t hosts, Time now) {
  if (!budget.initialized_) {
    budget.initialized_ = true;
    budget.tokens_ = BucketCapacity(bounds, hosts);
    budget.last_refill_ = now;
    return;
  }
  const double windows = std::chrono::duration<double>(now - budget.last_refill_) /
                         std::chrono::duration<double>(bounds.retry_window_);
  budget.last_refill_ = now;
  budget.tokens_ = std::min(BucketCapacity(bounds, hosts),
                            budget.tokens_ + windows * ExtraRetriesPerHost(bounds, hosts));
}

}  // namespace

void CreditRetryBudget(RetryBudget& budget, const FleetBounds& bounds, std::size_t hosts,
                       Time now) {
  Refill(budget, bounds, hosts, now);
  budget.tokens_ = std::min(budget.tokens_ + kRetryRatioShare * bounds.retry_ratio_,
                            BucketCapacity(bounds, hosts) + 1);
}

bool HasRetryToken(RetryBudget& budget, const FleetBounds& bounds, std::size_t hosts, Time now) {
  Refill(budget, bounds, hosts, now);
  return budget.tokens_ >= 1;
}

bool ConsumeRetryToken(RetryBudget& budget, const FleetBounds& bounds, std::size_t hosts,
                       Time now) {
  if (!HasRetryToken(budget, bounds, hosts, now)) return false;
  budget.tokens_ -= 1;
  return true;
}

bool IsCold(const ColdState& state, Time now) { return now < state.cold_until_; }

Duration ColdSendInterval(const ServiceSpec& service, const FleetBounds& bounds) {
  // Requests per second. A target that allows fewer is still tried at this rate.
  constexpr double kMinRate = 0.2;
  // Two hosts may send to the target, each at half of the limit. A one-second interval may have a
  // request at both ends, which is one more than the rate.
  const double allowed =
      service.cold_requests_per_second_ * bounds.cold_rate_factor_ + bounds.cold_rate_slack_;
  const double rate =
      std::max(std::min(service.cold_requests_per_second_, allowed / 2 - 1), kMinRate);
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
