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
  // IP address and port to listen on and to announce to peers. With port 0 the kernel chooses one.
  std::string address_;
  // The first key signs outgoing messages; incoming messages may be signed with any of them. A key
  // has an identifier of 1 to 32 bytes and a secret of at least 16 bytes.
  std::vector<Key> keys_;
  // At this limit the least recently used outgoing socket is closed first.
  std::size_t max_outgoing_sockets_ = 96;
  // Networks, such as 192.0.2.0/24, from which messages are accepted; empty: any. Members are
  // authenticated by the shared key rather than by a list of addresses, because entry hosts can be
  // replaced at any time.
  std::vector<std::string> allowed_networks_ = {};
};

// Checks that there is at least one key and that all keys have valid lengths. Call it before
// IPeerTransport::SetKeys. Error: kSettingsInvalidValue.
Result<void> CheckKeys(const std::vector<Key>& keys);

// Makes a transport that runs on the thread-default main context of the calling thread.
// Error: kSettingsInvalidValue.
Result<std::unique_ptr<IPeerTransport>> MakeTransport(TransportSettings settings);

}  // namespace monsoonshelf::peer
