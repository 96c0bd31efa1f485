#pragma once

#include <memory>
#include <string>
#include <vector>

#include "entry/internal/caller_server.h"
#include "entry/internal/send_relay.h"
#include "entry/internal/soup_target_client.h"
#include "entry/internal/task.h"

namespace monsoonshelf::entry {

class DispatchTask;

// A thread with its own connections to callers and targets. All connections to one address belong
// to the same data task, so the connection limit per target needs no counters shared between
// threads. All public functions are safe to call from any thread.
class DataTask : private ICallerServerDelegate, private ISendRelayDelegate {
 public:
  DataTask(const EntrySettings& settings, std::size_t index, const EntryCallbacks& callbacks);
  ~DataTask() override;

  // Sets the other tasks; call it before Start().
  void SetTasks(std::vector<DataTask*> data_tasks, DispatchTask* dispatch);
  void Start();
  void Stop();

  void SetView(EntryViewPtr view);
  void SetMode(ServingMode mode);
  void AcceptConnection(std::shared_ptr<GSocketConnection> connection);

  // Sends to targets and to other entry hosts.
  void StartSend(SendCommand command);
  void CancelSend(SendId send);
  void ReadChunk(SendId send);
  void StartProbe(const ShardKey& shard, const std::string& target, const std::string& address,
                  int max_connections);
  void RemoveAddress(const std::string& address);

  // Responses to calls that this task accepted; see CallerServer.
  void DeliverResponse(CallHandle call, BufferedResponse response);
  void DeliverError(CallHandle call, ErrorResponse error);
  void DeliverHead(CallHandle call, std::size_t sending_task, SendId send, ResponseHead head);
  void DeliverChunk(CallHandle call, std::string bytes);
  void DeliverEnd(CallHandle call, bool complete);

  // Returns the number of calls that this task has accepted and that have not ended. This function
  // and the next block until the thread of the task has run them.
  std::size_t CountCalls();
  // Closes idle caller connections and returns what is left; see CallerServer. Optionally
  // rejects all partly read requests first.
  OpenWork CloseConnections(bool cut_partial_requests);

 private:
  class ProbeRunner;

  // ICallerServerDelegate.
  void RouteCall(CallArrival arrival) override;
  void CancelCall(CallHandle call) override;
  void RequestChunk(std::size_t sending_task, SendId send) override;
  void ConnectionLingers() override { ArmSweepTimer(); }
  // ISendRelayDelegate.
  void RelayResponse(CallHandle call, BufferedResponse response) override;
  void RelayHead(CallHandle call, SendId send, ResponseHead head) override;
  void RelayChunk(CallHandle call, std::string bytes) override;
  void RelayEnd(CallHandle call, bool complete) override;
  void ReportSend(SendReport report) override;

  // Run a function on the thread of the task; without effect after Stop(): the other tasks stop
  // later and may still send messages.
  template <typename Function>
  void PostIfOpen(Function function);
  template <typename Function>
  void RunOrPostIfOpen(Function function);

  void OnSweep();
  void ArmSweepTimer();
  DataTask& AcceptingTask(CallHandle call) { return *data_tasks_[AcceptingTaskIndex(call)]; }

  const EntrySettings& settings_;
  const std::size_t index_;
  const EntryCallbacks& callbacks_;
  std::vector<DataTask*> data_tasks_;
  DispatchTask* dispatch_ = nullptr;
  Task task_;
  // Created and destroyed on the thread of the task.
  std::unique_ptr<CallerServer> caller_server_;
  std::unique_ptr<SendRelay> relay_;
  std::unique_ptr<SoupTargetClient> client_;
  SoupTargetClient* client_pointer_ = nullptr;  // Equals client_; the probe runner refers to it.
  std::unique_ptr<ProbeRunner> probe_runner_;
  std::unique_ptr<Timer> sweep_timer_;
};

}  // namespace monsoonshelf::entry
