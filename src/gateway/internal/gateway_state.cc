#include "gateway/internal/gateway_state.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

#include "logging/logging.h"

namespace monsoonshelf::gateway {

namespace {

// A silent connection to a target is found by the time limits of requests and probes; keep-alive
// only clears away idle ones.
constexpr http::StreamOptions kTargetOptions = {.keep_alive_ = std::chrono::seconds(5),
                                                .user_timeout_ = std::chrono::seconds(5)};
// Part of a target's connections that is used; the rest is for hosts that started unnoticed.
constexpr double kConnectionShare = 0.7;
// With three probes a request, and two requests a second on each host, a connection to one of eight
// targets is used every second or two; targets close idle ones after about ten seconds.
constexpr std::size_t kPreferredTargets = 8;
// Least number of connections of a host to one target: one per slot.
constexpr std::size_t kMinConnections = 2;

}  // namespace

GatewayState::GatewayState(const GatewaySettings& settings, const ICallFormat& format,
                           std::uint64_t seed)
    : settings_(settings),
      format_(format),
      metrics_(settings.name_, settings.zone_),
      pool_(kTargetOptions),
      random_(seed) {
  split_.offset_ = std::uniform_real_distribution<double>(0, 1)(random_);
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
  const bool drains = record.draining_ && !target->record_.draining_;
  // The first list has one line as a whole (`records_listed`): a start must not log thousands.
  if ((target->record_.id_.empty() && state.has_target_list_) || drains) {
    logging::LogEvent(logging::LogLevel::kInfo, drains ? "target_draining" : "target_known",
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
  LearnCold(*target, record.remaining_cold_time_, now);
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
  state.pool_.Forget(FormatAddress(target->address_));
  state.services_[target->record_.service_].targets_.erase(id);
  state.targets_.erase(found);
}

void RemoveDueTargets(GatewayState& state, Time now) {
  std::vector<TargetId> due;
  for (const auto& [id, target] : state.targets_) {
    if (target->remove_at_ <= now) due.push_back(id);
  }
  for (const TargetId& id : due) RemoveTarget(state, id);
}

bool MayReceive(const GatewayState& state, const TargetState& target, Time now) {
  if (target.removed_ || target.misdirected_ || target.record_.draining_) return false;
  if (state.evacuated_zones_.contains(target.record_.zone_)) return false;
  if (!IsCold(target.cold_, now)) return true;
  return target.record_.zone_ == state.settings_.zone_ &&
         ColdTargetOwner(target.record_.id_, state.zone_hosts_) == state.settings_.name_;
}

bool MaySend(const GatewayState& state, const TargetState& target, Time now) {
  return MayReceive(state, target, now) &&
         (!IsCold(target.cold_, now) || now >= target.cold_.next_send_);
}

void CountSend(GatewayState& state, TargetState& target, Time now) {
  ++target.in_flight_;
  if (IsCold(target.cold_, now)) {
    target.cold_.next_send_ =
        now + ColdSendInterval(SpecOf(state, target.record_.service_), state.settings_.bounds_);
  }
}

std::uint64_t PreferredAffinity(std::vector<std::uint64_t> affinities) {
  if (affinities.size() <= kPreferredTargets) return std::numeric_limits<std::uint64_t>::max();
  std::nth_element(affinities.begin(), affinities.begin() + kPreferredTargets - 1,
                   affinities.end());
  return affinities[kPreferredTargets - 1];
}

std::size_t MaxConnections(const GatewayState& state, const TargetState& target) {
  const ServiceSpec& spec = SpecOf(state, target.record_.service_);
  const double share = kConnectionShare * spec.max_connections_ /
                       static_cast<double>(std::max<std::size_t>(state.fleet_size_, 1));
  return std::max(kMinConnections, static_cast<std::size_t>(share));
}

const ServiceSpec& SpecOf(const GatewayState& state, const std::string& service) {
  static const ServiceSpec unknown;
  if (state.configuration_ == nullptr) return unknown;
  const auto& services = state.configuration_->configuration_.services_;
  const auto found = services.find(service);
  return found == services.end() ? unknown : found->second;
}

void LearnCold(TargetState& target, Duration cold_left, Time now) {
  if (cold_left.count() <= 0) return;
  target.cold_.cold_until_ = std::max(target.cold_.cold_until_, now + cold_left);
}

void LearnWork(WorkEstimate& work, Duration taken, double slowness) {
  // The first samples count for more, so that the estimate follows a new service at once.
  constexpr int kWindow = 30;
  work.samples_ = std::min(work.samples_ + 1, kWindow);
  const Duration usual = std::chrono::duration_cast<Duration>(taken / std::max(slowness, 0.5));
  work.mean_ += (usual - work.mean_) / work.samples_;
}

}  // namespace monsoonshelf::gateway
