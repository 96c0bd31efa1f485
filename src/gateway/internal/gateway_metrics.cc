#include "gateway/internal/gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <tuple>

namespace monsoonshelf::gateway {

namespace {

using CounterFamily = prometheus::Family<prometheus::Counter>;
using HistogramFamily = prometheus::Family<prometheus::Histogram>;

// In seconds, from responses of a few milliseconds to the longest deadlines of the users.
const prometheus::Histogram::BucketBoundaries kDurationBuckets = {
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 3, 5, 10};

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

std::string ToString(std::string_view text) { return std::string(text); }

}  // namespace

struct GatewayMetrics::Families {
  explicit Families(const prometheus::Labels& labels)
      : requests_(Counter("monsoonshelf_gateway_requests_total", "Requests by outcome", labels)),
        sends_(Counter("monsoonshelf_gateway_sends_total", "Sends to targets by result", labels)),
        retries_(Counter("monsoonshelf_gateway_repeats_total", "Repeated sends", labels)),
        cold_sends_(
            Counter("monsoonshelf_gateway_cold_sends_total", "Sends to cold targets", labels)),
        rollout_responses_(Counter("monsoonshelf_gateway_rollout_responses_total",
                                   "Responses of services under roll-out", labels)),
        rollout_writes_(Counter("monsoonshelf_gateway_rollout_writes_total",
                                "Writes of the state of a roll-out", labels)),
        quotas_(Counter("monsoonshelf_gateway_quota_decisions_total",
                        "Decisions on the quotas of teams", labels)),
        hedges_(Counter("monsoonshelf_gateway_hedges_total",
                        "Second requests by result, or by the reason to withhold them", labels)),
        probes_(Counter("monsoonshelf_gateway_probes_total", "Health requests by result", labels)),
        store_calls_(
            Counter("monsoonshelf_gateway_store_calls_total", "Calls to the store", labels)),
        directory_queries_(
            Counter("monsoonshelf_gateway_directory_queries_total", "Directory answers", labels)),
        target_notices_(
            Counter("monsoonshelf_gateway_target_notices_total", "Notices of targets", labels)),
        unreadable_records_(Counter("monsoonshelf_gateway_unreadable_records_total",
                                    "Records that could not be read", labels)),
        content_overdue_(Counter("monsoonshelf_gateway_content_overdue_total",
                                 "Times in which the content was older than a change may take",
                                 labels)),
        differing_records_(Counter("monsoonshelf_gateway_differing_records_total",
                                   "Responses of another host that holds other records", labels)),
        source_changes_(Counter("monsoonshelf_gateway_source_changes_total",
                                "Changes of the source of the records by cause", labels)),
        store_eras_(Counter("monsoonshelf_gateway_store_era_events_total",
                            "Restores of the store and their effects by event", labels)),
        total_(Histogram("monsoonshelf_gateway_request_seconds", "From request to answer", labels)),
        waiting_(
            Histogram("monsoonshelf_gateway_waiting_seconds", "Before the first send", labels)),
        at_target_(Histogram("monsoonshelf_gateway_target_seconds", "At the target", labels)),
        order_wait_(Histogram("monsoonshelf_gateway_response_order_wait_seconds",
                              "From a response to its turn on the connection", labels)),
        gauges_(prometheus::BuildGauge()
                    .Name("monsoonshelf_gateway_state")
                    .Help("State of the entry host by name")
                    .Labels(labels)
                    .Register(registry_)) {}

  CounterFamily& Counter(const char* name, const char* help, const prometheus::Labels& labels) {
    return prometheus::BuildCounter().Name(name).Help(help).Labels(labels).Register(registry_);
  }
  HistogramFamily& Histogram(const char* name, const char* help, const prometheus::Labels& labels) {
    return prometheus::BuildHistogram().Name(name).Help(help).Labels(labels).Register(registry_);
  }

