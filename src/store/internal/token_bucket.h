#pragma once

#include <algorithm>

#include "base/base_types.h"

namespace monsoonshelf::store::detail {

// Token bucket for calls.
struct CallBudget {
  double per_second_ = 0;
  double burst_ = 0;
  double tokens_ = 0;
  Time updated_{};
};

inline bool TakeToken(CallBudget& budget, Time now) {
  const std::chrono::duration<double> elapsed = now - budget.updated_;
  budget.tokens_ = std::min(budget.burst_, budget.tokens_ + elapsed.count() * budget.per_second_);
  budget.updated_ = now;
  if (budget.tokens_ < 1) return false;
  budget.tokens_ -= 1;
  return true;
}

}  // namespace monsoonshelf::store::detail
