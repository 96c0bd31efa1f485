#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "base/base_types.h"
#include "base/enum_names.h"

namespace monsoonshelf::gateway {

// Decides when a request that may be repeated is sent to a second target because the first one is
// slow. Load pattern: a few requests take many times as long as the others, and some machines are
// several times slower for a fraction of a second. Pure logic: the time is passed in.

// Distribution of response times relative to the expected ones, as a decayed histogram.
struct ResponseTimes {
  static constexpr std::size_t kBuckets = 24;
  std::array<double, kBuckets> counts_{};
};

// Records a response after `duration` that was expected after `expected`.
void RecordResponseTime(ResponseTimes& times, Duration duration, Duration expected);
// Returns the factor of the expected time within which the share `quantile` of the responses
// arrived. Few samples count little against an assumed distribution without a long tail.
double ResponseTimeQuantile(const ResponseTimes& times, double quantile);

// Extra sends that one host may still make for a service. Each request earns the share that the
// operator allows, and a started host begins with nothing, so that in any window all hosts together
// make at most that share of their requests, plus one for each host.
struct HedgeBudget {
  double tokens_ = 0;
};

// Adds the allowance of one request.
void EarnHedge(HedgeBudget& budget, double max_share);

enum class HedgeDecision {
  kSend,
  kOverLimit,     // The share of extra work that the operator allows is used up.
  kRetryReserve,  // The rest of the retry budget is kept for repeats after failures.
  kOverload,      // The service rejects requests for lack of room.
  kNoTimeLeft,    // The second target would not respond before the deadline.
};

inline constexpr EnumNames<HedgeDecision, 5> kHedgeDecisionNames = {{
    {HedgeDecision::kSend, "send"},
    {HedgeDecision::kOverLimit, "over_limit"},
    {HedgeDecision::kRetryReserve, "retry_reserve"},
    {HedgeDecision::kOverload, "overload"},
    {HedgeDecision::kNoTimeLeft, "no_time_left"},
}};

struct HedgeInputs {
  // Share of extra sends that the operator allows; empty: only the retry budget limits them.
  std::optional<double> max_share_;
  double retry_tokens_ = 0;               // Of the retry budget of the service at this host.
  double refused_per_second_ = 0;         // Requests of the service that this host rejected.
  Duration service_time_{};               // Mean time on an idle target.
  Duration time_left_ = Duration::max();  // Until the deadline.
};

// Decides whether a second request may be sent now.
HedgeDecision DecideHedge(const HedgeInputs& inputs, const HedgeBudget& budget);
// Consumes the allowance for a second request that is sent.
void ConsumeHedge(HedgeBudget& budget);

// Returns the time after which the second request is due, if the first one is expected to be
// answered after `expected`. With a limit, it is the time within which all but the allowed share of
// the responses arrive, or an earlier one if the request would miss its latency objective by then.
// `default_delay` is the delay without a limit; see HedgeDelay.
Duration LimitedHedgeDelay(const ResponseTimes& times, double max_share, Duration expected,
                           Duration default_delay);

}  // namespace monsoonshelf::gateway
