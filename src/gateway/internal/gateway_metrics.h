#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "base/base_types.h"

namespace monsoonshelf::gateway {

// Prometheus metrics of one entry host.
class GatewayMetrics {
 public:
  GatewayMetrics(const HostName& host, const std::string& zone);
  ~GatewayMetrics();

  // Counts a finished request. `reason` is the one in its log line `request_done`.
  void CountRequest(std::string_view service, std::string_view outcome, std::string_view reason);
  void ObserveDurations(std::string_view service, Duration total, Duration waiting,
                        Duration at_target);
  // Records the time that a complete response waited for the ones before it on its connection.
  void ObserveResponseOrderWait(std::string_view service, Duration waited);
  void CountSend(std::string_view service, std::string_view result);
  void CountRetry(std::string_view service, std::string_view reason);
  void CountColdSend(std::string_view service);
  // Counts a decision on the quota of a team.
  void CountQuota(std::string_view team, std::string_view action);
  // Counts a second request by what became of it: sent, won, lost, or the reason to withhold it.
  void CountHedge(std::string_view service, std::string_view result);
  // Counts a response to a request of a service under roll-out, and a write of its state.
  void CountRolloutResponse(std::string_view service, std::string_view version,
                            std::string_view result);
  void CountRolloutWrite(std::string_view state, std::string_view status);
  void CountProbe(std::string_view result);
  void CountStoreCall(std::string_view kind, std::string_view status);
  void CountDirectoryQuery();
  // Counts a target that said that it leaves or wants a pause, or a header that says neither.
  void CountTargetNotice(std::string_view kind);
  void CountUnreadableRecord(std::string_view kind);
  // Counts a time in which the content was confirmed longer ago than a change may take.
  void CountContentOverdue();
  // Counts a response of another host after which this host holds other records than that one.
  void CountDifferingRecords(std::string_view kind);
  // Counts what follows a restore of the store from a copy: seen, ignored, held_over, dropped,
  // written_again, registration_kept.
  void CountStoreEra(std::string_view event, double count = 1);
  // Counts a change of the source that the records are read from. `cause` is the one in its log
  // line `source_chosen`.
  void CountSourceChange(std::string_view cause);
  void SetGauge(std::string_view name, double value);
  std::string Format() const;

 private:
  struct Families;
  std::unique_ptr<Families> families_;
};

}  // namespace monsoonshelf::gateway
