#pragma once

#include <libsoup/soup.h>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "entry/internal/caller_call.h"

namespace monsoonshelf::entry {

// What the caller side of a data task asks of the other tasks.
class ICallerPort {
 public:
  virtual ~ICallerPort() = default;
  virtual void Route(CallArrival arrival) = 0;
  virtual void CallerGone(CallHandle call) = 0;
  virtual void ReadMore(std::size_t sender, SendId send) = 0;
};

// Whether new calls are taken.
enum class ServingMode { kStarting, kServing, kLeaving, kDraining };

// HTTP server of one data task. Lives on the thread whose context is the thread default.
class CallerSide {
 public:
  CallerSide(const EntrySettings& settings, std::size_t task, ICallerPort& port,
             const EntryCallbacks& callbacks);
  ~CallerSide();

  void SetView(EntryViewPtr view) { view_ = std::move(view); }
  void SetMode(ServingMode mode) { mode_ = mode; }
  // Takes an accepted connection.
  void Accept(GSocketConnection* connection);

  void Whole(CallHandle call, WholeResponse response);
  void Head(CallHandle call, std::size_t sender, SendId send, const ResponseHead& head);
  void Chunk(CallHandle call, const std::string& bytes);
  void End(CallHandle call, bool complete);
  void Refuse(CallHandle call, const Refusal& refusal);

  // Finds callers that went away and requests that take too long.
  void Check(Time now);
  std::size_t CallCount() const { return calls_.size(); }
  std::size_t ReservedBytes() const { return reserved_; }
  // Closes connections without a call. Returns how many connections with a call are left.
  std::size_t CloseIdle();

 private:
  using CallPtr = std::shared_ptr<CallerCall>;

  static void OnHeaders(SoupServer* server, SoupServerMessage* message, const char* path,
                        GHashTable* query, gpointer data);
  static void OnGotChunk(SoupServerMessage* message, GBytes* bytes, gpointer data);
  static void OnRequest(SoupServer* server, SoupServerMessage* message, const char* path,
                        GHashTable* query, gpointer data);
  static void OnWroteChunk(SoupServerMessage* message, gpointer data);
  static void OnWroteBody(SoupServerMessage* message, gpointer data);
  static void OnFinished(SoupServerMessage* message, gpointer data);
  static gboolean OnPipeReady(gint descriptor, GIOCondition condition, gpointer data);

  static GSocket* SocketOf(const CallerCall& call);  // Null once it is closed.
  CallPtr Find(CallHandle handle);
  CallPtr FindMessage(SoupServerMessage* message);
  void Begin(SoupServerMessage* message, const char* path);
  std::optional<Refusal> CheckHost() const;
  std::optional<Refusal> BeginCall(const CallPtr& call);
  std::optional<Refusal> BeginBody(const CallPtr& call);
  bool Reserve(CallerCall& call, std::size_t bytes);
  void RouteCall(const CallPtr& call);
  void ServeEntryHosts(const CallPtr& call);
  void Pause(CallerCall& call);
  void Unpause(CallerCall& call);
  void TakeChunk(const CallPtr& call, const char* data, std::size_t size);
  void FillPipe(const CallPtr& call);
  void ClosePipe(CallerCall& call);
  void TellGone(CallerCall& call, ResultCode code);
  void Respond(const CallPtr& call, WholeResponse response);
  void StartResponse(CallerCall& call, const ResponseHead& head);
  void Abort(CallerCall& call);
  void HandleFinished(const CallPtr& call);
  void ReportEnd(CallerCall& call, Time now);

  const EntrySettings& settings_;
  const std::size_t task_;
  ICallerPort& port_;
  const EntryCallbacks& callbacks_;
  GObjectPtr<SoupServer> server_;
  EntryViewPtr view_;
  ServingMode mode_ = ServingMode::kStarting;
  std::unordered_map<CallHandle, CallPtr> calls_;
  std::unordered_map<SoupServerMessage*, CallPtr> by_message_;
  std::vector<GWeakRef*> connections_;
  std::size_t reserved_ = 0;
  CallHandle next_handle_ = 1;
};

}  // namespace monsoonshelf::entry
