#include "gateway/store_gate.h"

namespace monsoonshelf::gateway {

namespace {

// Hosts that have their turn at once. Three times as many follow after each interval, in which the
// announcement of a new reader arrives.
constexpr std::size_t kFirstTurns = 2;
constexpr Duration kTurnInterval = std::chrono::milliseconds(100);
constexpr Duration kProbeInterval = std::chrono::milliseconds(400);
// Interval of the hosts of low rank, after the first probes.
constexpr Duration kLongProbeInterval = std::chrono::milliseconds(800);
constexpr int kFrequentProbes = 2;
// Time after a request in which a host of the own zone may become a reader.
constexpr Duration kOwnZoneTime = std::chrono::milliseconds(400);
// After this time, the hosts of the second turn follow another zone too. Further ones never do.
constexpr Duration kSecondOtherZoneTurn = std::chrono::milliseconds(500);

}  // namespace

Duration TurnDelay(std::size_t higher_ranked) {
  Duration delay{};
  for (std::size_t turns = kFirstTurns; higher_ranked >= turns; turns = turns * 3 + kFirstTurns) {
    delay += kTurnInterval;
  }
  return delay;
}

Duration ProbeInterval(std::size_t higher_ranked, int probes) {
  const bool is_high_ranked = TurnDelay(higher_ranked) <= kTurnInterval;
  return is_high_ranked || probes < kFrequentProbes ? kProbeInterval : kLongProbeInterval;
}

void RequestTurn(StoreGate& gate, std::string_view cause, std::size_t higher_ranked, Time now) {
  if (gate.state_ != StoreGate::State::kClosed) return;
  gate = {StoreGate::State::kSeeking, cause, now, now + TurnDelay(higher_ranked), 0, 0};
}

bool ShouldFollowOtherZone(const StoreGate& gate, std::size_t higher_ranked, Time now) {
  if (gate.state_ != StoreGate::State::kSeeking || gate.failed_probes_ == 0) return false;
  const Duration turn = TurnDelay(higher_ranked);
  if (turn > kTurnInterval) return false;
  const Duration wait = turn == Duration{} ? kOwnZoneTime : kOwnZoneTime + kSecondOtherZoneTurn;
  return now >= gate.requested_at_ + wait;
}

void CloseGate(StoreGate& gate) { gate = {}; }

GateAction TakeAction(StoreGate& gate, std::size_t higher_ranked, Time now) {
  if (gate.state_ == StoreGate::State::kClosed || now < gate.next_at_) return GateAction::kNone;
  if (gate.state_ == StoreGate::State::kServed) return GateAction::kRead;
  gate.next_at_ = now + ProbeInterval(higher_ranked, gate.probes_++);
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
