#include "peer/internal/nng_transport.h"

#include <glib-unix.h>
#include <netinet/in.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <algorithm>
#include <cstring>

#include "base/address.h"
#include "base/clock.h"

namespace monsoonshelf::peer::detail {

namespace {

// nng closes a connection on which a larger message arrives. This is above kMaxMessageBytes, so a
// message that is only slightly too large is counted as rejected instead.
constexpr std::size_t kMaxReceiveBytes = 2 * kMaxMessageBytes;
// Number of messages per peer that wait for a connection or a slow peer; further messages are
// dropped. With the maximum message size and 96 peers the queues take 48 MiB.
constexpr int kMaxQueuedMessages = 8;
constexpr nng_duration kReconnectMinMs = 100;
constexpr nng_duration kReconnectMaxMs = 1000;
// An outgoing socket that was not used for this long is closed.
constexpr Duration kIdleTimeout = std::chrono::seconds(60);
// Limits the work per wakeup, so a flood of messages does not delay the timers of the task.
constexpr int kMaxMessagesPerWakeup = 64;

leaf::error_id SocketError(const std::string& what, int error) {
  return Fail(ResultCode::kPeerSocket, what + ": " + nng_strerror(error));
}

GInetAddress* ToInetAddress(const nng_sockaddr& address) {
  switch (address.s_family) {
    case NNG_AF_INET:
      return g_inet_address_new_from_bytes(reinterpret_cast<const guint8*>(&address.s_in.sa_addr),
                                           G_SOCKET_FAMILY_IPV4);
    case NNG_AF_INET6:
      return g_inet_address_new_from_bytes(reinterpret_cast<const guint8*>(&address.s_in6.sa_addr),
                                           G_SOCKET_FAMILY_IPV6);
    default:
      return nullptr;
  }
}

}  // namespace

NngTransport::NngTransport(TransportSettings settings, std::vector<Network> networks)
    : settings_(std::move(settings)),
      allowed_networks_(std::move(networks)),
      context_(g_main_context_ref_thread_default()) {}

NngTransport::~NngTransport() {
  Stop();
  g_main_context_unref(context_);
}

Result<void> NngTransport::Start(Handler handler) {
  handler_ = std::move(handler);
  BOOST_LEAF_CHECK(Listen());
  return PollListener();
}

Result<void> NngTransport::Listen() {
  if (const int error = nng_pull0_open(&listener_); error != 0) {
    return SocketError("cannot open the peer socket", error);
  }
  listening_ = true;
  nng_socket_set_size(listener_, NNG_OPT_RECVMAXSZ, kMaxReceiveBytes);
  nng_listener listener = NNG_LISTENER_INITIALIZER;
  const std::string url = "tcp://" + settings_.address_;
  int error = nng_listener_create(&listener, listener_, url.c_str());
  if (error == 0) error = nng_listener_start(listener, 0);
  int port = 0;
  if (error == 0) error = nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
  if (error != 0) return SocketError("cannot listen for peers on " + settings_.address_, error);
  auto address = ParseAddress(settings_.address_);
  address->port_ = static_cast<std::uint16_t>(port);
  settings_.address_ = FormatAddress(*address);
  return {};
}

// The main context polls the file descriptor that nng makes readable while received messages are
// queued. Thus no code of this project runs on the threads of nng.
Result<void> NngTransport::PollListener() {
  int descriptor = -1;
  if (const int error = nng_socket_get_int(listener_, NNG_OPT_RECVFD, &descriptor); error != 0) {
    return SocketError("cannot poll the peer socket", error);
  }
  receive_source_ = g_unix_fd_source_new(descriptor, G_IO_IN);
  g_source_set_callback(receive_source_, G_SOURCE_FUNC(&NngTransport::OnReadable), this, nullptr);
  g_source_attach(receive_source_, context_);
  return {};
}

void NngTransport::Stop() {
  if (receive_source_ != nullptr) {
    g_source_destroy(receive_source_);
    g_source_unref(receive_source_);
    receive_source_ = nullptr;
  }
  for (const auto& [address, outgoing] : outgoing_) nng_close(outgoing.socket_);
  outgoing_.clear();
  counters_.outgoing_sockets_ = 0;
  if (listening_) nng_close(listener_);
  listening_ = false;
}

gboolean NngTransport::OnReadable(gint /*descriptor*/, GIOCondition /*condition*/, gpointer data) {
  static_cast<NngTransport*>(data)->Receive();
  return G_SOURCE_CONTINUE;
}

void NngTransport::Receive() {
  for (int i = 0; i < kMaxMessagesPerWakeup && listening_; i++) {
    nng_msg* message = nullptr;
    if (nng_recvmsg(listener_, &message, NNG_FLAG_NONBLOCK) != 0) return;
    counters_.messages_in_++;
    counters_.bytes_in_ += nng_msg_len(message);
    const ResultCode code = VerifyAndDeliver(message);
    nng_msg_free(message);
    if (code != ResultCode::kOk) counters_.rejected_[code]++;
  }
}

bool NngTransport::IsFromAllowedNetwork(nng_msg* message) const {
  if (allowed_networks_.empty()) return true;
  nng_sockaddr remote{};
  if (nng_pipe_get_addr(nng_msg_get_pipe(message), NNG_OPT_REMADDR, &remote) != 0) return false;
  GInetAddress* address = ToInetAddress(remote);
  if (address == nullptr) return false;
  const bool known =
      std::any_of(allowed_networks_.begin(), allowed_networks_.end(), [address](const auto& mask) {
        return g_inet_address_mask_matches(mask.get(), address) == TRUE;
      });
  g_object_unref(address);
  return known;
}

ResultCode NngTransport::VerifyAndDeliver(nng_msg* message) {
  if (!IsFromAllowedNetwork(message)) return ResultCode::kPeerUnknownSender;
  const auto decoded = Decode(
      {static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message)}, settings_.keys_);
  if (decoded.code_ != ResultCode::kOk) return decoded.code_;
  const auto& envelope = decoded.envelope_;
  if (envelope.sender_ == settings_.name_ || !ParseAddress(envelope.sender_address_)) {
    return ResultCode::kPeerUnknownSender;
  }
  const auto age = std::chrono::microseconds(WallMicroseconds() - envelope.sent_time_);
  if (envelope.destination_ != settings_.address_ || age > kMaxMessageAge ||
      age < -kMaxMessageAge ||
      !RecordIfNew(replay_guard_, envelope.sender_, envelope.incarnation_, envelope.sequence_,
                   Now())) {
    return ResultCode::kPeerMessageReplayed;
  }
  handler_({envelope.sender_, envelope.incarnation_, envelope.sender_address_, envelope.body_});
  return ResultCode::kOk;
}

