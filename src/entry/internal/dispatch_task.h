#pragma once

#include <memory>
#include <string>
#include <vector>

#include "entry/entry_events.h"
#include "entry/internal/router.h"
#include "entry/internal/task.h"

namespace monsoonshelf::entry {

class DataTask;

// The thread that runs the router of the host. All public functions are safe to call from any
// thread.
class DispatchTask : private IRouterDelegate {
 public:
  DispatchTask(const EntrySettings& settings, const EntryCallbacks& callbacks);
  ~DispatchTask() override;

  void SetTasks(std::vector<DataTask*> data_tasks) { data_tasks_ = std::move(data_tasks); }
  void Start();
  void Stop();

  void SetView(EntryViewPtr view);
  void SetRemoteShards(std::vector<coordination::ShardLoad> shards);
  void RouteCall(CallArrival arrival);
  void CancelCall(CallHandle call);
  // Ends all calls; see Router. Blocks until the thread of the task has run it.
  void CutCalls();
  void ReportSend(SendReport report);
  void ReportProbe(const ShardKey& shard, const std::string& target,
                   const std::optional<dispatch::LoadReport>& report);

 private:
  void StartSend(SendCommand command) override;
  void CancelSend(const std::string& address, SendId send) override;
  void StartProbe(const ShardKey& shard, const std::string& target, const std::string& address,
                  int max_connections) override;
  void DeliverResponse(CallHandle call, BufferedResponse response) override;
  void DeliverError(CallHandle call, ErrorResponse error) override;
  void RemoveAddress(const std::string& address) override;
  void ReportEvent(KeyValues event) override;

  void ArmTickTimer();
  void OnTick();
  void ExchangeLoad();
  DataTask& SendingTask(const std::string& address);

  const EntrySettings& settings_;
  const EntryCallbacks& callbacks_;
  std::vector<DataTask*> data_tasks_;
  Task task_;
  std::unique_ptr<Router> router_;
  std::unique_ptr<Timer> tick_timer_;
  std::unique_ptr<Timer> load_exchange_timer_;
};

}  // namespace monsoonshelf::entry
