#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "base/base_types.h"
#include "http/http_types.h"
#include "http/message_parser.h"
#include "http/stream.h"

namespace monsoonshelf::http {

// Size limits and timeouts for caller connections.
struct ServerLimits {
  std::size_t max_header_bytes_ = std::size_t{16} * 1024;
  std::uint64_t max_body_bytes_ = std::uint64_t{64} << 20;
  // Time from the first byte of a request to the end of its header.
  Duration header_timeout_ = std::chrono::seconds(3);
  // Time without a request after which a connection is closed.
  Duration idle_timeout_ = std::chrono::seconds(15);
  // Time between two reads of a request body.
  Duration body_timeout_ = std::chrono::seconds(10);
};

class ServerConnection;
using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

// A complete request.
struct Request {
  RequestHead head_;
  std::string body_;
  Time received_{};  // When the first byte was read.
};

// Receives the requests and events of server connections.
class IServerHandler {
 public:
  virtual ~IServerHandler() = default;
  // Called when a request is complete. The handler responds with Respond or with
  // BeginChunkedResponse, now or later.
  virtual void OnRequest(const ServerConnectionPtr& connection, Request request) = 0;
  // Called when the caller closed its connection before the response was complete.
  virtual void OnCallerDisconnected(const ServerConnectionPtr& connection) = 0;
  // Called when all response bytes written so far have been passed to the kernel, so that more can
  // be written.
  virtual void OnResponseFlushed(const ServerConnectionPtr& connection) = 0;
  // Called when the connection rejected a request that was malformed, too large or too slow, or
  // that exceeded the limit on buffered bodies. The response has `status`, and `reason` as its
  // body.
  virtual void OnRejected(int status, std::string_view reason) = 0;
};

class ServerConnections;

// One HTTP/1.1 connection of a caller. Pipelined requests are handled one at a time, in order.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>,
                         private IStreamHandler {
 public:
  ServerConnection(int descriptor, ServerConnections& owner);
  ~ServerConnection() override;

  bool IsOpen() const { return stream_ != nullptr; }
  // True from the end of a request to the end of the response.
  bool IsBusy() const { return state_ == State::kBusy || state_ == State::kStreaming; }

  // Sends the complete response to the current request. `close` closes the connection after it.
  void Respond(int status, const Headers& headers, std::string_view body, bool close = false);
  // Starts a response with a chunked body: zero or more WriteChunk calls follow, then
  // EndChunkedResponse or Abort.
  void BeginChunkedResponse(int status, const Headers& headers, bool close = false);
  void WriteChunk(std::string_view bytes);
  void EndChunkedResponse();
  // Closes the connection at once. A response that is being written stays incomplete, which the
  // caller can detect.
  void Abort();
  // Response bytes that have not been passed to the kernel yet.
  std::size_t UnsentBytes() const { return stream_ ? stream_->UnsentBytes() : 0; }

  // Returns whether bytes of an incomplete request were received.
  bool IsReading() const { return state_ == State::kReading; }
  // Returns whether the last response is complete and the connection waits for the peer to close.
  bool IsClosing() const { return state_ == State::kClosing; }

  // Closes the connection if no byte of a next request has been received. A new connection has some
  // time for its first request. Returns whether it was closed.
  bool CloseIfIdle();
  // Closes the connection, or rejects the current request with status 408, if a timeout has passed.
  void CheckTimeouts(Time now);

 private:
  enum class State { kIdle, kReading, kBusy, kStreaming, kClosing, kClosed };

  void OnConnected() override {}
  void OnDataReceived() override;
  void OnOutputFlushed() override;
  void OnClosed(Failure failure) override;

  void ParseInput();
  // Returns whether a complete request was processed, so that another one may follow.
  bool ParseRequest();
  void CheckReadTimeout(Time now);
  void Reject(int status, std::string_view reason);
  void FinishResponse(bool close);
  void CloseGracefully();
  void CloseNow();

  ServerConnections& owner_;
  std::unique_ptr<Stream> stream_;
  std::unique_ptr<RequestParser> parser_;
  State state_ = State::kIdle;
  bool had_request_ = false;
  bool parsing_ = false;
  Time state_entered_at_{};
  Time last_byte_at_{};
  Time request_started_at_{};
  bool keep_alive_ = true;
  bool is_head_ = false;
  bool continue_sent_ = false;
};

// Numbers of open connections by state. The rest are idle.
struct ConnectionCounts {
  std::size_t open_ = 0;
  std::size_t reading_ = 0;  // Bytes of an incomplete request were received.
  std::size_t busy_ = 0;     // A request is complete, its response is not.
  std::size_t closing_ = 0;  // The response is complete; the peer has not closed the connection.
  std::size_t unsent_bytes_ = 0;  // Response bytes that have not been passed to the kernel.
};

// The connections accepted by one listener. The destructor closes all of them.
class ServerConnections {
 public:
  explicit ServerConnections(IServerHandler& handler) : handler_(handler) {}
  ~ServerConnections();
  ServerConnections(const ServerConnections&) = delete;
  ServerConnections& operator=(const ServerConnections&) = delete;

  // Takes ownership of an accepted socket.
  void Accept(int descriptor);
  void SetLimits(const ServerLimits& limits) { limits_ = limits; }
  const ServerLimits& Limits() const { return limits_; }
  // While enabled, every connection is closed after its next response.
  void SetCloseAfterResponse(bool enabled) { close_after_response_ = enabled; }
  bool ClosesAfterResponse() const { return close_after_response_; }
  // Sets the limit on the body bytes of incomplete requests, summed over all connections. While the
  // sum is above the limit, requests with an incomplete body are rejected with status 503.
  void SetMaxBufferedBytes(std::size_t bytes) { max_buffered_bytes_ = bytes; }
  // Enforces the timeouts of ServerLimits. Must be called several times a second.
  void CheckTimeouts(Time now);
  // Closes all idle connections; requests in progress are not affected.
  void CloseIdle();
  std::size_t Count() const { return connections_.size(); }
  ConnectionCounts CountByState() const;

 private:
  friend class ServerConnection;
  IServerHandler& handler_;
  ServerLimits limits_;
  bool close_after_response_ = false;
  std::size_t max_buffered_bytes_ = std::size_t{64} << 20;
  std::size_t buffered_bytes_ = 0;
  std::set<ServerConnectionPtr> connections_;
};

}  // namespace monsoonshelf::http
