#include "gateway/store_era.h"

#include <utility>

#include "gateway/reader_choice.h"

namespace monsoonshelf::gateway {

namespace {

// A host that was cut off for long may miss a few eras. A larger step is more likely a fault.
constexpr Era kMaxEraStep = 100;
// A response of the earlier era can be on its way for as long as a call takes, which is at most
// 1.5 s except for watches, and these are abandoned when the era changes.
constexpr Duration kEraDoubtTime = std::chrono::seconds(3);
constexpr int kEraDoubtResponses = 3;
// Targets register again within 2 s and may need another 2 s to be read. An evacuation that was
// withdrawn, and that the copy does not have, ends within the 5 s of `evacuateMs`.
constexpr Duration kEraHoldTime = std::chrono::milliseconds(4500);
// A copy is some seconds old. The store keeps 20 s of history.
constexpr Duration kDepartureMemory = std::chrono::seconds(30);
constexpr std::size_t kMaxDepartures = 1000;
// The stale lists of 136 hosts are then about 45 calls a second, 1 in 100 of the store's limit.
constexpr Duration kRegistrationSpread = std::chrono::seconds(3);

const TargetRecord* TargetOf(const StoredRecord& record) {
  return std::get_if<TargetRecord>(&record.value_);
}

bool IsSameIncarnation(const StoredRecord& left, const StoredRecord& right) {
  const TargetRecord* left_target = TargetOf(left);
  const TargetRecord* right_target = TargetOf(right);
  return left_target == nullptr || right_target == nullptr ||
         left_target->started_unix_ms_ == right_target->started_unix_ms_;
}

// Returns whether `record` shows an older state than `held`.
bool IsOlder(const StoredRecord& record, const StoredRecord& held) {
  const TargetRecord* target = TargetOf(record);
  const TargetRecord* held_target = TargetOf(held);
  if (target == nullptr || held_target == nullptr) return false;
  if (target->started_unix_ms_ != held_target->started_unix_ms_) {
    return target->started_unix_ms_ < held_target->started_unix_ms_;
  }
  return held_target->draining_ && !target->draining_;
}

bool IsDeparted(const EraHold& hold, const StoredRecord& record) {
  const auto departed = hold.departed_.find(record.name_);
  return departed != hold.departed_.end() &&
         (IsSameIncarnation(record, departed->second) || IsOlder(record, departed->second));
}

}  // namespace

EraVerdict ObserveEra(EraTracker& tracker, Era era, bool is_from_store, Time now) {
  if (era <= 0) return EraVerdict::kUnstated;
  if (tracker.era_ == 0) {
    tracker.era_ = era;
    return EraVerdict::kFirst;
  }
  if (era == tracker.era_) {
    tracker.doubted_era_ = 0;
    return EraVerdict::kCurrent;
  }
  if (era < tracker.era_ || era - tracker.era_ > kMaxEraStep) {
    // Another host may be behind for as long as it cannot reach the store.
    if (!is_from_store) return EraVerdict::kIgnored;
    if (std::exchange(tracker.doubted_era_, era) != era) {
      tracker.doubted_since_ = now;
      tracker.doubted_responses_ = 0;
    }
    ++tracker.doubted_responses_;
    if (tracker.doubted_responses_ < kEraDoubtResponses ||
        now - tracker.doubted_since_ < kEraDoubtTime) {
      return EraVerdict::kIgnored;
    }
  }
  tracker.era_ = era;
  tracker.doubted_era_ = 0;
  return EraVerdict::kChanged;
}

void AddDeparture(Departures& departures, RecordKind kind, StoredRecord record, Time now) {
  std::erase_if(departures,
                [&](const auto& item) { return now - item.second.at_ > kDepartureMemory; });
  if (departures.size() >= kMaxDepartures) return;
  const auto key = std::make_pair(kind, record.name_);
  departures[key] = {std::move(record), now};
}

EraHold MakeHold(RecordKind kind, const std::map<std::string, StoredRecord>& in_force,
                 const Departures& departures, Time now) {
  EraHold hold;
  for (const auto& [name, record] : in_force) {
    if (record.problem_.empty()) hold.present_[name] = record;
  }
  for (const auto& [key, departure] : departures) {
    if (key.first != kind || now - departure.at_ > kDepartureMemory) continue;
    if (!in_force.contains(key.second)) hold.departed_[key.second] = departure.record_;
  }
  return hold;
}

std::vector<StoredRecord> HoldOver(EraHold& hold, std::vector<StoredRecord> listed, Time now,
                                   HoldCounts& counts) {
  if (!hold.until_) hold.until_ = now + kEraHoldTime;
  std::map<std::string, StoredRecord> missing = hold.present_;
  std::vector<StoredRecord> in_force;
  for (StoredRecord& record : listed) {
    if (IsDeparted(hold, record)) {
      ++counts.hidden_;
      continue;
    }
    missing.erase(record.name_);
    const auto held = hold.present_.find(record.name_);
    const bool is_older = held != hold.present_.end() && IsOlder(record, held->second);
    if (is_older) ++counts.kept_;
    in_force.push_back(is_older ? held->second : std::move(record));
  }
  counts.kept_ += missing.size();
  for (auto& [name, record] : missing) in_force.push_back(std::move(record));
  return in_force;
}

StoreEvent HoldOver(EraHold& hold, StoreEvent event) {
  const std::string& name = event.record_.name_;
  const auto held = hold.present_.find(name);
  if (!event.deleted_ && held != hold.present_.end() && IsOlder(event.record_, held->second)) {
    event.record_ = held->second;
    return event;
  }
  const auto departed = hold.departed_.find(name);
  if (!event.deleted_ && departed != hold.departed_.end() &&
      IsOlder(event.record_, departed->second)) {
    event.record_ = StoredRecord{name, 0, {}, {}, {}};
    event.deleted_ = true;
    return event;
  }
  if (held != hold.present_.end()) hold.present_.erase(held);
  if (departed != hold.departed_.end()) hold.departed_.erase(departed);
  return event;
}

bool HasEnded(const EraHold& hold, Time now) { return hold.until_ && now >= *hold.until_; }

Duration RegistrationDelay(const HostName& host, Era era) {
  return Duration(
      static_cast<Duration::rep>(PairHash(host, std::to_string(era)) %
                                 static_cast<std::uint64_t>(kRegistrationSpread.count())));
}

bool ReplacesConfiguration(std::int64_t present_version, Era present_era, std::int64_t version,
                           Era era) {
  return version > present_version || (version == present_version && era > present_era);
}

}  // namespace monsoonshelf::gateway
