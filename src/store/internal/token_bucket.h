#pragma once

#include <algorithm>

#include "base/base_types.h"

namespace monsoonshelf::store::detail {

// Token bucket that limits the rate of calls to the platform.
struct TokenBucket {
  double per_second_ = 0;
  double burst_ = 0;
  double tokens_ = 0;
  Time refilled_{};
};

// Refills the bucket up to `now` and takes a token. Returns false if there is none.
inline bool TakeToken(TokenBucket& bucket, Time now) {
  const std::chrono::duration<double> elapsed = now - bucket.refilled_;
  bucket.tokens_ = std::min(bucket.burst_, bucket.tokens_ + elapsed.count() * bucket.per_second_);
  bucket.refilled_ = now;
  if (bucket.tokens_ < 1) return false;
  bucket.tokens_ -= 1;
  return true;
}

}  // namespace monsoonshelf::store::detail
