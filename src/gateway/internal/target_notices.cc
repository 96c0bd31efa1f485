#include "gateway/target_notices.h"

#include <algorithm>

namespace monsoonshelf::gateway {

namespace {

constexpr Duration kMaxReturnSpread = std::chrono::seconds(2);

}  // namespace

NoticeChange ApplyNotice(TargetNotices& notices, const TargetNotice& notice, Random& random,
                         Time now) {
  NoticeChange change;
  change.leaving_ = notice.leaving_ && !notices.leaving_;
  notices.leaving_ = notices.leaving_ || notice.leaving_;
  if (!notice.pause_ || *notice.pause_ <= Duration(0)) return change;
  const Duration pause = std::min(*notice.pause_, kMaxTargetPause);
  if (now + pause <= notices.paused_until_) return change;
  const Duration spread = std::min(pause / 4, kMaxReturnSpread);
  notices.paused_until_ =
      now + pause +
      Duration(std::uniform_int_distribution<Duration::rep>(0, spread.count())(random));
  change.paused_ = true;
  return change;
}

bool WantsRequests(const TargetNotices& notices, Time now) {
  return !notices.leaving_ && now >= notices.paused_until_;
}

}  // namespace monsoonshelf::gateway