  prometheus::Registry registry_;
  CounterFamily& requests_;
  CounterFamily& sends_;
  CounterFamily& retries_;
  CounterFamily& cold_sends_;
  CounterFamily& rollout_responses_;
  CounterFamily& rollout_writes_;
  CounterFamily& quotas_;
  CounterFamily& hedges_;
  CounterFamily& probes_;
  CounterFamily& store_calls_;
  CounterFamily& directory_queries_;
  CounterFamily& target_notices_;
  CounterFamily& unreadable_records_;
  CounterFamily& content_overdue_;
  CounterFamily& differing_records_;
  CounterFamily& source_changes_;
  CounterFamily& store_eras_;
  HistogramFamily& total_;
  HistogramFamily& waiting_;
  HistogramFamily& at_target_;
  HistogramFamily& order_wait_;
  prometheus::Family<prometheus::Gauge>& gauges_;
};

GatewayMetrics::GatewayMetrics(const HostName& host, const std::string& zone)
    : families_(std::make_unique<Families>(prometheus::Labels{{"host", host}, {"zone", zone}})) {}

GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::CountRequest(std::string_view service, std::string_view outcome,
                                  std::string_view reason) {
  families_->requests_
      .Add({{"service", ToString(service)},
            {"outcome", ToString(outcome)},
            {"reason", ToString(reason)}})
      .Increment();
}

void GatewayMetrics::ObserveDurations(std::string_view service, Duration total, Duration waiting,
                                      Duration at_target) {
  const prometheus::Labels labels = {{"service", ToString(service)}};
  families_->total_.Add(labels, kDurationBuckets).Observe(Seconds(total));
  families_->waiting_.Add(labels, kDurationBuckets).Observe(Seconds(waiting));
  families_->at_target_.Add(labels, kDurationBuckets).Observe(Seconds(at_target));
}

void GatewayMetrics::ObserveResponseOrderWait(std::string_view service, Duration waited) {
  families_->order_wait_.Add({{"service", ToString(service)}}, kDurationBuckets)
      .Observe(Seconds(waited));
}

void GatewayMetrics::CountSend(std::string_view service, std::string_view result) {
  families_->sends_.Add({{"service", ToString(service)}, {"result", ToString(result)}}).Increment();
}

void GatewayMetrics::CountRetry(std::string_view service, std::string_view reason) {
  families_->retries_.Add({{"service", ToString(service)}, {"why", ToString(reason)}}).Increment();
}

void GatewayMetrics::CountColdSend(std::string_view service) {
  families_->cold_sends_.Add({{"service", ToString(service)}}).Increment();
}

void GatewayMetrics::CountQuota(std::string_view team, std::string_view action) {
  families_->quotas_.Add({{"team", ToString(team)}, {"action", ToString(action)}}).Increment();
}

void GatewayMetrics::CountRolloutResponse(std::string_view service, std::string_view version,
                                          std::string_view result) {
  families_->rollout_responses_
      .Add({{"service", ToString(service)},
            {"version", ToString(version)},
            {"result", ToString(result)}})
      .Increment();
}

void GatewayMetrics::CountRolloutWrite(std::string_view state, std::string_view status) {
  families_->rollout_writes_.Add({{"state", ToString(state)}, {"status", ToString(status)}})
      .Increment();
}

void GatewayMetrics::CountHedge(std::string_view service, std::string_view result) {
  families_->hedges_.Add({{"service", ToString(service)}, {"result", ToString(result)}})
      .Increment();
}

void GatewayMetrics::CountProbe(std::string_view result) {
  families_->probes_.Add({{"result", ToString(result)}}).Increment();
}

void GatewayMetrics::CountStoreCall(std::string_view kind, std::string_view status) {
  families_->store_calls_.Add({{"kind", ToString(kind)}, {"status", ToString(status)}}).Increment();
}

void GatewayMetrics::CountTargetNotice(std::string_view kind) {
  families_->target_notices_.Add({{"kind", ToString(kind)}}).Increment();
}

void GatewayMetrics::CountUnreadableRecord(std::string_view kind) {
  families_->unreadable_records_.Add({{"kind", ToString(kind)}}).Increment();
}

void GatewayMetrics::CountContentOverdue() { families_->content_overdue_.Add({}).Increment(); }

void GatewayMetrics::CountDifferingRecords(std::string_view kind) {
  families_->differing_records_.Add({{"kind", ToString(kind)}}).Increment();
}

void GatewayMetrics::CountSourceChange(std::string_view cause) {
  families_->source_changes_.Add({{"cause", ToString(cause)}}).Increment();
}

void GatewayMetrics::CountStoreEra(std::string_view event, double count) {
  families_->store_eras_.Add({{"event", ToString(event)}}).Increment(count);
}

void GatewayMetrics::CountDirectoryQuery() { families_->directory_queries_.Add({}).Increment(); }

void GatewayMetrics::SetGauge(std::string_view name, double value) {
  families_->gauges_.Add({{"name", ToString(name)}}).Set(value);
}

std::string GatewayMetrics::Format() const {
  return prometheus::TextSerializer().Serialize(families_->registry_.Collect());
}

}  // namespace monsoonshelf::gateway
