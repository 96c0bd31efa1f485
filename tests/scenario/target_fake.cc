#include "tests/scenario/target_fake.h"

#include <algorithm>

namespace monsoonshelf::scenario {

using dispatch::SendResult;
using dispatch::TargetPhase;

dispatch::LoadReport TargetFake::Report() const {
  const TargetPhase phase = draining_  ? TargetPhase::kDraining
                            : IsCold() ? TargetPhase::kCold
                                       : TargetPhase::kReady;
  return {running_calls_, kSlots, phase, epoch_};
}

void TargetFake::OnCall(const std::string& host, const std::string& id, Time deadline,
                        std::uint64_t connection_epoch, const AnswerCallback& reply) {
  if (down_) return reply({SendResult::kUnreachable, std::nullopt, ""});
  if (connection_epoch != 0 && connection_epoch != epoch_) {
    return reply({SendResult::kLost, std::nullopt, ""});
  }
  checks_.OnRequestArrived(host, name_, zone_);
  const int limit = IsCold() ? kColdLimit : kSlots;
  if (IsCold() && running_calls_ >= kColdLimit) {
    // The sender has had no response since the restart, so it cannot know that the target is cold,
    // and it does not hold the assignment.
    const bool unaware = connection_epoch == 0 && !checks_.holds_assignment_(host, service_, zone_);
    checks_.ReportViolation(2, name_ + " is cold and got call " + id + " from " + host +
                                   " in addition to " + std::to_string(running_calls_) +
                                   (unaware ? ", restart_unknown_to_sender" : ""));
  }
  if (draining_ || running_calls_ >= limit || simulation_.Now() >= deadline) {
    return reply({SendResult::kRefused, Report(), ""});
  }
  checks_.OnCallExecuted(host, id);
  ++running_calls_;
  const auto execution = next_execution_++;
  callbacks_[execution] = reply;
  const Time end = simulation_.Now() + simulation_.Exponential(mean_service_time_);
  const bool in_time = end < deadline;
  simulation_.ScheduleAt(std::min(end, deadline), [=, this] {
    const auto found = callbacks_.find(execution);
    if (found == callbacks_.end()) return;
    const AnswerCallback answer = std::move(found->second);
    callbacks_.erase(found);
    --running_calls_;
    // At the deadline a target stops the call and sends no answer.
    if (!in_time) return;
    const bool mismatch = mismatches_left_ > 0 && mismatches_left_-- > 0;
    answer({mismatch ? SendResult::kInvalid : SendResult::kAnswered, Report(),
            mismatch ? "other" : id});
  });
}

void TargetFake::OnProbe(const AnswerCallback& reply) {
  if (down_) return reply({SendResult::kUnreachable, std::nullopt, ""});
  constexpr std::size_t kMaxProbesPerSecond = 2;
  probes_.push_back(simulation_.Now());
  while (probes_.front() <= simulation_.Now() - std::chrono::seconds(1)) probes_.pop_front();
  if (probes_.size() > kMaxProbesPerSecond) {
    checks_.ReportViolation(
        1, name_ + " got " + std::to_string(probes_.size()) + " probes in a second");
  }
  simulation_.ScheduleAfter(std::chrono::milliseconds(6), [=, this] {
    reply({SendResult::kAnswered, Report(), ""});
  });
}

void TargetFake::Restart() {
  ++epoch_;
  cold_until_ = simulation_.Now() + cold_duration_;
  running_calls_ = 0;
  draining_ = false;
  const auto lost = std::move(callbacks_);
  callbacks_.clear();
  for (const auto& [execution, reply] : lost) reply({SendResult::kLost, std::nullopt, ""});
}

void TargetFake::SetDown(bool down) {
  if (!down_ && down) Restart();
  down_ = down;
  if (!down) Restart();
}

}  // namespace monsoonshelf::scenario
