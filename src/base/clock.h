#pragma once

#include "base/base_types.h"

namespace monsoonshelf {

// Reads CLOCK_BOOTTIME. Only tasks call this; pure modules get the time as a parameter.
Time Now();

// Reads the wall clock, for log lines and call identifiers, in microseconds since 1970.
std::int64_t WallMicroseconds();

}  // namespace monsoonshelf