void NngTransport::Send(const coordination::OutgoingPeerMessage& send) {
  if (!listening_) return;
  const Time now = Now();
  CloseLeastRecentlyUsed(now, kIdleTimeout);
  const std::string message =
      Encode({settings_.name_, settings_.address_, send.address_, settings_.incarnation_,
              ++sequence_, WallMicroseconds(), send.body_},
             settings_.keys_.front());
  nng_socket* socket =
      message.size() > kMaxMessageBytes ? nullptr : FindOrOpenSocket(send.address_, now);
  // While the peer is not connected, the message waits in the send queue of the socket.
  if (socket == nullptr || nng_send(*socket, const_cast<char*>(message.data()), message.size(),
                                    NNG_FLAG_NONBLOCK) != 0) {
    counters_.messages_dropped_++;
    return;
  }
  counters_.messages_out_++;
  counters_.bytes_out_ += message.size();
}

nng_socket* NngTransport::FindOrOpenSocket(const std::string& address, Time now) {
  if (const auto found = outgoing_.find(address); found != outgoing_.end()) {
    found->second.last_used_ = now;
    return &found->second.socket_;
  }
  const auto parsed = ParseAddress(address);
  if (!parsed || parsed->port_ == 0) return nullptr;
  if (outgoing_.size() >= settings_.max_outgoing_sockets_) CloseLeastRecentlyUsed(now, Duration(0));
  OutgoingSocket outgoing{NNG_SOCKET_INITIALIZER, now};
  if (nng_push0_open(&outgoing.socket_) != 0) return nullptr;
  nng_socket_set_int(outgoing.socket_, NNG_OPT_SENDBUF, kMaxQueuedMessages);
  nng_socket_set_ms(outgoing.socket_, NNG_OPT_RECONNMINT, kReconnectMinMs);
  nng_socket_set_ms(outgoing.socket_, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
  const std::string url = "tcp://" + address;
  if (nng_dial(outgoing.socket_, url.c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
    nng_close(outgoing.socket_);
    return nullptr;
  }
  counters_.outgoing_sockets_++;
  return &outgoing_.emplace(address, outgoing).first->second.socket_;
}

// Closes the least recently used socket if it has been idle for at least `min_idle`.
void NngTransport::CloseLeastRecentlyUsed(Time now, Duration min_idle) {
  if (outgoing_.empty()) return;
  const auto oldest = std::min_element(
      outgoing_.begin(), outgoing_.end(),
      [](const auto& a, const auto& b) { return a.second.last_used_ < b.second.last_used_; });
  if (now - oldest->second.last_used_ < min_idle) return;
  nng_close(oldest->second.socket_);
  outgoing_.erase(oldest);
  counters_.outgoing_sockets_--;
}

}  // namespace monsoonshelf::peer::detail
