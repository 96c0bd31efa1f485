#pragma once

#include <string>

namespace monsoonshelf::soak {

// Returns a free port below the range of outgoing connections: the system could give a port of that
// range to a connection while the host of the port is down. Each process uses its own block of
// ports, because several tests may run in parallel.
int FreePort();

// Returns an address with a free port on loopback.
std::string FreeLoopbackAddress();

}  // namespace monsoonshelf::soak
