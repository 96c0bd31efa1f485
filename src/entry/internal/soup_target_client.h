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

// ITargetClient with one SoupSession per address. Must be created and used on the same thread,
// whose main context must be the thread default.
class SoupTargetClient : public ITargetClient {
 public:
  explicit SoupTargetClient(ITargetObserver& observer);
  ~SoupTargetClient() override;

  void Start(TargetRequest request) override;
  void ReadChunk(SendId id) override;
  void Cancel(SendId id) override;
  void CheckDeadlines(Time now) override;
  void RemoveAddress(const std::string& address) override;
  std::size_t SendCount() const override { return sends_.size(); }

 private:
  struct Send;
  struct ConnectionPool {
    GObjectPtr<SoupSession> session_;
    int max_connections_ = 0;
    // Sockets by connection identifier of libsoup, used to close the connection of an aborted send.
    std::map<guint64, GObjectPtr<GSocket>> sockets_;
  };
  using SendPtr = std::shared_ptr<Send>;

  static void OnNetworkEvent(SoupMessage* message, GSocketClientEvent event, GIOStream* connection,
                             Send* send);
  static void OnStarting(SoupMessage* message, Send* send);
  static void OnRestarted(SoupMessage* message, Send* send);
  static void OnInterimResponse(SoupMessage* message, Send* send);
  static void OnResponse(GObject* source, GAsyncResult* result, gpointer data);
  static void OnBytes(GObject* source, GAsyncResult* result, gpointer data);

  ConnectionPool& GetOrCreatePool(const std::string& address, int max_connections);
  GObjectPtr<SoupMessage> MakeMessage(const TargetRequest& request);
  void HandleResponse(const SendPtr& send, GInputStream* stream, GErrorPtr error);
  void HandleBytes(const SendPtr& send, GBytes* bytes, GErrorPtr error);
  void HandleEndOfBody(const SendPtr& send);
  void AbortSend(const SendPtr& send, dispatch::SendResult result);
  void FinishSend(const SendPtr& send, dispatch::SendResult result);
  static dispatch::SendResult ResultForError(const Send& send, const GError* error);

  ITargetObserver& observer_;
  std::unordered_map<SendId, SendPtr> sends_;
  std::map<std::string, std::shared_ptr<ConnectionPool>> pools_;
};

}  // namespace monsoonshelf::entry
