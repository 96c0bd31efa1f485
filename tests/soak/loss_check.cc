#include "tests/soak/loss_check.h"

#include <algorithm>

#include "base/clock.h"

namespace monsoonshelf::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A host or target is undisturbed if the last unplanned fault ended this long before the request.
constexpr Duration kContactTime = seconds(3);
// A request may cross the closing of an idle connection within this time (lostSlackMs).
constexpr Duration kCrossingTime = milliseconds(200);
// A target that still works in the last sixth of the grace time on a request that was sent at most
// this long after the signal may be too late.
constexpr Duration kLateRequestTime = seconds(3);
constexpr int kLastGraceShare = 6;
// Timeout of the routes, less a margin for timers. An error after it is not a loss.
constexpr Duration kRouteTimeout = milliseconds(1450);

std::string Milliseconds(Duration duration) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count()) + " ms";
}

// Returns the last signal before `time`, or the smallest time if there is none.
Time LastSignal(const StopTimes& stops, Time time) {
  Time last{};
  for (const Time signal : stops.signals_) {
    if (signal <= time) last = signal;
  }
  return last;
}

}  // namespace

void FaultTimes::Begin(Time now) {
  if (spans_.empty() || spans_.back().end_ != Time::max()) spans_.push_back({now});
}

void FaultTimes::End(Time now) {
  if (!spans_.empty() && spans_.back().end_ == Time::max()) spans_.back().end_ = now;
}

void FaultTimes::AddShortFault(Time now) {
  if (spans_.empty() || spans_.back().end_ != Time::max()) spans_.push_back({now, now});
}

bool FaultTimes::Overlaps(Time from, Time to) const {
  return std::any_of(spans_.begin(), spans_.end(), [from, to](const Span& span) {
    return span.begin_ <= to && span.end_ >= from;
  });
}

// A request to an undisturbed host ends with the whole response of an undisturbed target or with a
// rejection. Two exceptions: it crossed the closing of an idle connection (end of stream within
// 200 ms, no target saw it), or its target was still at work in the last sixth of the grace time on
// a request sent at most 3 s after the signal. A partly sent request counts as well: the pause
// between its halves is far below the header timeout.
std::string CheckLoss(const LostRequest& request, const FaultTimes& host_faults,
                      const StopTimes& stops, const std::vector<TargetWork>& work) {
  const Time from = request.first_byte_sent_ - kContactTime;
  if (host_faults.Overlaps(from, request.ended_)) return {};
  for (const TargetWork& item : work) {
    if (item.target_faults_->Overlaps(from, request.ended_)) return {};
  }
  const Duration age = request.ended_ - request.last_byte_sent_;
  const bool responded = request.failure_ == http::Failure::kNone && !request.gave_up_;
  // The timeout counts from the first byte that the host has read.
  if (responded && (work.empty() || request.ended_ - request.first_byte_sent_ >= kRouteTimeout))
    return {};
  const bool crossed = request.ended_after_ - request.last_byte_sent_ <= kCrossingTime;
  if (request.failure_ == http::Failure::kClosed && work.empty() && crossed) return {};
  const Time signal = LastSignal(stops, request.ended_);
  const bool sent_early = request.last_byte_sent_ <= signal + kLateRequestTime;
  for (const TargetWork& item : work) {
    const bool late = item.end_ >= signal + stops.grace_ * (kLastGraceShare - 1) / kLastGraceShare;
    if (signal != Time{} && sent_early && late && request.ended_ <= signal + stops.grace_)
      return {};
  }
  std::string text =
      "lost: " + request.id_ + " at " + request.address_ + ", " + request.description_ +
      ", ended by " +
      (request.gave_up_ ? "the caller"
                        : std::string(NameOf(http::kFailureNames, request.failure_))) +
      " " + Milliseconds(age) + " after its last byte, arrivals " + std::to_string(work.size());
  if (signal != Time{}) {
    text += ", sent " + Milliseconds(request.last_byte_sent_ - signal) + " after SIGTERM";
  }
  return text;
}

}  // namespace monsoonshelf::soak
