#include "http/memory_account.h"

#include <malloc.h>

#include <algorithm>
#include <string>

#include "http/memory_pressure.h"
#include "http/server_connection.h"
#include "logging/logging.h"

namespace monsoonshelf::http {

namespace {

// When the limit is exceeded, connections are closed down to this share of it,
// so that not each further byte causes another selection.
constexpr double kShedTargetShare = 0.9;
// Interval between two log lines about closed connections.
constexpr Duration kLogInterval = std::chrono::seconds(10);
// Released bytes after which the heap is trimmed, and the interval between two
// trims. Trimming walks the whole heap.
constexpr std::size_t kMinReleasedBytes = std::size_t{8} << 20;
constexpr Duration kTrimInterval = std::chrono::seconds(1);

}  // namespace

void MemoryAccount::Add(std::size_t bytes) {
  held_bytes_ += bytes;
  peak_bytes_ = std::max(peak_bytes_, held_bytes_);
}

void MemoryAccount::RemoveListener(ServerConnections& connections) {
  std::erase(listeners_, &connections);
}

void MemoryAccount::ShedIfShort(Time now) {
  if (!IsShort() || is_shedding_) return;
  is_shedding_ = true;
  std::vector<ServerConnectionPtr> all;
  std::vector<ConnectionLoad> loads;
  for (const ServerConnections* listener : listeners_) {
    for (const ServerConnectionPtr& connection : listener->All()) {
      all.push_back(connection);
      loads.push_back(connection->Load(now));
    }
  }
  const std::size_t held_before = held_bytes_;
  const auto target = static_cast<std::size_t>(static_cast<double>(max_bytes_) * kShedTargetShare);
  std::size_t count = 0;
  const BytesToFree bytes = {held_before - max_bytes_, held_before - target};
  for (const std::size_t index : ChooseConnectionsToShed(loads, bytes)) {
    if (all[index]->IsOpen() && all[index]->Shed()) ++count;
  }
  shed_count_ += count;
  is_shedding_ = false;
  if (count == 0 || (logged_at_ != Time{} && now - logged_at_ < kLogInterval)) return;
  logged_at_ = now;
  logging::LogEvent(logging::LogLevel::kWarning, "memory_short",
                    {{"connections", std::to_string(all.size())},
                     {"closed", std::to_string(count)},
                     {"closed_total", std::to_string(shed_count_)},
                     {"held_bytes", std::to_string(held_before)},
                     {"max_bytes", std::to_string(max_bytes_)},
                     {"left_bytes", std::to_string(held_bytes_)}});
}

void MemoryAccount::ReleaseFreedMemory(Time now) {
  if (peak_bytes_ - held_bytes_ < kMinReleasedBytes || now - released_at_ < kTrimInterval) return;
  released_at_ = now;
  peak_bytes_ = held_bytes_;
  // Fields of headers are small allocations between others; without this call
  // their pages stay resident after a crowd of callers has left.
  malloc_trim(0);
}

}  // namespace monsoonshelf::http
