#include "dispatch/internal/spill_over.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>

namespace monsoonshelf::dispatch::internal {

namespace {

using std::chrono::milliseconds;

// The share reaches 1 from 0 in 0.2 s of steady need, and halves with each sign of overload of the
// other zone. With 1 s, a shard that lost half its capacity to a slow target had a p99 10% higher.
constexpr double kSharePerUs = 5e-6;
constexpr double kFirstShare = 0.05;
constexpr double kShareDrop = 0.5;
constexpr Duration kMaxRise = milliseconds(50);
constexpr double kShareMemoryUs = 1e6;

// A call that the share held back is considered again after this time.
constexpr Duration kReconsider = milliseconds(5);

// After a refusal the zone gets nothing for a round trip and a half.
constexpr Duration kRefusalPause = milliseconds(15);

// Peers send state when it changes and again every 20 s. Older state means that two of those
// messages were lost or that the zone has no dispatcher.
constexpr Duration kMaxAge = std::chrono::seconds(45);

double Microseconds(Duration duration) { return static_cast<double>(duration.count()); }

bool MayLeaveZone(const Call& call) {
  return !call.forwarded_ && call.zone_preference_ != records::ZonePreference::kOwnOnly;
}

bool IsOption(const WaitingCall& waiting, const RemoteState& remote, Time now) {
  const auto& tried = waiting.refused_zones_;
  return remote.shard_.ready_targets_ > 0 && now - remote.updated_ < kMaxAge &&
         std::find(tried.begin(), tried.end(), remote.shard_.zone_) == tried.end();
}

bool MayForward(const WaitingCall& waiting, const RemoteState& remote, Time now) {
  return now >= remote.blocked_until_ && IsOption(waiting, remote, now);
}

// Calls that go before a new call of the class. Transactional and later calls wait long under load;
// counted ahead of interactive ones they would keep those in a zone that is worse off.
int QueuedAhead(const RemoteShardLoad& shard, records::CallClass call_class) {
  const bool known = shard.queued_interactive_ >= 0;
  return known && call_class == records::CallClass::kInteractive ? shard.queued_interactive_
                                                                 : shard.queued_;
}

// Cost of the other zone in microseconds: the way there and back, and the wait there.
double RemoteCost(const Dispatcher& dispatcher, const RemoteState& remote,
                  records::CallClass call_class, double typical) {
  const double way = 2 * Microseconds(remote.shard_.one_way_delay_);
  const int slots = remote.shard_.ready_targets_ * std::max(1, dispatcher.settings_.limits_.slots_);
  const int ahead =
      QueuedAhead(remote.shard_, call_class) - remote.shard_.free_slots_ + remote.unreported_;
  return way + std::max(0, ahead + 1) * typical / slots;
}

void RaiseShare(RemoteState& remote, Time now) {
  const Duration since = now - remote.share_changed_;
  remote.share_changed_ = now;
  if (since > kMaxRise) {
    // Need was interrupted: what the other zone could take then says little about now.
    remote.share_ *= std::exp(-Microseconds(since) / kShareMemoryUs);
    remote.share_ = std::max(kFirstShare, remote.share_);
    return;
  }
  remote.share_ = std::min(1.0, remote.share_ + kSharePerUs * Microseconds(since));
}

void LowerShare(RemoteState& remote, Time now) {
  remote.share_ *= kShareDrop;
  remote.share_changed_ = now;
}

// Without own slots the zones are chosen by weight, so that not all shards pick the same one.
RemoteState* ChooseByWeight(Dispatcher& dispatcher, const WaitingCall& waiting, Time now,
                            Random& random) {
  RemoteState* chosen = nullptr;
  double total = 0;
  for (auto& [zone, remote] : dispatcher.remotes_) {
    if (!MayForward(waiting, remote, now)) continue;
    const int slots = remote.shard_.ready_targets_ * dispatcher.settings_.limits_.slots_;
    const int load = remote.shard_.queued_ + remote.unreported_;
    const double weight = static_cast<double>(slots) * slots / (slots + load);
    total += weight;
    if (std::uniform_real_distribution<double>(0, total)(random) < weight) chosen = &remote;
  }
  return chosen;
}

}  // namespace

void ObserveRemote(Dispatcher& dispatcher, const RemoteShardLoad& shard, Time now) {
  RemoteState& remote = dispatcher.remotes_[shard.zone_];
  remote.shard_ = shard;
  remote.updated_ = now;
  remote.unreported_ = 0;
  const int slots = shard.ready_targets_ * dispatcher.settings_.limits_.slots_;
  const int queued = QueuedAhead(shard, records::CallClass::kInteractive);
  if (queued > 2 * slots) LowerShare(remote, now);
}

void ObserveForwardRefused(Dispatcher& dispatcher, const std::string& zone, Time now) {
  const auto remote = dispatcher.remotes_.find(zone);
  if (remote == dispatcher.remotes_.end()) return;
  LowerShare(remote->second, now);
  remote->second.blocked_until_ = now + kRefusalPause;
}

void ObserveForwardEnd(Dispatcher& dispatcher, const ForwardedCall& call) {
  const auto remote = dispatcher.remotes_.find(call.zone_);
  // The state that arrived after the call was sent already counts it.
  if (remote == dispatcher.remotes_.end() || call.sent_ < remote->second.updated_) return;
  remote->second.unreported_ = std::max(0, remote->second.unreported_ - 1);
}

bool AnyZoneMayTake(const Dispatcher& dispatcher, const WaitingCall& waiting, Time now) {
  return MayLeaveZone(waiting.call_) &&
         std::any_of(dispatcher.remotes_.begin(), dispatcher.remotes_.end(),
                     [&](const auto& entry) { return IsOption(waiting, entry.second, now); });
}

RemoteState* ChooseZone(Dispatcher& dispatcher, const Capacity& capacity, WaitingCall& waiting,
                        int ahead, Time now, Random& random) {
  const Call& call = waiting.call_;
  if (!MayLeaveZone(call)) return nullptr;
  if (capacity.limit_ == 0) return ChooseByWeight(dispatcher, waiting, now, random);
  if (now < waiting.next_spill_) return nullptr;
  const double wait = ExpectedWait(capacity, ahead);
  RemoteState* best = nullptr;
  double best_cost = wait;
  for (auto& [zone, remote] : dispatcher.remotes_) {
    if (!MayForward(waiting, remote, now)) continue;
    const double cost = RemoteCost(dispatcher, remote, call.class_, capacity.typical_us_);
    if (cost >= best_cost) continue;
    best = &remote;
    best_cost = cost;
  }
  if (best == nullptr) return nullptr;
  RaiseShare(*best, now);
  if (std::uniform_real_distribution<double>(0, 1)(random) < best->share_) return best;
  waiting.next_spill_ = now + kReconsider;
  return nullptr;
}

}  // namespace monsoonshelf::dispatch::internal
