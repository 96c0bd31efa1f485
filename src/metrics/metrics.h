#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/base_types.h"
#include "base/call_outcome.h"
#include "base/result.h"

namespace monsoonshelf::metrics {

// The metrics of one process. All functions may be called from any thread.
struct Metrics;
struct MetricsDeleter {
  void operator()(Metrics* metrics) const;
};
using MetricsPtr = std::unique_ptr<Metrics, MetricsDeleter>;

// Host, zone and region become labels of every metric.
MetricsPtr MakeMetrics(const HostName& host, const std::string& zone, const std::string& region);

// Serves GET /metrics. Returns the port, chosen by the kernel when the address has port 0.
// Error: kListenFailed.
Result<int> StartEndpoint(Metrics& metrics, const std::string& address);

// The text that the endpoint serves.
std::string FormatMetrics(const Metrics& metrics);

// A call ended at this host. Once per call.
void CountCall(Metrics& metrics, CallOutcome outcome, ResultCode code);
// `added` is the total time without the time spent at targets.
void ObserveLatency(Metrics& metrics, Duration added, Duration total);
void CountRetry(Metrics& metrics);
// A forward hop; `hop` is home, dispatch or spill.
void CountForward(Metrics& metrics, std::string_view hop);

// Measurement cost: requests to load endpoints, and their bytes in both directions.
void CountProbe(Metrics& metrics, std::int64_t bytes);

// What control has spent since the start of the process.
struct ControlTotals {
  Duration processor_time_{};
  std::uint64_t bytes_sent_ = 0;  // Peer messages and platform calls.
  std::uint64_t bytes_received_ = 0;
  std::uint64_t peer_messages_sent_ = 0;
  std::uint64_t peer_messages_received_ = 0;
  std::uint64_t platform_calls_ = 0;
  std::uint64_t platform_calls_refused_ = 0;  // By the own call budget.
  std::map<ResultCode, std::uint64_t> peer_messages_dropped_;
};
void SetControlTotals(Metrics& metrics, const ControlTotals& totals);

// The revision in effect and when it took effect; the endpoint reports its age as well.
void SetConfiguration(Metrics& metrics, Version revision, Time since);
void CountRecordRejected(Metrics& metrics);

enum class MemberGauge { kAlive, kSuspected, kLeaving, kGone };
void SetMembers(Metrics& metrics, MemberGauge state, int count);

// One shard as this host sees it. Queue and targets are reported by its dispatcher only.
struct ShardMetrics {
  std::string service_;
  std::string zone_;
  HostName dispatcher_;
  bool dispatched_here_ = false;
  int queued_ = 0;
  int free_slots_ = 0;
  int ready_targets_ = 0;
};
// Replaces the shards of the previous call.
void SetShards(Metrics& metrics, const std::vector<ShardMetrics>& shards);

// `side` is caller, target or host. Each data task adds its own changes.
void AddConnections(Metrics& metrics, std::string_view side, int change);
void AddCallsInFlight(Metrics& metrics, int change);
void AddBufferedBytes(Metrics& metrics, std::int64_t change);
void SetOutcomeTableCalls(Metrics& metrics, std::size_t count);

}  // namespace monsoonshelf::metrics
