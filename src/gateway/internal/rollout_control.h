#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/internal/gateway_state.h"
#include "gateway/internal/rollout_messages.h"
#include "gateway/irecord_store.h"
#include "gateway/rollout.h"

namespace monsoonshelf::gateway {

// Carries out the decisions of rollout.h: limits what this host sends to a version under roll-out,
// reports the responses to the deciding hosts, and decides where this host is one of them.
class RolloutControl : public IRolloutGate {
 public:
  using Send = std::function<void(const std::string& address, const std::string& bytes)>;
  using Write = std::function<void(const RolloutOrder&, RolloutState, IRecordStore::WriteCallback)>;

  RolloutControl(GatewayState& state, const HostRecord& self, Send send, Write write);

  bool IsReady(Time now) const override;
  RolloutSide ChooseSide(const std::string& service, Time now) override;
  bool MayUse(const TargetRecord& target, RolloutSide side, Time now) override;
  void Record(const TargetRecord& target, const std::string& route, bool is_failure,
              Duration duration) override;

  // Adds or updates a host of the fleet.
  void AddHost(const HostRecord& host);
  void OnMessage(std::string_view bytes, Time now);
  // Called after records have changed.
  void OnRecords(Time now);
  // Called at short intervals.
  void Update(Time now);

 private:
  struct Rollout {
    RolloutOrder order_;
    RolloutNotice notice_ = RolloutNotice::kGoOn;
    bool knows_start_ = false;
    Time started_at_{};
    Time finishing_since_{};
    double exposure_credit_ = 0;
    Time confirmed_at_{};  // A deciding host has confirmed that the version is not condemned.
    std::set<TargetId> exposed_targets_;
    bool has_new_targets_ = true;
    bool has_old_targets_ = true;
    std::uint64_t epoch_ = 0;
    RolloutCounts counts_;  // Of this host.
    RolloutTally tally_;    // Of all hosts, if this host is a deciding one.
    Time reported_at_{};
    std::vector<HostName> ranks_;
    std::uint64_t ranks_version_ = 0;  // Of the list of hosts.
    RolloutStep step_ = RolloutStep::kNone;
    Time step_since_{};
    Time next_write_{};
  };
  struct KnownHost {
    HostRecord record_;
    Time asked_at_{};  // Since when a reply is awaited; zero if there is none.
  };

  void UpdateOrders(Time now);
  void UpdateVersions(Time now);
  void UpdateTargets(Rollout& rollout, Time now);
  void BeginOrder(Rollout& rollout, const RolloutOrder& order, Time now);
  // Returns the deciding hosts in order.
  std::vector<HostName> Deciders(Rollout& rollout, Time now);
  void Report(Rollout& rollout, Time now);
  void Decide(Rollout& rollout, Time now);
  void TakeStep(Rollout& rollout, RolloutStep step, Time now);
  void WriteState(Rollout& rollout, RolloutState state, Time now);
  void RaiseNotice(Rollout& rollout, RolloutNotice notice, const std::string& cause, Time now);
  RolloutMessage MakeMessage(const Rollout& rollout, bool is_reply, Time now) const;
  void SendTo(const HostName& host, const std::string& bytes);

  GatewayState& state_;
  HostRecord self_;
  Send send_;
  Write write_;
  Time started_at_;
  Time updated_at_{};
  Time heard_at_{};  // Any other host.
  Time
      acts_from_{};  // Not before the records are known that changed while the process stood still.
  bool had_list_ = false;     // Of the orders.
  bool had_targets_ = false;  // A list of them.
  std::uint64_t orders_begun_ = 0;
  std::map<std::string, Rollout> rollouts_;  // By service.
  std::map<HostName, KnownHost> hosts_;      // With this host.
  std::uint64_t hosts_version_ = 1;
  // When the versions of each service were seen first; zero if they were known from the start.
  std::map<std::string, std::map<std::string, Time>> versions_;
};

}  // namespace monsoonshelf::gateway
