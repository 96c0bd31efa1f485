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
  // An incarnation of 0 is replaced by the Unix time at the start, in microseconds.
  coordination::NodeSettings node_;
  store::ClientSettings platform_;
  std::vector<peer::Key> keys_;                     // The first key signs; all keys are accepted.
  std::size_t max_outgoing_sockets_ = 96;           // As in peer::TransportSettings.
  std::vector<std::string> allowed_networks_ = {};  // As in peer::TransportSettings.
  std::uint64_t random_seed_ = 0;                   // 0: taken from the system's random device.
};

// Starts a control task that uses libsoup for the platform and nng for peers. Errors: kPeerSocket,
// kSettingsInvalidValue.
Result<std::unique_ptr<ControlTask>> StartControl(ControlSettings settings,
                                                  ControlCallbacks callbacks);

}  // namespace monsoonshelf::control
