#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "entry/entry_types.h"
#include "entry/itarget_client.h"

namespace monsoonshelf::entry {

using dispatch::CallHandle;

// The upper bits of a call handle are the index of the data task that accepted the call.
inline constexpr int kTaskIndexShift = 48;
constexpr std::size_t AcceptingTaskIndex(CallHandle handle) {
  return static_cast<std::size_t>(handle >> kTaskIndexShift);
}

// A valid call, ready to be placed. Its body has arrived completely or is streamed.
struct CallArrival {
  CallHandle handle_ = 0;
  CallHeadPtr head_;
  RequestBody body_;
};

// Returns true if the dispatcher of another zone forwarded the call to this host.
inline bool CameFromOtherZone(const CallHead& head) {
  return !head.hops_.empty() && head.hops_.back() == Hop::kSpill;
}

// What a send is for: execution by a target, or one of the hops between entry hosts.
enum class SendPurpose { kTarget, kHome, kDispatch, kSpill };

// Instruction to send a call to a target or to another entry host.
struct SendCommand {
  CallHandle call_ = 0;
  SendPurpose purpose_ = SendPurpose::kTarget;
  int retry_budget_ = 0;
  bool record_outcome_ = false;  // Report the response for the outcome table.
  std::string shard_load_;       // If not empty, added to the response as kShardLoadHeader.
  TargetRequest request_;
};

// Result of a send, for the router.
struct SendReport {
  CallHandle call_ = 0;
  SendId send_ = 0;
  dispatch::SendResult result_ = dispatch::SendResult::kLost;
  std::optional<dispatch::LoadReport> load_report_;
  bool sent_ = false;  // As in SendEnd.
  // The response was delivered to the caller, or its streaming began and was aborted.
  bool delivered_ = false;
  BufferedResponse response_;  // Complete response that was not delivered; else empty.
  std::optional<outcomes::FinishedCall> recorded_outcome_;
  std::optional<int> returned_retry_budget_;  // Remaining retry budget from the response.
  std::string shard_load_;                    // Load header from a shard in another zone.
};

// Carries out the decisions of the router.
class IRouterDelegate {
 public:
  virtual ~IRouterDelegate() = default;
  virtual void StartSend(SendCommand command) = 0;
  // `address` is the address that the send goes to.
  virtual void CancelSend(const std::string& address, SendId send) = 0;
  virtual void StartProbe(const ShardKey& shard, const std::string& target,
                          const std::string& address, int max_connections) = 0;
  virtual void DeliverResponse(CallHandle call, BufferedResponse response) = 0;
  virtual void DeliverError(CallHandle call, ErrorResponse error) = 0;
  // Closes the connections to an address that is no longer used.
  virtual void RemoveAddress(const std::string& address) = 0;
  virtual void ReportEvent(KeyValues event) = 0;
};

}  // namespace monsoonshelf::entry
