#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

namespace monsoonshelf {

// Durations of decisions and deadlines, in microseconds.
using Duration = std::chrono::microseconds;

// Clock of the pure modules. It has no now(): time is always a parameter.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

// Time since boot, counting suspends and pauses (CLOCK_BOOTTIME).
using Time = BootClock::time_point;

// Seeded by the caller, so that a run can be repeated.
using Random = std::mt19937_64;

// Name of an entry host, unique in the fleet, from its settings.
using HostName = std::string;

// Increases with each start of an entry host under the same name.
using Incarnation = std::uint64_t;

// Version of a platform object: one increasing sequence over all objects. 0 means absent.
using Version = std::uint64_t;

constexpr double ToMilliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

}  // namespace monsoonshelf
