#pragma once

#include <string>
#include <vector>

#include "gateway/zone_peers.h"

namespace monsoonshelf::gateway {

// Callers ask again after this time. Short, so that few of them hold the address of a host that
// ended; each answer costs a host less than a tenth of a request.
inline constexpr Duration kDirectoryTimeToLive = std::chrono::seconds(2);

// Addresses to name to callers: this host and the peers of its zone that take callers. A caller
// asks the hosts of its own zone first, so that it gets hosts of the own zone while there are any.
std::vector<std::string> DirectoryAddresses(const ZonePeers& peers, bool self_serving, Time now);

}  // namespace monsoonshelf::gateway
