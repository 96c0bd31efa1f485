#pragma once

#include <glib.h>

#include <memory>
#include <vector>

#include "control/control_types.h"
#include "coordination/node.h"
#include "peer/ipeer_transport.h"
#include "store/iplatform_client.h"

namespace monsoonshelf::control::detail {

// Runs a coordination node on the thread-default main context of its creator. Passes messages,
// replies and timer ticks to the node, executes its output and publishes views.
class NodeRunner {
 public:
  // `client` and `transport` must outlive the runner.
  NodeRunner(coordination::NodeSettings settings, std::uint64_t random_seed,
             store::IPlatformClient& client, peer::IPeerTransport& transport,
             ControlCallbacks callbacks);
  ~NodeRunner();
  NodeRunner(const NodeRunner&) = delete;
  NodeRunner& operator=(const NodeRunner&) = delete;

  // Creates and starts the node. The first view is published before Start() returns.
  void Start();
  void OnMessage(const coordination::PeerMessage& message);
  void SetLocalShards(std::vector<coordination::ShardLoad> shards);
  void Leave();

 private:
  struct Timer;

  static gboolean OnTimer(gpointer data);
  void OnWakeup();
  void OnReply(const coordination::PlatformReply& reply);
  // Called with the output of each call of the node. Publishes a view if one is due and arms the
  // timer.
  void ExecuteOutput(const coordination::NodeOutput& output);
  void UpdateView(const coordination::NodeOutput& output, Time now);
  void Publish(Time now);
  void PublishCost(Time now);
  void ArmTimer(Time now);

  coordination::NodeSettings settings_;
  Random random_;
  store::IPlatformClient& client_;
  peer::IPeerTransport& transport_;
  ControlCallbacks callbacks_;
  coordination::NodePtr node_;
  GSource* timer_ = nullptr;
  ControlView view_;           // The next view to publish.
  bool view_changed_ = false;  // `view_` differs from the last published view.
  bool placements_changed_ = false;
  Time last_publish_{};
  Time next_tick_{};
  Time next_cost_report_{};
  std::uint64_t wakeups_ = 0;
};

// Returns the dispatcher and the entry hosts of every service in every zone of the configuration
// and of the targets of the service.
std::shared_ptr<const Placements> ComputePlacements(const coordination::Node& node,
                                                    const configuration::Snapshot& snapshot);

}  // namespace monsoonshelf::control::detail
