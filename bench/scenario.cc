#include "bench/scenario.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <numeric>
#include <random>
#include <utility>

#include "bench/ipolicy.h"
#include "bench/world.h"

namespace monsoonshelf::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns the given second of the simulated time.
constexpr Time AtSecond(double value) { return Time(Duration(static_cast<int>(value * 1e6))); }

// Only calls that arrive between kMeasureFrom and kMeasureUntil are counted.
constexpr Time kMeasureFrom = AtSecond(1);
constexpr Time kMeasureUntil = AtSecond(7);
constexpr Time kArrivalsEnd = AtSecond(9);
constexpr Time kEnd = AtSecond(12);

// Runs with call trees are longer: there are few trees, so failing targets are detected later.
constexpr Duration kCallTreeExtraDuration = seconds(10);

// A load of 1.2 falls to this load at kMeasureUntil. Calls that arrive at least half a second later
// are counted as calls after the overload.
constexpr double kLoadAfterOverload = 0.7;
constexpr Time kAfterOverloadFrom = AtSecond(7.5);

// Service times are lognormal with a mean of 12 ms and a sigma of 0.8 (median 8.7 ms, p99 56 ms)
// and limited to 200 ms.
constexpr double kMeanServiceMs = 12;
constexpr double kServiceSigma = 0.8;
constexpr Duration kMaxServiceTime = milliseconds(200);

constexpr Duration kCallDeadline = milliseconds(500);
constexpr Duration kCallTreeDeadline = seconds(2);
constexpr int kCallTreeLevels = 19;
constexpr int kTargetsPerTreeLevel = 12;

// Share of the calls that are transactional and not idempotent.
constexpr double kTransactionalShare = 0.2;

struct Measurements {
  std::vector<double> interactive_latencies_ms_;
  std::vector<double> transactional_latencies_ms_;
  std::vector<double> interactive_latencies_after_overload_ms_;
  int offered_ = 0;
  int answered_ = 0;
  int refused_ = 0;
  int failed_ = 0;
  int cross_zone_ = 0;
  int offered_after_overload_ = 0;
  int answered_after_overload_ = 0;
  std::int64_t sends_ = 0;
  std::int64_t levels_reached_ = 0;
};

