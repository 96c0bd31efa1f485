#include "bench/world.h"

#include <algorithm>
#include <utility>

namespace monsoonshelf::bench {

namespace {

using dispatch::LoadReport;
using dispatch::SendResult;
using dispatch::TargetPhase;
using std::chrono::milliseconds;

// The load values that targets report are refreshed at this interval, so they are stale.
constexpr Duration kReportInterval = milliseconds(20);

// A target that gets more calls than it has slots lets this many wait and refuses the rest.
constexpr std::size_t kMaxWaiting = 64;

constexpr Duration kFailTime = milliseconds(1);
constexpr Duration kConfigurationDelay = milliseconds(200);
constexpr double kColdFactor = 2;

}  // namespace

World::World(const RunSettings& settings) : settings_(settings) {
  for (std::size_t service = 0; service < settings.shape_.workers_.size(); ++service) {
    for (int worker = 0; worker < settings.shape_.workers_[service]; ++worker) {
      FakeTarget target;
      target.index_ = static_cast<int>(targets_.size());
      target.name_ = "t" + std::to_string(target.index_);
      target.service_ = static_cast<int>(service);
      target.zone_ = worker % kZones;
      targets_.push_back(std::move(target));
    }
  }
  RefreshReports();
}

void World::At(Time time, std::function<void()> event) {
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
    event.run_();
  }
}

void World::Send(int target, const BenchCall& call, Time deadline, int from_zone, SendDone done) {
  FakeTarget& fake = targets_[static_cast<std::size_t>(target)];
  auto job = std::make_shared<Job>();
  job->call_ = call;
  job->sent_ = now_;
  job->deadline_ = deadline;
  job->way_ = fake.zone_ == from_zone ? kLocalDelay : kZoneDelay;
  job->done_ = std::move(done);
  if (call.tree_) {
    ++call.tree_->sends_;
    call.tree_->deepest_ = std::max(call.tree_->deepest_, call.level_);
  }
  After(job->way_, [this, &fake, job] { Arrive(fake, job); });
}

void World::Arrive(FakeTarget& target, const JobPtr& job) {
  if (now_ >= target.failing_from_) {
    After(kFailTime, [this, &target, job] { Respond(target, job, SendResult::kFailed); });
    return;
  }
  if (IsCold(target) && static_cast<int>(target.running_.size()) >= kColdLimit) {
    CountCold(target, *job);
    After(kFailTime, [this, &target, job] { Respond(target, job, SendResult::kFailed); });
    return;
  }
  At(job->deadline_, [this, &target, job] { Finish(target, job, SendResult::kTimedOut); });
  if (static_cast<int>(target.running_.size()) < kSlots) {
    Start(target, job);
  } else if (target.waiting_.size() < kMaxWaiting) {
    target.waiting_.push_back(job);
  } else {
    Respond(target, job, SendResult::kRefused);
  }
}

void World::CountCold(FakeTarget& target, const Job& job) {
  ++(job.sent_ >= target.cold_noticed_ ? cold_over_ : cold_blind_);
}

void World::Start(FakeTarget& target, const JobPtr& job) {
  target.running_.push_back(job);
  const double time = static_cast<double>(job->call_.demand_.count()) * Factor(target);
  job->ends_ = now_ + Duration(static_cast<Duration::rep>(time));
  At(job->ends_, [this, &target, job] { Serve(target, job); });
}

// The slot stays taken during nested calls.
void World::Serve(FakeTarget& target, const JobPtr& job) {
  if (!job->open_) return;
  if (!nested_) {
    Finish(target, job, SendResult::kAnswered);
    return;
  }
  nested_(job->call_, target.zone_, [this, &target, job](bool ok) {
    job->failed_below_ = !ok;
    Finish(target, job, ok ? SendResult::kAnswered : SendResult::kFailed);
  });
}

void World::Finish(FakeTarget& target, const JobPtr& job, SendResult result) {
  if (!job->open_) return;
  job->open_ = false;
  std::erase(target.running_, job);
  std::erase(target.waiting_, job);
  RunWaiting(target);
  Respond(target, job, result);
}

void World::RunWaiting(FakeTarget& target) {
  const int limit = IsCold(target) ? kColdLimit : kSlots;
  while (!target.waiting_.empty() && static_cast<int>(target.running_.size()) < limit) {
    const JobPtr job = target.waiting_.front();
    target.waiting_.pop_front();
    Start(target, job);
  }
}

void World::Respond(FakeTarget& target, const JobPtr& job, SendResult result) {
  job->open_ = false;
  After(job->way_, [this, &target, job, result, report = Report(target)] {
    if (report.epoch_ == target.epoch_) target.cold_noticed_ = std::min(target.cold_noticed_, now_);
    job->done_({result, report, job->failed_below_});
  });
}

LoadReport World::Report(const FakeTarget& target) const {
  LoadReport report;
  report.in_flight_ = target.reported_in_flight_;
  report.slots_ = kSlots;
  report.phase_ = IsCold(target) ? TargetPhase::kCold : TargetPhase::kReady;
  report.epoch_ = target.epoch_;
  return report;
}

void World::RefreshReports() {
  for (FakeTarget& target : targets_) {
    target.reported_in_flight_ = static_cast<int>(target.running_.size() + target.waiting_.size());
  }
  After(kReportInterval, [this] { RefreshReports(); });
}

void World::Probe(int target, int from_zone, ProbeDone done) {
  FakeTarget& fake = targets_[static_cast<std::size_t>(target)];
  const Duration way = fake.zone_ == from_zone ? kLocalDelay : kZoneDelay;
  ++measurements_;
  After(way, [this, &fake, way, done = std::move(done)] {
    fake.probes_.push_back(now_);
    while (fake.probes_.front() + std::chrono::seconds(1) < now_) fake.probes_.pop_front();
    probe_max_ = std::max(probe_max_, static_cast<int>(fake.probes_.size()));
    After(settings_.shape_.probe_time_ + way, [this, &fake, done] {
      fake.cold_noticed_ = std::min(fake.cold_noticed_, now_);
      done(Report(fake));
    });
  });
}

void World::Restart(int target, Duration cold) {
  FakeTarget& fake = targets_[static_cast<std::size_t>(target)];
  ++fake.epoch_;
  fake.cold_until_ = now_ + cold;
  fake.cold_noticed_ = Time::max();
  std::vector<JobPtr> lost = std::exchange(fake.running_, {});
  lost.insert(lost.end(), fake.waiting_.begin(), fake.waiting_.end());
  fake.waiting_.clear();
  for (const JobPtr& job : lost) Respond(fake, job, SendResult::kLost);
}

void World::SetZone(int zone, bool in, std::function<void()> on_known) {
  After(kConfigurationDelay, [this, zone, in, on_known = std::move(on_known)] {
    zone_in_[static_cast<std::size_t>(zone)] = in;
    on_known();
  });
}

double World::Factor(const FakeTarget& target) const {
  double factor = IsCold(target) ? kColdFactor : 1;
  for (const Slowdown& slowdown : target.slowdowns_) {
    if (now_ >= slowdown.from_ && now_ < slowdown.to_) factor *= slowdown.factor_;
  }
  return factor;
}

std::vector<int> World::Candidates(int service, int zone) const {
  std::vector<int> own;
  std::vector<int> others;
  for (const FakeTarget& target : targets_) {
    if (target.service_ != service || !ZoneIn(target.zone_)) continue;
    (target.zone_ == zone ? own : others).push_back(target.index_);
  }
  return own.empty() ? others : own;
}

}  // namespace monsoonshelf::bench
