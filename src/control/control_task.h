#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/result.h"
#include "control/control_types.h"
#include "peer/ipeer_transport.h"
#include "store/iplatform_client.h"

namespace monsoonshelf::control {

// Called on the control thread, with its main context as the thread default, to create the clients.
struct ControlFactories {
  std::function<Result<std::unique_ptr<store::IPlatformClient>>()> platform_client_;
  std::function<Result<std::unique_ptr<peer::IPeerTransport>>()> peer_transport_;
};

// Thread with its own main context that owns the coordination node, the platform client and the
// peer transport. Start() and Stop() must be called by the owner. The other functions may be called
// from any thread; they post a message to the control thread.
class ControlTask {
 public:
  ControlTask(coordination::NodeSettings settings, std::uint64_t random_seed,
              ControlFactories factories, ControlCallbacks callbacks);
  ~ControlTask();  // Calls Stop().
  ControlTask(const ControlTask&) = delete;
  ControlTask& operator=(const ControlTask&) = delete;

  // Starts the thread and waits until the peer listener is open and the first view is published. A
  // port of 0 in the peer address is replaced by the port of the listener. Errors: kPeerSocket and
  // those of the factories.
  Result<void> Start();

  // Sets the load of the shards that this host dispatches, which is sent to other hosts.
  void SetLocalShards(std::vector<coordination::ShardLoad> shards);

  // Begins the graceful stop: callers are no longer sent to the host, and it releases its
  // assignments.
  void Leave();

  // Replaces the keys for peer messages. The first key signs; all keys are accepted. On the error
  // kSettingsInvalidValue the keys are unchanged.
  Result<void> SetKeys(std::vector<peer::Key> keys);

  // Ends the thread. No callback runs after Stop() has returned. Must not be called from a
  // callback.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace monsoonshelf::control
