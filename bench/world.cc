#include "bench/world.h"

#include <algorithm>
#include <utility>

namespace monsoonshelf::bench {

namespace {

using dispatch::LoadReport;
using dispatch::SendResult;
using dispatch::TargetPhase;
using std::chrono::milliseconds;

// Interval at which targets refresh the load that they report. Reports in between are stale.
constexpr Duration kReportInterval = milliseconds(20);

// Calls that a target queues when all its slots are in use; it refuses further ones.
constexpr std::size_t kMaxQueuedCalls = 64;

constexpr Duration kFailureResponseTime = milliseconds(1);
constexpr Duration kConfigurationDelay = milliseconds(200);
constexpr double kColdServiceTimeFactor = 2;

}  // namespace

World::World(const RunSettings& settings) : settings_(settings) {
  for (std::size_t service = 0; service < settings.shape_.targets_per_service_.size(); ++service) {
    for (int target_number = 0; target_number < settings.shape_.targets_per_service_[service];
         ++target_number) {
      FakeTarget target;
      target.index_ = static_cast<int>(targets_.size());
      target.name_ = "t" + std::to_string(target.index_);
      target.service_ = static_cast<int>(service);
      target.zone_ = target_number % kZoneCount;
      targets_.push_back(std::move(target));
    }
  }
  RefreshReportedLoad();
}

void World::ScheduleAt(Time time, std::function<void()> event) {
  events_.push_back({std::max(time, now_), next_sequence_++, std::move(event)});
  std::push_heap(events_.begin(), events_.end(), [](const Event& a, const Event& b) {
    return std::tie(a.time_, a.sequence_) > std::tie(b.time_, b.sequence_);
  });
}

void World::RunUntil(Time end) {
  while (!events_.empty() && events_.front().time_ <= end) {
    std::pop_heap(events_.begin(), events_.end(), [](const Event& a, const Event& b) {
      return std::tie(a.time_, a.sequence_) > std::tie(b.time_, b.sequence_);
    });
    Event event = std::move(events_.back());
    events_.pop_back();
    now_ = event.time_;
    event.callback_();
  }
}

void World::SendCall(int target, const BenchCall& call, Time deadline, int from_zone,
                     SendCallback done) {
  FakeTarget& fake = targets_[static_cast<std::size_t>(target)];
  auto job = std::make_shared<Job>();
  job->call_ = call;
  job->sent_time_ = now_;
  job->deadline_ = deadline;
  job->one_way_delay_ = fake.zone_ == from_zone ? kSameZoneDelay : kCrossZoneDelay;
  job->done_ = std::move(done);
  if (call.tree_) {
    ++call.tree_->sends_;
    call.tree_->deepest_level_ = std::max(call.tree_->deepest_level_, call.level_);
  }
  ScheduleAfter(job->one_way_delay_, [this, &fake, job] { ArriveAtTarget(fake, job); });
}

void World::ArriveAtTarget(FakeTarget& target, const JobPtr& job) {
  if (now_ >= target.failing_from_) {
    ScheduleAfter(kFailureResponseTime,
                  [this, &target, job] { SendResponse(target, job, SendResult::kFailed); });
    return;
  }
  if (IsCold(target) && static_cast<int>(target.running_.size()) >= kColdLimit) {
    CountColdOverrun(target, *job);
    ScheduleAfter(kFailureResponseTime,
                  [this, &target, job] { SendResponse(target, job, SendResult::kFailed); });
    return;
  }
  ScheduleAt(job->deadline_,
             [this, &target, job] { FinishCall(target, job, SendResult::kTimedOut); });
  if (static_cast<int>(target.running_.size()) < kSlotsPerTarget) {
    StartService(target, job);
  } else if (target.queued_.size() < kMaxQueuedCalls) {
    target.queued_.push_back(job);
  } else {
    SendResponse(target, job, SendResult::kRefused);
  }
}

void World::CountColdOverrun(FakeTarget& target, const Job& job) {
  ++(job.sent_time_ >= target.cold_known_since_ ? known_cold_overruns_ : unknown_cold_overruns_);
}

void World::StartService(FakeTarget& target, const JobPtr& job) {
  target.running_.push_back(job);
  const double time =
      static_cast<double>(job->call_.service_time_.count()) * ServiceTimeFactor(target);
  job->end_time_ = now_ + Duration(static_cast<Duration::rep>(time));
  ScheduleAt(job->end_time_, [this, &target, job] { EndService(target, job); });
}

// The call keeps its slot during its nested call.
void World::EndService(FakeTarget& target, const JobPtr& job) {
  if (!job->is_open_) return;
  if (!run_nested_call_) {
    FinishCall(target, job, SendResult::kAnswered);
    return;
  }
  run_nested_call_(job->call_, target.zone_, [this, &target, job](bool ok) {
    job->nested_call_failed_ = !ok;
    FinishCall(target, job, ok ? SendResult::kAnswered : SendResult::kFailed);
  });
}

void World::FinishCall(FakeTarget& target, const JobPtr& job, SendResult result) {
  if (!job->is_open_) return;
  job->is_open_ = false;
  std::erase(target.running_, job);
  std::erase(target.queued_, job);
  StartQueuedCalls(target);
  SendResponse(target, job, result);
}

void World::StartQueuedCalls(FakeTarget& target) {
  const int limit = IsCold(target) ? kColdLimit : kSlotsPerTarget;
  while (!target.queued_.empty() && static_cast<int>(target.running_.size()) < limit) {
    const JobPtr job = target.queued_.front();
    target.queued_.pop_front();
    StartService(target, job);
  }
}

void World::SendResponse(FakeTarget& target, const JobPtr& job, SendResult result) {
  job->is_open_ = false;
  ScheduleAfter(job->one_way_delay_, [this, &target, job, result, report = MakeLoadReport(target)] {
    if (report.epoch_ == target.epoch_)
      target.cold_known_since_ = std::min(target.cold_known_since_, now_);
    job->done_({result, report, job->nested_call_failed_});
  });
}

LoadReport World::MakeLoadReport(const FakeTarget& target) const {
  LoadReport report;
  report.in_flight_ = target.reported_in_flight_;
  report.slots_ = kSlotsPerTarget;
  report.phase_ = IsCold(target) ? TargetPhase::kCold : TargetPhase::kReady;
  report.epoch_ = target.epoch_;
  return report;
}

void World::RefreshReportedLoad() {
  for (FakeTarget& target : targets_) {
    target.reported_in_flight_ = static_cast<int>(target.running_.size() + target.queued_.size());
  }
  ScheduleAfter(kReportInterval, [this] { RefreshReportedLoad(); });
}

void World::SendProbe(int target, int from_zone, ProbeCallback done) {
  FakeTarget& fake = targets_[static_cast<std::size_t>(target)];
  const Duration one_way_delay = fake.zone_ == from_zone ? kSameZoneDelay : kCrossZoneDelay;
  ++probe_count_;
  ScheduleAfter(one_way_delay, [this, &fake, one_way_delay, done = std::move(done)] {
    fake.probe_times_.push_back(now_);
    while (fake.probe_times_.front() + std::chrono::seconds(1) < now_)
      fake.probe_times_.pop_front();
    max_probes_in_one_second_ =
        std::max(max_probes_in_one_second_, static_cast<int>(fake.probe_times_.size()));
    ScheduleAfter(settings_.shape_.probe_response_time_ + one_way_delay, [this, &fake, done] {
      fake.cold_known_since_ = std::min(fake.cold_known_since_, now_);
      done(MakeLoadReport(fake));
    });
  });
}

void World::RestartTarget(int target, Duration cold) {
  FakeTarget& fake = targets_[static_cast<std::size_t>(target)];
  ++fake.epoch_;
  fake.cold_until_ = now_ + cold;
  fake.cold_known_since_ = Time::max();
  std::vector<JobPtr> lost = std::exchange(fake.running_, {});
  lost.insert(lost.end(), fake.queued_.begin(), fake.queued_.end());
  fake.queued_.clear();
  for (const JobPtr& job : lost) SendResponse(fake, job, SendResult::kLost);
}

void World::SetZoneInService(int zone, bool in_service, std::function<void()> on_applied) {
  ScheduleAfter(kConfigurationDelay, [this, zone, in_service, on_applied = std::move(on_applied)] {
    zone_in_service_[static_cast<std::size_t>(zone)] = in_service;
    on_applied();
  });
}

double World::ServiceTimeFactor(const FakeTarget& target) const {
  double factor = IsCold(target) ? kColdServiceTimeFactor : 1;
  for (const Slowdown& slowdown : target.slowdowns_) {
    if (now_ >= slowdown.from_ && now_ < slowdown.to_) factor *= slowdown.factor_;
  }
  return factor;
}

std::vector<int> World::CandidateTargets(int service, int zone) const {
  std::vector<int> own;
  std::vector<int> others;
  for (const FakeTarget& target : targets_) {
    if (target.service_ != service || !IsZoneInService(target.zone_)) continue;
    (target.zone_ == zone ? own : others).push_back(target.index_);
  }
  return own.empty() ? others : own;
}

}  // namespace monsoonshelf::bench
