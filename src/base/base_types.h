#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

namespace monsoonshelf {

// All durations and deadlines are in microseconds.
using Duration = std::chrono::microseconds;

// Clock type of all time points. It has no now(): modules without I/O (PURE_MODULES in
// CMakeLists.txt) get the current time as a parameter.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

// Time since boot, including the time for which the machine was suspended or paused
// (CLOCK_BOOTTIME).
using Time = BootClock::time_point;

// Pseudo-random generator. The caller seeds it, which makes a run reproducible.
using Random = std::mt19937_64;

// Name of an entry host as given in its settings; unique in the fleet.
using HostName = std::string;

// Distinguishes the starts of entry hosts with the same name; increases with each start.
using Incarnation = std::uint64_t;

// Version of a platform object. Versions increase across all objects; 0 means that the object does
// not exist.
using Version = std::uint64_t;

constexpr double ToMilliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

}  // namespace monsoonshelf
