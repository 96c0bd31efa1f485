#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "eventloop/timer.h"
#include "gateway/internal/counted_store.h"
#include "gateway/internal/gateway_state.h"
#include "gateway/internal/record_exchange.h"
#include "gateway/reader_choice.h"
#include "gateway/record_feed.h"
#include "gateway/store_era.h"
#include "gateway/store_gate.h"

namespace monsoonshelf::gateway {

namespace detail {

// Cause of a change of the source: this host has far more capacity than the readers.
inline constexpr std::string_view kCapacityCause = "capacity";

inline std::string FormatMilliseconds(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace detail

// Synchronizes the state of a gateway with the store, which is read directly or through another
// entry host of the zone. Registers this host in the store, and detects when the source of the
// records becomes unavailable and available again.
class StoreSync {
 public:
  // Called after records were applied to the state.
  using OnChange = std::function<void()>;
  // Called with each host that the store lists.
  using OnHost = std::function<void(const HostRecord&)>;
  // Called when this host has become a reader.
  using OnReader = std::function<void()>;

  StoreSync(IRecordStore& store, const IRecordFormat& format, GatewayState& state,
            const HostRecord& self, OnChange on_change, OnHost on_host, OnReader on_reader);

  void Start();
  // Called at short intervals.
  void OnTick(const ZoneReaders& zone, Time now);
  // Called when a reader was announced that was not known.
  void OnReaderAnnounced(const ZoneReaders& zone, Time now);
  // Returns whether this host reads the records from the store, with success, so that other hosts
  // may read from it.
  bool IsReader(Time now) const;
  // Age of the content. A host that has just started is given time to find its reader.
  Duration ContentAge(Time now) const;
  // Returns whether no source confirms the content any more.
  bool IsStoreLost() const { return is_lost_; }
  // Returns when the store last confirmed the content.
  Time ConfirmedAt() const { return configuration_feed_.ConfirmedAt(); }
  // Writes the state of a roll-out if the order still has the revision that is known.
  void WriteRolloutState(const RolloutOrder& order, RolloutState state,
                         IRecordStore::WriteCallback callback);
  std::size_t KnownHostCount() const { return hosts_.size(); }
  RecordServer& Server() { return server_; }

 private:
  RecordFeed::Handler MakeFeedHandler(RecordKind kind);
  void OnSnapshot(RecordKind kind, const std::vector<StoredRecord>& records, Revision revision);
  void OnEvents(RecordKind kind, const std::vector<StoreEvent>& events, Revision revision);
  void OnStatus(RecordKind kind, StoreStatus status);
  // Returns whether this host has the content of its source.
  bool OnContents(RecordKind kind, const ContentVersions& contents);
  // Reads the records of the other kinds again if the source has other ones at the same revision.
  void CompareOtherKinds(const ContentVersions& contents);
  void ReportDifference(RecordKind kind, const ContentVersion& other);
  RecordFeed& Feed(RecordKind kind);
  // Logs the calls to the store of the last second.
  void ReportStoreCalls(Time now);
  void ReportUnreadableRecord(RecordKind kind, const StoredRecord& record);
  void PutRecord(RecordKind kind, const StoredRecord& record);
  void DeleteRecord(RecordKind kind, const std::string& name);
  void ApplyConfiguration(const Configuration& configuration);

  Reader Self() const;
  GateRank Rank() const;
  // Returns the address of the reader to read from, or an empty string if there is none or if this
  // host is a reader itself.
  std::string BestSource(Time now) const;
  // Changes to another source if there is a better one.
  void SeekSource(Time now);
  // Asks for a turn to read the store, unless it is being read.
  void RequestStore(std::string_view cause, Time now);
  // Follows a host of another zone while the store serves no host of this one.
  void FollowOtherZone(Time now);
  // Makes the call to the store that is due.
  void RunGate(Time now);
  // `cause` is the reason for the log.
  void UseSource(const std::string& address, std::string_view cause, Time now);
  // Reads the store for a time in which no other source is chosen.
  void ReadStore(Time now);
  void PauseFeeds();
  // Finds out whether the store serves this host again, which then may become a reader.
  void ProbeWhileFollowing(Time now);
  // Checks with an inexpensive call whether the store serves this host.
  void ProbeStore(Time now);
  void OnProbeEnded(StoreStatus status, Time sent_at, Time now);
  bool IsContentOld(Time now) const;
  // Returns when the content becomes, or became, too old.
  Time OldSince(Time now) const;
  // Looks for another source if the content is too old.
  void CheckContentAge(Time now);
  // Reports that this host has become a reader, or is none any more.
  void ReportReaderState(Time now);
  void RestartTargetAndEvacuationFeeds();
  // Logs when the content becomes older than a change may take to come into effect, and when it is
  // confirmed again.
  void ReportContentAge(Time now);
  // Records a response, or a failure, of a call of this host to the store.
  void OnOwnCallEnded(Time now) { last_own_call_ = now; }
  std::string SinceLastOwnCall(Time now) const;
  void OnSourceFailed(StoreStatus status, Time now);
  // Returns the time since the call that proved the configuration in effect was made.
  std::optional<Duration> ProofAge() const;
  void MarkStoreLost(StoreStatus status);
  void OnSourceConfirmed(Time now);

  void RegisterHost();
  void OnHostRegistered(const StoreWrite& write);
  void OnOwnHostRecord(const HostRecord& record, Revision revision);
  void ListHosts(const std::string& after);

  // Applies the era of a response. Returns whether the response may be used.
  bool OnEra(Era era, bool is_from_store);
  void ReportIgnoredEra(Era era, Time now);
  // After a change of the era, lists all records again and keeps those in force for a while.
  void BeginEra(Time now);
  // Returns the records that are in force when the source lists these.
  std::vector<StoredRecord> RecordsInForce(RecordKind kind,
                                           const std::vector<StoredRecord>& records);
  StoreEvent EventInForce(RecordKind kind, const StoreEvent& event);
  // Lets the records of the source alone be in force after the time to hold others over.
  void EndHolds(Time now);
  // Reports what became of the registration of this host after a change of the era.
  void ReportRegistrationChecked(bool is_written);
  // Applies all records of a kind that are in force.
  void ApplyRecords(RecordKind kind, const std::vector<StoredRecord>& records);

  CountedStore store_;
  const IRecordFormat& format_;
  GatewayState& state_;
  OnChange on_change_;
  OnHost on_host_;
  HostRecord self_;
  RecordCaches caches_;
  RecordServer server_;
  RecordFeed configuration_feed_;
  RecordFeed target_feed_;
  RecordFeed evacuation_feed_;
  RecordFeed rollout_feed_;  // Runs only where roll-outs are enabled.

  OnReader on_reader_;
  ZoneReaders zone_;
  std::string source_;  // Address of the host that records are read from; empty for the store.
  Time source_since_{};
  std::unique_ptr<PeerRecordStore> peer_store_;
  // A replaced peer store may still be on the call stack; it is destroyed at the next tick.
  std::vector<std::unique_ptr<PeerRecordStore>> replaced_peer_stores_;
  std::map<std::string, Time> failed_sources_;  // By address, when the last call to it failed.
  // By address: left at this time because of their old content, until the store confirms it again.
  std::map<std::string, Time> left_sources_;
  std::map<HostName, HostRecord> hosts_of_other_zones_;
  bool follows_other_zone_ = false;
  StoreGate gate_;
  bool is_reading_store_ = false;  // Watches the store, as the only or as a further reader.
  bool is_reported_reader_ = false;
  // The latest configuration of the source could not be read, so it is not the one in effect.
  bool is_configuration_unreadable_ = false;
  std::size_t next_seed_ = 0;
  // Changes of the source since the content was last confirmed.
  int unconfirmed_source_changes_ = 0;
  Time confirmed_at_last_change_{};
  bool is_content_overdue_ = false;
  Time store_calls_reported_at_{};
  Time last_own_call_{};  // Zero before the first one ended.
  bool reaches_store_ = true;
  Time served_at_{};   // When the last successful call of this host to the store ended.
  Time last_probe_{};  // When the last probe was sent.
  eventloop::Timer content_age_timer_;
  eventloop::Timer gate_timer_;
  Time started_at_{};
  Time last_passed_on_{};    // Confirmation that the waiting followers were told last.
  Time read_store_until_{};  // Until then this host reads the store itself, without a reader.
  bool is_lost_ = false;     // No source confirms the content.
  Time lost_at_{};
  // Of the last configuration that could not be read; it was read once more.
  Revision unreadable_configuration_ = -1;
  Time regained_at_{};
  // Revision of each unreadable record that was reported.
  std::map<std::pair<RecordKind, std::string>, Revision> reported_unreadable_;

  std::set<HostName> hosts_;
  Revision own_record_revision_ =
      0;  // Revision to replace when registering; 0 to create the record.
  bool is_registered_ = false;
  Time next_registration_{};
  Time next_host_list_{};

  EraTracker era_;
  std::map<RecordKind, EraHold> holds_;
  Departures departures_;
  Era configuration_era_ = 0;             // In which the configuration in effect was applied.
  bool is_registration_checked_ = false;  // The era has changed, and the registration may be lost.
  Time era_ignored_reported_at_{};
};

}  // namespace monsoonshelf::gateway
