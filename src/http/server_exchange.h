#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/base_types.h"
#include "http/http_types.h"

namespace monsoonshelf::http {

class MemoryCharge;
class ServerConnection;

// A complete request.
struct Request {
  RequestHead head_;
  std::string body_;
  Time received_{};  // When its first byte was read, also if earlier requests were answered later.
  // Counts the memory of the request as long as the handler keeps it.
  std::shared_ptr<MemoryCharge> charge_{};
};

// One request on a caller's connection and its response. Responses reach the caller in the order of
// the requests: what is written for an exchange that is not the first of its connection is held
// until its turn. After the connection was closed, all functions do nothing.
class ServerExchange {
 public:
  // Called once: with the time that the complete response waited for its turn, or with no value if
  // the connection was closed before.
  using OnTurn = std::function<void(std::optional<Duration> waited)>;

  ServerExchange(ServerConnection& connection, const RequestHead& head)
      : connection_(&connection), is_head_(head.method_ == "HEAD"), keep_alive_(head.keep_alive_) {}

  // Allows that requests behind this one are started before its response is complete.
  void AllowOverlap();

  // Sends the complete response. `close` closes the connection after it, or after the response to
  // the last request behind it that was started already.
  void Respond(int status, const Headers& headers, std::string_view body, bool close = false);
  // Starts a response with a chunked body: zero or more WriteChunk calls follow, then
  // EndChunkedResponse or Abort.
  void BeginChunkedResponse(int status, const Headers& headers, bool close = false);
  void WriteChunk(std::string_view bytes);
  void EndChunkedResponse();
  // Withdraws a chunked response of which the caller has received nothing, so that another one can
  // be sent. Returns false if its first bytes were passed to the stream.
  bool Retract();
  // Ends the response and the connection when the response has its turn. The caller detects that
  // the response is incomplete. Earlier responses are sent to their end.
  void Abort();
  // Closes the connection at once, for a caller that does not read.
  void CloseConnection();

  // Returns whether the responses to all earlier requests are complete.
  bool IsFirst() const;
  // Returns whether later requests of the connection wait for the end of this response.
  bool HasFollowers() const;
  // Response bytes that have not been passed to the kernel yet.
  std::size_t UnsentBytes() const;
  // Sets the function that is called at the turn of the response. It is called at once if the
  // response has had its turn.
  void NotifyTurn(OnTurn on_turn);

 private:
  friend class ServerConnection;
  enum class State { kWaiting, kStreaming, kComplete, kAborted };

  void ReportTurn(std::optional<Duration> waited);

  ServerConnection* connection_;
  State state_ = State::kWaiting;
  bool is_head_;
  bool keep_alive_;
  bool allows_overlap_ = false;
  bool chunked_ = false;
  bool head_written_ = false;
  bool closes_ = false;  // The written head announces the close of the connection.
  int status_ = 0;
  Headers headers_;
  std::string held_body_;       // Not yet passed to the stream.
  std::size_t body_bytes_ = 0;  // Of a body that is not chunked.
  std::size_t request_bytes_ = 0;
  Time responded_at_{};  // When the response began.
  OnTurn on_turn_;
  bool turn_reported_ = false;
  std::optional<Duration> waited_;  // See OnTurn; valid if turn_reported_ is set.
};

using ServerExchangePtr = std::shared_ptr<ServerExchange>;

// Receives the requests and events of server connections.
class IServerHandler {
 public:
  virtual ~IServerHandler() = default;
  // Called when a request is complete and may be started. The handler responds with Respond or with
  // BeginChunkedResponse, now or later.
  virtual void OnRequest(const ServerExchangePtr& exchange, Request request) = 0;
  // Returns whether a request may be started before the responses to earlier requests of its
  // connection are complete. Requests are handled one at a time by default.
  virtual bool MayOverlap(const RequestHead& /*head*/) const { return false; }
  // Called when the connection was closed before the response was complete.
  virtual void OnCallerDisconnected(const ServerExchangePtr& exchange) = 0;
  // Called when all bytes written so far for a chunked response that has its turn have been passed
  // to the kernel, so that more can be written.
  virtual void OnResponseFlushed(const ServerExchangePtr& exchange) = 0;
  // Called when the connection rejected a request that was malformed, too large or too slow, or
  // that exceeded the limit on buffered bodies. The response has `status`, and `reason` as its
  // body.
  virtual void OnRejected(int status, std::string_view reason) = 0;
};

}  // namespace monsoonshelf::http
