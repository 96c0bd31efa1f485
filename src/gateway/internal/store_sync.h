#pragma once

#include <functional>
#include <set>
#include <string>

#include "gateway/internal/gateway_state.h"
#include "gateway/record_feed.h"

namespace monsoonshelf::gateway {

// Keeps the state of a gateway in line with the store, registers the host there, and notices when
// the store is lost and regained.
class StoreSync {
 public:
  using OnChange = std::function<void()>;
  using OnHost = std::function<void(const HostRecord&)>;

  StoreSync(IRecordStore& store, GatewayState& state, Incarnation incarnation, OnChange on_change,
            OnHost on_host);

  void Start();
  void OnTick(Time now);
  bool IsLost() const { return lost_; }
  Time Confirmed() const { return confirmed_; }
  std::size_t KnownHosts() const { return hosts_.size(); }

 private:
  RecordFeed::Handler HandlerOf(RecordKind kind);
  void OnSnapshot(RecordKind kind, const std::vector<StoredRecord>& records, Revision revision);
  void OnEvent(RecordKind kind, const StoreEvent& event);
  void OnStatus(RecordKind kind, StoreStatus status);
  void PutRecord(RecordKind kind, const StoredRecord& record);
  void DeleteRecord(RecordKind kind, const std::string& name);
  void ApplyConfiguration(const Configuration& configuration);

  void Register();
  void OnRegistered(const StoreWrite& write);
  void ListHosts(const std::string& after);
  void CheckStore(Time now);
  void OnChecked(StoreStatus status);

  IRecordStore& store_;
  GatewayState& state_;
  OnChange on_change_;
  OnHost on_host_;
  HostRecord self_;
  RecordFeed configuration_feed_;
  RecordFeed target_feed_;
  RecordFeed evacuation_feed_;
  std::set<HostName> hosts_;
  Revision registered_ = 0;
  bool is_registered_ = false;
  Time next_register_{};
  Time next_host_list_{};
  Time next_check_{};
  bool checking_ = false;
  int failed_checks_ = 0;
  bool lost_ = false;
  Time regained_{};
  Time confirmed_{};
};

}  // namespace monsoonshelf::gateway
