#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "base/base_types.h"

namespace monsoonshelf::http {

// Decisions about pipelined requests of one connection: callers that send further requests before
// the first one is answered.

// Maximum number of requests of one connection that are started and not answered. More requests
// stay unread, so that one caller cannot use all targets.
inline constexpr std::size_t kMaxPipelinedRequests = 16;
// Response bytes held for their turn on one connection, or not yet accepted by the caller, above
// which no further request is started.
inline constexpr std::size_t kMaxHeldResponseBytes = std::size_t{1} << 20;

struct PipelineState {
  std::size_t started_ = 0;         // Requests that were started and whose response is incomplete.
  bool allows_overlap_ = true;      // All of them allow that others start.
  bool closes_ = false;             // The connection is closed after the last started one.
  std::size_t held_bytes_ = 0;      // Response bytes held for their turn on this connection.
  std::size_t buffered_bytes_ = 0;  // Buffered bytes of all connections.
  std::size_t max_buffered_bytes_ = 0;  // Their limit.
};

// Returns whether the next request may be started. `overlaps` tells whether it may run beside the
// started ones.
bool MayStartRequest(const PipelineState& pipeline, bool overlaps);

// Arrival times of the bytes of a stream that are read later than they arrive.
class ArrivalTimes {
 public:
  void Add(std::size_t bytes, Time now);
  void Remove(std::size_t bytes);
  // Returns the arrival time of the first byte that was not removed; `now` if there is none.
  Time First(Time now) const;
  // Number of bytes that were not removed.
  std::size_t Remaining() const { return static_cast<std::size_t>(added_ - removed_); }

 private:
  struct Mark {
    std::uint64_t end_ = 0;  // Number of bytes of the stream up to the last one that arrived then.
    Time arrived_{};
  };
  std::deque<Mark> marks_;
  std::uint64_t added_ = 0;
  std::uint64_t removed_ = 0;
};

}  // namespace monsoonshelf::http
