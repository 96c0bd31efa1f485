#include <algorithm>
#include <map>
#include <utility>

#include "bench/ipolicy.h"
#include "bench/world.h"

namespace monsoonshelf::bench {

namespace {

using dispatch::SendResult;

// Interval at which each host polls the load endpoints of the targets in its zone.
constexpr Duration kPollInterval = std::chrono::milliseconds(100);

constexpr int kMaxAttempts = 2;

struct HostState {
  std::vector<int> in_flight_;           // Calls of this host, by target index.
  std::vector<int> reported_in_flight_;  // Last polled value, by target index.
  std::size_t next_round_robin_ = 0;
};

// Policies in which each entry host sends a call to a target immediately, without a queue.
class LocalPolicy : public IPolicy {
 public:
  LocalPolicy(World& world, PolicyKind kind)
      : world_(world), kind_(kind), random_(world.Settings().seed_ + 77) {
    if (kind == PolicyKind::kLeastReportedLoad) PollLoads();
  }

  void PlaceCall(const BenchCall& call, CallCallback done) override {
    SendAttempt(call, std::move(done), kMaxAttempts, -1);
  }

 private:
  HostState& HostStateOf(const BenchCall& call) {
    HostState& state = hosts_[{call.zone_, call.host_}];
    state.in_flight_.resize(world_.Targets().size());
    state.reported_in_flight_.resize(world_.Targets().size());
    return state;
  }

  int ChooseTarget(const BenchCall& call, HostState& state, const std::vector<int>& candidates) {
    const auto random_candidate = [&] { return candidates[random_() % candidates.size()]; };
    const auto has_less_load = [](const std::vector<int>& load, int a, int b) {
      return load[static_cast<std::size_t>(a)] < load[static_cast<std::size_t>(b)];
    };
    switch (kind_) {
      case PolicyKind::kRoundRobin:
        return candidates[(state.next_round_robin_++ + static_cast<std::size_t>(call.host_)) %
                          candidates.size()];
      case PolicyKind::kTwoChoices: {
        const int first = random_candidate();
        const int second = random_candidate();
        return has_less_load(state.in_flight_, second, first) ? second : first;
      }
      case PolicyKind::kLeastReportedLoad: {
        std::vector<int> shuffled = candidates;
        std::shuffle(shuffled.begin(), shuffled.end(), random_);
        return *std::min_element(shuffled.begin(), shuffled.end(), [&](int a, int b) {
          return has_less_load(state.reported_in_flight_, a, b);
        });
      }
      default:
        return random_candidate();
    }
  }

  void SendAttempt(const BenchCall& call, CallCallback done, int attempts_left,
                   int excluded_target) {
    std::vector<int> candidates = world_.CandidateTargets(call.service_, call.zone_);
    if (candidates.size() > 1) std::erase(candidates, excluded_target);
    if (candidates.empty()) {
      done(CallResult::kRefused, call.zone_);
      return;
    }
    HostState& state = HostStateOf(call);
    const int target = ChooseTarget(call, state, candidates);
    const auto index = static_cast<std::size_t>(target);
    ++state.in_flight_[index];
    world_.SendCall(target, call, call.deadline_, call.zone_,
                    [this, call, done = std::move(done), attempts_left, target, index,
                     &state](const SendOutcome& sent) {
                      --state.in_flight_[index];
                      OnAttemptEnded(call, done, attempts_left, target, sent.result_);
                    });
  }

  void OnAttemptEnded(const BenchCall& call, const CallCallback& done, int attempts_left,
                      int target, SendResult result) {
    const int zone = world_.Targets()[static_cast<std::size_t>(target)].zone_;
    if (result == SendResult::kAnswered) {
      done(CallResult::kAnswered, zone);
    } else if (attempts_left > 1 && (call.idempotent_ || result == SendResult::kRefused) &&
               world_.Now() < call.deadline_) {
      SendAttempt(call, done, attempts_left - 1, target);
    } else {
      done(result == SendResult::kRefused ? CallResult::kRefused : CallResult::kFailed, zone);
    }
  }

  void PollLoads() {
    for (auto& entry : hosts_) {
      const int zone = entry.first.first;
      HostState& state = entry.second;
      for (const FakeTarget& target : world_.Targets()) {
        if (target.zone_ != zone) continue;
        const auto index = static_cast<std::size_t>(target.index_);
        world_.SendProbe(target.index_, zone, [&state, index](const dispatch::LoadReport& report) {
          state.reported_in_flight_[index] = report.in_flight_;
        });
      }
    }
    world_.ScheduleAfter(kPollInterval, [this] { PollLoads(); });
  }

  World& world_;
  PolicyKind kind_;
  Random random_;
  std::map<std::pair<int, int>, HostState> hosts_;
};

}  // namespace

std::unique_ptr<IPolicy> MakeLocalPolicy(World& world, PolicyKind kind) {
  return std::make_unique<LocalPolicy>(world, kind);
}

}  // namespace monsoonshelf::bench
