#pragma once

#include <functional>
#include <string>

#include "base/result.h"
#include "coordination/coordination_types.h"

namespace monsoonshelf::peer {

// Sends and receives signed peer messages. Belongs to one task.
class IPeerTransport {
 public:
  using Handler = std::function<void(const coordination::PeerMessage&)>;

  virtual ~IPeerTransport() = default;

  // Starts to listen; `handler` gets verified messages on the task's thread. Error: kPeerSocket.
  virtual Result<void> Start(Handler handler) = 0;

  // Sends a message; it may be lost without notice.
  virtual void Send(const coordination::PeerSend& send) = 0;

  virtual void Stop() = 0;
};

}  // namespace monsoonshelf::peer
