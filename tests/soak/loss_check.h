#pragma once

#include <string>
#include <vector>

#include "base/base_types.h"
#include "http/http_types.h"

namespace monsoonshelf::soak {

// Times at which unplanned faults disturbed a host or a target.
class FaultTimes {
 public:
  // Records a fault that lasts until End is called, or a short one.
  void Begin(Time now);
  void End(Time now);
  void AddShortFault(Time now);
  bool Overlaps(Time from, Time to) const;

 private:
  struct Span {
    Time begin_{};
    Time end_ = Time::max();
  };
  std::vector<Span> spans_;
};

// When SIGTERM was sent to the processes of a host, and how much time each had until SIGKILL.
struct StopTimes {
  std::vector<Time> signals_;
  Duration grace_{};
};

// How the target that ran a request last worked on it.
struct TargetWork {
  const FaultTimes* target_faults_ = nullptr;
  Time end_{};  // When the work ends, or ended early because the host cancelled the request.
};

// A request that was sent to a host, at least in part, and got no complete response of a target and
// no rejection.
struct LostRequest {
  std::string id_;
  std::string address_;
  std::string description_;  // What was sent, and how far the response got.
  Time first_byte_sent_{};
  Time last_byte_sent_{};  // Of the part that was sent.
  Time ended_{};
  // When the soak last looked for events before: the host may have closed at any time after it.
  Time ended_after_{};
  http::Failure failure_ = http::Failure::kNone;  // kNone: the host responded with an error.
  bool gave_up_ = false;                          // The caller closed the connection itself.
};

// Returns why the loss breaks a guarantee, or an empty string if it may happen. `work` has an entry
// for each time that the request arrived at a target.
std::string CheckLoss(const LostRequest& request, const FaultTimes& host_faults,
                      const StopTimes& stops, const std::vector<TargetWork>& work);

}  // namespace monsoonshelf::soak
