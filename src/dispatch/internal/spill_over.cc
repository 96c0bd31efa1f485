#include "dispatch/internal/spill_over.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>

namespace monsoonshelf::dispatch::internal {

namespace {

using std::chrono::milliseconds;

// The forward share rises from 0 to 1 in 0.2 s of continuous demand, and halves on each sign of
// overload in the other zone. With a rise time of 1 s, a shard that lost half its capacity to a
// slow target had a p99 latency 10% higher.
constexpr double kShareRisePerUs = 5e-6;
constexpr double kInitialShare = 0.05;
constexpr double kShareDecreaseFactor = 0.5;

// If demand was interrupted for longer than kMaxRiseGap, the share has decayed with the time
// constant kShareDecayUs.
constexpr Duration kMaxRiseGap = milliseconds(50);
constexpr double kShareDecayUs = 1e6;

// Time after which a call that was not selected by the forward share is considered again.
constexpr Duration kSpillRetryDelay = milliseconds(5);

// Time without forwarding to a zone after it refused a call: 1.5 times the round trip.
constexpr Duration kForwardRefusalPause = milliseconds(15);

// Peers send the load of a shard when it changes and every 20 s. An older load means that two of
// these messages were lost or that the zone has no dispatcher.
constexpr Duration kMaxRemoteLoadAge = std::chrono::seconds(45);

double Microseconds(Duration duration) { return static_cast<double>(duration.count()); }

bool MayLeaveZone(const Call& call) {
  return !call.forwarded_ && call.zone_preference_ != records::ZonePreference::kOwnOnly;
}

bool IsEligibleZone(const PendingCall& pending, const RemoteState& remote, Time now) {
  const auto& tried = pending.refused_zones_;
  return remote.load_.ready_targets_ > 0 && now - remote.update_time_ < kMaxRemoteLoadAge &&
         std::find(tried.begin(), tried.end(), remote.load_.zone_) == tried.end();
}

bool MayForwardNow(const PendingCall& pending, const RemoteState& remote, Time now) {
  return now >= remote.blocked_until_ && IsEligibleZone(pending, remote, now);
}

// Returns the number of queued calls that would be served before a new call of the class. For
// interactive calls, only these are counted: calls of the other classes wait long under load, and
// counting them would keep interactive calls in a more loaded zone.
int QueuedAhead(const RemoteShardLoad& shard, records::CallClass call_class) {
  const bool known = shard.queued_interactive_ >= 0;
  return known && call_class == records::CallClass::kInteractive ? shard.queued_interactive_
                                                                 : shard.queued_;
}

// Returns the cost of forwarding in microseconds: the round trip plus the expected wait in the
// other zone.
double RemoteCostUs(const Dispatcher& dispatcher, const RemoteState& remote,
                    records::CallClass call_class, double typical_us) {
  const double round_trip_us = 2 * Microseconds(remote.load_.one_way_delay_);
  const int slots = remote.load_.ready_targets_ * std::max(1, dispatcher.settings_.limits_.slots_);
  const int ahead = QueuedAhead(remote.load_, call_class) - remote.load_.free_slots_ +
                    remote.unreported_forwards_;
  return round_trip_us + std::max(0, ahead + 1) * typical_us / slots;
}

void RaiseShare(RemoteState& remote, Time now) {
  const Duration since = now - remote.share_change_time_;
  remote.share_change_time_ = now;
  if (since > kMaxRiseGap) {
    // Demand was interrupted, so the earlier share says little about the free capacity there now.
    remote.forward_share_ *= std::exp(-Microseconds(since) / kShareDecayUs);
    remote.forward_share_ = std::max(kInitialShare, remote.forward_share_);
    return;
  }
  remote.forward_share_ =
      std::min(1.0, remote.forward_share_ + kShareRisePerUs * Microseconds(since));
}

void LowerShare(RemoteState& remote, Time now) {
  remote.forward_share_ *= kShareDecreaseFactor;
  remote.share_change_time_ = now;
}

// Chooses a zone at random, weighted by slots and load, when this shard has no slots. With the same
// choice in all such shards, one zone would be overloaded.
RemoteState* ChooseZoneByWeight(Dispatcher& dispatcher, const PendingCall& pending, Time now,
                                Random& random) {
  RemoteState* chosen = nullptr;
  double total = 0;
  for (auto& [zone, remote] : dispatcher.remotes_) {
    if (!MayForwardNow(pending, remote, now)) continue;
    const int slots = remote.load_.ready_targets_ * dispatcher.settings_.limits_.slots_;
    const int load = remote.load_.queued_ + remote.unreported_forwards_;
    const double weight = static_cast<double>(slots) * slots / (slots + load);
    total += weight;
    if (std::uniform_real_distribution<double>(0, total)(random) < weight) chosen = &remote;
  }
  return chosen;
}

}  // namespace

void UpdateRemoteLoad(Dispatcher& dispatcher, const RemoteShardLoad& shard, Time now) {
  RemoteState& remote = dispatcher.remotes_[shard.zone_];
  remote.load_ = shard;
  remote.update_time_ = now;
  remote.unreported_forwards_ = 0;
  const int slots = shard.ready_targets_ * dispatcher.settings_.limits_.slots_;
  const int queued = QueuedAhead(shard, records::CallClass::kInteractive);
  if (queued > 2 * slots) LowerShare(remote, now);
}

void RecordForwardRefusal(Dispatcher& dispatcher, const std::string& zone, Time now) {
  const auto remote = dispatcher.remotes_.find(zone);
  if (remote == dispatcher.remotes_.end()) return;
  LowerShare(remote->second, now);
  remote->second.blocked_until_ = now + kForwardRefusalPause;
}

void RecordForwardEnd(Dispatcher& dispatcher, const ForwardedCall& call) {
  const auto remote = dispatcher.remotes_.find(call.zone_);
  // A load that arrived after the call was sent already includes the call.
  if (remote == dispatcher.remotes_.end() || call.sent_time_ < remote->second.update_time_) return;
  remote->second.unreported_forwards_ = std::max(0, remote->second.unreported_forwards_ - 1);
}

bool AnyZoneMayAcceptCall(const Dispatcher& dispatcher, const PendingCall& pending, Time now) {
  return MayLeaveZone(pending.call_) &&
         std::any_of(dispatcher.remotes_.begin(), dispatcher.remotes_.end(),
                     [&](const auto& entry) { return IsEligibleZone(pending, entry.second, now); });
}

RemoteState* ChooseZone(Dispatcher& dispatcher, const Capacity& capacity, PendingCall& pending,
                        int ahead, Time now, Random& random) {
  const Call& call = pending.call_;
  if (!MayLeaveZone(call)) return nullptr;
  if (capacity.slot_limit_ == 0) return ChooseZoneByWeight(dispatcher, pending, now, random);
  if (now < pending.next_spill_time_) return nullptr;
  const double wait_us = ExpectedWaitUs(capacity, ahead);
  RemoteState* best = nullptr;
  double best_cost_us = wait_us;
  for (auto& [zone, remote] : dispatcher.remotes_) {
    if (!MayForwardNow(pending, remote, now)) continue;
    const double cost_us =
        RemoteCostUs(dispatcher, remote, call.class_, capacity.typical_service_us_);
    if (cost_us >= best_cost_us) continue;
    best = &remote;
    best_cost_us = cost_us;
  }
  if (best == nullptr) return nullptr;
  RaiseShare(*best, now);
  if (std::uniform_real_distribution<double>(0, 1)(random) < best->forward_share_) return best;
  pending.next_spill_time_ = now + kSpillRetryDelay;
  return nullptr;
}

}  // namespace monsoonshelf::dispatch::internal
