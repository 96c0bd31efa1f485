#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/internal/gateway_state.h"
#include "gateway/internal/record_exchange.h"
#include "gateway/reader_choice.h"
#include "gateway/record_feed.h"

namespace monsoonshelf::gateway {

// Keeps the state of a gateway in line with the store, read directly or through another entry host
// of the zone, registers the host there, and notices when the source is lost and regained.
class StoreSync {
 public:
  using OnChange = std::function<void()>;
  using OnHost = std::function<void(const HostRecord&)>;

  StoreSync(IRecordStore& store, const IRecordFormat& format, GatewayState& state,
            const HostRecord& self, OnChange on_change, OnHost on_host);

  void Start();
  // `peers` are the live hosts of the zone.
  void OnTick(const std::vector<ReaderCandidate>& peers, Time now);
  // Whether this host may read for others.
  bool ReachesStore() const { return reaches_store_; }
  bool IsStoreLost() const { return lost_; }
  Time ConfirmedAt() const { return configuration_feed_.ConfirmedAt(); }
  std::size_t KnownHostCount() const { return hosts_.size(); }
  RecordServer& Server() { return server_; }

 private:
  RecordFeed::Handler HandlerOf(RecordKind kind);
  void OnSnapshot(RecordKind kind, const std::vector<StoredRecord>& records, Revision revision);
  void OnEvents(RecordKind kind, const std::vector<StoreEvent>& events, Revision revision);
  void OnStatus(RecordKind kind, StoreStatus status, Duration age);
  void PutRecord(RecordKind kind, const StoredRecord& record);
  void DeleteRecord(RecordKind kind, const std::string& name);
  void ApplyConfiguration(const Configuration& configuration);

  // Where to read now; empty for the store itself.
  std::string BestSource(Time now) const;
  void UseSource(const std::string& address, Time now);
  void ReadStore();
  // Asks with a cheap call whether the store serves this host.
  void ProbeStore(Time now);
  void RestartOtherFeeds();
  void OnSourceFailed(StoreStatus status, Time now);
  void SetLost(StoreStatus status);
  void OnSourceConfirmed(Time now);

  void Register();
  void OnRegistered(const StoreWrite& write);
  void OnOwnRecord(const HostRecord& record, Revision revision);
  void ListHosts(const std::string& after);

  IRecordStore& store_;
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

  std::vector<ReaderCandidate> peers_;
  std::string source_;  // Address of the host that is read; empty for the store.
  Time source_since_{};
  std::unique_ptr<PeerRecordStore> peer_store_;
  // A replaced one may be on the call stack; it is dropped with the next tick.
  std::vector<std::unique_ptr<PeerRecordStore>> replaced_;
  std::map<std::string, Time> avoided_sources_;  // Until when.
  std::size_t next_seed_ = 0;
  bool reaches_store_ = true;
  bool probing_ = false;
  Time next_probe_{};
  Time direct_until_{};
  bool lost_ = false;  // No source confirms the content.
  Time regained_{};

  std::set<HostName> hosts_;
  Revision registered_ = 0;
  bool is_registered_ = false;
  Time next_register_{};
  Time next_host_list_{};
};

}  // namespace monsoonshelf::gateway
