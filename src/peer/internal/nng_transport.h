#pragma once

#include <gio/gio.h>
#include <nng/nng.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "peer/internal/envelope.h"
#include "peer/internal/replay_guard.h"
#include "peer/ipeer_transport.h"
#include "peer/peer_setup.h"

namespace monsoonshelf::peer::detail {

struct GObjectDeleter {
  void operator()(void* object) const { g_object_unref(object); }
};
using Network = std::unique_ptr<GInetAddressMask, GObjectDeleter>;

// Uses nng push and pull sockets over TCP. Peer messages are one-way, and push/pull keeps no state
// per message. The pull socket accepts any number of peers on one listener. A separate push socket
// for each peer address prevents a peer that hangs from delaying messages to the others.
class NngTransport : public IPeerTransport {
 public:
  NngTransport(TransportSettings settings, std::vector<Network> networks);
  ~NngTransport() override;
  NngTransport(const NngTransport&) = delete;
  NngTransport& operator=(const NngTransport&) = delete;

  Result<void> Start(Handler handler) override;
  void Send(const coordination::OutgoingPeerMessage& send) override;
  void Stop() override;
  std::string ListenAddress() const override { return settings_.address_; }
  void SetKeys(std::vector<Key> keys) override { settings_.keys_ = std::move(keys); }
  const PeerCounters& Counters() const override { return counters_; }

 private:
  struct OutgoingSocket {
    nng_socket socket_ = NNG_SOCKET_INITIALIZER;
    Time last_used_{};
  };

  Result<void> Listen();
  Result<void> PollListener();
  static gboolean OnReadable(gint descriptor, GIOCondition condition, gpointer data);
  void Receive();
  ResultCode VerifyAndDeliver(nng_msg* message);
  bool IsFromAllowedNetwork(nng_msg* message) const;
  nng_socket* FindOrOpenSocket(const std::string& address, Time now);
  void CloseLeastRecentlyUsed(Time now, Duration min_idle);

  TransportSettings settings_;
  std::vector<Network> allowed_networks_;
  GMainContext* context_;
  GSource* receive_source_ = nullptr;
  nng_socket listener_ = NNG_SOCKET_INITIALIZER;
  bool listening_ = false;
  Handler handler_;
  std::map<std::string, OutgoingSocket> outgoing_;
  std::uint64_t sequence_ = 0;
  ReplayGuard replay_guard_;
  PeerCounters counters_;
};

}  // namespace monsoonshelf::peer::detail
