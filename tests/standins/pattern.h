#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/base_types.h"

namespace monsoonshelf::standins {

// Bytes of a large body that depend on the call and the position, so that a caller notices bytes
// that belong to another call or place.
inline std::string PatternBytes(const std::string& seed, std::uint64_t position,
                                std::size_t count) {
  const std::uint64_t key = std::hash<std::string>{}(seed) | 1U;
  std::string bytes(count, '\0');
  for (std::size_t i = 0; i < count; ++i) {
    const std::uint64_t mixed = (position + i + 1) * key;
    bytes[i] = static_cast<char>(mixed >> 56U);
  }
  return bytes;
}

}  // namespace monsoonshelf::standins
