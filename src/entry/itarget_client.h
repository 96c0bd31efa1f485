#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "dispatch/dispatch_types.h"
#include "entry/entry_types.h"

namespace monsoonshelf::entry {

// Identifies one send, that is one attempt to pass a call to a target or to another entry host.
// Never reused within a process.
using SendId = std::uint64_t;

// An HTTP request to a target or to another entry host.
struct TargetRequest {
  SendId id_ = 0;
  std::string address_;      // IP address and port.
  int max_connections_ = 1;  // To the address: active, idle and closing.
  std::string method_;
  std::string path_;
  Headers headers_;
  RequestBody body_;
  std::int64_t body_length_ = 0;  // Bytes; -1: chunked.
  std::string call_id_;           // Must be echoed in the response; empty: not checked.
  Time deadline_{};
  // Do not reuse an idle connection: the target may close a keep-alive connection just as the
  // request is sent, which leaves the outcome of the call unknown.
  bool new_connection_ = false;
};

// How a send ended.
struct SendEnd {
  dispatch::SendResult result_ = dispatch::SendResult::kLost;
  std::optional<dispatch::LoadReport> load_report_;
  bool sent_ = false;  // At least one byte of the request may have been sent.
};

// Receives the events of sends. The functions are called on the thread of the client.
class ITargetObserver {
 public:
  virtual ~ITargetObserver() = default;
  virtual void OnHead(SendId id, ResponseHead head) = 0;
  virtual void OnChunk(SendId id, std::string bytes) = 0;
  // Last event of a send; called exactly once. With kAnswered the whole body has been delivered.
  virtual void OnEnd(SendId id, const SendEnd& end) = 0;
};

// HTTP client of one task for requests to targets and to other entry hosts.
class ITargetClient {
 public:
  virtual ~ITargetClient() = default;

  // Starts a send; its events go to the ITargetObserver.
  virtual void Start(TargetRequest request) = 0;
  // Reads the next chunk of the response body. Called after each OnHead() and OnChunk().
  virtual void ReadChunk(SendId id) = 0;
  // Closes the connection of a send; OnEnd() is called with kCancelled.
  virtual void Cancel(SendId id) = 0;
  // Aborts the sends whose deadline has passed.
  virtual void CheckDeadlines(Time now) = 0;
  // Closes the connections to an address that is no longer used, after its active sends have ended.
  virtual void RemoveAddress(const std::string& address) = 0;
  // Returns the number of active sends.
  virtual std::size_t SendCount() const = 0;
};

}  // namespace monsoonshelf::entry
