#include "metrics/internal/metrics_state.h"

#include "base/clock.h"

namespace monsoonshelf::metrics {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

template <typename Builder>
auto& AddFamily(Metrics& metrics, Builder builder, const char* name, const char* help) {
  return builder.Name(std::string("monsoonshelf_") + name)
      .Help(help)
      .Labels(metrics.labels_)
      .Register(*metrics.registry_);
}

prometheus::Counter& AddCounter(Metrics& metrics, const char* name, const char* help) {
  return AddFamily(metrics, BuildCounter(), name, help).Add({});
}

prometheus::Gauge& AddGauge(Metrics& metrics, const char* name, const char* help) {
  return AddFamily(metrics, BuildGauge(), name, help).Add({});
}

// In seconds. The steps are about 0.1 ms around 0.72 ms, which is the limit for 99 in 100 calls.
const prometheus::Histogram::BucketBoundaries kAddedLatencyBuckets = {
    0.0001, 0.0002, 0.0003, 0.0004, 0.0005, 0.00055, 0.00072, 0.0009, 0.0012,
    0.0016, 0.002,  0.003,  0.004,  0.005,  0.01,    0.05,    0.25,   1.0};
const prometheus::Histogram::BucketBoundaries kTotalLatencyBuckets = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0};

}  // namespace

std::vector<prometheus::MetricFamily> ConfigurationAge::Collect() const {
  const std::int64_t since = since_.load();
  if (since < 0) return {};
  prometheus::ClientMetric metric;
  for (const auto& [name, value] : labels_) metric.label.push_back({name, value});
  metric.gauge.value = static_cast<double>(Now().time_since_epoch().count() - since) / 1e6;
  return {{"monsoonshelf_configuration_age_seconds",
           "Time since the configuration in effect changed.",
           prometheus::MetricType::Gauge,
           {metric}}};
}

Metrics::Metrics(const HostName& host, const std::string& zone, const std::string& region)
    : labels_{{"host", host}, {"zone_of_host", zone}, {"region", region}},
      registry_(std::make_shared<prometheus::Registry>()),
      configuration_age_(std::make_shared<ConfigurationAge>(labels_)),
      calls_(AddFamily(*this, BuildCounter(), "calls_total",
                       "Calls that ended, by outcome and result code.")),
      added_latency_(AddFamily(*this, BuildHistogram(), "added_latency_seconds",
                               "Time of a call without the time at targets.")
                         .Add({}, kAddedLatencyBuckets)),
      total_latency_(AddFamily(*this, BuildHistogram(), "total_latency_seconds",
                               "Time of a call from the request to the end of the response.")
                         .Add({}, kTotalLatencyBuckets)),
      retries_(AddCounter(*this, "retries_total", "Calls sent to a target again.")),
      forwards_(AddFamily(*this, BuildCounter(), "forwards_total",
                          "Calls passed to another entry host, by hop.")),
      probes_(AddCounter(*this, "probes_total", "Requests to load endpoints of targets.")),
      probe_bytes_(AddCounter(*this, "probe_bytes_total", "Bytes of probes, both directions.")),
      control_bytes_sent_(AddFamily(*this, BuildCounter(), "control_bytes_total",
                                    "Bytes of peer messages and platform calls.")
                              .Add({{"direction", "sent"}})),
      control_bytes_received_(AddFamily(*this, BuildCounter(), "control_bytes_total",
                                        "Bytes of peer messages and platform calls.")
                                  .Add({{"direction", "received"}})),
      control_processor_seconds_(AddGauge(*this, "control_processor_seconds",
                                          "Processor time of the control task since its start.")),
      peer_messages_sent_(AddFamily(*this, BuildCounter(), "peer_messages_total", "Peer messages.")
                              .Add({{"direction", "sent"}})),
      peer_messages_received_(
          AddFamily(*this, BuildCounter(), "peer_messages_total", "Peer messages.")
              .Add({{"direction", "received"}})),
      platform_calls_(AddCounter(*this, "platform_calls_total", "Calls to the platform.")),
      platform_calls_refused_(AddCounter(*this, "platform_calls_refused_total",
                                         "Platform calls that the own call budget did not allow.")),
      peer_messages_dropped_(AddFamily(*this, BuildCounter(), "peer_messages_dropped_total",
                                       "Peer messages that were not accepted, by result code.")),
      configuration_revision_(AddGauge(*this, "configuration_revision",
                                       "Highest record version of the configuration in effect.")),
      rejected_records_(
          AddCounter(*this, "records_rejected_total", "Record versions that failed validation.")),
      members_(AddFamily(*this, BuildGauge(), "members", "Entry hosts by membership state.")),
      shards_{AddFamily(*this, BuildGauge(), "shard_dispatcher",
                        "1 for the dispatcher of each shard as this host sees it."),
              AddFamily(*this, BuildGauge(), "shard_queued_calls",
                        "Calls that wait for a slot, for shards dispatched here."),
              AddFamily(*this, BuildGauge(), "shard_free_slots",
                        "Free slots of ready targets, for shards dispatched here."),
              AddFamily(*this, BuildGauge(), "shard_ready_targets",
                        "Ready targets, for shards dispatched here.")},
      connections_(AddFamily(*this, BuildGauge(), "connections", "Open connections, by side.")),
      calls_in_flight_(AddGauge(*this, "calls_in_flight", "Calls that have not ended.")),
      buffered_bytes_(AddGauge(*this, "buffered_bytes", "Body bytes held for all calls.")),
      outcome_table_(AddGauge(*this, "outcome_table_calls", "Calls kept in the outcome table.")),
      call_counters_(kCallOutcomeNames.size() * ResultCodes().size()) {}

}  // namespace monsoonshelf::metrics
