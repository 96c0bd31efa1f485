#pragma once

#include <algorithm>

#include "base/base_types.h"

namespace monsoonshelf::coordination::internal {

// Token bucket in bytes.
class ByteBudget {
 public:
  ByteBudget(double bytes_per_second, double burst)
      : rate_(bytes_per_second), burst_(burst), bytes_(burst) {}

  // Returns true if tokens are left. The next message may consume more than what is left.
  bool HasBudget(Time now) {
    const auto seconds = std::chrono::duration<double>(now - last_).count();
    bytes_ = std::min(burst_, bytes_ + std::max(0.0, seconds) * rate_);
    last_ = now;
    return bytes_ > 0;
  }
  void Consume(std::size_t bytes) { bytes_ -= static_cast<double>(bytes); }

 private:
  double rate_;
  double burst_;
  double bytes_;
  Time last_{};
};

}  // namespace monsoonshelf::coordination::internal
