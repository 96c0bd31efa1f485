#pragma once

#include <memory>
#include <string>
#include <vector>

#include "entry/entry_events.h"
#include "entry/internal/router.h"
#include "entry/internal/task.h"

namespace monsoonshelf::entry {

class DataTask;

// Thread that owns the router of the host. All public functions may be called from any thread.
class DispatchTask : private IRouterPort {
 public:
  DispatchTask(const EntrySettings& settings, const EntryCallbacks& callbacks);
  ~DispatchTask() override;

  void Connect(std::vector<DataTask*> data_tasks) { data_tasks_ = std::move(data_tasks); }
  void Start();
  void Stop();

  void SetView(EntryViewPtr view);
  void RemoteShards(std::vector<coordination::ShardLoad> shards);
  void Call(CallArrival arrival);
  void CallerGone(CallHandle call);
  void SendEnd(SendReport report);
  void ProbeEnd(const ShardKey& shard, const std::string& target,
                const std::optional<dispatch::LoadReport>& report);

 private:
  void Send(SendOrder order) override;
  void CancelSend(const std::string& address, SendId send) override;
  void Probe(const ShardKey& shard, const std::string& target, const std::string& address,
             int max_connections) override;
  void Respond(CallHandle call, WholeResponse response) override;
  void Refuse(CallHandle call, Refusal refusal) override;
  void Forget(const std::string& address) override;
  void Event(KeyValues event) override;

  void ArmTick();
  void OnTick();
  void OnSummary();
  DataTask& SenderFor(const std::string& address);

  const EntrySettings& settings_;
  const EntryCallbacks& callbacks_;
  std::vector<DataTask*> data_tasks_;
  Task task_;
  std::unique_ptr<Router> router_;
  std::unique_ptr<Timer> tick_;
  std::unique_ptr<Timer> summary_;
};

}  // namespace monsoonshelf::entry
