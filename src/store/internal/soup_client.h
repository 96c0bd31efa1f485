#pragma once

#include <libsoup/soup.h>

#include <list>
#include <memory>

#include "store/internal/platform_http.h"
#include "store/internal/token_bucket.h"
#include "store/iplatform_client.h"
#include "store/platform_types.h"

namespace monsoonshelf::store::detail {

struct GObjectDeleter {
  void operator()(void* object) const { g_object_unref(object); }
};
template <typename T>
using GObjectPtr = std::unique_ptr<T, GObjectDeleter>;

// IPlatformClient on libsoup. Runs on the main context that is the thread default at construction.
class SoupClient : public IPlatformClient {
 public:
  explicit SoupClient(ClientSettings settings);
  ~SoupClient() override;
  SoupClient(const SoupClient&) = delete;
  SoupClient& operator=(const SoupClient&) = delete;

  void Send(const coordination::PlatformRequest& request, Callback callback) override;
  void Close() override;

  const ClientCounters& Counters() const override { return counters_; }

 private:
  struct Call;
  using CallPtr = std::shared_ptr<Call>;

  void Reject(const CallPtr& call, ResultCode code);
  void SendHttpRequest(const CallPtr& call, const HttpRequest& http);
  void StartTimer(const CallPtr& call, Duration delay, GSourceFunc function);
  // Removes the call from `calls_` and runs its callback, which may destroy the client. The caller
  // must hold its own reference to the call.
  void Finish(const CallPtr& call, const coordination::PlatformReply& reply);
  void FinishWithCode(const CallPtr& call, ResultCode code);
  // For a call that got no connection or lost it.
  void FinishWithConnectionError(const CallPtr& call);
  void FinishWithResponse(const CallPtr& call);

  static void OnStarting(SoupMessage* message, gpointer data);
  static void OnHeaders(GObject* session, GAsyncResult* result, gpointer data);
  static void OnChunk(GObject* stream, GAsyncResult* result, gpointer data);
  static void ReadChunk(CallPtr call);
  static gboolean OnTimeout(gpointer data);
  static gboolean OnRejected(gpointer data);

  ClientSettings settings_;
  TokenBucket token_bucket_;
  ClientCounters counters_;
  GMainContext* context_;
  GObjectPtr<SoupSession> session_;
  std::list<CallPtr> calls_;
};

}  // namespace monsoonshelf::store::detail
