#include "gateway/internal/quota_control.h"

#include <algorithm>
#include <random>
#include <utility>

#include "base/clock.h"
#include "logging/logging.h"

namespace monsoonshelf::gateway {

namespace {

// Owners that are tried for a request before it is decided without one. The requests of callers
// wait for this time in the worst case: two replies of each.
constexpr int kMaxFailedOwners = 2;
// Time for which an owner that did not answer is not asked, doubled each time.
constexpr Duration kMinSuspicionTime = std::chrono::seconds(1);
constexpr int kMaxSuspicionDoublings = 3;
// Interval at which an owner finds out whether the one of the highest rank lives.
constexpr Duration kRankPingInterval = std::chrono::milliseconds(300);
// Assumed size of the fleet while the hosts are not known: that of the large deployments.
constexpr std::size_t kAssumedHosts = 100;

}  // namespace

QuotaControl::QuotaControl(GatewayState& state, const HostRecord& self, Send send)
    : state_(state),
      self_(self),
      send_(std::move(send)),
      started_at_(Now()),
      timer_(g_main_context_get_thread_default(), [this] { OnTimer(); }) {}

QuotaBounds QuotaControl::Bounds() const {
  const FleetBounds& bounds = state_.settings_.bounds_;
  return {bounds.quota_window_, bounds.quota_overage_, bounds.quota_slack_};
}

QuotaLimit QuotaControl::LimitOf(const std::string& team) const {
  if (state_.configuration_ == nullptr || !state_.configuration_->configuration_.teams_) return {};
  const Team* found = state_.configuration_->configuration_.teams_->FindByName(team);
  if (found == nullptr) return {};
  return {found->rate_per_second_, found->burst_};
}

bool QuotaControl::KnowsTeam(const std::string& team) const {
  return state_.configuration_ != nullptr && state_.configuration_->configuration_.teams_ &&
         state_.configuration_->configuration_.teams_->FindByName(team) != nullptr;
}

QuotaVerdict QuotaControl::Admit(const Team& team, IQuotaWaiter& waiter, Time now) {
  if (team.rate_per_second_ <= 0) return {};
  TeamState& state = FindTeam(team.name_);
  const QuotaVerdict verdict = DecideQuota(state.quota_, now);
  if (verdict.action_ == QuotaAction::kWait) {
    // The reply of an owner on this host must not call the waiter before this function returns.
    state.waiters_.push_back(&waiter);
    timer_.Set(now);
    return verdict;
  }
  CountVerdict(team.name_, verdict);
  if (state.quota_.unreported_ > 0) SendNext(team.name_, state, now);
  SetTimer();
  return verdict;
}

void QuotaControl::Cancel(IQuotaWaiter& waiter) {
  for (auto& [name, team] : teams_) std::erase(team.waiters_, &waiter);
}

void QuotaControl::Refund(const std::string& team, Time admitted_at, Time now) {
  const auto found = teams_.find(team);
  if (found != teams_.end()) RefundQuota(found->second.quota_, admitted_at, now);
}

void QuotaControl::AddHost(const HostRecord& host) {
  const auto [known, is_new] = hosts_.try_emplace(host.name_);
  if (is_new || known->second.record_.capacity_ != host.capacity_) ++hosts_version_;
  if (host.incarnation_ >= known->second.record_.incarnation_) known->second.record_ = host;
}

const std::vector<HostName>& QuotaControl::RanksOf(const std::string& name, TeamState& team) {
  if (team.ranks_version_ != hosts_version_) {
    std::vector<QuotaHost> hosts;
    hosts.reserve(hosts_.size());
    for (const auto& [host, known] : hosts_) hosts.push_back({host, known.record_.capacity_});
    team.ranks_ = RankQuotaOwners(name, hosts);
    team.ranks_version_ = hosts_version_;
  }
  return team.ranks_;
}

HostName QuotaControl::FindOwner(const std::string& name, TeamState& team, Time now) {
  for (const HostName& host : RanksOf(name, team)) {
    if (host == self_.name_ || now >= hosts_.at(host).suspected_until_) return host;
  }
  return {};
}

QuotaReply QuotaControl::AnswerAsOwner(const QuotaSender& sender, const QuotaRequest& request,
                                       Time now) {
  const QuotaLimit limit = LimitOf(request.team_);
  // The team has no limit in the configuration of this host.
  if (limit.rate_per_second_ <= 0)
    return {request.team_, request.sequence_, request.wanted_, {}, {}};
  TeamState& team = FindTeam(request.team_);
  const auto& ranks = RanksOf(request.team_, team);
  const bool is_first_rank = !ranks.empty() && ranks.front() == self_.name_;
  // Another owner may have given out tokens until now.
  if (team.owned_.updated_ == Time{}) team.owned_.updated_ = is_first_rank ? started_at_ : now;
  const auto heard = static_cast<std::size_t>(std::count_if(
      hosts_.begin(), hosts_.end(), [now](const auto& item) { return IsHeard(item.second, now); }));
  const bool hears_higher_rank =
      std::any_of(ranks.begin(), std::find(ranks.begin(), ranks.end(), self_.name_),
                  [&](const HostName& host) { return IsHeard(hosts_.at(host), now); });
  const double share = RefillShare({is_first_rank, hears_higher_rank, heard, hosts_.size()});
  if (hears_higher_rank || !is_first_rank) PingHigherRank(ranks, now);
  QuotaReply reply = ApplyQuotaRequest(team.owned_, limit, Bounds(), share, sender, request, now);
  if (TakeQuotaNotice(team.owned_, now)) SendNotice(request.team_, now);
  return reply;
}

bool QuotaControl::IsHeard(const KnownHost& host, Time now) {
  return host.heard_at_ != Time{} && now - host.heard_at_ <= kQuotaHeardTime;
}

QuotaControl::TeamState& QuotaControl::FindTeam(const std::string& name) {
  const auto [found, is_new] = teams_.try_emplace(name);
  if (is_new) {
    found->second.quota_.must_ask_until_ = started_at_ + kMustAskAfterStart;
  }
  return found->second;
}

void QuotaControl::PingHigherRank(const std::vector<HostName>& ranks, Time now) {
  if (ranks.empty() || ranks.front() == self_.name_) return;
  KnownHost& first = hosts_.at(ranks.front());
  if (now - first.pinged_at_ < kRankPingInterval) return;
  first.pinged_at_ = now;
  // An empty message is answered by an empty one.
  send_(first.record_.peer_address_,
        EncodeQuotaMessage({{self_.name_, self_.incarnation_}, self_.peer_address_, {}, {}}));
}

void QuotaControl::SendNotice(const std::string& name, Time now) {
  logging::LogEvent(logging::LogLevel::kInfo, "quota_notice",
                    {{"team", name}, {"tokens", std::to_string(teams_[name].owned_.tokens_)}});
  QuotaMessage message = {{self_.name_, self_.incarnation_}, self_.peer_address_, {}, {}};
  QuotaReply notice;
  notice.team_ = name;
  notice.must_ask_for_ = kQuotaMustAskTime;
  message.replies_.push_back(notice);
  const std::string bytes = EncodeQuotaMessage(message);
  for (const auto& [host, known] : hosts_) {
    if (host != self_.name_) send_(known.record_.peer_address_, bytes);
  }
  (void)ApplyQuotaReply(teams_[name].quota_, notice, now);
}

void QuotaControl::SendPending(const TeamState& team) {
  const auto owner = hosts_.find(team.pending_owner_);
  if (owner == hosts_.end()) return;
  const QuotaMessage message = {
      {self_.name_, self_.incarnation_}, self_.peer_address_, {team.quota_.pending_}, {}};
  send_(owner->second.record_.peer_address_, EncodeQuotaMessage(message));
}

void QuotaControl::SendNext(const std::string& name, TeamState& team, Time now) {
  if (team.quota_.pending_.sequence_ != 0 || hosts_.empty()) return;
  const HostName owner = FindOwner(name, team, now);
  if (owner.empty()) return ResolveWithoutOwner(name, team, now);
  const QuotaRequest request =
      NextQuotaRequest(team.quota_, name, static_cast<int>(team.waiters_.size()), now);
  if (request.sequence_ == 0) return;
  team.pending_owner_ = owner;
  if (owner != self_.name_) return SendPending(team);
  const QuotaReply reply = AnswerAsOwner({self_.name_, self_.incarnation_}, request, now);
  if (ApplyQuotaReply(team.quota_, reply, now)) team.failed_owners_ = 0;
}

void QuotaControl::ResolveWaiters(const std::string& name, TeamState& team, Time now) {
  while (!team.waiters_.empty()) {
    const QuotaVerdict verdict = DecideQuota(team.quota_, now);
    if (verdict.action_ == QuotaAction::kWait) break;
    IQuotaWaiter* const waiter = team.waiters_.front();
    team.waiters_.pop_front();
    CountVerdict(name, verdict);
    waiter->OnQuotaDecided(verdict, now);
  }
}

void QuotaControl::ResolveWithoutOwner(const std::string& name, TeamState& team, Time now) {
  team.failed_owners_ = 0;
  team.quota_.unreported_ = 0;
  const std::size_t hosts = hosts_.size() > 1 ? hosts_.size() : kAssumedHosts;
  std::uniform_real_distribution<double> random(0, 1);
  while (!team.waiters_.empty()) {
    const QuotaVerdict verdict = DecideWithoutOwner(team.quota_, LimitOf(name), Bounds(), hosts,
                                                    random(state_.random_), now);
    IQuotaWaiter* const waiter = team.waiters_.front();
    team.waiters_.pop_front();
    CountVerdict(name, verdict);
    waiter->OnQuotaDecided(verdict, now);
  }
}

void QuotaControl::OnTimer() {
  const Time now = Now();
  for (auto& [name, team] : teams_) {
    HostQuota& quota = team.quota_;
    if (quota.pending_.sequence_ != 0 && now - quota.pending_since_ >= kQuotaReplyTimeout) {
      if (quota.tries_ == 0) {
        quota.tries_ = 1;
        quota.pending_since_ = now;
        SendPending(team);
      } else {
        KnownHost& owner = hosts_[team.pending_owner_];
        const int doublings = std::min(owner.suspicions_++, kMaxSuspicionDoublings);
        owner.suspected_until_ = now + kMinSuspicionTime * (1 << doublings);
        logging::LogEvent(logging::LogLevel::kWarning, "quota_owner_silent",
                          {{"team", name}, {"owner", team.pending_owner_}});
        AbandonQuotaRequest(quota);
        quota.tries_ = 0;
        if (++team.failed_owners_ >= kMaxFailedOwners) ResolveWithoutOwner(name, team, now);
      }
    }
    if (hosts_.empty() && now - started_at_ >= kMinSuspicionTime)
      ResolveWithoutOwner(name, team, now);
    // Each round trip with an owner on this host is done at once; the second one is denied or
    // granted to the end.
    for (int i = 0; i < 3; ++i) {
      ResolveWaiters(name, team, now);
      if (team.waiters_.empty() && quota.unreported_ == 0) break;
      SendNext(name, team, now);
      if (quota.pending_.sequence_ != 0) break;
    }
  }
  SetTimer();
}

void QuotaControl::SetTimer() {
  Time next = Time::max();
  for (const auto& [name, team] : teams_) {
    if (team.quota_.pending_.sequence_ != 0) {
      next = std::min(next, team.quota_.pending_since_ + kQuotaReplyTimeout);
    } else if (!team.waiters_.empty() || team.quota_.unreported_ > 0) {
      // Nothing can be sent before the hosts are known.
      next = std::min(next, hosts_.empty() ? Now() + kQuotaReplyTimeout : Now());
    }
  }
  if (next == Time::max()) return timer_.Clear();
  timer_.Set(next);
}

void QuotaControl::OnMessage(std::string_view bytes, Time now) {
  const auto message = DecodeQuotaMessage(bytes);
  if (!message) {
    logging::LogEvent(logging::LogLevel::kWarning, "quota_message_malformed",
                      {{"bytes", std::to_string(bytes.size())}});
    return;
  }
  const auto sender = hosts_.find(message->sender_.host_);
  if (sender != hosts_.end()) {
    sender->second.heard_at_ = now;
    sender->second.suspected_until_ = {};
    sender->second.suspicions_ = 0;
  }
  QuotaMessage answer = {{self_.name_, self_.incarnation_}, self_.peer_address_, {}, {}};
  for (const QuotaRequest& request : message->requests_) {
    // A host that has not read the team yet lets the sender ask the next owner.
    if (KnowsTeam(request.team_)) {
      answer.replies_.push_back(AnswerAsOwner(message->sender_, request, now));
    }
  }
  const bool is_ping = message->requests_.empty() && message->replies_.empty();
  if (is_ping && sender != hosts_.end() && now - sender->second.pinged_at_ >= kRankPingInterval) {
    sender->second.pinged_at_ = now;
    send_(message->sender_address_, EncodeQuotaMessage(answer));
  }
  if (!answer.replies_.empty()) send_(message->sender_address_, EncodeQuotaMessage(answer));
  for (const QuotaReply& reply : message->replies_) {
    const auto found = teams_.find(reply.team_);
    // A notice is kept for a team that has sent nothing yet, if the configuration has it.
    if (found == teams_.end() && LimitOf(reply.team_).rate_per_second_ <= 0) continue;
    TeamState& team = FindTeam(reply.team_);
    if (!ApplyQuotaReply(team.quota_, reply, now)) continue;
    team.failed_owners_ = 0;
    ResolveWaiters(reply.team_, team, now);
    SendNext(reply.team_, team, now);
    // The owner on this host answers at once.
    if (team.quota_.pending_.sequence_ == 0) ResolveWaiters(reply.team_, team, now);
  }
  SetTimer();
}

void QuotaControl::CountVerdict(const std::string& name, const QuotaVerdict& verdict) {
  state_.metrics_.CountQuota(name, NameOf(kQuotaActionNames, verdict.action_));
}

}  // namespace monsoonshelf::gateway
