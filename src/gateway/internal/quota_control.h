#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "eventloop/timer.h"
#include "gateway/internal/gateway_state.h"
#include "gateway/quota_messages.h"

namespace monsoonshelf::gateway {

// Carries out the decisions of quota.h: exchanges messages with the owners of the teams, answers
// those of other hosts for the teams that this host owns, and holds the requests that wait.
class QuotaControl : public IQuotaGate {
 public:
  using Send = std::function<void(const std::string& address, const std::string& bytes)>;

  QuotaControl(GatewayState& state, const HostRecord& self, Send send);

  QuotaVerdict Admit(const Team& team, IQuotaWaiter& waiter, Time now) override;
  void Cancel(IQuotaWaiter& waiter) override;
  void Refund(const std::string& team, Time admitted_at, Time now) override;

  // Adds or updates a host of the fleet.
  void AddHost(const HostRecord& host);
  void OnMessage(std::string_view bytes, Time now);

 private:
  struct TeamState {
    HostQuota quota_;
    OwnedQuota owned_;
    std::deque<IQuotaWaiter*> waiters_;
    std::vector<HostName> ranks_;
    std::uint64_t ranks_version_ = 0;  // Of the list of hosts.
    HostName pending_owner_;
    int failed_owners_ = 0;  // Since the last reply.
  };
  struct KnownHost {
    HostRecord record_;
    Time heard_at_{};
    Time suspected_until_{};
    int suspicions_ = 0;  // Since the host was heard last.
    Time pinged_at_{};
  };

  static bool IsHeard(const KnownHost& host, Time now);
  TeamState& FindTeam(const std::string& name);
  // Finds out whether the owner of the highest rank lives.
  void PingHigherRank(const std::vector<HostName>& ranks, Time now);
  bool KnowsTeam(const std::string& team) const;
  QuotaBounds Bounds() const;
  // Returns a limit without a rate if the team is unknown or has none.
  QuotaLimit LimitOf(const std::string& team) const;
  const std::vector<HostName>& RanksOf(const std::string& name, TeamState& team);
  // Returns the owner to ask; an empty name if none is believed to answer.
  HostName FindOwner(const std::string& name, TeamState& team, Time now);
  QuotaReply AnswerAsOwner(const QuotaSender& sender, const QuotaRequest& request, Time now);
  void SendNotice(const std::string& name, Time now);
  // Sends what is to be told to the owner of the team, and asks for the requests that wait.
  void SendNext(const std::string& name, TeamState& team, Time now);
  void SendPending(const TeamState& team);
  // Decides on the requests that wait, in order, as far as possible.
  void ResolveWaiters(const std::string& name, TeamState& team, Time now);
  void ResolveWithoutOwner(const std::string& name, TeamState& team, Time now);
  void OnTimer();
  void SetTimer();
  void CountVerdict(const std::string& name, const QuotaVerdict& verdict);

  GatewayState& state_;
  HostRecord self_;
  Send send_;
  Time started_at_;
  std::map<std::string, TeamState> teams_;
  std::map<HostName, KnownHost> hosts_;  // With this host.
  std::uint64_t hosts_version_ = 1;
  eventloop::Timer timer_;
};

}  // namespace monsoonshelf::gateway
