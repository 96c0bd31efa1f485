#include "outcomes/outcome_table.h"

#include <algorithm>
#include <limits>
#include <map>
#include <unordered_map>

namespace monsoonshelf::outcomes {

namespace {

struct Kept {
  bool running_ = true;
  FinishedCall finished_;
};

using CallsOfMinute = std::unordered_map<std::string, Kept>;  // By the random part.

std::size_t BodyBytes(const Kept& kept) {
  return kept.finished_.body_.size() + kept.finished_.content_type_.size();
}

}  // namespace

// Calls are grouped by the minute of their identifier, so that a whole minute is dropped at once
// and no call leaves the table while its identifier is still accepted.
struct OutcomeTable {
  HostName home_;
  Incarnation incarnation_ = 0;
  OutcomeTableLimits limits_;
  std::map<std::int64_t, CallsOfMinute> minutes_;
  std::size_t calls_ = 0;
  std::size_t body_bytes_ = 0;
  std::int64_t now_minute_ = std::numeric_limits<std::int64_t>::min();
};

namespace {

std::int64_t OldestMinute(const OutcomeTable& table) {
  return table.now_minute_ - table.limits_.retention_minutes_;
}

void DropExpired(OutcomeTable& table) {
  const auto end = table.minutes_.lower_bound(OldestMinute(table));
  for (auto minute = table.minutes_.begin(); minute != end; ++minute) {
    table.calls_ -= minute->second.size();
    for (const auto& [random, kept] : minute->second) table.body_bytes_ -= BodyBytes(kept);
  }
  table.minutes_.erase(table.minutes_.begin(), end);
}

BeginAnswer AnswerKept(const Kept& kept) {
  if (kept.running_) return {BeginResult::kRunning, {}};
  return {BeginResult::kFinished, kept.finished_};
}

}  // namespace

void OutcomeTableDeleter::operator()(OutcomeTable* table) const { delete table; }

OutcomeTablePtr MakeOutcomeTable(HostName home, Incarnation incarnation,
                                 OutcomeTableLimits limits) {
  auto* table = new OutcomeTable;
  table->home_ = std::move(home);
  table->incarnation_ = incarnation;
  table->limits_ = limits;
  return OutcomeTablePtr(table);
}

BeginAnswer BeginAttempt(OutcomeTable& table, const CallId& id, std::int64_t now_minute) {
  // A clock that is set back must not make an expired identifier new again.
  table.now_minute_ = std::max(table.now_minute_, now_minute);
  DropExpired(table);
  if (id.home_ != table.home_) return {BeginResult::kOtherHome, {}};
  if (id.incarnation_ != table.incarnation_) return {BeginResult::kOtherIncarnation, {}};
  if (id.minute_ < OldestMinute(table)) return {BeginResult::kExpired, {}};
  if (id.minute_ > table.now_minute_ + table.limits_.future_minutes_) {
    return {BeginResult::kFuture, {}};
  }
  const auto minute = table.minutes_.find(id.minute_);
  if (minute != table.minutes_.end()) {
    const auto kept = minute->second.find(id.random_);
    if (kept != minute->second.end()) return AnswerKept(kept->second);
  }
  if (table.calls_ >= table.limits_.max_calls_) return {BeginResult::kFull, {}};
  table.minutes_[id.minute_].emplace(id.random_, Kept{});
  ++table.calls_;
  return {BeginResult::kNew, {}};
}

void FinishAttempt(OutcomeTable& table, const CallId& id, FinishedCall finished) {
  if (id.home_ != table.home_ || id.incarnation_ != table.incarnation_) return;
  const auto minute = table.minutes_.find(id.minute_);
  if (minute == table.minutes_.end()) return;  // The call ran longer than the retention.
  const auto found = minute->second.find(id.random_);
  if (found == minute->second.end() || !found->second.running_) return;
  Kept& kept = found->second;
  kept.running_ = false;
  kept.finished_ = std::move(finished);
  // A content type is as large as the target made it, so it counts as part of the body.
  if (BodyBytes(kept) > table.limits_.max_body_bytes_ ||
      table.body_bytes_ + BodyBytes(kept) > table.limits_.max_total_body_bytes_) {
    kept.finished_.body_ = {};
    kept.finished_.content_type_ = {};
    kept.finished_.body_kept_ = false;
  }
  table.body_bytes_ += BodyBytes(kept);
}

std::size_t CallCount(const OutcomeTable& table) { return table.calls_; }

}  // namespace monsoonshelf::outcomes
