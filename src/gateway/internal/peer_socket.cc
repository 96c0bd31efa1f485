#include "gateway/internal/peer_socket.h"

#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

#include "base/address.h"
#include "http/socket_address.h"

namespace monsoonshelf::gateway {

namespace {

constexpr std::size_t kMaxDatagramBytes = 2048;
constexpr int kMaxDatagramsPerDispatch = 32;

}  // namespace

struct PeerSocket::SocketSource {
  GSource base_;
  PeerSocket* socket_;
};

Result<std::unique_ptr<PeerSocket>> PeerSocket::Open(const std::string& address,
                                                     OnMessage on_message) {
  const auto parsed = ParseAddress(address);
  if (!parsed)
    return Fail(ResultCode::kPeerSocket, "peer address \"" + address + "\" is not IP:port");
  const http::SocketAddress local = http::ToSocketAddress(*parsed);
  std::unique_ptr<PeerSocket> result(new PeerSocket);
  result->descriptor_ = socket(local.Family(), SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (result->descriptor_ < 0 || bind(result->descriptor_, local.Get(), local.length_) != 0) {
    return Fail(ResultCode::kPeerSocket,
                "cannot bind UDP socket for peers to " + address + ": " + std::strerror(errno));
  }
  result->on_message_ = std::move(on_message);
  static GSourceFuncs functions = {nullptr, nullptr, &PeerSocket::Dispatch,
                                   nullptr, nullptr, nullptr};
  result->source_ = g_source_new(&functions, sizeof(SocketSource));
  reinterpret_cast<SocketSource*>(result->source_)->socket_ = result.get();
  g_source_add_unix_fd(result->source_, result->descriptor_, G_IO_IN);
  g_source_attach(result->source_, g_main_context_get_thread_default());
  return result;
}

PeerSocket::~PeerSocket() {
  if (source_ != nullptr) {
    g_source_destroy(source_);
    g_source_unref(source_);
  }
  if (descriptor_ >= 0) close(descriptor_);
}

void PeerSocket::Send(const std::string& address, std::string_view bytes) {
  const auto parsed = ParseAddress(address);
  if (!parsed) return;
  const http::SocketAddress to = http::ToSocketAddress(*parsed);
  // Errors are ignored: peers detect lost datagrams by their timeouts.
  (void)sendto(descriptor_, bytes.data(), bytes.size(), 0, to.Get(), to.length_);
}

gboolean PeerSocket::Dispatch(GSource* source, GSourceFunc, gpointer) {
  PeerSocket* socket = reinterpret_cast<SocketSource*>(source)->socket_;
  std::array<char, kMaxDatagramBytes> buffer{};
  for (int i = 0; i < kMaxDatagramsPerDispatch; ++i) {
    const ssize_t count = recv(socket->descriptor_, buffer.data(), buffer.size(), 0);
    if (count < 0) break;
    socket->on_message_({buffer.data(), static_cast<std::size_t>(count)});
  }
  return G_SOURCE_CONTINUE;
}

}  // namespace monsoonshelf::gateway
