#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "control/control_task.h"
#include "coordination/node.h"
#include "peer/peer_types.h"
#include "store/platform_types.h"

namespace monsoonshelf::control {

struct ControlSettings {
  // The incarnation 0 is replaced by the wall clock at the start, in microseconds.
  coordination::NodeSettings node_;
  store::ClientSettings platform_;
  std::vector<peer::Key> keys_;             // The first one signs; all are accepted.
  std::size_t max_peers_ = 96;              // As in peer::TransportSettings.
  std::vector<std::string> networks_ = {};  // As in peer::TransportSettings.
  std::uint64_t random_seed_ = 0;           // 0: taken from the system.
};

// Starts control with libsoup and nng. Error: kPeerSocket, kSettingsInvalidValue.
Result<std::unique_ptr<ControlTask>> StartControl(ControlSettings settings,
                                                  ControlCallbacks callbacks);

}  // namespace monsoonshelf::control
