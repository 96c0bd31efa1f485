#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/base_types.h"

namespace monsoonshelf::http {

// Decisions about which caller connections are closed when memory or
// descriptors are short.

// What a connection is doing, in the order in which connections are closed when
// memory is short.
enum class ConnectionPhase {
  kIdle,     // No byte of a request was received.
  kWaiting,  // The peer sends a request or reads a response; nothing runs.
  kRunning,  // A request was started and its response is not complete.
};

struct ConnectionLoad {
  ConnectionPhase phase_ = ConnectionPhase::kIdle;
  std::size_t held_bytes_ = 0;
  Duration without_progress_{};  // Since the last byte in either direction.
};

// A new connection is not replaced within this time, because its first request
// is on its way.
inline constexpr Duration kMinReplaceableIdleTime = std::chrono::seconds(1);
// A peer that sends a request or reads a response is not replaced within this
// time without a byte. Covers the repetition of lost packets.
inline constexpr Duration kMinReplaceableStallTime = std::chrono::seconds(2);

// Bytes to free by closing connections.
struct BytesToFree {
  std::size_t required_ = 0;  // Also by closing connections whose request runs.
  std::size_t wanted_ = 0;    // By closing the others only.
};

// Returns the indexes of the connections to close, in the order of closing: by
// phase; within a phase those that hold most and progress least come first.
std::vector<std::size_t> ChooseConnectionsToShed(const std::vector<ConnectionLoad>& loads,
                                                 const BytesToFree& bytes);

// Returns the connection to close in favour of a new one, or nothing if all of
// them are in use. A connection whose request runs is never replaced.
std::optional<std::size_t> ChooseConnectionToReplace(const std::vector<ConnectionLoad>& loads);

}  // namespace monsoonshelf::http
