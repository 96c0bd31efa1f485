#include "gateway/internal/gateway_state.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

#include "logging/logging.h"

namespace monsoonshelf::gateway {

namespace {

// Timeouts of requests and probes detect unresponsive target connections. TCP keep-alive only
// closes dead idle connections.
constexpr http::StreamOptions kTargetOptions = {.keep_alive_idle_ = std::chrono::seconds(5),
                                                .user_timeout_ = std::chrono::seconds(5)};
// Share of a target's connection limit that the known hosts use. The rest is for hosts that have
// started but are not known yet.
constexpr double kConnectionShare = 0.7;
// With three probes per request and two requests per second on each host, each connection to one of
// eight targets is used every one or two seconds. Targets close connections that are idle for about
// ten seconds.
constexpr std::size_t kPreferredTargets = 8;
// Minimum number of connections from a host to one target: one per slot.
constexpr std::size_t kMinConnections = 2;

}  // namespace

GatewayState::GatewayState(const GatewaySettings& settings, const ICallFormat& format,
                           std::uint64_t seed)
    : settings_(settings),
      format_(format),
      metrics_(settings.name_, settings.zone_),
      pool_(kTargetOptions),
      random_(seed) {
  traffic_split_.offset_ = std::uniform_real_distribution<double>(0, 1)(random_);
}

void PutTarget(GatewayState& state, const TargetRecord& record, Time now) {
  const auto address = ParseAddress(record.address_);
  if (!address) {
    logging::LogEvent(logging::LogLevel::kWarning, "target_ignored",
                      {{"target", record.id_}, {"address", record.address_}});
    return;
  }
  TargetPtr& target = state.targets_[record.id_];
  if (target != nullptr && record.started_unix_ms_ < target->record_.started_unix_ms_) return;
  const bool restarted =
      target != nullptr && (record.started_unix_ms_ > target->record_.started_unix_ms_ ||
                            record.address_ != target->record_.address_);
  if (target == nullptr || restarted || target->record_.service_ != record.service_) {
    if (target != nullptr) {
      target->removed_ = true;
      state.services_[target->record_.service_].targets_.erase(record.id_);
    }
    target = std::make_shared<TargetState>();
  }
  const bool draining_started = record.draining_ && !target->record_.draining_;
  // The first target list is logged as one line (`records_listed`), because it may contain
  // thousands of targets.
  if ((target->record_.id_.empty() && state.has_target_list_) || draining_started) {
    logging::LogEvent(logging::LogLevel::kInfo,
                      draining_started ? "target_draining" : "target_known",
                      {{"target", record.id_},
                       {"service", record.service_},
                       {"zone", record.zone_},
                       {"address", record.address_},
                       {"born", std::to_string(record.started_unix_ms_)},
                       {"cold_ms", std::to_string(record.remaining_cold_time_.count() / 1000)}});
  }
  const std::string pair = state.settings_.name_ + ' ' + record.id_;
  target->affinity_ = XXH3_64bits(pair.data(), pair.size());
  target->record_ = record;
  target->address_ = *address;
  target->remove_at_ = Time::max();
  ExtendColdPeriod(*target, record.remaining_cold_time_, now);
  state.services_[record.service_].targets_[record.id_] = target;
}

void RemoveTarget(GatewayState& state, const TargetId& id) {
  const auto found = state.targets_.find(id);
  if (found == state.targets_.end()) return;
  const TargetPtr target = found->second;
  logging::LogEvent(
      logging::LogLevel::kInfo, "target_gone",
      {{"target", id}, {"service", target->record_.service_}, {"zone", target->record_.zone_}});
  target->removed_ = true;
  state.pool_.CloseIdleConnections(FormatAddress(target->address_));
  state.services_[target->record_.service_].targets_.erase(id);
  state.targets_.erase(found);
}

void RemoveExpiredTargets(GatewayState& state, Time now) {
  std::vector<TargetId> expired;
  for (const auto& [id, target] : state.targets_) {
    if (target->remove_at_ <= now) expired.push_back(id);
  }
  for (const TargetId& id : expired) RemoveTarget(state, id);
}

void ApplyTargetNotice(GatewayState& state, TargetState& target, const TargetNotice& notice,
                       std::string_view source, Time now) {
  const TargetId& id = target.record_.id_;
  if (!notice.problem_.empty()) {
    state.metrics_.CountTargetNotice("invalid");
    logging::LogEvent(
        logging::LogLevel::kWarning, "target_notice_invalid",
        {{"target", id}, {"source", std::string(source)}, {"header", notice.problem_}});
  }
  const NoticeChange change = ApplyNotice(target.notices_, notice, state.random_, now);
  if (change.leaving_) {
    state.metrics_.CountTargetNotice("leaving");
    logging::LogEvent(logging::LogLevel::kInfo, "target_leaving",
                      {{"target", id},
                       {"service", target.record_.service_},
                       {"source", std::string(source)},
                       {"born", std::to_string(target.record_.started_unix_ms_)}});
  }
  if (change.paused_) {
    state.metrics_.CountTargetNotice("pause");
    logging::LogEvent(
        logging::LogLevel::kInfo, "target_paused",
        {{"target", id},
         {"service", target.record_.service_},
         {"source", std::string(source)},
         {"for_ms", std::to_string((target.notices_.paused_until_ - now).count() / 1000)}});
  }
}

bool HasKeyProof(const GatewayState& state, Time now) {
  const FleetBounds& bounds = state.settings_.bounds_;
  return !bounds.strict_revocation_ ||
         IsProofFresh(state.configuration_proved_at_, bounds.revocation_time_, now);
}

void EndTargetPauses(GatewayState& state, Time now) {
  for (const auto& [id, target] : state.targets_) {
    Time& paused_until = target->notices_.paused_until_;
    if (paused_until == Time{} || now < paused_until) continue;
    paused_until = {};
    logging::LogEvent(logging::LogLevel::kInfo, "target_pause_ended", {{"target", id}});
  }
}

Duration TimeUntilPauseEnds(const GatewayState& state, const ServiceState& service, Time now) {
  Duration shortest = Duration::max();
  for (const auto& [id, target] : service.targets_) {
    if (target->notices_.leaving_ || target->record_.draining_ || target->misdirected_) continue;
    if (state.evacuated_zones_.contains(target->record_.zone_)) continue;
    shortest = std::min(shortest, std::max(target->notices_.paused_until_ - now, Duration(0)));
  }
  return shortest == Duration::max() ? Duration(0) : shortest;
}

bool IsEligible(const GatewayState& state, const TargetState& target, Time now) {
  if (target.removed_ || target.misdirected_ || target.record_.draining_) return false;
  if (!WantsRequests(target.notices_, now)) return false;
  if (state.evacuated_zones_.contains(target.record_.zone_)) return false;
  if (!IsCold(target.cold_, now)) return true;
  return state.knows_zone_hosts_ && target.record_.zone_ == state.settings_.zone_ &&
         ColdTargetOwner(target.record_.id_, state.zone_hosts_) == state.settings_.name_;
}

bool CanSendNow(const GatewayState& state, const TargetState& target, Time now) {
  return IsEligible(state, target, now) &&
         (!IsCold(target.cold_, now) || now >= target.cold_.next_send_);
}

void RecordSend(GatewayState& state, TargetState& target, Time now) {
  ++target.in_flight_;
  if (IsCold(target.cold_, now)) {
    target.cold_.next_send_ =
        now +
        ColdSendInterval(FindServiceSpec(state, target.record_.service_), state.settings_.bounds_);
  }
}

namespace {

std::vector<WaitingRequest> DescribeQueue(const ServiceState& service, Time now) {
  std::vector<WaitingRequest> queue;
  queue.reserve(service.queued_requests_.size());
  for (const IQueuedRequest* request : service.queued_requests_) {
    queue.push_back(request->DescribeWaiting(now));
  }
  return queue;
}

}  // namespace

IQueuedRequest* NextQueuedRequest(const ServiceState& service, Time now) {
  const auto next = SelectNext(DescribeQueue(service, now), service.queue_turn_);
  return next ? service.queued_requests_[*next] : nullptr;
}

bool MakeRoomInQueue(ServiceState& service, const WaitingRequest& arriving, Time now) {
  const auto victim = SelectVictim(DescribeQueue(service, now), arriving);
  if (!victim) return false;
  service.queued_requests_[*victim]->GiveUpPlace(now);
  return true;
}

double RefusedMoreUrgent(const ServiceState& service, int priority, Time now) {
  double refused = 0;
  for (const auto& [other, recent] : service.recent_by_priority_) {
    if (other < priority) refused += RefusedPerSecond(recent, now);
  }
  return refused;
}

void WakeQueuedRequest(ServiceState& service, const TargetPtr& freed, Time now) {
  IQueuedRequest* const next = NextQueuedRequest(service, now);
  if (next != nullptr) next->SearchSoon(freed, now);
}

std::uint64_t MaxPreferredAffinity(std::vector<std::uint64_t> affinities) {
  if (affinities.size() <= kPreferredTargets) return std::numeric_limits<std::uint64_t>::max();
  std::nth_element(affinities.begin(), affinities.begin() + kPreferredTargets - 1,
                   affinities.end());
  return affinities[kPreferredTargets - 1];
}

std::size_t MaxConnectionsToTarget(const GatewayState& state, const TargetState& target) {
  const ServiceSpec& spec = FindServiceSpec(state, target.record_.service_);
  const double share = kConnectionShare * spec.max_connections_ /
                       static_cast<double>(std::max<std::size_t>(state.fleet_size_, 1));
  return std::max(kMinConnections, static_cast<std::size_t>(share));
}

const ServiceSpec& FindServiceSpec(const GatewayState& state, const std::string& service) {
  static const ServiceSpec unknown;
  if (state.configuration_ == nullptr) return unknown;
  const auto& services = state.configuration_->configuration_.services_;
  const auto found = services.find(service);
  return found == services.end() ? unknown : found->second;
}

void ExtendColdPeriod(TargetState& target, Duration remaining, Time now) {
  if (remaining.count() <= 0) return;
  target.cold_.cold_until_ = std::max(target.cold_.cold_until_, now + remaining);
}

void UpdateServiceTime(ServiceTimeEstimate& estimate, Duration duration, double slowness,
                       bool nearly_full) {
  // The first samples have a larger weight, so that the estimate adapts to a new service at once.
  constexpr int kWindow = 30;
  estimate.samples_ = std::min(estimate.samples_ + 1, kWindow);
  const Duration normalized =
      std::chrono::duration_cast<Duration>(duration / std::max(slowness, 0.5));
  estimate.mean_ += (normalized - estimate.mean_) / estimate.samples_;
  RecordResponseTime(estimate.busy_slowdown_, normalized, nearly_full);
}

}  // namespace monsoonshelf::gateway
