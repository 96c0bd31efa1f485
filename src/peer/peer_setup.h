#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "peer/ipeer_transport.h"
#include "peer/peer_types.h"

namespace monsoonshelf::peer {

struct TransportSettings {
  HostName name_;
  Incarnation incarnation_ = 0;
  std::string address_;         // IP address and port to listen on; announced to peers.
  std::vector<Key> keys_;       // The first one signs; all are accepted.
  std::size_t max_peers_ = 96;  // Outgoing sockets; the one unused for longest is closed first.
};

// Makes a transport that delivers on the thread-default main context of the calling thread.
// Error: kSettingsInvalidValue.
Result<std::unique_ptr<IPeerTransport>> MakeTransport(TransportSettings settings);

// Counters of a transport made by MakeTransport.
const PeerCounters& CountersOf(const IPeerTransport& transport);

// Replaces the keys while the transport runs.
void SetKeys(IPeerTransport& transport, std::vector<Key> keys);

}  // namespace monsoonshelf::peer
