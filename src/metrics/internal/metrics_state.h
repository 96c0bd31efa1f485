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

// Reports the age of the configuration at the time of the request.
class ConfigurationAge : public prometheus::Collectable {
 public:
  explicit ConfigurationAge(prometheus::Labels labels) : labels_(std::move(labels)) {}
  std::vector<prometheus::MetricFamily> Collect() const override;
  // Microseconds of BootClock; negative without a configuration.
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
  std::shared_ptr<ConfigurationAge> age_;

  Family<prometheus::Counter>& calls_;
  prometheus::Histogram& added_latency_;
  prometheus::Histogram& total_latency_;
  prometheus::Counter& retries_;
  Family<prometheus::Counter>& forwards_;
  prometheus::Counter& probes_;
  prometheus::Counter& probe_bytes_;
  prometheus::Counter& control_sent_;
  prometheus::Counter& control_received_;
  prometheus::Gauge& control_processor_;
  prometheus::Counter& peer_sent_;
  prometheus::Counter& peer_received_;
  prometheus::Counter& platform_calls_;
  prometheus::Counter& platform_refused_;
  Family<prometheus::Counter>& peer_dropped_;
  prometheus::Gauge& revision_;
  prometheus::Counter& rejected_records_;
  Family<prometheus::Gauge>& members_;
  ShardGauges shards_;
  Family<prometheus::Gauge>& connections_;
  prometheus::Gauge& calls_in_flight_;
  prometheus::Gauge& buffered_bytes_;
  prometheus::Gauge& outcome_table_;

  // Counters by outcome and position of the result code, created at first use: a look-up by labels
  // costs a lock and a hash of strings for each call.
  std::vector<std::atomic<prometheus::Counter*>> call_counters_;
  std::mutex shards_mutex_;
  std::map<std::vector<std::string>, prometheus::Gauge*> dispatcher_gauges_;
  std::map<std::vector<std::string>, std::array<prometheus::Gauge*, 3>> load_gauges_;
  std::unique_ptr<prometheus::Exposer> exposer_;  // Destroyed first: it reads the others.
};

}  // namespace monsoonshelf::metrics
