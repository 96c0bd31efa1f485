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

struct Waiting {
  BenchCall call_;
  Done done_;
};

double Milliseconds(Duration duration) { return ToMilliseconds(duration); }

// One queue per service, in the order of class and arrival. It knows the demand of every call, the
// speed and state of every target and the end of every running call. A slot is taken from the
// decision on; the ways cost time.
class CentralPolicy : public IPolicy {
 public:
  explicit CentralPolicy(World& world)
      : world_(world),
        queues_(world.Settings().shape_.workers_.size()),
        taken_(world.Targets().size()) {}

  void Arrive(const BenchCall& call, Done done) override {
    auto& queue = queues_[static_cast<std::size_t>(call.service_)];
    const auto later = std::find_if(queue.begin(), queue.end(), [&call](const Waiting& other) {
      return other.call_.class_ > call.class_;
    });
    queue.insert(later, {call, std::move(done)});
    Place(call.service_);
  }

  void OnZonesChanged() override {
    for (std::size_t service = 0; service < queues_.size(); ++service) {
      Place(static_cast<int>(service));
    }
  }

 private:
  bool IsFree(const FakeTarget& target) const {
    if (!world_.ZoneIn(target.zone_) || world_.Now() >= target.failing_from_) return false;
    const int limit = world_.IsCold(target) ? kColdLimit : kSlots;
    return static_cast<int>(taken_[static_cast<std::size_t>(target.index_)].size()) < limit;
  }

  // Time in milliseconds from now to the response if the call is sent to the target now.
  double CostAt(const FakeTarget& target, const BenchCall& call) const {
    const Duration way = target.zone_ == call.zone_ ? kLocalDelay : kZoneDelay;
    return 2 * Milliseconds(way) + Milliseconds(call.demand_) * world_.Factor(target);
  }

  // Time in milliseconds to the response if the call waits for a slot of its own zone, behind
  // `ahead` others that do so too.
  double CostOfWaiting(const BenchCall& call, std::size_t ahead) const {
    std::vector<double> ends;
    for (const FakeTarget& target : world_.Targets()) {
      if (target.service_ != call.service_ || target.zone_ != call.zone_) continue;
      if (!world_.ZoneIn(target.zone_) || world_.Now() >= target.failing_from_) continue;
      for (const Time end : taken_[static_cast<std::size_t>(target.index_)]) {
        ends.push_back(Milliseconds(end - world_.Now()));
      }
    }
    if (ends.empty()) return std::numeric_limits<double>::infinity();
    std::sort(ends.begin(), ends.end());
    const std::size_t rounds = ahead / ends.size();
    return ends[ahead % ends.size()] + static_cast<double>(rounds) * 12 +
           2 * Milliseconds(kLocalDelay) + Milliseconds(call.demand_);
  }

  const FakeTarget* BestFree(const BenchCall& call, double* cost) const {
    const FakeTarget* best = nullptr;
    for (const FakeTarget& target : world_.Targets()) {
      if (target.service_ != call.service_ || !IsFree(target)) continue;
      const double target_cost = CostAt(target, call);
      if (best == nullptr || target_cost < *cost) {
        best = &target;
        *cost = target_cost;
      }
    }
    return best;
  }

  void Place(int service) {
    auto& queue = queues_[static_cast<std::size_t>(service)];
    std::array<std::size_t, kZones> ahead{};
    for (auto entry = queue.begin(); entry != queue.end();) {
      const BenchCall& call = entry->call_;
      double cost = 0;
      const FakeTarget* target = BestFree(call, &cost);
      if (target == nullptr && std::all_of(ahead.begin(), ahead.end(), [](auto n) { return n; })) {
        return;
      }
      if (world_.Now() + call.demand_ > call.deadline_) {
        const Waiting late = std::move(*entry);
        entry = queue.erase(entry);
        late.done_(CallEnd::kRefused, late.call_.zone_);
        continue;
      }
      std::size_t& position = ahead[static_cast<std::size_t>(call.zone_)];
      if (target == nullptr || cost > CostOfWaiting(call, position)) {
        ++position;
        ++entry;
        continue;
      }
      Waiting waiting = std::move(*entry);
      entry = queue.erase(entry);
      Send(*target, std::move(waiting));
    }
  }

  void Send(const FakeTarget& target, Waiting waiting) {
    auto& taken = taken_[static_cast<std::size_t>(target.index_)];
    const BenchCall call = waiting.call_;
    const Duration way = target.zone_ == call.zone_ ? kLocalDelay : kZoneDelay;
    const double served = Milliseconds(call.demand_) * world_.Factor(target);
    const Time end = world_.Now() + way + Duration(static_cast<Duration::rep>(served * 1000));
    taken.push_back(end);
    world_.At(end, [this, &taken, end, service = call.service_] {
      taken.erase(std::find(taken.begin(), taken.end(), end));
      Place(service);
    });
    world_.Send(target.index_, call, call.deadline_, call.zone_,
                [this, &target, waiting = std::move(waiting)](const SendEnd& sent) {
                  if (sent.result_ == SendResult::kLost && waiting.call_.idempotent_) {
                    Arrive(waiting.call_, waiting.done_);
                    return;
                  }
                  waiting.done_(
                      sent.result_ == SendResult::kAnswered ? CallEnd::kAnswered : CallEnd::kFailed,
                      target.zone_);
                });
  }

  World& world_;
  std::vector<std::deque<Waiting>> queues_;
  std::vector<std::vector<Time>> taken_;
};

}  // namespace

std::unique_ptr<IPolicy> MakeCentralPolicy(World& world) {
  return std::make_unique<CentralPolicy>(world);
}

}  // namespace monsoonshelf::bench
