#include "entry/internal/caller_connections.h"

#include <fcntl.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace monsoonshelf::entry {

namespace {

// A caller that neither closes its connection nor receives a byte for this long is not waited for.
// The kernel still sends what the send buffer holds.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
// Limits the bytes that one sweep discards per connection.
constexpr int kMaxReadsPerSweep = 16;

int UnsentBytes(int descriptor) {
  int bytes = 0;
  return ioctl(descriptor, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

// Returns false if the caller has made no progress for the linger timeout.
bool UpdateProgress(int descriptor, int& unsent, Time& last_progress, Time now) {
  const int bytes = UnsentBytes(descriptor);
  if (bytes < unsent) last_progress = now;
  unsent = bytes;
  return now - last_progress < kLingerTimeout;
}

// Returns true if the connection has ended.
bool DiscardReceived(int descriptor) {
  char buffer[65536];
  for (int i = 0; i < kMaxReadsPerSweep; ++i) {
    const auto count = recv(descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
    if (count == 0) return true;
    if (count < 0) return errno != EAGAIN && errno != EINTR;
  }
  return false;
}

}  // namespace

CallerConnections::~CallerConnections() {
  for (const auto& socket : lingering_) close(socket.descriptor_);
}

void CallerConnections::Add(GSocket* socket, Time now) {
  std::erase_if(connections_, [](const auto& item) { return g_socket_is_closed(item.first); });
  CallerConnection& connection = connections_[socket];
  connection.socket_ = Ref(socket);
  connection.accepted_ = now;
}

CallerConnection* CallerConnections::Find(GSocket* socket) {
  const auto found = connections_.find(socket);
  if (found == connections_.end() || g_socket_is_closed(socket)) return nullptr;
  return &found->second;
}

std::vector<CallerConnection*> CallerConnections::Open() {
  std::vector<CallerConnection*> open;
  for (auto& [socket, connection] : connections_) {
    if (!g_socket_is_closed(socket)) open.push_back(&connection);
  }
  return open;
}

void CallerConnections::Linger(GSocket* socket, Time now) {
  // A close with unread bytes makes the kernel reset the connection and discard its send buffer. A
  // duplicate of the descriptor keeps the connection open when libsoup closes its own.
  const int descriptor = fcntl(g_socket_get_fd(socket), F_DUPFD_CLOEXEC, 0);
  if (descriptor < 0) return;
  shutdown(descriptor, SHUT_WR);
  lingering_.push_back({descriptor, UnsentBytes(descriptor), now});
}

void CallerConnections::Sweep(Time now) {
  std::erase_if(lingering_, [now](LingeringSocket& socket) {
    const bool ended = DiscardReceived(socket.descriptor_);
    if (!ended &&
        UpdateProgress(socket.descriptor_, socket.unsent_bytes_, socket.last_progress_, now)) {
      return false;
    }
    close(socket.descriptor_);
    return true;
  });
}

void HalfClose(CallerConnection& connection, Time now) {
  if (std::exchange(connection.half_closed_, true)) return;
  const int descriptor = g_socket_get_fd(connection.socket_.get());
  // Not for reading as well: then the kernel would reset the connection when a request arrives,
  // and discard a response that the caller has not received yet.
  shutdown(descriptor, SHUT_WR);
  connection.unsent_bytes_ = UnsentBytes(descriptor);
  connection.last_progress_ = now;
}

bool IsReceiving(CallerConnection& connection, Time now) {
  return UpdateProgress(g_socket_get_fd(connection.socket_.get()), connection.unsent_bytes_,
                        connection.last_progress_, now);
}

}  // namespace monsoonshelf::entry
