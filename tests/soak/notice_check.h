#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/base_types.h"
#include "tests/soak/loss_check.h"

namespace monsoonshelf::soak {

// A target told a host that it leaves, or that it wants a pause.
struct GivenNotice {
  std::string target_;
  int incarnation_ = 0;  // Of the target.
  std::string host_;     // Front address of the host.
  Time given_at_{};
  Duration pause_{};           // Zero if the target leaves.
  Duration stalled_before_{};  // Time in which the soak did not run, before the notice.
};

// A request that arrived at a target.
struct Arrival {
  std::string id_;
  std::string target_;
  int incarnation_ = 0;
  std::string host_;
  Time sent_at_{};  // By the caller.
  Time arrived_at_{};
  Duration stalled_before_{};
};

// Returns whether the host or the target may have missed a notice between two times.
using IsExcused = std::function<bool(const GivenNotice&, Time until)>;

// Returns the requests that arrived although their target had told their host that it wants none.
std::vector<std::string> CheckNotices(const std::vector<GivenNotice>& notices,
                                      const std::vector<Arrival>& arrivals,
                                      const IsExcused& is_excused);

}  // namespace monsoonshelf::soak
