#include "outcomes/outcome_table.h"

#include <algorithm>
#include <limits>
#include <map>
#include <unordered_map>

namespace monsoonshelf::outcomes {

namespace {

struct CallEntry {
  bool running_ = true;
  FinishedCall finished_;
};

using CallsOfMinute = std::unordered_map<std::string, CallEntry>;  // Keyed by the random part.

std::size_t BodyBytes(const CallEntry& entry) {
  return entry.finished_.body_.size() + entry.finished_.content_type_.size();
}

}  // namespace

// Calls are grouped by the minute of their identifier. Expired minutes are dropped as a whole, and
// no call is removed while its identifier is still accepted.
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

std::int64_t OldestAcceptedMinute(const OutcomeTable& table) {
  return table.now_minute_ - table.limits_.retention_minutes_;
}

void DropExpired(OutcomeTable& table) {
  const auto end = table.minutes_.lower_bound(OldestAcceptedMinute(table));
  for (auto minute = table.minutes_.begin(); minute != end; ++minute) {
    table.calls_ -= minute->second.size();
    for (const auto& [random, entry] : minute->second) table.body_bytes_ -= BodyBytes(entry);
  }
  table.minutes_.erase(table.minutes_.begin(), end);
}

BeginAnswer AnswerFromEntry(const CallEntry& entry) {
  if (entry.running_) return {BeginResult::kRunning, {}};
  return {BeginResult::kFinished, entry.finished_};
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
  // An expired identifier must stay expired if the clock is set back.
  table.now_minute_ = std::max(table.now_minute_, now_minute);
  DropExpired(table);
  if (id.home_ != table.home_) return {BeginResult::kOtherHome, {}};
  if (id.incarnation_ != table.incarnation_) return {BeginResult::kOtherIncarnation, {}};
  if (id.minute_ < OldestAcceptedMinute(table)) return {BeginResult::kExpired, {}};
  if (id.minute_ > table.now_minute_ + table.limits_.future_minutes_) {
    return {BeginResult::kFuture, {}};
  }
  const auto minute = table.minutes_.find(id.minute_);
  if (minute != table.minutes_.end()) {
    const auto entry = minute->second.find(id.random_);
    if (entry != minute->second.end()) return AnswerFromEntry(entry->second);
  }
  if (table.calls_ >= table.limits_.max_calls_) return {BeginResult::kFull, {}};
  table.minutes_[id.minute_].emplace(id.random_, CallEntry{});
  ++table.calls_;
  return {BeginResult::kNew, {}};
}

void FinishAttempt(OutcomeTable& table, const CallId& id, FinishedCall finished) {
  if (id.home_ != table.home_ || id.incarnation_ != table.incarnation_) return;
  const auto minute = table.minutes_.find(id.minute_);
  if (minute == table.minutes_.end()) return;  // The call ran longer than the retention.
  const auto found = minute->second.find(id.random_);
  if (found == minute->second.end() || !found->second.running_) return;
  CallEntry& entry = found->second;
  entry.running_ = false;
  entry.finished_ = std::move(finished);
  // The target determines the size of the content type, so it counts towards the limit of the body.
  if (BodyBytes(entry) > table.limits_.max_body_bytes_ ||
      table.body_bytes_ + BodyBytes(entry) > table.limits_.max_total_body_bytes_) {
    entry.finished_.body_ = {};
    entry.finished_.content_type_ = {};
    entry.finished_.body_kept_ = false;
  }
  table.body_bytes_ += BodyBytes(entry);
}

std::size_t CallCount(const OutcomeTable& table) { return table.calls_; }

}  // namespace monsoonshelf::outcomes
