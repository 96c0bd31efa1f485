#include "gateway/internal/store_sync.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "logging/logging.h"

namespace monsoonshelf::gateway {

namespace {

// The watch of the configuration returns at this interval even without changes. Its response
// confirms that the store is reachable and still keeps the history that the other watches depend
// on: the store may discard changes without ending a watch.
constexpr FeedSettings kStoreConfigurationFeed = {
    .list_timeout_ = std::chrono::milliseconds(600),
    .watch_wait_ = kConfirmationWait,
    .watch_timeout_margin_ = kConfirmationMargin,
    .watch_pause_ = kConfirmationPause,
    .confirms_at_once_ = true,
    // Watches may hear nothing, or be reset, while the store answers other calls.
    .after_failed_watch_ = AfterFailedWatch::kList,
    .min_retry_delay_ = std::chrono::milliseconds(50)};
// The wait bounds how long a watch can hang on a dead connection.
constexpr FeedSettings kStoreFeed = {.watch_wait_ = std::chrono::seconds(8),
                                     .after_failed_watch_ = AfterFailedWatch::kWatch};
// A reader responds to its followers after each confirmation, so a wait ends by itself only if the
// reader has lost the store.
constexpr FeedSettings kPeerConfigurationFeed = {
    .list_timeout_ = std::chrono::milliseconds(500),
    .watch_wait_ = kMaxContentAge,
    .watch_timeout_margin_ = std::chrono::milliseconds(300),
    .watch_pause_ = std::chrono::milliseconds(5),
    .confirms_at_once_ = true};
constexpr FeedSettings kPeerFeed = {.list_timeout_ = std::chrono::milliseconds(500),
                                    .watch_wait_ = std::chrono::seconds(8),
                                    .watch_pause_ = std::chrono::milliseconds(5)};
// Hosts of a zone discover each other within half a second after their start. This pause and one
// confirmation must end before the content counts as too old (kMaxContentAge).
constexpr Duration kFirstWatchPause = std::chrono::milliseconds(600);
// If the store confirmed the content longer ago than this, the store counts as lost. Registrations
// of targets cannot expire during a shorter outage.
constexpr Duration kMaxConfirmationAge = std::chrono::milliseconds(2800);
// A host that failed as a source is not used again for this time while another one is known.
constexpr Duration kFailedSourceBackoff = std::chrono::seconds(8);
// The same if no other one is known.
constexpr Duration kSoleSourceBackoff = std::chrono::milliseconds(300);
// Time for which a follower reads the store itself after its reader failed.
constexpr Duration kDirectReadTime = std::chrono::seconds(1);
// A probe is a stale read, which costs a tenth of a call and shows whether the store serves this
// host. A host that follows a reader needs to know that only to replace one of less capacity.
constexpr Duration kProbeIntervalFollowing = std::chrono::seconds(4);
// Bytes between zones are billed, and the zone of this host has no other reader.
constexpr Duration kProbeIntervalOtherZone = std::chrono::seconds(1);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(600);
// Time in which a newly chosen reader has to confirm the content before this host probes the store.
constexpr Duration kReaderResponseTime = std::chrono::milliseconds(300);
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

// Cause of a change of the source: this host has far more capacity than the readers.
constexpr std::string_view kCapacityCause = "capacity";

std::string FormatMilliseconds(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

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
      server_(caches_, [this] { return Now() - configuration_feed_.ConfirmedAt(); }),
      configuration_feed_(RecordKind::kConfiguration, MakeFeedHandler(RecordKind::kConfiguration)),
      target_feed_(RecordKind::kTarget, MakeFeedHandler(RecordKind::kTarget)),
      evacuation_feed_(RecordKind::kEvacuation, MakeFeedHandler(RecordKind::kEvacuation)),
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
          [this, kind](Revision revision) { AdvanceRevision(caches_[kind], revision); }};
}

void StoreSync::Start() {
  const Time now = Now();
  started_at_ = now;
  // At the first start of the fleet no host is registered, so this host registers at once. Later it
  // usually is registered, and the list of hosts shows whether that record is current.
  next_registration_ = state_.settings_.is_bootstrap_ ? now : Time::max();
  next_host_list_ = state_.settings_.is_bootstrap_ ? Time::max() : now;
  const auto start_feed = [this](RecordFeed& feed, FeedSettings settings) {
    settings.only_lists_ = true;
    feed.ReadFrom(store_, settings);
  };
  start_feed(configuration_feed_, kStoreConfigurationFeed);
  start_feed(target_feed_, kStoreFeed);
  start_feed(evacuation_feed_, kStoreFeed);
  // After this time the reader of the zone is known, so most hosts never read more from the store.
  RequestTurn(gate_, "start", 0, now + kFirstWatchPause);
  RunGate(now);
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
  zone_ = zone;
  const Duration probe_interval =
      follows_other_zone_ ? kProbeIntervalOtherZone : kProbeIntervalFollowing;
  if (!source_.empty() && !reaches_store_ && gate_.state_ == StoreGate::State::kClosed &&
      now >= last_probe_ + probe_interval) {
    ProbeStore(now);
  }
  CheckContentAge(now);
  SeekSource(now);
  ReportReaderState(now);
}

void StoreSync::OnReaderAnnounced(const ZoneReaders& zone, Time now) {
  zone_ = zone;
  SeekSource(now);
}

void StoreSync::SeekSource(Time now) {
  if (now < read_store_until_) return;
  if (!source_.empty() && reaches_store_) {
    if (follows_other_zone_) {
      RequestStore("other_zone_left", now);
      if (source_.empty()) return;
    } else if (ShouldReplaceReaders(Self(), zone_.readers_)) {
      RequestStore(kCapacityCause, now);
      if (source_.empty()) return;
    } else if (gate_.cause_ == kCapacityCause) {
      CloseGate(gate_);
    }
  }
  const std::string source = BestSource(now);
  if (!source.empty()) {
    if (source != source_) UseSource(source, "ranking", now);
    return;
  }
  if (!source_.empty() || is_reading_store_) return;
  // A process that starts while it cannot read the store tries the hosts listed in its settings.
  const auto& seeds = state_.settings_.seeds_;
  if (state_.configuration_ == nullptr && !reaches_store_ && !seeds.empty()) {
    UseSource(seeds[next_seed_++ % seeds.size()], "seed", now);
  }
}

Reader StoreSync::Self() const {
  return {self_.name_, self_.control_address_, self_.capacity_, ConfirmedAt()};
}

std::string StoreSync::BestSource(Time now) const {
  ZoneReaders usable = zone_;
  std::erase_if(usable.readers_, [&](const Reader& reader) {
    const auto left = left_sources_.find(reader.address_);
    return left != left_sources_.end() && reader.confirmed_at_ <= left->second;
  });
  const auto erase_failed = [&](std::vector<Reader>& readers, Duration backoff) {
    std::erase_if(readers, [&](const Reader& reader) {
      const auto failed = failed_sources_.find(reader.address_);
      return failed != failed_sources_.end() && now < failed->second + backoff;
    });
  };
  erase_failed(usable.readers_, kSoleSourceBackoff);
  std::vector<Reader> others = usable.readers_;
  erase_failed(others, kFailedSourceBackoff);
  if (!others.empty()) usable.readers_ = std::move(others);
  return ChooseSource(Self(), IsReader(now), source_, usable);
}

bool StoreSync::IsReader(Time now) const {
  return (follows_other_zone_ || (is_reading_store_ && reaches_store_)) &&
         configuration_feed_.HasSnapshot() && target_feed_.HasSnapshot() &&
         evacuation_feed_.HasSnapshot() && ContentAge(now) <= kMaxContentAge;
}

void StoreSync::RequestStore(std::string_view cause, Time now) {
  if (is_reading_store_) return;
  if (gate_.state_ == StoreGate::State::kClosed) {
    RequestTurn(gate_, cause, zone_.higher_ranked_, now);
    logging::LogEvent(logging::LogLevel::kInfo, "store_turn_awaited",
                      {{"cause", std::string(cause)},
                       {"source", source_.empty() ? "none" : source_},
                       {"for_ms", FormatMilliseconds(gate_.next_at_ - now)},
                       {"higher_ranked", std::to_string(zone_.higher_ranked_)}});
  }
  RunGate(now);
}

void StoreSync::FollowOtherZone(Time now) {
  const HostRecord* best = nullptr;
  for (const auto& [name, host] : hosts_of_other_zones_) {
    const auto failed = failed_sources_.find(host.control_address_);
    if (failed != failed_sources_.end() && now < failed->second + kFailedSourceBackoff) continue;
    if (best == nullptr ||
        ReaderRank(name, host.capacity_) > ReaderRank(best->name_, best->capacity_)) {
      best = &host;
    }
  }
  if (best == nullptr) return;
  UseSource(best->control_address_, "other_zone", now);
  follows_other_zone_ = source_ == best->control_address_;
}

void StoreSync::RunGate(Time now) {
  switch (TakeAction(gate_, zone_.higher_ranked_, now)) {
    case GateAction::kNone:
      break;
    case GateAction::kProbe:
      ProbeStore(now);
      if (!follows_other_zone_ && ShouldFollowOtherZone(gate_, zone_.higher_ranked_, now) &&
          BestSource(now).empty()) {
        FollowOtherZone(now);
      }
      break;
    case GateAction::kRead:
      ReadStore(now);
      break;
  }
  if (gate_.state_ != StoreGate::State::kClosed) gate_timer_.Set(gate_.next_at_);
}

void StoreSync::UseSource(const std::string& address, std::string_view cause, Time now) {
  const auto parsed = ParseAddress(address);
  if (!address.empty() && (!parsed || address == self_.control_address_)) return;
  if (std::exchange(confirmed_at_last_change_, ConfirmedAt()) != ConfirmedAt()) {
    unconfirmed_source_changes_ = 0;
  }
  ++unconfirmed_source_changes_;
  state_.metrics_.CountSourceChange(cause);
  logging::LogEvent(logging::LogLevel::kInfo, "source_chosen",
                    {{"from", source_.empty() ? "store" : source_},
                     {"to", address.empty() ? "store" : address},
                     {"cause", std::string(cause)},
                     {"confirmed_ms_ago", FormatMilliseconds(now - ConfirmedAt())},
                     {"changes_since", std::to_string(unconfirmed_source_changes_)},
                     {"reaches_store", reaches_store_ ? "true" : "false"},
                     {"readers", std::to_string(zone_.readers_.size())},
                     {"own_call_ms_ago", SinceLastOwnCall(now)}});
  source_ = address;
  source_since_ = now;
  is_reading_store_ = address.empty();
  follows_other_zone_ = false;
  if (peer_store_ != nullptr) replaced_peer_stores_.push_back(std::move(peer_store_));
  if (address.empty()) {
    // A list shows the latest configuration also while watches hear nothing.
    configuration_feed_.RequestList();
    configuration_feed_.ReadFrom(store_, kStoreConfigurationFeed);
    target_feed_.ReadFrom(store_, kStoreFeed);
    evacuation_feed_.ReadFrom(store_, kStoreFeed);
    return;
  }
  peer_store_ = std::make_unique<PeerRecordStore>(*parsed, format_);
  configuration_feed_.ReadFrom(*peer_store_, kPeerConfigurationFeed);
  target_feed_.ReadFrom(*peer_store_, kPeerFeed);
  evacuation_feed_.ReadFrom(*peer_store_, kPeerFeed);
}

void StoreSync::ReadStore(Time now) {
  const std::string_view cause = gate_.cause_;
  CloseGate(gate_);
  // Which of the other hosts read the store is known again after this time.
  read_store_until_ = now + kDirectReadTime;
  UseSource({}, cause, now);
}

void StoreSync::PauseFeeds() {
  configuration_feed_.Pause();
  target_feed_.Pause();
  evacuation_feed_.Pause();
}

void StoreSync::ProbeStore(Time now) {
  last_probe_ = now;
  store_.List(RecordKind::kEvacuation, {}, Consistency::kStale, kProbeTimeout,
              [this, now](const StorePage& page) { OnProbeEnded(page.status_, now, Now()); });
}

void StoreSync::OnProbeEnded(StoreStatus status, Time sent_at, Time now) {
  OnOwnCallEnded(now);
  state_.metrics_.CountStoreCall("probe", NameOf(kStoreStatusNames, status));
  logging::LogEvent(logging::LogLevel::kInfo, "store_probed",
                    {{"status", std::string(NameOf(kStoreStatusNames, status))},
                     {"source", source_.empty() ? "store" : source_},
                     {"took_ms", FormatMilliseconds(now - sent_at)},
                     {"confirmed_ms_ago", FormatMilliseconds(now - ConfirmedAt())}});
  const bool is_served = status == StoreStatus::kOk;
  // An earlier probe may end after a later one.
  if (!is_served && sent_at <= served_at_) return;
  if (is_served) served_at_ = now;
  // A read that is in progress ends by its own timeout.
  if (is_reading_store_) return;
  reaches_store_ = is_served;
  SeekSource(now);
  ApplyProbeResult(gate_, is_served, zone_.higher_ranked_, now);
  RunGate(now);
}

bool StoreSync::IsContentOld(Time now) const {
  // Before the first configuration, the feeds and the seeds decide what is read.
  return state_.configuration_ != nullptr && ContentAge(now) > kMaxContentAge;
}

Time StoreSync::OldSince(Time now) const { return now - ContentAge(now) + kMaxContentAge; }

Duration StoreSync::ContentAge(Time now) const {
  return now - std::max(ConfirmedAt(), started_at_ + kFirstWatchPause);
}

void StoreSync::CheckContentAge(Time now) {
  if (state_.configuration_ == nullptr) return;
  if (!IsContentOld(now)) {
    // The next check happens right after the age is exceeded.
    return content_age_timer_.Set(OldSince(now) + std::chrono::milliseconds(1));
  }
  // The calls of a host that reads the store end by their own timeouts.
  if (is_reading_store_) return;
  if (!source_.empty()) {
    const Time response_due = source_since_ + kReaderResponseTime;
    if (now < response_due) {
      content_age_timer_.Set(response_due);
    } else {
      Time& left = left_sources_[source_];
      left = std::max({left, OldSince(now), source_since_});
      if (follows_other_zone_) return OnSourceFailed(StoreStatus::kUnreachable, now);
      SeekSource(now);
    }
  }
  RequestStore("content_age", now);
}

void StoreSync::ReportReaderState(Time now) {
  // A host that has only listed stale records is not worth a message to all its peers.
  const bool is_reader = IsReader(now) && ConfirmedAt() != Time{};
  if (std::exchange(is_reported_reader_, is_reader) == is_reader) return;
  logging::LogEvent(logging::LogLevel::kInfo, is_reader ? "reader_began" : "reader_ended",
                    {{"confirmed_ms_ago", FormatMilliseconds(now - ConfirmedAt())},
                     {"readers", std::to_string(zone_.readers_.size())},
                     {"hosts", std::to_string(zone_.hosts_)}});
  if (is_reader) on_reader_();
}

std::string StoreSync::SinceLastOwnCall(Time now) const {
  return last_own_call_ == Time{} ? "never" : FormatMilliseconds(now - last_own_call_);
}

void StoreSync::ReportContentAge(Time now) {
  if (state_.configuration_ == nullptr) return;
  const bool is_overdue = now - ConfirmedAt() > kMaxChangeDelay;
  if (is_overdue == is_content_overdue_) return;
  is_content_overdue_ = is_overdue;
  logging::LogEvent(is_overdue ? logging::LogLevel::kWarning : logging::LogLevel::kInfo,
                    is_overdue ? "content_overdue" : "content_confirmed",
                    {{"source", source_.empty() ? "store" : source_},
                     {"confirmed_ms_ago", FormatMilliseconds(now - ConfirmedAt())},
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
  for (const RecordKind kind : {RecordKind::kTarget, RecordKind::kEvacuation}) {
    const auto other = contents.find(kind);
    // At another revision, changes are still on their way.
    if (other == contents.end() || other->second.revision_ != caches_[kind].revision_) continue;
    if (HasContent(caches_[kind], kind, contents)) continue;
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
}

void StoreSync::OnSnapshot(RecordKind kind, const std::vector<StoredRecord>& records,
                           Revision revision) {
  logging::LogEvent(logging::LogLevel::kInfo, "records_listed",
                    {{"kind", KindName(kind)},
                     {"count", std::to_string(records.size())},
                     {"revision", std::to_string(revision)}});
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
  }
  for (const StoredRecord& record : records) PutRecord(kind, record);
  if (kind == RecordKind::kTarget) state_.has_target_list_ = true;
  ReplaceRecords(caches_[kind], records, revision);
  server_.OnRecordsChanged(kind);
  on_change_();
}

void StoreSync::OnEvents(RecordKind kind, const std::vector<StoreEvent>& events,
                         Revision revision) {
  for (const StoreEvent& event : events) {
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
    if (kind == RecordKind::kConfiguration &&
        std::exchange(unreadable_configuration_, record.revision_) != record.revision_) {
      configuration_feed_.RequestList();
    }
    return;
  }
  if (const auto* configuration = std::get_if<Configuration>(&record.value_)) {
    ApplyConfiguration(*configuration);
  } else if (const auto* target = std::get_if<TargetRecord>(&record.value_)) {
    PutTarget(state_, *target, Now());
  } else if (const auto* zone = std::get_if<EvacuatedZone>(&record.value_)) {
    if (state_.evacuated_zones_.insert(zone->zone_).second) {
      logging::LogEvent(logging::LogLevel::kInfo, "zone_evacuated",
                        {{"name", zone->zone_}, {"revision", std::to_string(record.revision_)}});
    }
  }
}

void StoreSync::DeleteRecord(RecordKind kind, const std::string& name) {
  if (kind == RecordKind::kEvacuation) {
    if (state_.evacuated_zones_.erase(name) > 0) {
      logging::LogEvent(logging::LogLevel::kInfo, "zone_taken_back", {{"name", name}});
    }
    return;
  }
  if (kind != RecordKind::kTarget) return;
  const auto found = state_.targets_.find(name);
  if (found == state_.targets_.end()) return;
  const Time now = Now();
  const bool was_store_lost = is_lost_ || now - regained_at_ < kRemovalGrace;
  if (!was_store_lost || found->second->record_.draining_) return RemoveTarget(state_, name);
  // The registration may have expired because the target could not renew it.
  if (found->second->remove_at_ != Time::max()) return;
  found->second->remove_at_ = std::max(now, regained_at_) + kRemovalGrace;
  logging::LogEvent(logging::LogLevel::kWarning, "target_registration_lapsed", {{"target", name}});
}

void StoreSync::ApplyConfiguration(const Configuration& configuration) {
  const std::int64_t present =
      state_.configuration_ ? state_.configuration_->configuration_.version_ : -1;
  if (configuration.version_ <= present) return;
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
    return OnSourceFailed(status, now);
  }
  if (source_.empty()) {
    reaches_store_ = true;
    served_at_ = now;
  }
  if (kind != RecordKind::kConfiguration) return;
  if (!source_.empty() && !IsContentOld(now) && gate_.cause_ != kCapacityCause &&
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

void StoreSync::OnSourceFailed(StoreStatus status, Time now) {
  if (!source_.empty()) {
    failed_sources_[source_] = now;
    const std::string source = BestSource(now);
    if (!source.empty()) return UseSource(source, "source_failed", now);
    source_.clear();
    follows_other_zone_ = false;
    replaced_peer_stores_.push_back(std::move(peer_store_));
    PauseFeeds();
    return RequestStore("source_failed", now);
  }
  reaches_store_ = false;
  is_reading_store_ = false;
  read_store_until_ = {};
  MarkStoreLost(status);
  // Failed calls are billed too, so nothing is read until the store responds to an inexpensive
  // probe.
  PauseFeeds();
  SeekSource(now);
  if (source_.empty()) RequestStore("store_failed", now);
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
                     {"confirmed_ms_ago", FormatMilliseconds(now - ConfirmedAt())}});
  RestartTargetAndEvacuationFeeds();
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
  switch (write.status_) {
    case StoreStatus::kOk:
      is_registered_ = true;
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
}

void StoreSync::ListHosts(const std::string& after) {
  store_.List(RecordKind::kHost, after, Consistency::kStale, kWriteTimeout, [this](StorePage page) {
    state_.metrics_.CountStoreCall(KindName(RecordKind::kHost),
                                   NameOf(kStoreStatusNames, page.status_));
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
