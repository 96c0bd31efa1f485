#include "gateway/internal/rollout_control.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "logging/logging.h"

namespace monsoonshelf::gateway {

namespace {

// A host serves without the orders after this time, for example if the hosts that it reads from
// know of none.
constexpr Duration kMaxOrderWait = std::chrono::seconds(3);
// A version that appears without an order is not used for this time: the order comes with another
// watch than the targets.
constexpr Duration kOrderGrace = std::chrono::seconds(3);
// A process that stood still this long may have missed that another host took over.
constexpr Duration kStandstill = std::chrono::milliseconds(1500);
// Time in which the records become current after that.
constexpr Duration kCatchUpTime = std::chrono::milliseconds(1500);
// A write that was answered is known from the records within this time; another one is tried again.
constexpr Duration kWriteInterval = std::chrono::milliseconds(1200);
constexpr Duration kUnreachableWriteInterval = std::chrono::milliseconds(500);

bool IsFinal(RolloutState state) {
  return state == RolloutState::kSucceeded || state == RolloutState::kRolledBack;
}

std::string Text(RolloutState state) { return std::string(NameOf(kRolloutStateNames, state)); }

}  // namespace

RolloutControl::RolloutControl(GatewayState& state, const HostRecord& self, Send send, Write write)
    : state_(state),
      self_(self),
      send_(std::move(send)),
      write_(std::move(write)),
      started_at_(Now()) {
  AddHost(self);
}

bool RolloutControl::IsReady(Time now) const {
  return had_list_ || now - started_at_ >= kMaxOrderWait;
}

RolloutSide RolloutControl::ChooseSide(const std::string& service, Time now) {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return RolloutSide::kOld;
  Rollout& rollout = found->second;
  if (PhaseOf(rollout.order_.state_, rollout.notice_) != RolloutPhase::kExposing ||
      !MayExpose(rollout.confirmed_at_, now) || rollout.exposed_targets_.empty() ||
      !TakeExposure(rollout.exposure_credit_, ExposedShare(state_.settings_.bounds_))) {
    return RolloutSide::kOld;
  }
  return RolloutSide::kNew;
}

bool RolloutControl::MayUse(const TargetRecord& target, RolloutSide side, Time now) {
  const auto found = rollouts_.find(target.service_);
  if (found == rollouts_.end()) {
    auto& versions = versions_[target.service_];
    const auto [version, is_new] = versions.try_emplace(target.version_, now);
    if (is_new && versions.size() == 1) version->second = {};
    return version->second == Time{} || now - version->second >= kOrderGrace;
  }
  const Rollout& rollout = found->second;
  const RolloutPhase phase = PhaseOf(rollout.order_.state_, rollout.notice_);
  // A store that was restored, or an operator, may leave nothing but the new version.
  if (phase != RolloutPhase::kNewOnly && !rollout.has_old_targets_) return true;
  // After a roll-out, the new version may be replaced without another order.
  if (phase == RolloutPhase::kNewOnly && !rollout.has_new_targets_) return true;
  return MayReceive(phase, side, target.version_ == rollout.order_.target_version_,
                    rollout.exposed_targets_.contains(target.id_));
}

void RolloutControl::Record(const TargetRecord& target, const std::string& route, bool is_failure,
                            Duration duration) {
  const auto found = rollouts_.find(target.service_);
  if (found == rollouts_.end() || IsFinal(found->second.order_.state_)) return;
  RouteCounts& counts = found->second.counts_[route];
  const bool is_new = target.version_ == found->second.order_.target_version_;
  AddResponse(is_new ? counts.new_[target.id_] : counts.old_, is_failure, duration);
  state_.metrics_.CountRolloutResponse(target.service_, is_new ? "new" : "old",
                                       is_failure ? "failed" : "answered");
}

void RolloutControl::AddHost(const HostRecord& host) {
  const auto [known, is_new] = hosts_.try_emplace(host.name_);
  if (is_new || known->second.record_.capacity_ != host.capacity_) ++hosts_version_;
  if (host.incarnation_ >= known->second.record_.incarnation_) known->second.record_ = host;
}

void RolloutControl::BeginOrder(Rollout& rollout, const RolloutOrder& order, Time now) {
  rollout = {};
  rollout.order_ = order;
  // The first host to see an order writes `running` at once.
  rollout.knows_start_ = order.state_ == RolloutState::kOrdered || had_list_;
  rollout.started_at_ = now;
  // While no host knows the start, half of the time is taken to have passed.
  if (!rollout.knows_start_) rollout.started_at_ = now - order.duration_ / 2;
  // Other hosts tell epochs of a host apart by its incarnation and by the orders in it.
  constexpr std::uint64_t kMaxOrders = 1000;
  rollout.epoch_ = self_.incarnation_ * kMaxOrders + ++orders_begun_ % kMaxOrders;
  rollout.exposure_credit_ = std::uniform_real_distribution<double>(0, 1)(state_.random_);
  logging::LogEvent(logging::LogLevel::kInfo, "rollout_known",
                    {{"service", order.service_},
                     {"version", order.target_version_},
                     {"state", Text(order.state_)},
                     {"duration_ms", std::to_string(order.duration_.count() / 1000)},
                     {"knows_start", rollout.knows_start_ ? "true" : "false"},
                     {"revision", std::to_string(order.revision_)}});
}

void RolloutControl::UpdateOrders(Time now) {
  std::erase_if(rollouts_, [this](const auto& item) {
    if (state_.rollouts_.contains(item.first)) return false;
    logging::LogEvent(logging::LogLevel::kInfo, "rollout_removed", {{"service", item.first}});
    return true;
  });
  for (const auto& [service, order] : state_.rollouts_) {
    const auto [found, is_new] = rollouts_.try_emplace(service);
    Rollout& rollout = found->second;
    const bool is_repeated = IsFinal(rollout.order_.state_) &&
                             order.state_ == RolloutState::kOrdered &&
                             order.revision_ > rollout.order_.revision_;
    if (is_new || is_repeated || rollout.order_.target_version_ != order.target_version_) {
      BeginOrder(rollout, order, now);
      continue;
    }
    if (rollout.order_.state_ != order.state_) {
      logging::LogEvent(logging::LogLevel::kInfo, "rollout_state",
                        {{"service", service},
                         {"version", order.target_version_},
                         {"from", Text(rollout.order_.state_)},
                         {"to", Text(order.state_)},
                         {"notice", std::string(NameOf(kRolloutNoticeNames, rollout.notice_))},
                         {"revision", std::to_string(order.revision_)}});
    }
    // What was final before the store was restored from a copy is written again.
    if (rollout.order_.state_ == RolloutState::kSucceeded && !IsFinal(order.state_)) {
      RaiseNotice(rollout, RolloutNotice::kFinish, "store lost the state", now);
    } else if (rollout.order_.state_ == RolloutState::kRolledBack && !IsFinal(order.state_)) {
      RaiseNotice(rollout, RolloutNotice::kCondemned, "store lost the state", now);
    }
    rollout.order_ = order;
  }
  had_list_ = had_list_ || state_.has_rollout_list_;
}

void RolloutControl::UpdateVersions(Time now) {
  for (const auto& [id, target] : state_.targets_) {
    auto& versions = versions_[target->record_.service_];
    const auto [version, is_new] = versions.try_emplace(target->record_.version_, now);
    if (!is_new) continue;
    if (versions.size() == 1 || !had_list_ || !had_targets_) version->second = {};
  }
  had_targets_ = state_.has_target_list_;
}

void RolloutControl::UpdateTargets(Rollout& rollout, Time now) {
  std::vector<ExposureCandidate> candidates;
  rollout.has_old_targets_ = false;
  rollout.has_new_targets_ = false;
  const auto service = state_.services_.find(rollout.order_.service_);
  if (service == state_.services_.end()) return;
  for (const auto& [id, target] : service->second.targets_) {
    if (target->record_.version_ != rollout.order_.target_version_) {
      rollout.has_old_targets_ = true;
      continue;
    }
    rollout.has_new_targets_ = true;
    if (!target->record_.draining_ && !target->misdirected_ &&
        WantsRequests(target->notices_, now) &&
        !state_.evacuated_zones_.contains(target->record_.zone_)) {
      candidates.push_back({id, target->record_.zone_});
    }
  }
  const auto selected = SelectExposedTargets(rollout.order_.service_, candidates);
  rollout.exposed_targets_ = {selected.begin(), selected.end()};
}

std::vector<HostName> RolloutControl::Deciders(Rollout& rollout, Time now) {
  if (rollout.ranks_version_ != hosts_version_) {
    std::vector<QuotaHost> hosts;
    for (const auto& [name, host] : hosts_) hosts.push_back({name, host.record_.capacity_});
    rollout.ranks_ = RankQuotaOwners("rollout " + rollout.order_.service_, hosts);
    rollout.ranks_version_ = hosts_version_;
  }
  std::vector<HostName> deciders;
  for (const HostName& name : rollout.ranks_) {
    if (deciders.size() == kDecidingHosts) break;
    const Time asked_at = hosts_.at(name).asked_at_;
    const bool is_silent = asked_at != Time{} && now - asked_at > kDeciderSilence;
    if (name == self_.name_ || !is_silent) deciders.push_back(name);
  }
  return deciders;
}

RolloutMessage RolloutControl::MakeMessage(const Rollout& rollout, bool is_reply, Time now) const {
  RolloutMessage message;
  message.sender_ = self_.name_;
  message.sender_address_ = self_.peer_address_;
  message.service_ = rollout.order_.service_;
  message.target_version_ = rollout.order_.target_version_;
  if (rollout.knows_start_) message.elapsed_ = std::max(Duration{}, now - rollout.started_at_);
  message.report_ = {rollout.epoch_, {}, rollout.notice_};
  message.is_reply_ = is_reply;
  if (is_reply) return message;
  message.report_.counts_ = rollout.counts_;
  message.report_sent_at_ = now;
  return message;
}

void RolloutControl::SendTo(const HostName& host, const std::string& bytes) {
  const auto found = hosts_.find(host);
  if (found != hosts_.end()) send_(found->second.record_.peer_address_, bytes);
}

void RolloutControl::RaiseNotice(Rollout& rollout, RolloutNotice notice, const std::string& cause,
                                 Time now) {
  if (notice <= rollout.notice_) return;
  rollout.notice_ = notice;
  if (notice == RolloutNotice::kFinish) rollout.finishing_since_ = now;
  const auto [old_requests, new_requests] = CountRequests(rollout.tally_);
  const bool is_condemned = notice == RolloutNotice::kCondemned;
  logging::LogEvent(is_condemned ? logging::LogLevel::kWarning : logging::LogLevel::kInfo,
                    is_condemned ? "rollout_condemned" : "rollout_finishing",
                    {{"service", rollout.order_.service_},
                     {"version", rollout.order_.target_version_},
                     {"cause", cause},
                     {"elapsed_ms", std::to_string((now - rollout.started_at_).count() / 1000)},
                     {"old_requests", std::to_string(old_requests)},
                     {"new_requests", std::to_string(new_requests)}});
}

void RolloutControl::Report(Rollout& rollout, Time now) {
  if (now - rollout.reported_at_ < kRolloutReportInterval) return;
  rollout.reported_at_ = now;
  std::vector<std::string> datagrams;
  for (const RolloutMessage& part : SplitRolloutMessage(MakeMessage(rollout, false, now))) {
    datagrams.push_back(EncodeRolloutMessage(part));
  }
  const auto report_to = [&](const HostName& name) {
    for (const std::string& bytes : datagrams) SendTo(name, bytes);
  };
  for (const HostName& name : Deciders(rollout, now)) {
    if (name == self_.name_) continue;
    KnownHost& host = hosts_.at(name);
    if (host.asked_at_ == Time{}) host.asked_at_ = now;
    report_to(name);
  }
  // A host that was replaced may be back.
  for (const HostName& name : rollout.ranks_) {
    const KnownHost& host = hosts_.at(name);
    if (host.asked_at_ == Time{}) break;
    if (now - host.asked_at_ > kDeciderSilence) report_to(name);
  }
}

void RolloutControl::Decide(Rollout& rollout, Time now) {
  const std::vector<HostName> deciders = Deciders(rollout, now);
  const auto own = std::find(deciders.begin(), deciders.end(), self_.name_);
  if (own == deciders.end()) return;
  ApplyReport(rollout.tally_, self_.name_, {rollout.epoch_, rollout.counts_, rollout.notice_}, now);
  if (rollout.notice_ != RolloutNotice::kCondemned) {
    const std::string fault = FindFault(rollout.tally_, now);
    if (!fault.empty()) {
      RaiseNotice(rollout, RolloutNotice::kCondemned, fault, now);
      const std::string bytes = EncodeRolloutMessage(MakeMessage(rollout, true, now));
      for (const auto& [name, host] : rollout.tally_.hosts_) {
        if (name != self_.name_) SendTo(name, bytes);
      }
    }
  }
  // A deciding host that hears of no other one does not know what they have found.
  const bool hears_others = heard_at_ != Time{} && now - heard_at_ <= kDeciderSilence;
  if (now >= acts_from_ && (hosts_.size() == 1 || hears_others)) rollout.confirmed_at_ = now;
  const auto [old_requests, new_requests] = CountRequests(rollout.tally_);
  RolloutView view;
  view.state_ = rollout.order_.state_;
  view.notice_ = rollout.notice_;
  view.elapsed_ = now - rollout.started_at_;
  view.duration_ = rollout.order_.duration_;
  view.finishing_for_ = now - rollout.finishing_since_;
  view.have_all_finished_ = HaveAllFinished(rollout.tally_, now);
  view.old_requests_ = old_requests;
  view.new_requests_ = new_requests;
  const RolloutStep step = NextStep(view);
  if (rollout.step_ != step) {
    rollout.step_ = step;
    rollout.step_since_ = now;
  }
  const auto rank = static_cast<std::size_t>(own - deciders.begin());
  if (step == RolloutStep::kNone || now - rollout.step_since_ < StepDelay(rank)) return;
  if (now < acts_from_ || now < rollout.next_write_) return;
  TakeStep(rollout, step, now);
}

void RolloutControl::TakeStep(Rollout& rollout, RolloutStep step, Time now) {
  switch (step) {
    case RolloutStep::kNone:
      break;
    case RolloutStep::kRun:
      WriteState(rollout, RolloutState::kRunning, now);
      break;
    case RolloutStep::kFinish: {
      RaiseNotice(rollout, RolloutNotice::kFinish, "end of the time", now);
      const std::string bytes = EncodeRolloutMessage(MakeMessage(rollout, true, now));
      for (const auto& [name, host] : rollout.tally_.hosts_) {
        if (name != self_.name_) SendTo(name, bytes);
      }
      break;
    }
    case RolloutStep::kSucceed:
      WriteState(rollout, RolloutState::kSucceeded, now);
      break;
    case RolloutStep::kRollBack:
      RaiseNotice(rollout, RolloutNotice::kCondemned, "too few responses of the new version", now);
      WriteState(rollout, RolloutState::kRolledBack, now);
      break;
  }
}

void RolloutControl::WriteState(Rollout& rollout, RolloutState state, Time now) {
  rollout.next_write_ = now + kWriteInterval;
  const RolloutOrder order = rollout.order_;
  logging::LogEvent(logging::LogLevel::kInfo, "rollout_writing",
                    {{"service", order.service_},
                     {"version", order.target_version_},
                     {"state", Text(state)},
                     {"revision", std::to_string(order.revision_)}});
  write_(order, state, [this, order, state, now](const StoreWrite& write) {
    const std::string status(NameOf(kStoreStatusNames, write.status_));
    state_.metrics_.CountRolloutWrite(Text(state), status);
    const bool is_ok = write.status_ == StoreStatus::kOk;
    logging::LogEvent(is_ok ? logging::LogLevel::kInfo : logging::LogLevel::kWarning,
                      is_ok ? "rollout_written" : "rollout_write_failed",
                      {{"service", order.service_},
                       {"version", order.target_version_},
                       {"state", Text(state)},
                       {"status", status},
                       {"revision", std::to_string(write.revision_)}});
    // After a conflict the records show which state another host, or a lost response, has written.
    const auto found = rollouts_.find(order.service_);
    if (found == rollouts_.end() || is_ok || write.status_ == StoreStatus::kConflict) return;
    found->second.next_write_ = now + kUnreachableWriteInterval;
  });
}

void RolloutControl::OnRecords(Time now) {
  if (!had_list_ || !had_targets_) UpdateVersions(now);
  UpdateOrders(now);
}

void RolloutControl::Update(Time now) {
  if (updated_at_ != Time{} && now - updated_at_ > kStandstill) acts_from_ = now + kCatchUpTime;
  UpdateVersions(now);
  UpdateOrders(now);
  updated_at_ = now;
  bool is_active = false;
  for (auto& [service, rollout] : rollouts_) {
    if (IsFinal(rollout.order_.state_)) {
      UpdateTargets(rollout, now);
      rollout.tally_ = {};
      rollout.counts_.clear();
      continue;
    }
    is_active = true;
    UpdateTargets(rollout, now);
    Report(rollout, now);
    Decide(rollout, now);
  }
  // The last reports of a roll-out are not answered.
  if (is_active) return;
  for (auto& [name, host] : hosts_) host.asked_at_ = {};
}

void RolloutControl::OnMessage(std::string_view bytes, Time now) {
  const auto message = DecodeRolloutMessage(bytes);
  if (!message) {
    logging::LogEvent(logging::LogLevel::kWarning, "rollout_message_malformed",
                      {{"bytes", std::to_string(bytes.size())}});
    return;
  }
  const auto sender = hosts_.find(message->sender_);
  if (sender != hosts_.end()) sender->second.asked_at_ = {};
  heard_at_ = now;
  const auto found = rollouts_.find(message->service_);
  if (found == rollouts_.end() ||
      found->second.order_.target_version_ != message->target_version_ ||
      IsFinal(found->second.order_.state_)) {
    return;
  }
  Rollout& rollout = found->second;
  if (message->elapsed_) {
    const Time started_at = now - *message->elapsed_;
    rollout.started_at_ =
        rollout.knows_start_ ? std::min(rollout.started_at_, started_at) : started_at;
    rollout.knows_start_ = true;
  }
  RaiseNotice(rollout, message->report_.notice_, "told by " + message->sender_, now);
  if (message->is_reply_) {
    // A reply may have waited in the socket while this process stood still.
    rollout.confirmed_at_ =
        std::max(rollout.confirmed_at_, std::min(message->report_sent_at_, now));
    return;
  }
  ApplyReport(rollout.tally_, message->sender_, message->report_, now);
  RolloutMessage reply = MakeMessage(rollout, true, now);
  reply.report_sent_at_ = message->report_sent_at_;
  send_(message->sender_address_, EncodeRolloutMessage(reply));
}

}  // namespace monsoonshelf::gateway
