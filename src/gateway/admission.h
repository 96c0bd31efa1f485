#pragma once

#include "base/base_types.h"
#include "gateway/placement.h"

namespace monsoonshelf::gateway {

struct Admission {
  bool admitted_ = true;
  Duration retry_after_{};  // When there is likely to be room, if it isn't admitted.
};

// Whether a request that the best target would answer after `expected` is worth sending. Not if the
// time that is left ends before. Not either behind a queue in which it would miss its latency
// objective: under overload such a queue makes every request late, while a short one answers as
// many in time as the targets bear.
Admission Admit(const Candidate& best, const PlacementInputs& inputs, Duration expected,
                Duration time_left, Duration objective_left);

// When a second target is tried while the first one works: early enough for the latency objective,
// not before most requests are answered.
Duration HedgeDelay(Duration work, Duration expected, Duration objective_left);

// Requests of one service in about the last second; older ones lose weight.
struct Turnover {
  double answered_ = 0;
  double refused_ = 0;
  Time updated_{};
};

void CountAnswered(Turnover& turnover, Time now);
void CountRefused(Turnover& turnover, Time now);

// When a refused caller is to return: after `earliest`, and spread over the time that the targets
// need for those that were refused lately.
Duration SpreadRetry(Duration earliest, const Turnover& turnover, Random& random);
// Time to return when no target is known or responds.
Duration RetryAfterNoTarget(Random& random);
// Time to return to an entry host that has just started.
inline constexpr Duration kNotReadyRetry = std::chrono::milliseconds(500);

}  // namespace monsoonshelf::gateway
