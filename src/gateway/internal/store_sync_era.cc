#include <utility>

#include "base/clock.h"
#include "gateway/internal/store_sync.h"
#include "logging/logging.h"

// What changes when the store was restored from a copy; see docs/design/store-era.md.

namespace monsoonshelf::gateway {

namespace {

std::string KindName(RecordKind kind) { return std::string(NameOf(kRecordKindNames, kind)); }

}  // namespace

bool StoreSync::OnEra(Era era, bool is_from_store) {
  const Time now = Now();
  const Era previous = era_.era_;
  const EraVerdict verdict = ObserveEra(era_, era, is_from_store, now);
  switch (verdict) {
    case EraVerdict::kUnstated:
    case EraVerdict::kCurrent:
      return true;
    case EraVerdict::kIgnored:
      ReportIgnoredEra(era, now);
      return false;
    case EraVerdict::kFirst:
    case EraVerdict::kChanged:
      break;
  }
  const bool has_content = configuration_feed_.HasSnapshot() || target_feed_.HasSnapshot() ||
                           evacuation_feed_.HasSnapshot();
  state_.metrics_.CountStoreEra("seen");
  logging::LogEvent(
      verdict == EraVerdict::kFirst ? logging::LogLevel::kInfo : logging::LogLevel::kWarning,
      "store_era_seen",
      {{"era", std::to_string(era)},
       {"previous", std::to_string(previous)},
       {"source", is_from_store ? "store" : source_}});
  if (peer_store_ != nullptr) peer_store_->SetEra(era);
  if (verdict == EraVerdict::kFirst && !has_content) return true;
  BeginEra(now);
  return false;
}

void StoreSync::ReportIgnoredEra(Era era, Time now) {
  state_.metrics_.CountStoreEra("ignored");
  constexpr Duration kReportInterval = std::chrono::seconds(1);
  if (now - era_ignored_reported_at_ < kReportInterval) return;
  era_ignored_reported_at_ = now;
  logging::LogEvent(logging::LogLevel::kWarning, "store_era_ignored",
                    {{"era", std::to_string(era)},
                     {"present", std::to_string(era_.era_)},
                     {"source", source_.empty() ? "store" : source_}});
}

void StoreSync::BeginEra(Time now) {
  for (const RecordKind kind : {RecordKind::kTarget, RecordKind::kEvacuation}) {
    std::map<std::string, StoredRecord> in_force = caches_[kind].records_;
    // With another change during a hold, what is held is in force too.
    const auto earlier = holds_.find(kind);
    if (earlier != holds_.end()) {
      std::vector<StoredRecord> listed;
      listed.reserve(in_force.size());
      for (const auto& [name, record] : in_force) listed.push_back(record);
      HoldCounts counts;
      in_force.clear();
      for (StoredRecord& record : HoldOver(earlier->second, std::move(listed), now, counts)) {
        in_force[record.name_] = std::move(record);
      }
    }
    EraHold hold = MakeHold(kind, in_force, departures_, now);
    if (earlier != holds_.end()) hold.departed_.merge(earlier->second.departed_);
    holds_[kind] = std::move(hold);
  }
  // The revision of the registration belongs to the earlier era. The list of hosts shows whether
  // the store still has it, and costs less than a write.
  is_registration_checked_ = is_registration_checked_ || is_registered_;
  is_registered_ = false;
  own_record_revision_ = 0;
  next_registration_ = Time::max();
  next_host_list_ = now + RegistrationDelay(self_.name_, era_.era_);
  configuration_feed_.BeginEra();
  target_feed_.BeginEra();
  evacuation_feed_.BeginEra();
  if (state_.settings_.bounds_.has_rollouts_) rollout_feed_.BeginEra();
}

std::vector<StoredRecord> StoreSync::RecordsInForce(RecordKind kind,
                                                    const std::vector<StoredRecord>& records) {
  const auto hold = holds_.find(kind);
  if (hold == holds_.end()) return records;
  HoldCounts counts;
  std::vector<StoredRecord> in_force = HoldOver(hold->second, records, Now(), counts);
  if (counts.kept_ + counts.hidden_ > 0) {
    state_.metrics_.CountStoreEra("held_over", static_cast<double>(counts.kept_ + counts.hidden_));
    logging::LogEvent(logging::LogLevel::kWarning, "era_records_held",
                      {{"kind", KindName(kind)},
                       {"era", std::to_string(era_.era_)},
                       {"kept", std::to_string(counts.kept_)},
                       {"hidden", std::to_string(counts.hidden_)}});
  }
  return in_force;
}

StoreEvent StoreSync::EventInForce(RecordKind kind, const StoreEvent& event) {
  const auto hold = holds_.find(kind);
  return hold == holds_.end() ? event : HoldOver(hold->second, event);
}

void StoreSync::EndHolds(Time now) {
  for (const RecordKind kind : {RecordKind::kTarget, RecordKind::kEvacuation}) {
    const auto hold = holds_.find(kind);
    if (hold == holds_.end() || !HasEnded(hold->second, now)) continue;
    std::vector<StoredRecord> records;
    std::size_t dropped = 0;
    records.reserve(caches_[kind].records_.size());
    for (const auto& [name, record] : caches_[kind].records_) records.push_back(record);
    for (const auto& [name, record] : hold->second.present_) {
      if (!caches_[kind].records_.contains(name)) ++dropped;
    }
    holds_.erase(hold);
    if (dropped > 0) state_.metrics_.CountStoreEra("dropped", static_cast<double>(dropped));
    logging::LogEvent(logging::LogLevel::kInfo, "era_hold_ended",
                      {{"kind", KindName(kind)},
                       {"era", std::to_string(era_.era_)},
                       {"dropped", std::to_string(dropped)}});
    ApplyRecords(kind, records);
    if (holds_.empty()) {
      std::erase_if(state_.rollouts_, [this](const auto& item) {
        return !caches_[RecordKind::kRollout].records_.contains(item.first);
      });
    }
    on_change_();
  }
}

void StoreSync::ReportRegistrationChecked(bool is_written) {
  if (!std::exchange(is_registration_checked_, false)) return;
  state_.metrics_.CountStoreEra(is_written ? "written_again" : "registration_kept");
  logging::LogEvent(logging::LogLevel::kInfo,
                    is_written ? "host_written_again" : "host_registration_kept",
                    {{"era", std::to_string(era_.era_)}});
}

}  // namespace monsoonshelf::gateway
