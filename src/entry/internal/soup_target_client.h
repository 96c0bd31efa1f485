#pragma once

#include <libsoup/soup.h>

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "entry/internal/gobject_ptr.h"
#include "entry/itarget_client.h"

namespace monsoonshelf::entry {

// ITargetClient over one SoupSession per address. Belongs to the task whose context is the thread
// default when it is created.
class SoupTargetClient : public ITargetClient {
 public:
  explicit SoupTargetClient(ITargetObserver& observer);
  ~SoupTargetClient() override;

  void Start(TargetRequest request) override;
  void Read(SendId id) override;
  void Cancel(SendId id) override;
  void CheckDeadlines(Time now) override;
  void Forget(const std::string& address) override;
  std::size_t SendCount() const override { return sends_.size(); }

 private:
  struct Send;
  struct Pool {
    GObjectPtr<SoupSession> session_;
    int max_connections_ = 0;
    // Sockets by libsoup's connection identifier, to close the connection of an abandoned call.
    std::map<guint64, GObjectPtr<GSocket>> sockets_;
  };
  using SendPtr = std::shared_ptr<Send>;

  static void OnNetworkEvent(SoupMessage* message, GSocketClientEvent event, GIOStream* connection,
                             Send* send);
  static void OnStarting(SoupMessage* message, Send* send);
  static void OnRestarted(SoupMessage* message, Send* send);
  static void OnResponse(GObject* source, GAsyncResult* result, gpointer data);
  static void OnBytes(GObject* source, GAsyncResult* result, gpointer data);

  Pool& PoolOf(const std::string& address, int max_connections);
  GObjectPtr<SoupMessage> MakeMessage(const TargetRequest& request);
  void HandleResponse(const SendPtr& send, GInputStream* stream, GErrorPtr error);
  void HandleBytes(const SendPtr& send, GBytes* bytes, GErrorPtr error);
  void HandleEndOfBody(const SendPtr& send);
  void Abandon(const SendPtr& send, dispatch::SendResult result);
  void Finish(const SendPtr& send, dispatch::SendResult result);
  static dispatch::SendResult ResultOf(const Send& send, const GError* error);

  ITargetObserver& observer_;
  std::unordered_map<SendId, SendPtr> sends_;
  std::map<std::string, std::shared_ptr<Pool>> pools_;
};

}  // namespace monsoonshelf::entry
