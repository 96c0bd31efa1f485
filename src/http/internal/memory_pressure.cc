#include "http/memory_pressure.h"

#include <algorithm>
#include <numeric>

namespace monsoonshelf::http {

namespace {

// Bytes held, weighted by the time without progress: a large upload that
// advances is kept rather than a smaller one that has stopped. Each second
// without a byte counts as much as the size.
double ShedWeight(const ConnectionLoad& load) {
  return static_cast<double>(load.held_bytes_) *
         (1 + std::chrono::duration<double>(load.without_progress_).count());
}

}  // namespace

std::vector<std::size_t> ChooseConnectionsToShed(const std::vector<ConnectionLoad>& loads,
                                                 const BytesToFree& bytes) {
  std::vector<std::size_t> order(loads.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(), [&loads](std::size_t left, std::size_t right) {
    if (loads[left].phase_ != loads[right].phase_) return loads[left].phase_ < loads[right].phase_;
    return ShedWeight(loads[left]) > ShedWeight(loads[right]);
  });
  std::size_t freed = 0;
  std::size_t count = 0;
  for (; count < order.size(); ++count) {
    const ConnectionLoad& load = loads[order[count]];
    if (freed >= (load.phase_ == ConnectionPhase::kRunning ? bytes.required_ : bytes.wanted_)) {
      break;
    }
    freed += load.held_bytes_;
  }
  order.resize(count);
  return order;
}

std::optional<std::size_t> ChooseConnectionToReplace(const std::vector<ConnectionLoad>& loads) {
  std::optional<std::size_t> chosen;
  for (std::size_t i = 0; i < loads.size(); ++i) {
    const ConnectionLoad& load = loads[i];
    if (load.phase_ == ConnectionPhase::kRunning) continue;
    const Duration min_time =
        load.phase_ == ConnectionPhase::kIdle ? kMinReplaceableIdleTime : kMinReplaceableStallTime;
    if (load.without_progress_ < min_time) continue;
    if (!chosen || load.phase_ < loads[*chosen].phase_ ||
        (load.phase_ == loads[*chosen].phase_ &&
         load.without_progress_ > loads[*chosen].without_progress_)) {
      chosen = i;
    }
  }
  return chosen;
}

}  // namespace monsoonshelf::http
