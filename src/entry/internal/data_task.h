#pragma once

#include <memory>
#include <string>
#include <vector>

#include "entry/internal/caller_side.h"
#include "entry/internal/send_relay.h"
#include "entry/internal/soup_target_client.h"
#include "entry/internal/task.h"

namespace monsoonshelf::entry {

class DispatchTask;

// Thread with its own connections to callers and targets. The connections to one address belong to
// one data task, so that the share of connections per target holds without shared counters. All
// public functions may be called from any thread.
class DataTask : private ICallerPort, private IRelayPort {
 public:
  DataTask(const EntrySettings& settings, std::size_t index, const EntryCallbacks& callbacks);
  ~DataTask() override;

  // Wires the tasks; before Start.
  void Connect(std::vector<DataTask*> data_tasks, DispatchTask* dispatch);
  void Start();
  void Stop();

  void SetView(EntryViewPtr view);
  void SetMode(ServingMode mode);
  void Accept(std::shared_ptr<GSocketConnection> connection);

  void StartSend(SendOrder order);
  void CancelSend(SendId send);
  void ReadSend(SendId send);
  void Probe(const ShardKey& shard, const std::string& target, const std::string& address,
             int max_connections);
  void Forget(const std::string& address);

  void Respond(CallHandle call, WholeResponse response);
  void Refuse(CallHandle call, Refusal refusal);
  void DeliverHead(CallHandle call, std::size_t sender, SendId send, ResponseHead head);
  void DeliverChunk(CallHandle call, std::string bytes);
  void DeliverEnd(CallHandle call, bool complete);

  // Waits for the task: number of calls of callers, after closing idle connections if asked.
  std::size_t CountCalls(bool close_idle);

 private:
  class ProbeObserver;

  // ICallerPort.
  void Route(CallArrival arrival) override;
  void CallerGone(CallHandle call) override;
  void ReadMore(std::size_t sender, SendId send) override;
  // IRelayPort.
  void Whole(CallHandle call, WholeResponse response) override;
  void Head(CallHandle call, SendId send, ResponseHead head) override;
  void Chunk(CallHandle call, std::string bytes) override;
  void End(CallHandle call, bool complete) override;
  void Report(SendReport report) override;

  void OnSweep();
  void ArmSweep();
  DataTask& TaskFor(CallHandle call) { return *data_tasks_[TaskOf(call)]; }

  const EntrySettings& settings_;
  const std::size_t index_;
  const EntryCallbacks& callbacks_;
  std::vector<DataTask*> data_tasks_;
  DispatchTask* dispatch_ = nullptr;
  Task task_;
  // Made and destroyed on the thread of the task.
  std::unique_ptr<CallerSide> callers_;
  std::unique_ptr<SendRelay> relay_;
  std::unique_ptr<SoupTargetClient> client_;
  SoupTargetClient* client_pointer_ = nullptr;
  std::unique_ptr<ProbeObserver> probes_;
  std::unique_ptr<Timer> sweep_;
};

}  // namespace monsoonshelf::entry
