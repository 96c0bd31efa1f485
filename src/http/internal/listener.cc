#include "http/listener.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <string>
#include <utility>

#include "base/clock.h"
#include "http/socket_address.h"
#include "logging/logging.h"

namespace monsoonshelf::http {

namespace {

constexpr int kListenBacklog = 512;
// Maximum number of connections accepted per main loop iteration, so that a burst of new
// connections does not delay the open ones.
constexpr int kMaxAcceptsPerDispatch = 16;
// Without a pause, the readable listening socket would keep the main loop busy until a descriptor
// is free.
constexpr gint64 kAcceptPauseUs = 100'000;
// Interval between two log lines about a pause.
constexpr Duration kPauseLogInterval = std::chrono::seconds(10);

leaf::error_id ListenError(const std::string& address) {
  return Fail(ResultCode::kListenFailed,
              "cannot listen on \"" + address + "\": " + std::strerror(errno));
}

}  // namespace

struct Listener::ListenerSource {
  GSource base_;
  Listener* listener_;
};

Result<std::unique_ptr<Listener>> Listener::Open(const std::string& address, OnAccept on_accept) {
  const auto parsed = ParseAddress(address);
  if (!parsed) {
    return Fail(ResultCode::kListenFailed,
                "cannot listen on \"" + address + "\": expected IP:port");
  }
  const SocketAddress local = ToSocketAddress(*parsed);
  std::unique_ptr<Listener> listener(new Listener);
  listener->descriptor_ =
      socket(local.Family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
  if (listener->descriptor_ < 0) return ListenError(address);
  const int one = 1;
  (void)setsockopt(listener->descriptor_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  if (bind(listener->descriptor_, local.Get(), local.length_) != 0 ||
      listen(listener->descriptor_, kListenBacklog) != 0) {
    return ListenError(address);
  }
  listener->address_ = address;
  if (parsed->port_ == 0) {
    sockaddr_in bound{};
    socklen_t length = sizeof(bound);
    if (getsockname(listener->descriptor_, reinterpret_cast<sockaddr*>(&bound), &length) != 0) {
      return ListenError(address);
    }
    Address with_port = *parsed;
    with_port.port_ = ntohs(bound.sin_port);
    listener->address_ = FormatAddress(with_port);
  }
  listener->on_accept_ = std::move(on_accept);
  static GSourceFuncs functions = {nullptr, nullptr, &Listener::Dispatch,
                                   nullptr, nullptr, nullptr};
  listener->source_ = g_source_new(&functions, sizeof(ListenerSource));
  reinterpret_cast<ListenerSource*>(listener->source_)->listener_ = listener.get();
  listener->fd_tag_ = g_source_add_unix_fd(listener->source_, listener->descriptor_, G_IO_IN);
  g_source_attach(listener->source_, g_main_context_get_thread_default());
  return listener;
}

Listener::~Listener() {
  if (source_ != nullptr) {
    g_source_destroy(source_);
    g_source_unref(source_);
  }
  if (descriptor_ >= 0) close(descriptor_);
}

void Listener::Pause(const char* cause) {
  ++pause_count_;
  g_source_modify_unix_fd(source_, fd_tag_, static_cast<GIOCondition>(0));
  g_source_set_ready_time(source_, g_get_monotonic_time() + kAcceptPauseUs);
  const Time now = Now();
  if (pause_logged_at_ != Time{} && now - pause_logged_at_ < kPauseLogInterval) return;
  pause_logged_at_ = now;
  logging::LogEvent(
      logging::LogLevel::kWarning, "accept_paused",
      {{"address", address_}, {"cause", cause}, {"pauses", std::to_string(pause_count_)}});
}

bool Listener::AcceptOne() {
  if (may_accept_) {
    // Room is made, by closing another connection, only for one that waits.
    pollfd pending = {descriptor_, POLLIN, 0};
    if (poll(&pending, 1, 0) <= 0) return false;
    if (!may_accept_()) {
      Pause("max_connections");
      return false;
    }
  }
  const int descriptor = accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (descriptor < 0) {
    if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
      Pause(std::strerror(errno));
    } else if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED) {
      logging::LogEvent(logging::LogLevel::kWarning, "accept_failed",
                        {{"address", address_}, {"error", std::strerror(errno)}});
    }
    return false;
  }
  on_accept_(descriptor);
  return true;
}

std::size_t Listener::AcceptAll() {
  std::size_t count = 0;
  while (AcceptOne()) ++count;
  return count;
}

gboolean Listener::Dispatch(GSource* source, GSourceFunc, gpointer) {
  Listener* listener = reinterpret_cast<ListenerSource*>(source)->listener_;
  g_source_set_ready_time(source, -1);
  g_source_modify_unix_fd(source, listener->fd_tag_, G_IO_IN);
  for (int i = 0; i < kMaxAcceptsPerDispatch && listener->AcceptOne(); ++i) {
  }
  return G_SOURCE_CONTINUE;
}

}  // namespace monsoonshelf::http
