#include "metrics/metrics.h"

#include <prometheus/text_serializer.h>

#include <algorithm>

#include "metrics/internal/metrics_state.h"

namespace monsoonshelf::metrics {

namespace {

double ToSeconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

std::size_t ResultCodeIndex(ResultCode code) {
  static const auto indexes = [] {
    std::vector<std::size_t> result(static_cast<std::size_t>(ResultCodes().back().code_) + 1);
    for (std::size_t i = 0; i < ResultCodes().size(); ++i) {
      result[static_cast<std::size_t>(ResultCodes()[i].code_)] = i;
    }
    return result;
  }();
  return indexes[static_cast<std::size_t>(code)];
}

std::string CodeName(ResultCode code) { return std::string(ResultCodeName(code)); }

// Increases a counter to a total. No other thread may change the counter at the same time.
void IncreaseTo(prometheus::Counter& counter, std::uint64_t total) {
  counter.Increment(std::max(0.0, static_cast<double>(total) - counter.Value()));
}

// Removes the gauges whose keys are not in `current`.
template <typename Gauges, typename Current, typename Remove>
void RemoveStaleGauges(Gauges& gauges, const Current& current, Remove remove) {
  for (auto gauge = gauges.begin(); gauge != gauges.end();) {
    if (current.count(gauge->first) == 0) {
      remove(gauge->second);
      gauge = gauges.erase(gauge);
    } else {
      ++gauge;
    }
  }
}

void SetDispatcherGauges(Metrics& metrics, const std::vector<ShardMetrics>& shards) {
  std::map<std::vector<std::string>, const ShardMetrics*> current;
  for (const auto& shard : shards) {
    if (!shard.dispatcher_.empty()) {
      current[{shard.service_, shard.zone_, shard.dispatcher_}] = &shard;
    }
  }
  RemoveStaleGauges(metrics.dispatcher_gauges_, current,
                    [&](prometheus::Gauge* gauge) { metrics.shards_.dispatcher_.Remove(gauge); });
  for (const auto& [key, shard] : current) {
    auto& gauge = metrics.dispatcher_gauges_[key];
    if (gauge == nullptr) {
      gauge = &metrics.shards_.dispatcher_.Add(
          {{"service", key[0]}, {"zone", key[1]}, {"dispatcher", key[2]}});
    }
    gauge->Set(1);
  }
}

void SetLoadGauges(Metrics& metrics, const std::vector<ShardMetrics>& shards) {
  std::map<std::vector<std::string>, const ShardMetrics*> current;
  for (const auto& shard : shards) {
    if (shard.dispatched_here_) current[{shard.service_, shard.zone_}] = &shard;
  }
  auto& families = metrics.shards_;
  RemoveStaleGauges(metrics.load_gauges_, current, [&](const auto& gauges) {
    families.queued_.Remove(gauges[0]);
    families.free_slots_.Remove(gauges[1]);
    families.ready_targets_.Remove(gauges[2]);
  });
  for (const auto& [key, shard] : current) {
    auto& gauges = metrics.load_gauges_[key];
    if (gauges[0] == nullptr) {
      const prometheus::Labels labels = {{"service", key[0]}, {"zone", key[1]}};
      gauges = {&families.queued_.Add(labels), &families.free_slots_.Add(labels),
                &families.ready_targets_.Add(labels)};
    }
    gauges[0]->Set(shard->queued_);
    gauges[1]->Set(shard->free_slots_);
    gauges[2]->Set(shard->ready_targets_);
  }
}

}  // namespace

void MetricsDeleter::operator()(Metrics* metrics) const { delete metrics; }

MetricsPtr MakeMetrics(const HostName& host, const std::string& zone, const std::string& region) {
  return MetricsPtr(new Metrics(host, zone, region));
}

Result<int> StartEndpoint(Metrics& metrics, const std::string& address) {
  try {
    metrics.exposer_ = std::make_unique<prometheus::Exposer>(address, 1);
  } catch (const std::exception& exception) {
    return Fail(ResultCode::kListenFailed,
                "metrics endpoint " + address + " cannot be opened: " + exception.what());
  }
  metrics.exposer_->RegisterCollectable(metrics.registry_);
  metrics.exposer_->RegisterCollectable(metrics.configuration_age_);
  return metrics.exposer_->GetListeningPorts().front();
}

std::string FormatMetrics(const Metrics& metrics) {
  auto families = metrics.registry_->Collect();
  const auto age = metrics.configuration_age_->Collect();
  families.insert(families.end(), age.begin(), age.end());
  return prometheus::TextSerializer().Serialize(families);
}

void CountCall(Metrics& metrics, CallOutcome outcome, ResultCode code) {
  auto& slot = metrics.call_counters_[static_cast<std::size_t>(outcome) * ResultCodes().size() +
                                      ResultCodeIndex(code)];
  prometheus::Counter* counter = slot.load(std::memory_order_acquire);
  if (counter == nullptr) {
    // Add returns the same counter for the same labels, so concurrent calls store the same pointer.
    counter = &metrics.calls_.Add(
        {{"outcome", std::string(NameOf(kCallOutcomeNames, outcome))}, {"result", CodeName(code)}});
    slot.store(counter, std::memory_order_release);
  }
  counter->Increment();
}

void ObserveLatency(Metrics& metrics, Duration added, Duration total) {
  metrics.added_latency_.Observe(ToSeconds(std::max(added, Duration::zero())));
  metrics.total_latency_.Observe(ToSeconds(std::max(total, Duration::zero())));
}

void CountRetry(Metrics& metrics) { metrics.retries_.Increment(); }

void CountForward(Metrics& metrics, std::string_view hop) {
  metrics.forwards_.Add({{"hop", std::string(hop)}}).Increment();
}

void CountProbe(Metrics& metrics, std::int64_t bytes) {
  metrics.probes_.Increment();
  metrics.probe_bytes_.Increment(static_cast<double>(bytes));
}

void SetControlTotals(Metrics& metrics, const ControlTotals& totals) {
  metrics.control_processor_seconds_.Set(ToSeconds(totals.processor_time_));
  IncreaseTo(metrics.control_bytes_sent_, totals.bytes_sent_);
  IncreaseTo(metrics.control_bytes_received_, totals.bytes_received_);
  IncreaseTo(metrics.peer_messages_sent_, totals.peer_messages_sent_);
  IncreaseTo(metrics.peer_messages_received_, totals.peer_messages_received_);
  IncreaseTo(metrics.platform_calls_, totals.platform_calls_);
  IncreaseTo(metrics.platform_calls_refused_, totals.platform_calls_refused_);
  for (const auto& [code, count] : totals.peer_messages_dropped_) {
    IncreaseTo(metrics.peer_messages_dropped_.Add({{"result", CodeName(code)}}), count);
  }
}

void SetConfiguration(Metrics& metrics, Version revision, Time since) {
  metrics.configuration_revision_.Set(static_cast<double>(revision));
  metrics.configuration_age_->since_ = since.time_since_epoch().count();
}

void CountRecordRejected(Metrics& metrics) { metrics.rejected_records_.Increment(); }

void SetMembers(Metrics& metrics, MemberGauge state, int count) {
  static constexpr EnumNames<MemberGauge, 4> kNames = {{{MemberGauge::kAlive, "alive"},
                                                        {MemberGauge::kSuspected, "suspected"},
                                                        {MemberGauge::kLeaving, "leaving"},
                                                        {MemberGauge::kGone, "gone"}}};
  metrics.members_.Add({{"state", std::string(NameOf(kNames, state))}}).Set(count);
}

void SetShards(Metrics& metrics, const std::vector<ShardMetrics>& shards) {
  const std::lock_guard lock(metrics.shards_mutex_);
  SetDispatcherGauges(metrics, shards);
  SetLoadGauges(metrics, shards);
}

void AddConnections(Metrics& metrics, std::string_view side, int change) {
  metrics.connections_.Add({{"side", std::string(side)}}).Increment(change);
}

void AddCallsInFlight(Metrics& metrics, int change) { metrics.calls_in_flight_.Increment(change); }

void AddBufferedBytes(Metrics& metrics, std::int64_t change) {
  metrics.buffered_bytes_.Increment(static_cast<double>(change));
}

void SetOutcomeTableCalls(Metrics& metrics, std::size_t count) {
  metrics.outcome_table_.Set(static_cast<double>(count));
}

}  // namespace monsoonshelf::metrics
