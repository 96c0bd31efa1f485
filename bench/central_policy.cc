#include <algorithm>
#include <array>
#include <deque>
#include <limits>
#include <utility>

#include "bench/ipolicy.h"
#include "bench/world.h"

namespace monsoonshelf::bench {

namespace {

using dispatch::SendResult;

struct QueuedCall {
  BenchCall call_;
  CallCallback done_;
};

double Milliseconds(Duration duration) { return ToMilliseconds(duration); }

// Reference policy with complete knowledge: one queue per service, ordered by class and arrival. It
// knows the service time of each call, the speed and state of each target and the end of each
// running call. A slot is occupied from the placement of a call; network delays apply.
class CentralPolicy : public IPolicy {
 public:
  explicit CentralPolicy(World& world)
      : world_(world),
        queues_(world.Settings().shape_.targets_per_service_.size()),
        slot_end_times_(world.Targets().size()) {}

  void PlaceCall(const BenchCall& call, CallCallback done) override {
    auto& queue = queues_[static_cast<std::size_t>(call.service_)];
    const auto later = std::find_if(queue.begin(), queue.end(), [&call](const QueuedCall& other) {
      return other.call_.class_ > call.class_;
    });
    queue.insert(later, {call, std::move(done)});
    PlaceQueuedCalls(call.service_);
  }

  void OnZonesChanged() override {
    for (std::size_t service = 0; service < queues_.size(); ++service) {
      PlaceQueuedCalls(static_cast<int>(service));
    }
  }

 private:
  bool HasFreeSlot(const FakeTarget& target) const {
    if (!world_.IsZoneInService(target.zone_) || world_.Now() >= target.failing_from_) return false;
    const int limit = world_.IsCold(target) ? kColdLimit : kSlotsPerTarget;
    return static_cast<int>(slot_end_times_[static_cast<std::size_t>(target.index_)].size()) <
           limit;
  }

  // Returns the time in milliseconds until the response if the call is sent to the target now.
  double ResponseTimeMs(const FakeTarget& target, const BenchCall& call) const {
    const Duration one_way_delay = target.zone_ == call.zone_ ? kSameZoneDelay : kCrossZoneDelay;
    return 2 * Milliseconds(one_way_delay) +
           Milliseconds(call.service_time_) * world_.ServiceTimeFactor(target);
  }

  // Returns the time in milliseconds until the response if the call waits for a slot in its own
  // zone behind `ahead` other calls. Each further use of a slot counts as 12 ms, the mean service
  // time.
  double QueuedResponseTimeMs(const BenchCall& call, std::size_t ahead) const {
    std::vector<double> ends;
    for (const FakeTarget& target : world_.Targets()) {
      if (target.service_ != call.service_ || target.zone_ != call.zone_) continue;
      if (!world_.IsZoneInService(target.zone_) || world_.Now() >= target.failing_from_) continue;
      for (const Time end : slot_end_times_[static_cast<std::size_t>(target.index_)]) {
        ends.push_back(Milliseconds(end - world_.Now()));
      }
    }
    if (ends.empty()) return std::numeric_limits<double>::infinity();
    std::sort(ends.begin(), ends.end());
    const std::size_t rounds = ahead / ends.size();
    return ends[ahead % ends.size()] + static_cast<double>(rounds) * 12 +
           2 * Milliseconds(kSameZoneDelay) + Milliseconds(call.service_time_);
  }

  // Returns the target with a free slot and the shortest response time, or nullptr if there is
  // none.
  const FakeTarget* FindFastestFreeTarget(const BenchCall& call, double* response_ms) const {
    const FakeTarget* best = nullptr;
    for (const FakeTarget& target : world_.Targets()) {
      if (target.service_ != call.service_ || !HasFreeSlot(target)) continue;
      const double candidate_ms = ResponseTimeMs(target, call);
      if (best == nullptr || candidate_ms < *response_ms) {
        best = &target;
        *response_ms = candidate_ms;
      }
    }
    return best;
  }

  // Sends the queued calls whose response would not be faster from a later slot of their own zone,
  // and refuses those that cannot meet their deadline.
  void PlaceQueuedCalls(int service) {
    auto& queue = queues_[static_cast<std::size_t>(service)];
    std::array<std::size_t, kZoneCount> ahead{};
    for (auto entry = queue.begin(); entry != queue.end();) {
      const BenchCall& call = entry->call_;
      double response_ms = 0;
      const FakeTarget* target = FindFastestFreeTarget(call, &response_ms);
      if (target == nullptr && std::all_of(ahead.begin(), ahead.end(), [](auto n) { return n; })) {
        return;
      }
      if (world_.Now() + call.service_time_ > call.deadline_) {
        const QueuedCall late = std::move(*entry);
        entry = queue.erase(entry);
        late.done_(CallResult::kRefused, late.call_.zone_);
        continue;
      }
      std::size_t& queue_position = ahead[static_cast<std::size_t>(call.zone_)];
      if (target == nullptr || response_ms > QueuedResponseTimeMs(call, queue_position)) {
        ++queue_position;
        ++entry;
        continue;
      }
      QueuedCall queued = std::move(*entry);
      entry = queue.erase(entry);
      StartCall(*target, std::move(queued));
    }
  }

  void StartCall(const FakeTarget& target, QueuedCall queued) {
    auto& end_times = slot_end_times_[static_cast<std::size_t>(target.index_)];
    const BenchCall call = queued.call_;
    const Duration one_way_delay = target.zone_ == call.zone_ ? kSameZoneDelay : kCrossZoneDelay;
    const double service_ms = Milliseconds(call.service_time_) * world_.ServiceTimeFactor(target);
    const Time end =
        world_.Now() + one_way_delay + Duration(static_cast<Duration::rep>(service_ms * 1000));
    end_times.push_back(end);
    world_.ScheduleAt(end, [this, &end_times, end, service = call.service_] {
      end_times.erase(std::find(end_times.begin(), end_times.end(), end));
      PlaceQueuedCalls(service);
    });
    world_.SendCall(target.index_, call, call.deadline_, call.zone_,
                    [this, &target, queued = std::move(queued)](const SendOutcome& sent) {
                      if (sent.result_ == SendResult::kLost && queued.call_.idempotent_) {
                        PlaceCall(queued.call_, queued.done_);
                        return;
                      }
                      queued.done_(sent.result_ == SendResult::kAnswered ? CallResult::kAnswered
                                                                         : CallResult::kFailed,
                                   target.zone_);
                    });
  }

  World& world_;
  std::vector<std::deque<QueuedCall>> queues_;
  std::vector<std::vector<Time>> slot_end_times_;
};

}  // namespace

std::unique_ptr<IPolicy> MakeCentralPolicy(World& world) {
  return std::make_unique<CentralPolicy>(world);
}

}  // namespace monsoonshelf::bench
