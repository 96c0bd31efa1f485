#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/result.h"
#include "coordination/coordination_types.h"
#include "peer/peer_types.h"

namespace monsoonshelf::peer {

// Sends and receives signed peer messages. Belongs to one task.
class IPeerTransport {
 public:
  using Handler = std::function<void(const coordination::PeerMessage&)>;

  virtual ~IPeerTransport() = default;

  // Starts to listen; `handler` gets verified messages on the task's thread. Error: kPeerSocket.
  virtual Result<void> Start(Handler handler) = 0;

  // Sends a message; it may be lost without notice.
  virtual void Send(const coordination::OutgoingPeerMessage& send) = 0;

  virtual void Stop() = 0;

  // The address on which it listens; with the port that the kernel chose for port 0.
  virtual std::string ListenAddress() const = 0;

  // Replaces the keys while messages flow. The first one signs; all are accepted.
  virtual void SetKeys(std::vector<Key> keys) = 0;

  virtual const PeerCounters& Counters() const = 0;
};

}  // namespace monsoonshelf::peer
