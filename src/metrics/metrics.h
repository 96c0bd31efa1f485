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

// Creates the metrics of an entry host. Host, zone and region are labels of every metric.
MetricsPtr MakeMetrics(const HostName& host, const std::string& zone, const std::string& region);

// Serves GET /metrics at the address. Returns the port, which the kernel chooses if the address has
// port 0.
// Error: kListenFailed.
Result<int> StartEndpoint(Metrics& metrics, const std::string& address);

// Returns the text that the endpoint serves.
std::string FormatMetrics(const Metrics& metrics);

// Counts a call that ended at this host. Must be called once per call.
void CountCall(Metrics& metrics, CallOutcome outcome, ResultCode code);
// Records the latency of a call. `added` is the total time without the time spent at targets.
void ObserveLatency(Metrics& metrics, Duration added, Duration total);
void CountRetry(Metrics& metrics);
// Counts a call that was forwarded to another entry host; `hop` is home, dispatch or spill.
void CountForward(Metrics& metrics, std::string_view hop);

// Counts a probe, which is a request to the load endpoint of a target, and its bytes in both
// directions.
void CountProbe(Metrics& metrics, std::int64_t bytes);

// Totals of the control task since the start of the process.
struct ControlTotals {
  Duration processor_time_{};
  std::uint64_t bytes_sent_ = 0;  // Peer messages and platform calls.
  std::uint64_t bytes_received_ = 0;
  std::uint64_t peer_messages_sent_ = 0;
  std::uint64_t peer_messages_received_ = 0;
  std::uint64_t platform_calls_ = 0;
  std::uint64_t platform_calls_refused_ = 0;  // By this host's rate limit.
  std::map<ResultCode, std::uint64_t> peer_messages_dropped_;
};
void SetControlTotals(Metrics& metrics, const ControlTotals& totals);

// Sets the configuration revision in effect. `since` is the time when it took effect; the endpoint
// also reports the age of the configuration.
void SetConfiguration(Metrics& metrics, Version revision, Time since);
void CountRecordRejected(Metrics& metrics);

// Membership state of entry hosts.
enum class MemberGauge { kAlive, kSuspected, kLeaving, kGone };
void SetMembers(Metrics& metrics, MemberGauge state, int count);

// One shard as seen by this host. Only the dispatcher of a shard reports its queue and targets.
struct ShardMetrics {
  std::string service_;
  std::string zone_;
  HostName dispatcher_;
  bool dispatched_here_ = false;
  int queued_ = 0;
  int free_slots_ = 0;
  int ready_targets_ = 0;
};
// Sets the gauges of all shards, and removes those of shards that are not in `shards`.
void SetShards(Metrics& metrics, const std::vector<ShardMetrics>& shards);

// Adds `change` to the number of open connections. `side` is caller, target or host. Each data task
// reports its own changes.
void AddConnections(Metrics& metrics, std::string_view side, int change);
void AddCallsInFlight(Metrics& metrics, int change);
void AddBufferedBytes(Metrics& metrics, std::int64_t change);
void SetOutcomeTableCalls(Metrics& metrics, std::size_t count);

}  // namespace monsoonshelf::metrics
