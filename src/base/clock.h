#pragma once

#include "base/base_types.h"

namespace monsoonshelf {

// Returns the time of CLOCK_BOOTTIME. For tasks only: modules without I/O get the current time as a
// parameter.
Time Now();

// Returns the wall-clock time in microseconds since 1970 (UTC), for log lines and call identifiers.
std::int64_t WallMicroseconds();

}  // namespace monsoonshelf
