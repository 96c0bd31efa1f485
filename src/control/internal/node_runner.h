#pragma once

#include <glib.h>

#include <memory>
#include <vector>

#include "control/control_types.h"
#include "coordination/node.h"
#include "peer/ipeer_transport.h"
#include "store/iplatform_client.h"

namespace monsoonshelf::control::detail {

// Runs a coordination node on the thread-default main context of its creator: executes its output,
// calls it when a message, a reply or a tick is due, and publishes views.
class NodeRunner {
 public:
  // The clients outlive the runner.
  NodeRunner(coordination::NodeSettings settings, std::uint64_t random_seed,
             store::IPlatformClient& client, peer::IPeerTransport& transport,
             ControlCallbacks callbacks);
  ~NodeRunner();
  NodeRunner(const NodeRunner&) = delete;
  NodeRunner& operator=(const NodeRunner&) = delete;

  // Publishes the first view before it returns.
  void Start();
  void OnMessage(const coordination::PeerMessage& message);
  void SetLocalShards(std::vector<coordination::ShardLoad> shards);
  void Leave();

 private:
  struct Timer;

  static gboolean OnTimer(gpointer data);
  void OnWakeup();
  void OnReply(const coordination::PlatformReply& reply);
  // Ends each step of the node.
  void Execute(const coordination::NodeOutput& output);
  void NoteChanges(const coordination::NodeOutput& output, Time now);
  void Publish(Time now);
  void PublishCost(Time now);
  void Arm(Time now);

  coordination::NodeSettings settings_;
  Random random_;
  store::IPlatformClient& client_;
  peer::IPeerTransport& transport_;
  ControlCallbacks callbacks_;
  coordination::NodePtr node_;
  GSource* timer_ = nullptr;
  ControlView view_;      // The next one to publish.
  bool changed_ = false;  // view_ differs from the published one.
  bool placements_changed_ = false;
  Time published_{};
  Time next_tick_{};
  Time next_cost_{};
  std::uint64_t wakeups_ = 0;
};

// Dispatcher and entry hosts of every service in every zone of the configuration.
std::shared_ptr<const Placements> ComputePlacements(const coordination::Node& node,
                                                    const configuration::Snapshot& snapshot);

}  // namespace monsoonshelf::control::detail
