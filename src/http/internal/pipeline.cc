#include "http/pipeline.h"

#include <algorithm>

namespace monsoonshelf::http {

namespace {

// Bytes that arrive within this time share a mark, which bounds the number of marks.
constexpr Duration kMarkInterval = std::chrono::milliseconds(5);

}  // namespace

bool MayStartRequest(const PipelineState& pipeline, bool overlaps) {
  if (pipeline.started_ == 0) return true;
  // The response to the last started request announces the close. A request behind it would be sent
  // again by the caller.
  if (pipeline.closes_) return false;
  if (!overlaps || !pipeline.allows_overlap_) return false;
  return pipeline.started_ < kMaxPipelinedRequests &&
         pipeline.held_bytes_ < kMaxHeldResponseBytes &&
         pipeline.buffered_bytes_ < pipeline.max_buffered_bytes_;
}

void ArrivalTimes::Add(std::size_t bytes, Time now) {
  added_ += bytes;
  // The earlier time counts, so that a request never looks younger than it is.
  if (!marks_.empty() && now - marks_.back().arrived_ < kMarkInterval) {
    marks_.back().end_ = added_;
  } else {
    marks_.push_back({added_, now});
  }
}

void ArrivalTimes::Remove(std::size_t bytes) {
  removed_ = std::min(removed_ + bytes, added_);
  while (!marks_.empty() && marks_.front().end_ <= removed_) marks_.pop_front();
}

Time ArrivalTimes::First(Time now) const { return marks_.empty() ? now : marks_.front().arrived_; }

}  // namespace monsoonshelf::http
