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
  std::string address_;  // IP address and port to listen on and to announce; port 0: any.
  // The first one signs; all are accepted. Identifiers have 1 to 32 bytes, secrets at least 16.
  std::vector<Key> keys_;
  // At this limit the least recently used outgoing socket is closed first.
  std::size_t max_outgoing_sockets_ = 96;
  // Networks, such as 192.0.2.0/24, from which messages are taken; empty: any. The shared key
  // decides who is a member, since entry hosts can be replaced at any time.
  std::vector<std::string> allowed_networks_ = {};
};

// Checks keys before they are passed to SetKeys. Error: kSettingsInvalidValue.
Result<void> CheckKeys(const std::vector<Key>& keys);

// Makes a transport that delivers on the thread-default main context of the calling thread.
// Error: kSettingsInvalidValue.
Result<std::unique_ptr<IPeerTransport>> MakeTransport(TransportSettings settings);

}  // namespace monsoonshelf::peer
