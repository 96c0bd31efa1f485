#pragma once

#include <cstdint>
#include <string>

#include "base/base_types.h"

namespace monsoonshelf::store {

// Largest body that the platform accepts.
inline constexpr std::size_t kMaxObjectBytes = 1 << 20;

struct ClientSettings {
  std::string address_;  // IP address and port.
  // Token bucket for the calls of this client; each started watch counts as a call. The platform
  // limits the calls of the whole fleet, so each client must limit its own.
  double calls_per_second_ = 10;
  double call_burst_ = 30;
};

struct ClientCounters {
  std::uint64_t calls_ = 0;
  std::uint64_t refused_by_budget_ = 0;  // Calls that were not sent because of the rate limit.
  std::uint64_t timeouts_ = 0;
  std::uint64_t invalid_responses_ = 0;
  std::uint64_t bytes_out_ = 0;  // Bodies, and an estimate for the headers.
  std::uint64_t bytes_in_ = 0;
};

}  // namespace monsoonshelf::store
