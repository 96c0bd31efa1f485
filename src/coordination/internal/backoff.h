#pragma once

#include <algorithm>

#include "base/base_types.h"

namespace monsoonshelf::coordination::internal {

// Delays that double between attempts, with jitter so that hosts do not retry together.
class Backoff {
 public:
  Backoff(Duration first, Duration last) : first_(first), last_(last) {}

  Duration Next(Random& random) {
    current_ = std::clamp(current_ * 2, first_, last_);
    return Duration(std::uniform_int_distribution<Duration::rep>(current_.count() / 2,
                                                                 current_.count())(random));
  }
  void Reset() { current_ = Duration::zero(); }

 private:
  Duration first_;
  Duration last_;
  Duration current_{};
};

}  // namespace monsoonshelf::coordination::internal
