#pragma once

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <atomic>
#include <map>
#include <mutex>
#include <vector>

#include "metrics/metrics.h"

namespace monsoonshelf::metrics {

template <typename Metric>
using Family = prometheus::Family<Metric>;

// Computes the age of the configuration each time the metrics are collected.
class ConfigurationAge : public prometheus::Collectable {
 public:
  explicit ConfigurationAge(prometheus::Labels labels) : labels_(std::move(labels)) {}
  std::vector<prometheus::MetricFamily> Collect() const override;
  // Time in microseconds of BootClock when the configuration took effect; negative if there is
  // none.
  std::atomic<std::int64_t> since_ = -1;

 private:
  prometheus::Labels labels_;
};

struct ShardGauges {
  Family<prometheus::Gauge>& dispatcher_;
  Family<prometheus::Gauge>& queued_;
  Family<prometheus::Gauge>& free_slots_;
  Family<prometheus::Gauge>& ready_targets_;
};

struct Metrics {
  Metrics(const HostName& host, const std::string& zone, const std::string& region);

  prometheus::Labels labels_;
  std::shared_ptr<prometheus::Registry> registry_;
  std::shared_ptr<ConfigurationAge> configuration_age_;

  Family<prometheus::Counter>& calls_;
  prometheus::Histogram& added_latency_;
  prometheus::Histogram& total_latency_;
  prometheus::Counter& retries_;
  Family<prometheus::Counter>& forwards_;
  prometheus::Counter& probes_;
  prometheus::Counter& probe_bytes_;
  prometheus::Counter& control_bytes_sent_;
  prometheus::Counter& control_bytes_received_;
  prometheus::Gauge& control_processor_seconds_;
  prometheus::Counter& peer_messages_sent_;
  prometheus::Counter& peer_messages_received_;
  prometheus::Counter& platform_calls_;
  prometheus::Counter& platform_calls_refused_;
  Family<prometheus::Counter>& peer_messages_dropped_;
  prometheus::Gauge& configuration_revision_;
  prometheus::Counter& rejected_records_;
  Family<prometheus::Gauge>& members_;
  ShardGauges shards_;
  Family<prometheus::Gauge>& connections_;
  prometheus::Gauge& calls_in_flight_;
  prometheus::Gauge& buffered_bytes_;
  prometheus::Gauge& outcome_table_;

  // Counters by outcome and index of the result code, created at first use. A lookup by labels
  // would cost a lock and a hash of strings for each call.
  std::vector<std::atomic<prometheus::Counter*>> call_counters_;
  std::mutex shards_mutex_;
  std::map<std::vector<std::string>, prometheus::Gauge*> dispatcher_gauges_;
  std::map<std::vector<std::string>, std::array<prometheus::Gauge*, 3>> load_gauges_;
  // Declared last, so that it is destroyed first: its threads read the other members.
  std::unique_ptr<prometheus::Exposer> exposer_;
};

}  // namespace monsoonshelf::metrics
