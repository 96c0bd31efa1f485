#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "entry/entry_types.h"
#include "entry/itarget_client.h"

namespace monsoonshelf::entry {

using dispatch::CallHandle;

// The data task that accepted a call is in the upper bits of its handle.
inline constexpr int kTaskShift = 48;
constexpr std::size_t TaskOf(CallHandle handle) {
  return static_cast<std::size_t>(handle >> kTaskShift);
}

// A call whose head is valid and whose small body has arrived.
struct CallArrival {
  CallHandle handle_ = 0;
  CallHeadPtr head_;
  RequestBody body_;
};

// True for a call that the dispatcher of another zone forwarded to this host.
inline bool CameFromOtherZone(const CallHead& head) {
  return !head.hops_.empty() && head.hops_.back() == Hop::kSpill;
}

enum class SendPurpose { kTarget, kHome, kDispatch, kSpill };

// One send of a call, to a target or to another entry host.
struct SendOrder {
  CallHandle call_ = 0;
  SendPurpose purpose_ = SendPurpose::kTarget;
  int retry_budget_ = 0;
  bool keep_ = false;       // The result is needed for the outcome table.
  std::string shard_load_;  // Not empty: goes with the answer to the dispatcher of another zone.
  TargetRequest request_;
};

// How a send ended, as the router sees it.
struct SendReport {
  CallHandle call_ = 0;
  SendId send_ = 0;
  dispatch::SendResult result_ = dispatch::SendResult::kLost;
  std::optional<dispatch::LoadReport> report_;
  bool sent_ = false;
  // The response has gone to the caller, or the caller was told that it is incomplete.
  bool delivered_ = false;
  WholeResponse response_;  // When not delivered and a whole response arrived.
  std::optional<outcomes::FinishedCall> kept_;
  std::optional<int> returned_budget_;  // Retries left, as the answer says.
  std::string shard_load_;              // Load of the shard in another zone that answered.
};

// What the router tells the data tasks to do.
class IRouterPort {
 public:
  virtual ~IRouterPort() = default;
  virtual void Send(SendOrder order) = 0;
  virtual void CancelSend(const std::string& address, SendId send) = 0;
  virtual void Probe(const ShardKey& shard, const std::string& target, const std::string& address,
                     int max_connections) = 0;
  virtual void Respond(CallHandle call, WholeResponse response) = 0;
  virtual void Refuse(CallHandle call, Refusal refusal) = 0;
  virtual void Forget(const std::string& address) = 0;
  virtual void Event(KeyValues event) = 0;
};

}  // namespace monsoonshelf::entry
