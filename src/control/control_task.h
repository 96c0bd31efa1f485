#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/result.h"
#include "control/control_types.h"
#include "peer/ipeer_transport.h"
#include "store/iplatform_client.h"

namespace monsoonshelf::control {

// Makes the clients on the control thread, with its main context as the thread default.
struct ControlFactories {
  std::function<Result<std::unique_ptr<store::IPlatformClient>>()> platform_client_;
  std::function<Result<std::unique_ptr<peer::IPeerTransport>>()> peer_transport_;
};

// Thread with its own main context that owns the coordination node, the platform client and the
// peer transport. Start and Stop are called by the owner; the other
// functions may be called from any thread and post a message to the task.
class ControlTask {
 public:
  ControlTask(coordination::NodeSettings settings, std::uint64_t random_seed,
              ControlFactories factories, ControlCallbacks callbacks);
  ~ControlTask();  // Stops.
  ControlTask(const ControlTask&) = delete;
  ControlTask& operator=(const ControlTask&) = delete;

  // Starts the thread and waits until the peer listener is open; a first view has been published
  // by then. A peer address with port 0 gets the port of the listener. Errors: kPeerSocket and
  // those of the factories.
  Result<void> Start();

  // Load of the shards that this host dispatches, for other hosts.
  void SetLocalShards(std::vector<coordination::ShardLoad> shards);

  // Begins the graceful stop: the host is no longer named to callers and gives up its assignments.
  void Leave();

  // Replaces the keys for peer messages. The first one signs; all are accepted.
  // Error: kSettingsInvalidValue; the keys stay as they were.
  Result<void> SetKeys(std::vector<peer::Key> keys);

  // Ends the thread. No callback runs after it returns. Not to be called from a callback.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace monsoonshelf::control
