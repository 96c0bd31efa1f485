#include "dispatch/internal/retries.h"

#include <algorithm>

#include "dispatch/internal/admission.h"

namespace monsoonshelf::dispatch::internal {

namespace {

constexpr double kTokensPerCall = 0.1;

// Retries that a shard may send in a burst after quiet times.
constexpr double kMaxTokens = 10;

bool MayRunAgain(const Call& call, SendResult result) {
  if (SurelyNotRun(result)) return true;
  if (result == SendResult::kAnswered || result == SendResult::kCancelled) return false;
  return call.idempotent_;
}

}  // namespace

void EarnRetryTokens(Dispatcher& dispatcher) {
  dispatcher.retry_tokens_ = std::min(kMaxTokens, dispatcher.retry_tokens_ + kTokensPerCall);
}

bool TakeRetry(Dispatcher& dispatcher, WaitingCall& waiting, SendResult result, Time now) {
  Call& call = waiting.call_;
  if (!MayRunAgain(call, result)) return false;
  if (call.attempts_left_ <= 0 || call.retry_budget_ <= 0 || call.deadline_ <= now) return false;
  if (dispatcher.retry_tokens_ < 1 || TooLateToSend(dispatcher, call, now)) return false;
  dispatcher.retry_tokens_ -= 1;
  --call.retry_budget_;
  if (!SurelyNotRun(result)) waiting.may_have_run_ = true;
  return true;
}

bool SurelyNotRun(SendResult result) {
  return result == SendResult::kRefused || result == SendResult::kUnreachable;
}

}  // namespace monsoonshelf::dispatch::internal
