#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "dispatch/dispatch_types.h"
#include "entry/entry_types.h"

namespace monsoonshelf::entry {

// Identifies one send of a call; never reused within a process.
using SendId = std::uint64_t;

struct TargetRequest {
  SendId id_ = 0;
  std::string address_;      // IP address and port.
  int max_connections_ = 1;  // Open, idle and closing connections to the address.
  std::string method_;
  std::string path_;
  Headers headers_;
  RequestBody body_;
  std::int64_t body_length_ = 0;  // -1: chunked.
  std::string call_id_;           // The response must echo it; empty: no check.
  Time deadline_{};
  // Opens a connection for this call alone: a kept one may be closed by the target at the moment
  // of sending, which leaves the outcome of the call unknown.
  bool new_connection_ = false;
};

// How a send ended.
struct SendEnd {
  dispatch::SendResult result_ = dispatch::SendResult::kLost;
  std::optional<dispatch::LoadReport> report_;
  bool sent_ = false;  // A byte of the request may have left this host.
};

// Receives the events of sends, on the thread of the client.
class ITargetObserver {
 public:
  virtual ~ITargetObserver() = default;
  virtual void OnHead(SendId id, ResponseHead head) = 0;
  virtual void OnChunk(SendId id, std::string bytes) = 0;
  // Last event of a send, exactly once. For kAnswered, all of the body has been delivered.
  virtual void OnEnd(SendId id, const SendEnd& end) = 0;
};

// HTTP connections of one task to targets and to other entry hosts.
class ITargetClient {
 public:
  virtual ~ITargetClient() = default;

  virtual void Start(TargetRequest request) = 0;
  // Asks for the next piece of the body, after OnHead or OnChunk.
  virtual void Read(SendId id) = 0;
  // Closes the connection of a send; OnEnd follows with kCancelled.
  virtual void Cancel(SendId id) = 0;
  // Ends the sends whose deadline has passed.
  virtual void CheckDeadlines(Time now) = 0;
  // Closes the connections to addresses that are no longer used. Running sends end first.
  virtual void Forget(const std::string& address) = 0;
  virtual std::size_t SendCount() const = 0;
};

}  // namespace monsoonshelf::entry
