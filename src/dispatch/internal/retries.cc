#include "dispatch/internal/retries.h"

#include <algorithm>

#include "dispatch/internal/admission.h"

namespace monsoonshelf::dispatch::internal {

namespace {

// Retries that each arriving call earns.
constexpr double kTokensPerCall = 0.1;

// Maximum burst of retries of a shard after a time with few retries.
constexpr double kMaxTokens = 10;

bool IsRetryable(const Call& call, SendResult result) {
  if (ProvesNotRun(result)) return true;
  if (result == SendResult::kAnswered || result == SendResult::kCancelled) return false;
  return call.idempotent_;
}

}  // namespace

void AddRetryTokens(Dispatcher& dispatcher) {
  dispatcher.retry_tokens_ = std::min(kMaxTokens, dispatcher.retry_tokens_ + kTokensPerCall);
}

bool ConsumeRetry(Dispatcher& dispatcher, PendingCall& pending, SendResult result, Time now) {
  Call& call = pending.call_;
  if (!IsRetryable(call, result)) return false;
  if (call.attempts_left_ <= 0 || call.retry_budget_ <= 0 || call.deadline_ <= now) return false;
  if (dispatcher.retry_tokens_ < 1 || WouldMissDeadline(dispatcher, call, now)) return false;
  dispatcher.retry_tokens_ -= 1;
  --call.retry_budget_;
  if (!ProvesNotRun(result)) pending.may_have_run_ = true;
  return true;
}

bool ProvesNotRun(SendResult result) {
  return result == SendResult::kRefused || result == SendResult::kUnreachable;
}

}  // namespace monsoonshelf::dispatch::internal
