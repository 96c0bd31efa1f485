#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/base_types.h"

namespace monsoonshelf::standins {

// Returns `count` bytes of a test body from `position` on. The bytes depend on the seed (the call
// identifier) and the position, so the caller detects bytes of another call or at a wrong offset.
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
