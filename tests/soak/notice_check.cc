#include "tests/soak/notice_check.h"

namespace monsoonshelf::soak {

namespace {

// A request that a caller sent this long after the notice must not reach a target that leaves
// (drainMs).
constexpr Duration kLeaveTime = std::chrono::seconds(2);
// Requests may arrive during a pause for this time after the notice, and a few of them later.
constexpr Duration kPauseReactionTime = std::chrono::milliseconds(500);
constexpr int kMaxRequestsDuringPause = 2;

}  // namespace

std::vector<std::string> CheckNotices(const std::vector<GivenNotice>& notices,
                                      const std::vector<Arrival>& arrivals,
                                      const IsExcused& is_excused) {
  std::vector<std::string> violations;
  for (const GivenNotice& notice : notices) {
    int during_pause = 0;
    for (const Arrival& arrival : arrivals) {
      if (arrival.target_ != notice.target_ || arrival.host_ != notice.host_ ||
          arrival.incarnation_ != notice.incarnation_) {
        continue;
      }
      const Duration stalled = arrival.stalled_before_ - notice.stalled_before_;
      if (notice.pause_.count() == 0) {
        if (arrival.sent_at_ <= notice.given_at_ + kLeaveTime + stalled) continue;
        if (is_excused(notice, arrival.arrived_at_)) continue;
        violations.push_back("request " + arrival.id_ + " at " + arrival.target_ +
                             " after it said that it leaves");
      } else if (arrival.arrived_at_ > notice.given_at_ + kPauseReactionTime + stalled &&
                 arrival.arrived_at_ < notice.given_at_ + notice.pause_ &&
                 !is_excused(notice, arrival.arrived_at_)) {
        if (++during_pause == kMaxRequestsDuringPause + 1) {
          violations.push_back("request " + arrival.id_ + " at " + arrival.target_ +
                               " during its pause");
        }
      }
    }
  }
  return violations;
}

}  // namespace monsoonshelf::soak
