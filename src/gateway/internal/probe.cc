#include "gateway/internal/probe.h"

#include <utility>

#include "base/clock.h"
#include "logging/logging.h"

namespace monsoonshelf::gateway {

namespace {

// Maximum size of the response to a probe, in bytes. Its result is in the header.
constexpr std::uint64_t kMaxProbeResponseBytes = std::uint64_t{128} * 1024;

}  // namespace

Probe::Probe(GatewayState& state, TargetPtr target, OnEnd on_end)
    : state_(state), target_(std::move(target)), on_end_(std::move(on_end)) {}

bool Probe::Start(Time now) {
  connection_ = state_.pool_.Acquire(target_->address_, MaxConnectionsToTarget(state_, *target_));
  if (connection_ == nullptr) return false;
  started_ = now;
  running_ = true;
  reused_connection_ = connection_->WasUsed();
  const std::string& path = FindServiceSpec(state_, target_->record_.service_).health_path_;
  connection_->SendRequest(state_.format_.FormatProbeRequest(target_->record_.address_, path),
                           false, *this);
  return true;
}

bool Probe::OnHead(http::ResponseHead& head) {
  connection_->LimitResponse(kMaxProbeResponseBytes);
  const ProbeResult result = state_.format_.ReadProbeResponse(head);
  if (result.call_id_) {
    logging::LogEvent(logging::LogLevel::kWarning, "extra_answer",
                      {{"call", ""},
                       {"target", target_->record_.id_},
                       {"status", std::to_string(head.status_)},
                       {"belongs_to", *result.call_id_}});
    return false;
  }
  if (result.target_ && *result.target_ != target_->record_.id_) {
    if (!target_->misdirected_) {
      logging::LogEvent(logging::LogLevel::kWarning, "target_misdirected",
                        {{"target", target_->record_.id_},
                         {"address", target_->record_.address_},
                         {"found", *result.target_}});
    }
    target_->misdirected_ = true;
    return true;
  }
  ApplyTargetNotice(state_, *target_, result.notice_, "probe", Now());
  if (target_->health_.reports_unhealthy_ == result.healthy_) {
    logging::LogEvent(
        logging::LogLevel::kInfo, "target_health",
        {{"target", target_->record_.id_}, {"healthy", result.healthy_ ? "yes" : "no"}});
  }
  target_->health_.reports_unhealthy_ = !result.healthy_;
  target_->health_.unresponsive_until_ = {};
  ExtendColdPeriod(*target_, result.remaining_cold_time_, Now());
  load_ = result.load_;
  answered_ = true;
  return true;
}

void Probe::OnDone() {
  state_.metrics_.CountProbe(answered_ ? "answered" : "misdirected");
  End();
}

void Probe::OnFailed(http::Failure failure, bool /*sent*/) {
  const auto self = shared_from_this();
  state_.pool_.Release(connection_);
  connection_.reset();
  answered_ = false;
  if (reused_connection_ && on_end_ != nullptr && failure != http::Failure::kMalformed &&
      failure != http::Failure::kTooLarge) {
    // The target may have closed its idle connections; a new connection shows whether it is alive.
    state_.pool_.CloseIdleConnections(FormatAddress(target_->address_));
    if (Start(Now())) return;
  }
  state_.metrics_.CountProbe(NameOf(http::kFailureNames, failure));
  RecordProbeFailure(target_->health_, Now());
  End();
}

void Probe::Expire(Time now) {
  if (!running_) return;
  const auto self = shared_from_this();
  answered_ = false;
  state_.metrics_.CountProbe("timeout");
  RecordProbeFailure(target_->health_, now);
  connection_->Cancel();
  state_.pool_.Release(connection_);
  connection_.reset();
  End();
}

void Probe::End() {
  const auto self = shared_from_this();
  running_ = false;
  const OnEnd on_end = std::exchange(on_end_, nullptr);
  if (on_end != nullptr) {
    on_end(*this);
  } else {
    ReleaseConnection();
  }
}

http::ClientConnectionPtr Probe::TakeConnection() { return std::exchange(connection_, nullptr); }

void Probe::ReleaseConnection() {
  if (connection_ == nullptr || running_) return;
  state_.pool_.Release(connection_);
  connection_.reset();
}

}  // namespace monsoonshelf::gateway
