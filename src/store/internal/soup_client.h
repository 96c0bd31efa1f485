#pragma once

#include <libsoup/soup.h>

#include <list>
#include <memory>

#include "store/internal/answer.h"
#include "store/internal/call_budget.h"
#include "store/iplatform_client.h"
#include "store/platform_types.h"

namespace monsoonshelf::store::detail {

struct GObjectDeleter {
  void operator()(void* object) const { g_object_unref(object); }
};
template <typename T>
using GObjectPtr = std::unique_ptr<T, GObjectDeleter>;

// Client over libsoup on the thread-default main context of its creator.
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

  void Refuse(const CallPtr& call, ResultCode code);
  void StartHttp(const CallPtr& call, const HttpCall& http);
  void StartTimer(const CallPtr& call, Duration delay, GSourceFunc function);
  // Reports the result and forgets the call. The caller holds a reference of its own.
  void Finish(const CallPtr& call, const coordination::PlatformReply& reply);
  void FinishWithCode(const CallPtr& call, ResultCode code);
  void FinishBroken(const CallPtr& call);
  void FinishAnswer(const CallPtr& call);

  static void OnStarting(SoupMessage* message, gpointer data);
  static void OnHeaders(GObject* session, GAsyncResult* result, gpointer data);
  static void OnChunk(GObject* stream, GAsyncResult* result, gpointer data);
  static void ReadChunk(CallPtr call);
  static gboolean OnTimeout(gpointer data);
  static gboolean OnRefused(gpointer data);

  ClientSettings settings_;
  CallBudget budget_;
  ClientCounters counters_;
  GMainContext* context_;
  GObjectPtr<SoupSession> session_;
  std::list<CallPtr> calls_;
};

}  // namespace monsoonshelf::store::detail
