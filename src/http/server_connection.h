#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/base_types.h"
#include "http/http_types.h"
#include "http/memory_account.h"
#include "http/memory_pressure.h"
#include "http/message_parser.h"
#include "http/pipeline.h"
#include "http/server_exchange.h"
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
  // Time in which a caller that has a response to read must accept some of its bytes.
  Duration response_timeout_ = std::chrono::seconds(30);
  std::size_t max_fields_ = kMaxRequestFields;  // Header fields of a request.
};

class ServerConnection;
using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

class ServerConnections;

// One HTTP/1.1 connection of a caller. Owns the exchanges of its requests and writes their
// responses in order.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>,
                         private IStreamHandler {
 public:
  ServerConnection(int descriptor, ServerConnections& owner);
  ~ServerConnection() override;

  bool IsOpen() const { return stream_ != nullptr; }
  // Returns whether a request is complete whose response is not.
  bool IsBusy() const { return !exchanges_.empty() || next_request_.has_value(); }
  // Returns whether bytes of an incomplete request were received.
  bool IsReading() const { return state_ == State::kOpen && parser_ != nullptr; }
  // Returns whether the last response is complete and the connection waits for the peer to close.
  bool IsClosing() const { return state_ == State::kClosing; }
  // Response bytes that have not been passed to the kernel yet.
  std::size_t UnsentBytes() const { return held_bytes_ + (stream_ ? stream_->UnsentBytes() : 0); }

  // Closes the connection if no byte of a next request has been received. A new connection has some
  // time for its first request. Returns whether it was closed.
  bool CloseIfIdle();
  // Closes the connection, or rejects the current request with status 408, if a timeout has passed.
  void CheckTimeouts(Time now);
  // Closes the connection at once, without calling the handler.
  void Abort();
  // What the connection holds, for the choice of the connections to close.
  ConnectionLoad Load(Time now) const;
  // Frees the memory of the connection: rejects an incomplete request with status 503, or closes
  // the connection. Returns false if a request has just arrived on an idle connection.
  bool Shed();
  // The same, but always frees the descriptor too.
  bool Replace();

 private:
  friend class ServerExchange;
  enum class State { kOpen, kClosing, kClosed };

  void OnConnected() override {}
  void OnDataReceived() override;
  void OnOutputFlushed() override;
  void OnClosed(Failure failure) override;

  bool IsIdle() const;
  // Returns whether bytes of a request that was not started were received.
  bool HasUnstartedInput() const;
  PipelineState Pipeline() const;
  // Starts as many of the received requests as possible.
  void ReadRequests();
  // Returns whether a request was started, so that another one may follow.
  bool ReadRequest();
  // Feeds the parser. Returns whether a request is complete.
  bool ParseRequest();
  void StartRequest(Request request);
  void CheckReadTimeout(Time now);
  // Closes the connection of a caller that does not read its response. Returns whether it did.
  bool CheckResponseTimeout(Time now);
  // Releases input buffers that are larger than their content.
  void ReleaseBuffers();
  std::size_t HeldBytes() const;
  // Corrects the bytes of this connection in the memory account.
  void UpdateAccount();
  void Reject(int status, std::string_view reason);
  // Writes the responses that have their turn, then reads further requests.
  void WriteResponses();
  void WriteHeldPart(ServerExchange& exchange);
  // Passes the first bytes of the response to the stream.
  std::string FormatHead(ServerExchange& exchange);
  void AddHeldBytes(std::size_t bytes);
  void RemoveHeldBytes(std::size_t bytes);
  // These return the exchanges that were not finished, for ReportDisconnect.
  std::deque<ServerExchangePtr> CloseGracefully();
  std::deque<ServerExchangePtr> CloseNow();
  std::deque<ServerExchangePtr> TakeExchanges();
  // Calls the handler for the exchanges whose response is not complete.
  void ReportDisconnect(const std::deque<ServerExchangePtr>& exchanges);

  ServerConnections& owner_;
  std::unique_ptr<Stream> stream_;
  State state_ = State::kOpen;
  std::deque<ServerExchangePtr> exchanges_;  // In the order of their requests.
  std::size_t held_bytes_ = 0;               // Of the responses that wait for their turn.
  bool closes_ = false;                      // Is closed after the last started request.
  std::unique_ptr<RequestParser> parser_;    // Of a request that is not complete.
  std::optional<Request> next_request_;      // Complete, but must wait for the ones before it.
  ArrivalTimes arrival_times_;
  bool had_request_ = false;
  bool reading_requests_ = false;
  bool writing_responses_ = false;
  Time state_entered_at_{};  // Begin of the idle time, or of the graceful close.
  Time parsing_since_{};
  Time last_byte_at_{};
  Time request_received_at_{};
  bool continue_sent_ = false;
  // Reading goes on when the responses in the output buffer have been sent.
  bool waits_for_output_ = false;
  std::size_t head_bytes_ = 0;  // Of the request in parser_ or next_request_.
  std::size_t accounted_bytes_ = 0;
  std::uint64_t bytes_sent_seen_ = 0;  // At the last check.
  Time sent_at_{};                     // Time of the last check that saw progress.
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
  // `account` may be shared with other listeners; without one, memory is not limited.
  explicit ServerConnections(IServerHandler& handler,
                             std::shared_ptr<MemoryAccount> account = nullptr);
  ~ServerConnections();
  ServerConnections(const ServerConnections&) = delete;
  ServerConnections& operator=(const ServerConnections&) = delete;

  // Returns whether a connection may be accepted. At the maximum number of connections, closes one
  // that is not in use.
  bool MakeRoom();
  // Takes ownership of an accepted socket.
  void Accept(int descriptor);
  // Sets the maximum number of connections; 0: no limit.
  void SetMaxConnections(std::size_t count) { max_connections_ = count; }
  // Number of connections that were closed in favour of new ones.
  std::uint64_t ReplacedCount() const { return replaced_count_; }
  const std::set<ServerConnectionPtr>& All() const { return connections_; }
  void SetLimits(const ServerLimits& limits) { limits_ = limits; }
  const ServerLimits& Limits() const { return limits_; }
  // While enabled, every connection is closed after the responses to its started requests.
  void SetCloseAfterResponse(bool enabled) { close_after_response_ = enabled; }
  bool ClosesAfterResponse() const { return close_after_response_; }
  // Sets the limit on the buffered bytes, summed over all connections: bodies of requests that were
  // not started, and responses that wait for their turn. While the sum is above the limit, requests
  // with an incomplete body are rejected with status 503, and requests are handled one at a time.
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
  std::shared_ptr<MemoryAccount> account_;
  ServerLimits limits_;
  std::size_t max_connections_ = 0;
  std::uint64_t replaced_count_ = 0;
  bool close_after_response_ = false;
  std::size_t max_buffered_bytes_ = std::size_t{64} << 20;
  std::size_t buffered_bytes_ = 0;  // Request bodies and held responses.
  std::set<ServerConnectionPtr> connections_;
};

}  // namespace monsoonshelf::http
