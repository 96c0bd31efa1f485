#include <algorithm>
#include <map>
#include <utility>

#include "bench/ipolicy.h"
#include "bench/world.h"

namespace monsoonshelf::bench {

namespace {

using dispatch::SendResult;

// Each host of a zone reads the load endpoints of the targets that it uses at this interval.
constexpr Duration kPollInterval = std::chrono::milliseconds(100);

constexpr int kAttempts = 2;

struct HostState {
  std::vector<int> in_flight_;
  std::vector<int> reported_;
  std::size_t next_ = 0;
};

// Policies in which each entry host chooses a target at once and keeps no queue.
class LocalPolicy : public IPolicy {
 public:
  LocalPolicy(World& world, Policy kind)
      : world_(world), kind_(kind), random_(world.Settings().seed_ + 77) {
    if (kind == Policy::kLeastStale) Poll();
  }

  void Arrive(const BenchCall& call, Done done) override {
    Attempt(call, std::move(done), kAttempts, -1);
  }

 private:
  HostState& StateOf(const BenchCall& call) {
    HostState& state = hosts_[{call.zone_, call.host_}];
    state.in_flight_.resize(world_.Targets().size());
    state.reported_.resize(world_.Targets().size());
    return state;
  }

  int Choose(const BenchCall& call, HostState& state, const std::vector<int>& candidates) {
    const auto any = [&] { return candidates[random_() % candidates.size()]; };
    const auto less = [](const std::vector<int>& load, int a, int b) {
      return load[static_cast<std::size_t>(a)] < load[static_cast<std::size_t>(b)];
    };
    switch (kind_) {
      case Policy::kRoundRobin:
        return candidates[(state.next_++ + static_cast<std::size_t>(call.host_)) %
                          candidates.size()];
      case Policy::kTwoChoices: {
        const int first = any();
        const int second = any();
        return less(state.in_flight_, second, first) ? second : first;
      }
      case Policy::kLeastStale: {
        std::vector<int> shuffled = candidates;
        std::shuffle(shuffled.begin(), shuffled.end(), random_);
        return *std::min_element(shuffled.begin(), shuffled.end(),
                                 [&](int a, int b) { return less(state.reported_, a, b); });
      }
      default:
        return any();
    }
  }

  void Attempt(const BenchCall& call, Done done, int attempts, int avoid) {
    std::vector<int> candidates = world_.Candidates(call.service_, call.zone_);
    if (candidates.size() > 1) std::erase(candidates, avoid);
    if (candidates.empty()) {
      done(CallEnd::kRefused, call.zone_);
      return;
    }
    HostState& state = StateOf(call);
    const int target = Choose(call, state, candidates);
    const auto index = static_cast<std::size_t>(target);
    ++state.in_flight_[index];
    world_.Send(
        target, call, call.deadline_, call.zone_,
        [this, call, done = std::move(done), attempts, target, index, &state](const SendEnd& sent) {
          --state.in_flight_[index];
          End(call, done, attempts, target, sent.result_);
        });
  }

  void End(const BenchCall& call, const Done& done, int attempts, int target, SendResult result) {
    const int zone = world_.Targets()[static_cast<std::size_t>(target)].zone_;
    if (result == SendResult::kAnswered) {
      done(CallEnd::kAnswered, zone);
    } else if (attempts > 1 && (call.idempotent_ || result == SendResult::kRefused) &&
               world_.Now() < call.deadline_) {
      Attempt(call, done, attempts - 1, target);
    } else {
      done(result == SendResult::kRefused ? CallEnd::kRefused : CallEnd::kFailed, zone);
    }
  }

  void Poll() {
    for (auto& entry : hosts_) {
      const int zone = entry.first.first;
      HostState& state = entry.second;
      for (const FakeTarget& target : world_.Targets()) {
        if (target.zone_ != zone) continue;
        const auto index = static_cast<std::size_t>(target.index_);
        world_.Probe(target.index_, zone, [&state, index](const dispatch::LoadReport& report) {
          state.reported_[index] = report.in_flight_;
        });
      }
    }
    world_.After(kPollInterval, [this] { Poll(); });
  }

  World& world_;
  Policy kind_;
  Random random_;
  std::map<std::pair<int, int>, HostState> hosts_;
};

}  // namespace

std::unique_ptr<IPolicy> MakeLocalPolicy(World& world, Policy kind) {
  return std::make_unique<LocalPolicy>(world, kind);
}

}  // namespace monsoonshelf::bench