double Percentile(std::vector<double>& values, double part) {
  if (values.empty()) return 0;
  const auto index = static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

std::unique_ptr<IPolicy> MakePolicy(World& world, PolicyKind kind) {
  switch (kind) {
    case PolicyKind::kCentralQueue:
      return MakeCentralPolicy(world);
    case PolicyKind::kDispatcherPerHost:
    case PolicyKind::kDispatcher:
    case PolicyKind::kForwardAlways:
      return MakeDispatcherPolicy(world, kind);
    default:
      return MakeLocalPolicy(world, kind);
  }
}

// Gives each level of a call tree a service of its own. A call holds its slot during its nested
// calls, so levels that share a service would deadlock.
RunSettings WithCallTreeServices(RunSettings settings) {
  if (settings.fault_ == Fault::kFailingTargets) {
    settings.shape_.targets_per_service_.assign(kCallTreeLevels, kTargetsPerTreeLevel);
  }
  return settings;
}

// One run: generates the calls, injects the fault and collects the results.
class Scenario {
 public:
  explicit Scenario(const RunSettings& settings)
      : settings_(WithCallTreeServices(settings)),
        world_(settings_),
        arrival_random_(settings.seed_),
        fault_random_(settings.seed_ + 1000),
        has_call_trees_(settings.fault_ == Fault::kFailingTargets),
        policy_(MakePolicy(world_, settings.policy_)) {}

  RunResult Run() {
    extra_duration_ = has_call_trees_ ? kCallTreeExtraDuration : Duration(0);
    if (has_call_trees_) {
      world_.run_nested_call_ = [this](const BenchCall& call, int zone,
                                       std::function<void(bool)> done) {
        StartNestedCall(call, zone, std::move(done));
      };
    }
    ScheduleFault();
    ScheduleArrival();
    world_.RunUntil(kEnd + extra_duration_);
    return Summarize();
  }

 private:
  double CallsPerSecond() const {
    const bool after_overload = settings_.load_ > 1 && world_.Now() >= kMeasureUntil;
    return (after_overload ? kLoadAfterOverload : settings_.load_) * CapacityPerSecond();
  }

  // Returns the calls per second that the slots can serve without faults. The first level of a call
  // tree holds its slot while all levels below are served, so it limits the rate of call trees.
  double CapacityPerSecond() const {
    const auto targets = static_cast<double>(world_.Targets().size());
    const double all = targets * kSlotsPerTarget / (kMeanServiceMs / 1000);
    return has_call_trees_ ? all / kCallTreeLevels / kCallTreeLevels : all;
  }

  Duration DrawServiceTime() {
    // The mean of a lognormal distribution is exp(mu + sigma^2 / 2).
    std::lognormal_distribution<double> service(
        std::log(kMeanServiceMs) - kServiceSigma * kServiceSigma / 2, kServiceSigma);
    const auto time = Duration(static_cast<Duration::rep>(service(arrival_random_) * 1000));
    return std::min(time, kMaxServiceTime);
  }

  // Draws the service and zone in proportion to the number of targets.
  BenchCall DrawCall() {
    BenchCall call;
    const FakeTarget& drawn_target = world_.Targets()[arrival_random_() % world_.Targets().size()];
    call.service_ = drawn_target.service_;
    call.zone_ = drawn_target.zone_;
    call.host_ = static_cast<int>(arrival_random_() % static_cast<std::uint64_t>(HostsPerZone()));
    call.service_time_ = DrawServiceTime();
    call.deadline_ = world_.Now() + kCallDeadline;
    if (std::uniform_real_distribution<double>(0, 1)(arrival_random_) < kTransactionalShare) {
      call.class_ = records::CallClass::kTransactional;
      call.idempotent_ = false;
    }
    if (has_call_trees_) {
      call.idempotent_ = true;
      call.deadline_ = world_.Now() + kCallTreeDeadline;
      call.tree_ = std::make_shared<CallTree>();
      call.level_ = 1;
      call.service_ = 0;
    }
    return call;
  }

  int HostsPerZone() const { return settings_.shape_.host_count_ / kZoneCount; }

  void ScheduleArrival() {
    std::exponential_distribution<double> gap(CallsPerSecond());
    world_.ScheduleAfter(Duration(static_cast<Duration::rep>(gap(arrival_random_) * 1e6)), [this] {
      if (world_.Now() >= kArrivalsEnd + extra_duration_) return;
      StartCall(DrawCall());
      ScheduleArrival();
    });
  }

  void StartCall(const BenchCall& call) {
    const Time arrived = world_.Now();
    const bool counted = arrived >= kMeasureFrom && arrived < kMeasureUntil + extra_duration_;
    const bool after_overload = arrived >= kAfterOverloadFrom;
    if (counted) ++measurements_.offered_;
    if (after_overload) ++measurements_.offered_after_overload_;
    world_.ScheduleAfter(
        settings_.shape_.caller_delay_, [this, call, arrived, counted, after_overload] {
          policy_->PlaceCall(call, [this, call, arrived, counted, after_overload](
                                       CallResult call_result, int target_zone) {
            const Duration total = world_.Now() + settings_.shape_.caller_delay_ - arrived;
            if (counted) CountCall(call, call_result, target_zone, total);
            if (after_overload && call_result == CallResult::kAnswered)
              CountCallAfterOverload(call, total);
          });
        });
  }

  void CountCall(const BenchCall& call, CallResult call_result, int target_zone, Duration total) {
    if (call.tree_) {
      measurements_.sends_ += call.tree_->sends_;
      measurements_.levels_reached_ += call.tree_->deepest_level_;
    }
    if (call_result == CallResult::kRefused) ++measurements_.refused_;
    if (call_result == CallResult::kFailed) ++measurements_.failed_;
    if (call_result != CallResult::kAnswered) return;
    ++measurements_.answered_;
    if (target_zone != call.zone_) ++measurements_.cross_zone_;
    const bool interactive = call.class_ == records::CallClass::kInteractive;
    (interactive ? measurements_.interactive_latencies_ms_
                 : measurements_.transactional_latencies_ms_)
        .push_back(ToMilliseconds(total));
  }

  void CountCallAfterOverload(const BenchCall& call, Duration total) {
    ++measurements_.answered_after_overload_;
    if (call.class_ != records::CallClass::kInteractive) return;
    measurements_.interactive_latencies_after_overload_ms_.push_back(ToMilliseconds(total));
  }

  // Issues the nested call of a call that a target has served: to the next service, through an
  // entry host in the zone of the target.
  void StartNestedCall(const BenchCall& call, int zone, std::function<void(bool)> done) {
    if (call.level_ >= kCallTreeLevels) {
      done(true);
      return;
    }
    BenchCall nested = call;
    nested.level_ = call.level_ + 1;
    nested.service_ = call.service_ + 1;
    nested.zone_ = zone;
    nested.service_time_ = DrawServiceTime();
    world_.ScheduleAfter(kSameZoneDelay, [this, nested, done = std::move(done)] {
      policy_->PlaceCall(nested, [this, done](CallResult call_result, int) {
        world_.ScheduleAfter(kSameZoneDelay,
                             [done, call_result] { done(call_result == CallResult::kAnswered); });
      });
    });
  }

  void ScheduleFault() {
    switch (settings_.fault_) {
      case Fault::kNone:
        break;
      case Fault::kNoisyNeighbors:
        AddNoisyNeighbors();
        break;
      case Fault::kSlowTargets:
        AddSlowTargets();
        break;
      case Fault::kRestarts:
        ScheduleRestarts();
        break;
      case Fault::kZoneOutage:
        ScheduleZoneOutage();
        break;
      case Fault::kFailingTargets:
        AddFailingTargets();
        break;
    }
  }

  // Each target is slowed by a noisy neighbor for a tenth of the time, in periods of 0.3 s on
  // average. Service times are 2.5 times as long in these periods.
  void AddNoisyNeighbors() {
    std::exponential_distribution<double> quiet(1 / 2.7);
    std::exponential_distribution<double> noisy(1 / 0.3);
    for (FakeTarget& target : world_.Targets()) {
      for (double at = quiet(fault_random_); at < 10;) {
        const double end = at + noisy(fault_random_);
        target.slowdowns_.push_back({AtSecond(at), AtSecond(end), 2.5});
        at = end + quiet(fault_random_);
      }
    }
  }

  // Service times of one target of each service are ten times as long from 2 s to 5 s.
  void AddSlowTargets() {
    for (std::size_t service = 0; service < settings_.shape_.targets_per_service_.size();
         ++service) {
      FakeTarget& target = RandomTargetOf(static_cast<int>(service));
      target.slowdowns_.push_back({AtSecond(2), AtSecond(5), 10});
    }
  }

  // Every 0.4 s a random target restarts without prior notice and is cold for 0.5 s.
  void ScheduleRestarts() {
    for (double at = 1.2; at < 9; at += 0.4) {
      const int target = static_cast<int>(fault_random_() % world_.Targets().size());
      world_.ScheduleAt(AtSecond(at),
                        [this, target] { world_.RestartTarget(target, milliseconds(500)); });
    }
  }

  // Zone 0 is out of service from 2 s to 4 s. Its targets are still cold for 0.5 s once the entry
  // hosts use the zone again, which is 0.2 s after the change.
  void ScheduleZoneOutage() {
    const auto changed = [this] { policy_->OnZonesChanged(); };
    world_.ScheduleAt(AtSecond(2), [this, changed] { world_.SetZoneInService(0, false, changed); });
    world_.ScheduleAt(AtSecond(4), [this, changed] {
      for (const FakeTarget& target : world_.Targets()) {
        if (target.zone_ == 0) world_.RestartTarget(target.index_, milliseconds(700));
      }
      world_.SetZoneInService(0, true, changed);
    });
  }

  // From 0.5 s on, 30% of the targets of each service fail all calls.
  void AddFailingTargets() {
    for (std::size_t service = 0; service < settings_.shape_.targets_per_service_.size();
         ++service) {
      const int failing =
          static_cast<int>(std::lround(0.3 * settings_.shape_.targets_per_service_[service]));
      for (int count = 0; count < failing;) {
        FakeTarget& target = RandomTargetOf(static_cast<int>(service));
        if (target.failing_from_ != Time::max()) continue;
        target.failing_from_ = AtSecond(0.5);
        ++count;
      }
    }
  }

  FakeTarget& RandomTargetOf(int service) {
    std::vector<FakeTarget*> found;
    for (FakeTarget& target : world_.Targets()) {
      if (target.service_ == service) found.push_back(&target);
    }
    return *found[fault_random_() % found.size()];
  }

  RunResult Summarize() {
    RunResult result;
    const double offered = std::max(1, measurements_.offered_);
    const double measured_s = ToMilliseconds(kMeasureUntil + extra_duration_ - kMeasureFrom) / 1000;
    const auto targets = static_cast<double>(world_.Targets().size());
    result.p50_ms_ = Percentile(measurements_.interactive_latencies_ms_, 0.5);
    result.p99_ms_ = Percentile(measurements_.interactive_latencies_ms_, 0.99);
    result.p999_ms_ = Percentile(measurements_.interactive_latencies_ms_, 0.999);
    result.p99_transactional_ms_ = Percentile(measurements_.transactional_latencies_ms_, 0.99);
    result.goodput_ = measurements_.answered_ / (CapacityPerSecond() * measured_s);
    result.refused_share_ = measurements_.refused_ / offered;
    result.failed_share_ = measurements_.failed_ / offered;
    result.probes_per_target_per_s_ =
        world_.probe_count_ / targets / (ToMilliseconds(kEnd + extra_duration_ - Time{}) / 1000);
    result.cross_zone_share_ =
        measurements_.cross_zone_ / std::max(1.0, 1.0 * measurements_.answered_);
    result.p99_after_overload_ms_ =
        Percentile(measurements_.interactive_latencies_after_overload_ms_, 0.99);
    result.answered_share_after_overload_ =
        measurements_.answered_after_overload_ /
        std::max(1.0, 1.0 * measurements_.offered_after_overload_);
    result.max_probes_in_one_second_ = world_.max_probes_in_one_second_;
    result.known_cold_overruns_ = world_.known_cold_overruns_;
    result.unknown_cold_overruns_ = world_.unknown_cold_overruns_;
    result.retry_amplification_ = static_cast<double>(measurements_.sends_) /
                                  std::max(1.0, static_cast<double>(measurements_.levels_reached_));
    return result;
  }

  RunSettings settings_;
  World world_;
  Random arrival_random_;
  Random fault_random_;
  bool has_call_trees_ = false;
  Duration extra_duration_{};
  std::unique_ptr<IPolicy> policy_;
  Measurements measurements_;
};

}  // namespace

RunResult RunScenario(const RunSettings& settings) { return Scenario(settings).Run(); }

}  // namespace monsoonshelf::bench
