#include "gateway/store_gate.h"

#include <algorithm>

namespace monsoonshelf::gateway {

namespace {

// Hosts that have their turn at once. Three times as many follow after each interval, in which the
// announcement of a new reader arrives.
constexpr std::size_t kFirstTurns = 2;
constexpr Duration kTurnInterval = std::chrono::milliseconds(100);
constexpr Duration kProbeInterval = std::chrono::milliseconds(400);
// Hosts with the same turn probe one after another at this interval, which doubles from turn to
// turn.
constexpr Duration kProbeSpacing = std::chrono::milliseconds(200);
// Interval of the hosts of low rank of a zone without others to follow, after the first probes.
constexpr Duration kLongProbeInterval = std::chrono::milliseconds(800);
constexpr int kFrequentProbes = 2;
// Time after a request in which a host of the own zone may become a reader.
constexpr Duration kOwnZoneTime = std::chrono::milliseconds(400);
// After this time, the hosts of the second turn follow another zone too. Further ones never do.
constexpr Duration kSecondOtherZoneTurn = std::chrono::milliseconds(500);

// The hosts that have their turn at the same time.
struct Turn {
  int index_ = 0;
  std::size_t hosts_ = kFirstTurns;
  std::size_t position_ = 0;  // Of a host among these.
};

Turn FindTurn(std::size_t higher_ranked) {
  Turn turn{0, kFirstTurns, higher_ranked};
  while (turn.position_ >= turn.hosts_) {
    turn.position_ -= turn.hosts_;
    turn.hosts_ *= 3;
    ++turn.index_;
  }
  return turn;
}

bool HasEarlyTurn(std::size_t higher_ranked) { return FindTurn(higher_ranked).index_ <= 1; }

}  // namespace

Duration TurnDelay(std::size_t higher_ranked) {
  return FindTurn(higher_ranked).index_ * kTurnInterval;
}

Duration ProbeInterval(const GateRank& rank, int probes) {
  if (!rank.has_other_zones_) {
    return HasEarlyTurn(rank.higher_ranked_) || probes < kFrequentProbes ? kProbeInterval
                                                                         : kLongProbeInterval;
  }
  const Turn turn = FindTurn(rank.higher_ranked_);
  // The zone relies on the hosts with an early turn, whose first probe may have been lost.
  const int probes_at_once = turn.index_ <= 1 ? kFrequentProbes : 1;
  if (probes < probes_at_once) return kProbeInterval;
  const std::size_t hosts = probes == probes_at_once ? turn.position_ + 1 : turn.hosts_;
  return kProbeSpacing * (1 << turn.index_) * static_cast<int>(hosts);
}

bool ProbesWhileFollowing(const GateRank& rank, bool may_replace) {
  return may_replace || HasEarlyTurn(rank.higher_ranked_);
}

void RequestTurn(StoreGate& gate, std::string_view cause, std::size_t higher_ranked, Time now) {
  if (gate.state_ != StoreGate::State::kClosed) return;
  gate = {StoreGate::State::kSeeking, cause, now, now + TurnDelay(higher_ranked), {}, 0, 0};
}

bool ShouldFollowOtherZone(const StoreGate& gate, std::size_t higher_ranked, Time now) {
  if (gate.state_ != StoreGate::State::kSeeking || gate.failed_probes_ == 0) return false;
  const Duration turn = TurnDelay(higher_ranked);
  if (turn > kTurnInterval) return false;
  const Duration wait = turn == Duration{} ? kOwnZoneTime : kOwnZoneTime + kSecondOtherZoneTurn;
  return now >= gate.requested_at_ + wait;
}

void CloseGate(StoreGate& gate) { gate = {}; }

GateAction TakeAction(StoreGate& gate, const GateRank& rank, Time now) {
  if (gate.state_ == StoreGate::State::kClosed) return GateAction::kNone;
  if (gate.state_ == StoreGate::State::kSeeking && gate.probes_ > 0) {
    // Hosts of higher rank may have gone since the last probe.
    gate.next_at_ = std::min(gate.next_at_, gate.probed_at_ + ProbeInterval(rank, gate.probes_));
  }
  if (now < gate.next_at_) return GateAction::kNone;
  if (gate.state_ == StoreGate::State::kServed) return GateAction::kRead;
  ++gate.probes_;
  gate.probed_at_ = now;
  gate.next_at_ = now + ProbeInterval(rank, gate.probes_);
  return GateAction::kProbe;
}

void ApplyProbeResult(StoreGate& gate, bool is_served, std::size_t higher_ranked, Time now) {
  if (gate.state_ != StoreGate::State::kSeeking) return;
  if (!is_served) {
    ++gate.failed_probes_;
    return;
  }
  // The probes of many hosts succeed at the moment in which the store returns, so the turn counts
  // once more from here. Hosts of higher rank may not have probed it yet.
  gate.state_ = StoreGate::State::kServed;
  const Duration delay = TurnDelay(higher_ranked);
  gate.next_at_ = now + delay;
  if (gate.failed_probes_ > 0 && delay > Duration{}) gate.next_at_ += kProbeInterval;
}

}  // namespace monsoonshelf::gateway
