#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/result.h"
#include "coordination/coordination_types.h"
#include "peer/peer_types.h"

namespace monsoonshelf::peer {

// Sends and receives signed peer messages. All methods must be called on the thread of one task.
class IPeerTransport {
 public:
  using Handler = std::function<void(const coordination::PeerMessage&)>;

  virtual ~IPeerTransport() = default;

  // Starts listening. `handler` is called with each verified message on the task's thread.
  // Error: kPeerSocket.
  virtual Result<void> Start(Handler handler) = 0;

  // Queues a message for sending. Delivery is not guaranteed and a loss is not reported.
  virtual void Send(const coordination::OutgoingPeerMessage& send) = 0;

  // Closes all sockets. `handler` is not called afterwards.
  virtual void Stop() = 0;

  // Returns the listen address. After Start, port 0 is replaced by the port that the kernel chose.
  virtual std::string ListenAddress() const = 0;

  // Replaces the keys of a running transport. The first key signs outgoing messages; incoming
  // messages may be signed with any of them. The keys must satisfy CheckKeys.
  virtual void SetKeys(std::vector<Key> keys) = 0;

  virtual const PeerCounters& Counters() const = 0;
};

}  // namespace monsoonshelf::peer
