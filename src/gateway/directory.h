#pragma once

#include <string>
#include <vector>

#include "gateway/zone_peers.h"

namespace monsoonshelf::gateway {

// Time after which a caller queries the directory again. It is short so that few callers hold the
// address of a stopped host. A directory response costs a host less than a tenth of a request.
inline constexpr Duration kDirectoryTimeToLive = std::chrono::seconds(2);

// Returns the addresses to list in a directory response: this host, if it serves callers, and the
// serving peers of its zone. Callers query the directories of their own zone first, so they use
// hosts of their own zone as long as there are any.
std::vector<std::string> DirectoryAddresses(const ZonePeers& peers, bool self_serving, Time now);

}  // namespace monsoonshelf::gateway
