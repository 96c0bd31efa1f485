#pragma once

#include <algorithm>

#include "base/base_types.h"

namespace monsoonshelf::coordination::internal {

// Exponential back-off between `first` and `last`. Each delay is a random value between half the
// current delay and all of it, to keep hosts from retrying at the same time.
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
