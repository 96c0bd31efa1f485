#include "gateway/internal/store_sync.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "logging/logging.h"

namespace monsoonshelf::gateway {

namespace {

// If the store confirmed the content longer ago than this, the store counts as lost. Registrations
// of targets cannot expire during a shorter outage.
constexpr Duration kMaxConfirmationAge = std::chrono::milliseconds(2800);
// Confirmations that follow each other faster are passed on together. Also ends the exchange
// between two hosts that follow each other for a moment.
constexpr Duration kMinConfirmationInterval = std::chrono::milliseconds(100);
// Targets whose registrations expired while the store was unavailable register again within two
// seconds of its return.
constexpr Duration kRemovalGrace = std::chrono::milliseconds(2100);
// A change may be in effect this long after its acknowledgement at the latest. Content that was
// confirmed longer ago may lack a change that is overdue.
constexpr Duration kMaxChangeDelay = std::chrono::seconds(2);
constexpr Duration kStoreCallReportInterval = std::chrono::seconds(1);
constexpr Duration kWriteTimeout = std::chrono::milliseconds(1500);
constexpr Duration kRegistrationRetryInterval = std::chrono::milliseconds(700);
// The second list follows soon: the first one misses hosts that started at the same time.
constexpr Duration kSecondHostListInterval = std::chrono::seconds(4);
constexpr Duration kHostListInterval = std::chrono::seconds(30);

std::string KindName(RecordKind kind) { return std::string(NameOf(kRecordKindNames, kind)); }

}  // namespace

StoreSync::StoreSync(IRecordStore& store, const IRecordFormat& format, GatewayState& state,
                     const HostRecord& self, OnChange on_change, OnHost on_host, OnReader on_reader)
    : store_(store),
      format_(format),
      state_(state),
      on_change_(std::move(on_change)),
      on_host_(std::move(on_host)),
      self_(self),
      server_(
          caches_, [this] { return Now() - configuration_feed_.ConfirmedAt(); },
          [this] { return ProofAge(); }),
      configuration_feed_(RecordKind::kConfiguration, MakeFeedHandler(RecordKind::kConfiguration)),
      target_feed_(RecordKind::kTarget, MakeFeedHandler(RecordKind::kTarget)),
      evacuation_feed_(RecordKind::kEvacuation, MakeFeedHandler(RecordKind::kEvacuation)),
      rollout_feed_(RecordKind::kRollout, MakeFeedHandler(RecordKind::kRollout)),
      on_reader_(std::move(on_reader)),
      content_age_timer_(g_main_context_get_thread_default(), [this] { CheckContentAge(Now()); }),
      gate_timer_(g_main_context_get_thread_default(), [this] { RunGate(Now()); }) {}

RecordFeed::Handler StoreSync::MakeFeedHandler(RecordKind kind) {
  return {[this, kind](const std::vector<StoredRecord>& records, Revision revision) {
            OnSnapshot(kind, records, revision);
          },
          [this, kind](const std::vector<StoreEvent>& events, Revision revision) {
            OnEvents(kind, events, revision);
          },
          [this, kind](StoreStatus status) { OnStatus(kind, status); },
          [this, kind](const ContentVersions& contents) { return OnContents(kind, contents); },
          // The store may drop its history without an end of the other watches.
          kind == RecordKind::kConfiguration
              ? std::function<void()>([this] { RestartTargetAndEvacuationFeeds(); })
              : nullptr,
          [this, kind](Revision revision) { AdvanceRevision(caches_[kind], revision); },
          [this](Era era) { return OnEra(era, source_.empty()); }};
}

std::optional<Duration> StoreSync::ProofAge() const {
  const Time proved_at = state_.configuration_proved_at_;
  if (proved_at == Time{}) return std::nullopt;
  return Now() - proved_at;
}

void StoreSync::OnTick(const ZoneReaders& zone, Time now) {
  replaced_peer_stores_.clear();
  ReportContentAge(now);
  ReportStoreCalls(now);
  if (!is_registered_ && now >= next_registration_) RegisterHost();
  if (now >= next_host_list_) {
    next_host_list_ = now + (hosts_.empty() ? kSecondHostListInterval : kHostListInterval);
    ListHosts({});
  }
  EndHolds(now);
  zone_ = zone;
  ProbeWhileFollowing(now);
  CheckContentAge(now);
  SeekSource(now);
  RunGate(now);
  ReportReaderState(now);
}

void StoreSync::OnReaderAnnounced(const ZoneReaders& zone, Time now) {
  zone_ = zone;
  SeekSource(now);
}

void StoreSync::ReportReaderState(Time now) {
  // A host that has only listed stale records is not worth a message to all its peers.
  const bool is_reader = IsReader(now) && ConfirmedAt() != Time{};
  if (std::exchange(is_reported_reader_, is_reader) == is_reader) return;
  logging::LogEvent(logging::LogLevel::kInfo, is_reader ? "reader_began" : "reader_ended",
                    {{"confirmed_ms_ago", detail::FormatMilliseconds(now - ConfirmedAt())},
                     {"readers", std::to_string(zone_.readers_.size())},
                     {"hosts", std::to_string(zone_.hosts_)}});
  if (is_reader) on_reader_();
}

std::string StoreSync::SinceLastOwnCall(Time now) const {
  return last_own_call_ == Time{} ? "never" : detail::FormatMilliseconds(now - last_own_call_);
}

void StoreSync::ReportContentAge(Time now) {
  if (state_.configuration_ == nullptr) return;
  const bool is_overdue = now - ConfirmedAt() > kMaxChangeDelay;
  if (is_overdue == is_content_overdue_) return;
  is_content_overdue_ = is_overdue;
  logging::LogEvent(is_overdue ? logging::LogLevel::kWarning : logging::LogLevel::kInfo,
                    is_overdue ? "content_overdue" : "content_confirmed",
                    {{"source", source_.empty() ? "store" : source_},
                     {"confirmed_ms_ago", detail::FormatMilliseconds(now - ConfirmedAt())},
                     {"source_changes", std::to_string(unconfirmed_source_changes_)},
                     {"reaches_store", reaches_store_ ? "true" : "false"},
                     {"own_call_ms_ago", SinceLastOwnCall(now)}});
  if (is_overdue) state_.metrics_.CountContentOverdue();
}

void StoreSync::ReportStoreCalls(Time now) {
  if (now - store_calls_reported_at_ < kStoreCallReportInterval) return;
  store_calls_reported_at_ = now;
  const StoreCallCounts counts = store_.TakeCounts();
  if (counts.lists_ + counts.stale_lists_ + counts.watches_ + counts.writes_ == 0) return;
  logging::LogEvent(logging::LogLevel::kInfo, "store_calls",
                    {{"lists", std::to_string(counts.lists_)},
                     {"stale_lists", std::to_string(counts.stale_lists_)},
                     {"watches", std::to_string(counts.watches_)},
                     {"writes", std::to_string(counts.writes_)}});
}

RecordFeed& StoreSync::Feed(RecordKind kind) {
  if (kind == RecordKind::kTarget) return target_feed_;
  if (kind == RecordKind::kRollout) return rollout_feed_;
  return kind == RecordKind::kEvacuation ? evacuation_feed_ : configuration_feed_;
}

bool StoreSync::OnContents(RecordKind kind, const ContentVersions& contents) {
  // The configuration is confirmed most often.
  if (kind == RecordKind::kConfiguration) CompareOtherKinds(contents);
  if (HasContent(caches_[kind], kind, contents)) return true;
  ReportDifference(kind, contents.at(kind));
  return false;
}

void StoreSync::CompareOtherKinds(const ContentVersions& contents) {
  for (const RecordKind kind :
       {RecordKind::kTarget, RecordKind::kEvacuation, RecordKind::kRollout}) {
    if (kind == RecordKind::kRollout && !state_.settings_.bounds_.has_rollouts_) continue;
    const auto other = contents.find(kind);
    // At another revision, changes are still on their way.
    if (other == contents.end() || other->second.revision_ != caches_[kind].revision_) continue;
    if (HasContent(caches_[kind], kind, contents)) continue;
    // A revision of another era; the watch of the kind reports that.
    if (other->second.era_ != 0 && other->second.era_ != caches_[kind].era_) continue;
    ReportDifference(kind, other->second);
    Feed(kind).RequestList();
    Feed(kind).Restart();
  }
}

void StoreSync::ReportDifference(RecordKind kind, const ContentVersion& other) {
  logging::LogEvent(logging::LogLevel::kWarning, "records_differ",
                    {{"kind", KindName(kind)},
                     {"source", source_.empty() ? "store" : source_},
                     {"revision", std::to_string(caches_[kind].revision_)},
                     {"source_revision", std::to_string(other.revision_)},
                     {"count", std::to_string(caches_[kind].records_.size())}});
  state_.metrics_.CountDifferingRecords(KindName(kind));
}

void StoreSync::RestartTargetAndEvacuationFeeds() {
  target_feed_.Restart();
  evacuation_feed_.Restart();
  if (state_.settings_.bounds_.has_rollouts_) rollout_feed_.Restart();
}

void StoreSync::OnSnapshot(RecordKind kind, const std::vector<StoredRecord>& records,
                           Revision revision) {
  logging::LogEvent(logging::LogLevel::kInfo, "records_listed",
                    {{"kind", KindName(kind)},
                     {"count", std::to_string(records.size())},
                     {"revision", std::to_string(revision)}});
  ApplyRecords(kind, RecordsInForce(kind, records));
  ReplaceRecords(caches_[kind], records, revision, era_.era_);
  server_.OnRecordsChanged(kind);
  on_change_();
}

void StoreSync::ApplyRecords(RecordKind kind, const std::vector<StoredRecord>& records) {
  std::set<std::string> present;
  for (const StoredRecord& record : records) present.insert(record.name_);
  if (kind == RecordKind::kTarget) {
    std::vector<TargetId> missing;
    for (const auto& [id, target] : state_.targets_) {
      if (!present.contains(id)) missing.push_back(id);
    }
    for (const TargetId& id : missing) DeleteRecord(kind, id);
  } else if (kind == RecordKind::kEvacuation) {
    std::set<std::string> missing = state_.evacuated_zones_;
    for (const std::string& zone : present) missing.erase(zone);
    for (const std::string& zone : missing) DeleteRecord(kind, zone);
  } else if (kind == RecordKind::kRollout) {
    // A copy may lack an order that the operator writes again; see EndHolds.
    if (holds_.empty()) {
      std::erase_if(state_.rollouts_,
                    [&](const auto& item) { return !present.contains(item.first); });
    }
    state_.has_rollout_list_ = true;
  }
  for (const StoredRecord& record : records) PutRecord(kind, record);
  if (kind == RecordKind::kTarget) state_.has_target_list_ = true;
}

void StoreSync::OnEvents(RecordKind kind, const std::vector<StoreEvent>& events,
                         Revision revision) {
  for (const StoreEvent& written : events) {
    const StoreEvent event = EventInForce(kind, written);
    if (event.deleted_) {
      DeleteRecord(kind, event.record_.name_);
    } else {
      PutRecord(kind, event.record_);
    }
  }
  ApplyEvents(caches_[kind], events, revision);
  server_.OnRecordsChanged(kind);
  on_change_();
}

void StoreSync::ReportUnreadableRecord(RecordKind kind, const StoredRecord& record) {
  // A record that is read again is reported once. The limit bounds the memory that names of another
  // writer take.
  constexpr std::size_t kMaxReported = 1000;
  const auto key = std::make_pair(kind, record.name_);
  const auto reported = reported_unreadable_.find(key);
  if (reported != reported_unreadable_.end() && reported->second == record.revision_) return;
  if (reported_unreadable_.size() >= kMaxReported) reported_unreadable_.clear();
  reported_unreadable_[key] = record.revision_;
  logging::LogEvent(logging::LogLevel::kWarning, "record_unreadable",
                    {{"kind", KindName(kind)},
                     {"name", record.name_},
                     {"revision", std::to_string(record.revision_)},
                     {"problem", record.problem_}});
  state_.metrics_.CountUnreadableRecord(KindName(kind));
}

void StoreSync::PutRecord(RecordKind kind, const StoredRecord& record) {
  if (!record.problem_.empty()) {
    ReportUnreadableRecord(kind, record);
    // A target with an unreadable registration is removed. An unreadable configuration leaves the
    // previous one in effect; it is read once more, in case only the response was spoiled.
    if (kind == RecordKind::kTarget) RemoveTarget(state_, record.name_);
    if (kind == RecordKind::kConfiguration) is_configuration_unreadable_ = true;
    if (kind == RecordKind::kConfiguration &&
        std::exchange(unreadable_configuration_, record.revision_) != record.revision_) {
      configuration_feed_.RequestList();
    }
    return;
  }
  if (const auto* configuration = std::get_if<Configuration>(&record.value_)) {
    is_configuration_unreadable_ = false;
    ApplyConfiguration(*configuration);
  } else if (const auto* target = std::get_if<TargetRecord>(&record.value_)) {
    PutTarget(state_, *target, Now());
  } else if (const auto* zone = std::get_if<EvacuatedZone>(&record.value_)) {
    if (state_.evacuated_zones_.insert(zone->zone_).second) {
      logging::LogEvent(logging::LogLevel::kInfo, "zone_evacuated",
                        {{"name", zone->zone_}, {"revision", std::to_string(record.revision_)}});
    }
  } else if (const auto* order = std::get_if<RolloutOrder>(&record.value_)) {
    state_.rollouts_[order->service_] = *order;
    state_.rollouts_[order->service_].revision_ = record.revision_;
  }
}

void StoreSync::DeleteRecord(RecordKind kind, const std::string& name) {
  if (kind == RecordKind::kEvacuation) {
    if (state_.evacuated_zones_.erase(name) > 0) {
      AddDeparture(departures_, kind, {name, 0, EvacuatedZone{name}, {}, {}}, Now());
      logging::LogEvent(logging::LogLevel::kInfo, "zone_taken_back", {{"name", name}});
    }
    return;
  }
  if (kind == RecordKind::kRollout) state_.rollouts_.erase(name);
  if (kind != RecordKind::kTarget) return;
  const auto found = state_.targets_.find(name);
  if (found == state_.targets_.end()) return;
  const Time now = Now();
  // The copy from which a store was restored has registrations that expire at once.
  const bool was_store_lost =
      is_lost_ || now - regained_at_ < kRemovalGrace || holds_.contains(kind);
  if (!was_store_lost || found->second->record_.draining_) {
    AddDeparture(departures_, kind, {name, 0, found->second->record_, {}, {}}, now);
    return RemoveTarget(state_, name);
  }
  // The registration may have expired because the target could not renew it.
  if (found->second->remove_at_ != Time::max()) return;
  found->second->remove_at_ = std::max(now, regained_at_) + kRemovalGrace;
  logging::LogEvent(logging::LogLevel::kWarning, "target_registration_lapsed", {{"target", name}});
}

void StoreSync::ApplyConfiguration(const Configuration& configuration) {
  const std::int64_t present =
      state_.configuration_ ? state_.configuration_->configuration_.version_ : -1;
  if (!ReplacesConfiguration(present, configuration_era_, configuration.version_, era_.era_))
    return;
  configuration_era_ = era_.era_;
  auto active = std::make_shared<ActiveConfiguration>();
  active->configuration_ = configuration;
  active->routes_ = MakeRouteTable(active->configuration_);
  state_.configuration_ = std::move(active);
  logging::LogEvent(logging::LogLevel::kInfo, "configuration_applied",
                    {{"version", std::to_string(configuration.version_)},
                     {"previous", std::to_string(present)},
                     {"routes", std::to_string(configuration.routes_.size())},
                     {"source", source_.empty() ? "store" : source_}});
}

void StoreSync::OnStatus(RecordKind kind, StoreStatus status) {
  const Time now = Now();
  if (source_.empty()) {
    OnOwnCallEnded(now);
    state_.metrics_.CountStoreCall(KindName(kind), NameOf(kStoreStatusNames, status));
  }
  if (status == StoreStatus::kHistoryGone) {
    // The other watches may have missed changes too, without returning an error.
    if (kind == RecordKind::kConfiguration) RestartTargetAndEvacuationFeeds();
    return;
  }
  if (status != StoreStatus::kOk) {
    logging::LogEvent(logging::LogLevel::kWarning, "read_failed",
                      {{"kind", KindName(kind)},
                       {"source", source_.empty() ? "store" : source_},
                       {"status", std::string(NameOf(kStoreStatusNames, status))}});
    // A host of an earlier version has no roll-outs, and is a good source of the other records.
    if (kind == RecordKind::kRollout) return;
    return OnSourceFailed(status, now);
  }
  if (source_.empty()) {
    reaches_store_ = true;
    served_at_ = now;
  }
  if (kind != RecordKind::kConfiguration) return;
  if (!is_configuration_unreadable_) {
    state_.configuration_proved_at_ =
        std::max(state_.configuration_proved_at_, configuration_feed_.ProvedAt());
  }
  if (!source_.empty() && !IsContentOld(now) && gate_.cause_ != detail::kCapacityCause &&
      !(follows_other_zone_ && reaches_store_)) {
    CloseGate(gate_);
  }
  CheckContentAge(now);
  if (ContentAge(now) > kMaxConfirmationAge) {
    MarkStoreLost(StoreStatus::kUnreachable);
  } else if (ConfirmedAt() > lost_at_) {
    OnSourceConfirmed(now);
  }
}

void StoreSync::MarkStoreLost(StoreStatus status) {
  if (is_lost_) return;
  is_lost_ = true;
  lost_at_ = Now();
  logging::LogEvent(logging::LogLevel::kWarning, "store_lost",
                    {{"source", source_.empty() ? "store" : source_},
                     {"status", std::string(NameOf(kStoreStatusNames, status))}});
}

void StoreSync::OnSourceConfirmed(Time now) {
  ReportReaderState(now);
  if (now - last_passed_on_ >= kMinConfirmationInterval && ConfirmedAt() > last_passed_on_) {
    last_passed_on_ = now;
    server_.OnContentConfirmed(RecordKind::kConfiguration);
  }
  if (!is_lost_) return;
  is_lost_ = false;
  regained_at_ = now;
  for (const auto& [id, target] : state_.targets_) {
    if (target->remove_at_ != Time::max()) target->remove_at_ = now + kRemovalGrace;
  }
  logging::LogEvent(logging::LogLevel::kInfo, "store_regained",
                    {{"source", source_.empty() ? "store" : source_},
                     {"confirmed_ms_ago", detail::FormatMilliseconds(now - ConfirmedAt())}});
  RestartTargetAndEvacuationFeeds();
}

void StoreSync::WriteRolloutState(const RolloutOrder& order, RolloutState state,
                                  IRecordStore::WriteCallback callback) {
  store_.WriteRolloutState(order, state, kWriteTimeout, std::move(callback));
}

void StoreSync::RegisterHost() {
  next_registration_ = Time::max();
  const auto done = [this](const StoreWrite& write) { OnHostRegistered(write); };
  logging::LogEvent(logging::LogLevel::kDebug, "host_registering",
                    {{"replaces", std::to_string(own_record_revision_)}});
  if (own_record_revision_ == 0) {
    store_.CreateHost(self_, kWriteTimeout, done);
  } else {
    store_.ReplaceHost(self_, own_record_revision_, kWriteTimeout, done);
  }
}

void StoreSync::OnHostRegistered(const StoreWrite& write) {
  state_.metrics_.CountStoreCall(KindName(RecordKind::kHost),
                                 NameOf(kStoreStatusNames, write.status_));
  // A write of an earlier era is lost, and the revision that it returned names another object.
  if (!OnEra(write.era_, true)) {
    if (next_registration_ == Time::max() && next_host_list_ == Time::max()) {
      next_registration_ = Now() + kRegistrationRetryInterval;
    }
    return;
  }
  switch (write.status_) {
    case StoreStatus::kOk:
      is_registered_ = true;
      ReportRegistrationChecked(true);
      if (next_host_list_ == Time::max()) next_host_list_ = Now();
      logging::LogEvent(logging::LogLevel::kInfo, "host_registered",
                        {{"revision", std::to_string(write.revision_)}});
      return;
    case StoreStatus::kConflict:
      // An earlier process of this host has registered it: replace that record.
      own_record_revision_ = write.revision_;
      next_registration_ = Now();
      return;
    case StoreStatus::kNotFound:
      own_record_revision_ = 0;
      break;
    default:
      break;
  }
  logging::LogEvent(logging::LogLevel::kWarning, "host_registration_failed",
                    {{"status", std::string(NameOf(kStoreStatusNames, write.status_))}});
  next_registration_ = Now() + kRegistrationRetryInterval;
}

// A registration of an earlier process is kept if its zone and addresses are unchanged, because a
// write is billed.
void StoreSync::OnOwnHostRecord(const HostRecord& record, Revision revision) {
  if (is_registered_) return;
  own_record_revision_ = revision;
  is_registered_ = record.zone_ == self_.zone_ && record.front_address_ == self_.front_address_ &&
                   record.peer_address_ == self_.peer_address_ &&
                   record.control_address_ == self_.control_address_;
  if (is_registered_) ReportRegistrationChecked(false);
}

void StoreSync::ListHosts(const std::string& after) {
  store_.List(RecordKind::kHost, after, Consistency::kStale, kWriteTimeout, [this](StorePage page) {
    state_.metrics_.CountStoreCall(KindName(RecordKind::kHost),
                                   NameOf(kStoreStatusNames, page.status_));
    if (!OnEra(page.era_, true)) {
      next_host_list_ = std::min(next_host_list_, Now() + kSecondHostListInterval);
      return;
    }
    if (page.status_ != StoreStatus::kOk) {
      next_host_list_ = Now() + kSecondHostListInterval;
      return;
    }
    for (const StoredRecord& record : page.records_) {
      const auto* host = std::get_if<HostRecord>(&record.value_);
      if (host == nullptr) continue;
      if (host->name_ == self_.name_) OnOwnHostRecord(*host, record.revision_);
      hosts_.insert(host->name_);
      if (host->zone_ != self_.zone_) hosts_of_other_zones_[host->name_] = *host;
      on_host_(*host);
    }
    if (page.has_more_ && !page.records_.empty()) return ListHosts(page.records_.back().name_);
    if (!is_registered_ && next_registration_ == Time::max()) next_registration_ = Now();
  });
}

}  // namespace monsoonshelf::gateway
