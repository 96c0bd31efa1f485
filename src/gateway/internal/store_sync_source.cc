#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "gateway/internal/store_sync.h"
#include "logging/logging.h"

// Where the records are read from: the store, another host of the zone, or a host of another zone.

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

}  // namespace

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
  if (state_.settings_.bounds_.has_rollouts_) start_feed(rollout_feed_, kStoreFeed);
  // After this time the reader of the zone is known, so most hosts never read more from the store.
  RequestTurn(gate_, "start", 0, now + kFirstWatchPause);
  RunGate(now);
}

void StoreSync::ProbeWhileFollowing(Time now) {
  const Duration probe_interval =
      follows_other_zone_ ? kProbeIntervalOtherZone : kProbeIntervalFollowing;
  const bool may_replace = follows_other_zone_ || ShouldReplaceReaders(Self(), zone_.readers_);
  if (!source_.empty() && !reaches_store_ && gate_.state_ == StoreGate::State::kClosed &&
      now >= last_probe_ + probe_interval && ProbesWhileFollowing(Rank(), may_replace)) {
    ProbeStore(now);
  }
}

void StoreSync::SeekSource(Time now) {
  if (now < read_store_until_) return;
  if (!source_.empty() && reaches_store_) {
    if (follows_other_zone_) {
      RequestStore("other_zone_left", now);
      if (source_.empty()) return;
    } else if (ShouldReplaceReaders(Self(), zone_.readers_)) {
      RequestStore(detail::kCapacityCause, now);
      if (source_.empty()) return;
    } else if (gate_.cause_ == detail::kCapacityCause) {
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

GateRank StoreSync::Rank() const { return {zone_.higher_ranked_, !hosts_of_other_zones_.empty()}; }

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
                       {"for_ms", detail::FormatMilliseconds(gate_.next_at_ - now)},
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
  switch (TakeAction(gate_, Rank(), now)) {
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
                     {"confirmed_ms_ago", detail::FormatMilliseconds(now - ConfirmedAt())},
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
    if (state_.settings_.bounds_.has_rollouts_) rollout_feed_.ReadFrom(store_, kStoreFeed);
    return;
  }
  peer_store_ = std::make_unique<PeerRecordStore>(*parsed, format_);
  peer_store_->SetEra(era_.era_);
  configuration_feed_.ReadFrom(*peer_store_, kPeerConfigurationFeed);
  target_feed_.ReadFrom(*peer_store_, kPeerFeed);
  evacuation_feed_.ReadFrom(*peer_store_, kPeerFeed);
  if (state_.settings_.bounds_.has_rollouts_) rollout_feed_.ReadFrom(*peer_store_, kPeerFeed);
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
  rollout_feed_.Pause();
}

void StoreSync::ProbeStore(Time now) {
  last_probe_ = now;
  store_.List(RecordKind::kEvacuation, {}, Consistency::kStale, kProbeTimeout,
              [this, now](const StorePage& page) {
                OnEra(page.era_, true);
                OnProbeEnded(page.status_, now, Now());
              });
}

void StoreSync::OnProbeEnded(StoreStatus status, Time sent_at, Time now) {
  OnOwnCallEnded(now);
  state_.metrics_.CountStoreCall("probe", NameOf(kStoreStatusNames, status));
  logging::LogEvent(logging::LogLevel::kInfo, "store_probed",
                    {{"status", std::string(NameOf(kStoreStatusNames, status))},
                     {"source", source_.empty() ? "store" : source_},
                     {"took_ms", detail::FormatMilliseconds(now - sent_at)},
                     {"confirmed_ms_ago", detail::FormatMilliseconds(now - ConfirmedAt())}});
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

}  // namespace monsoonshelf::gateway
