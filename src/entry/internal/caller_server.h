#pragma once

#include <libsoup/soup.h>

#include <memory>
#include <string>
#include <unordered_map>

#include "entry/internal/caller_connections.h"
#include "entry/internal/incoming_call.h"

namespace monsoonshelf::entry {

// Receives the requests of a CallerServer to other tasks.
class ICallerServerDelegate {
 public:
  virtual ~ICallerServerDelegate() = default;
  // Passes a call to the router.
  virtual void RouteCall(CallArrival arrival) = 0;
  // Tells the router that the caller no longer waits for the call.
  virtual void CancelCall(CallHandle call) = 0;
  // Requests the next chunk of a streamed response from the data task that receives it.
  virtual void RequestChunk(std::size_t sending_task, SendId send) = 0;
  // SweepConnections() must be called from time to time while connections linger.
  virtual void ConnectionLingers() = 0;
};

// New calls are accepted in kServing and kLeaving. In kLeaving and kDraining, responses ask the
// caller to close the connection.
enum class ServingMode { kStarting, kServing, kLeaving, kDraining };

// What a stop still waits for.
struct OpenWork {
  std::size_t calls_ = 0;
  // Requests that are partly read, or may be on their way on a new connection.
  std::size_t expected_requests_ = 0;
  std::size_t receiving_ = 0;  // Ended connections whose callers have not closed them yet.

  OpenWork& operator+=(const OpenWork& other) {
    calls_ += other.calls_;
    expected_requests_ += other.expected_requests_;
    receiving_ += other.receiving_;
    return *this;
  }
};

// HTTP server of one data task for requests of callers. Must be created and used on the thread of
// the task, whose main context must be the thread default.
class CallerServer {
 public:
  CallerServer(const EntrySettings& settings, std::size_t task_index,
               ICallerServerDelegate& delegate, const EntryCallbacks& callbacks);
  ~CallerServer();

  void SetView(EntryViewPtr view) { view_ = std::move(view); }
  void SetMode(ServingMode mode) { mode_ = mode; }
  // Serves the requests of a connection that the listener accepted.
  void AcceptConnection(GSocketConnection* connection);

  // Send a response to the caller: complete, or streamed as head, chunks and end. An end with
  // `complete` false resets the connection. Has no effect on calls that have already ended.
  void DeliverResponse(CallHandle call, BufferedResponse response);
  void DeliverHead(CallHandle call, std::size_t sending_task, SendId send,
                   const ResponseHead& head);
  void DeliverChunk(CallHandle call, const std::string& bytes);
  void DeliverEnd(CallHandle call, bool complete);
  void DeliverError(CallHandle call, const ErrorResponse& reason);

  // Cancels calls whose caller has disconnected or whose request body is incomplete after the
  // deadline.
  void CancelAbandonedCalls(Time now);
  std::size_t CallCount() const { return calls_.size(); }
  std::size_t ReservedBytes() const { return reserved_bytes_; }
  // Reads what callers still send on connections that end with their last response.
  void SweepConnections(Time now) { connections_.Sweep(now); }
  std::size_t LingeringCount() const { return connections_.LingeringCount(); }

  // Closes connections without a call in flight, except those on which a request is expected, and
  // rejects requests that stay incomplete.
  OpenWork CloseIdleConnections(Time now);
  // Rejects all partly read requests. From now on, calls that the router cancels are reported as
  // cut by the stop.
  void CutPartialRequests(Time now);

 private:
  using CallPtr = std::shared_ptr<IncomingCall>;

  static void OnHeaders(SoupServer* server, SoupServerMessage* message, const char* path,
                        GHashTable* query, gpointer data);
  static void OnRequestStarted(SoupServer* server, SoupServerMessage* message, gpointer data);
  static void OnRequestEnded(SoupServer* server, SoupServerMessage* message, gpointer data);
  static void OnGotChunk(SoupServerMessage* message, GBytes* bytes, gpointer data);
  static void OnRequest(SoupServer* server, SoupServerMessage* message, const char* path,
                        GHashTable* query, gpointer data);
  static void OnWroteChunk(SoupServerMessage* message, gpointer data);
  static void OnWroteBody(SoupServerMessage* message, gpointer data);
  static void OnFinished(SoupServerMessage* message, gpointer data);
  static gboolean OnPipeReady(gint descriptor, GIOCondition condition, gpointer data);

  static GSocket* SocketOfMessage(SoupServerMessage* message);
  static GSocket* SocketOf(const IncomingCall& call);  // Null if closed.
  CallPtr FindCall(CallHandle handle);
  CallPtr FindCallByMessage(SoupServerMessage* message);
  void BeginRequest(SoupServerMessage* message, const char* path);
  std::optional<ErrorResponse> CheckServing() const;
  std::optional<ErrorResponse> AcceptCall(const CallPtr& call);
  std::optional<ErrorResponse> PrepareBody(const CallPtr& call);
  bool ReserveBytes(IncomingCall& call, std::size_t bytes);
  void RouteCall(const CallPtr& call);
  void ServeEntryHostList(const CallPtr& call);
  void Pause(IncomingCall& call);
  void Unpause(IncomingCall& call);
  void AddRequestChunk(const CallPtr& call, const char* data, std::size_t size);
  void WriteToPipe(const CallPtr& call);
  void ClosePipe(IncomingCall& call);
  void CancelCall(IncomingCall& call, ResultCode code);
  void WriteResponse(const CallPtr& call, BufferedResponse response);
  void StartResponse(IncomingCall& call, const ResponseHead& head);
  void ResetConnection(IncomingCall& call);
  void RejectPartialRequests(Time now, Duration age);
  void RejectPartialRequest(const CallPtr& call, const ErrorResponse& error);
  static void WriteDirectly(GSocket* socket, const std::string& text);
  static ErrorResponse CutResponse(const ErrorResponse& error);
  void FinishMessage(const CallPtr& call);
  void ReportCallEnd(IncomingCall& call, Time now);

  const EntrySettings& settings_;
  const std::size_t task_index_;
  ICallerServerDelegate& delegate_;
  const EntryCallbacks& callbacks_;
  GObjectPtr<SoupServer> server_;
  EntryViewPtr view_;
  ServingMode mode_ = ServingMode::kStarting;
  std::unordered_map<CallHandle, CallPtr> calls_;
  std::unordered_map<SoupServerMessage*, CallPtr> calls_by_message_;
  CallerConnections connections_;
  bool cutting_ = false;  // CutPartialRequests() was called.
  std::size_t reserved_bytes_ = 0;
  CallHandle next_handle_ = 1;
};

}  // namespace monsoonshelf::entry
