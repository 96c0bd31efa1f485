#include "gateway/directory.h"

namespace monsoonshelf::gateway {

std::vector<std::string> DirectoryAddresses(const ZonePeers& peers, bool self_serving, Time now) {
  std::vector<std::string> addresses;
  if (self_serving) addresses.push_back(peers.self_.front_address_);
  for (const Peer* peer : ServingPeers(peers, now)) {
    addresses.push_back(peer->record_.front_address_);
  }
  return addresses;
}

}  // namespace monsoonshelf::gateway
