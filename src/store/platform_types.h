#pragma once

#include <cstdint>
#include <string>

#include "base/base_types.h"

namespace monsoonshelf::store {

// Largest body that the platform accepts.
inline constexpr std::size_t kMaxObjectBytes = 1 << 20;

struct ClientSettings {
  std::string address_;  // IP address and port.
  // Own budget for calls, a started watch included: the platform's limits hold for the whole fleet.
  double calls_per_second_ = 10;
  double call_burst_ = 30;
};

struct ClientCounters {
  std::uint64_t calls_ = 0;
  std::uint64_t refused_by_budget_ = 0;
  std::uint64_t timeouts_ = 0;
  std::uint64_t invalid_answers_ = 0;
  std::uint64_t bytes_out_ = 0;  // Bodies and an estimate of the header bytes.
  std::uint64_t bytes_in_ = 0;
};

}  // namespace monsoonshelf::store
