#include "base/clock.h"

#include <ctime>

namespace monsoonshelf {

Time Now() {
  // CLOCK_MONOTONIC stops while the machine is suspended, so a lease that expired during a suspend
  // would still look valid.
  timespec value{};
  clock_gettime(CLOCK_BOOTTIME, &value);
  return Time(std::chrono::duration_cast<Duration>(std::chrono::seconds(value.tv_sec) +
                                                   std::chrono::nanoseconds(value.tv_nsec)));
}

std::int64_t WallMicroseconds() {
  timespec value{};
  clock_gettime(CLOCK_REALTIME, &value);
  return static_cast<std::int64_t>(value.tv_sec) * 1'000'000 + value.tv_nsec / 1000;
}

}  // namespace monsoonshelf
