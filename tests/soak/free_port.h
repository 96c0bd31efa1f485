#pragma once

#include <string>

namespace monsoonshelf::soak {

// Returns a free port below the range of outgoing connections: the system could give a port of that
// range to a connection while the host of the port is down. Several tests may run in parallel, so
// each process takes blocks of ports and listens on the first port of a block to keep others off.
int FreePort();

// Returns an address with a free port on loopback.
std::string FreeLoopbackAddress();

}  // namespace monsoonshelf::soak
