#include "entry/internal/listener.h"

#include <utility>

namespace monsoonshelf::entry {

namespace {

constexpr int kBacklog = 1024;

leaf::error_id ListenFailed(const std::string& address, GError* error) {
  const GErrorPtr owner(error);
  return Fail(ResultCode::kListenFailed,
              "cannot listen on \"" + address + "\": " +
                  (error != nullptr ? error->message : "the address must have the form IP:port"));
}

// Splits `IP:port` or `[IP]:port`.
GObjectPtr<GSocketAddress> ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return nullptr;
  std::string host = text.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) host = host.substr(1, host.size() - 2);
  const int port = std::atoi(text.c_str() + colon + 1);
  if (port < 0 || port > 65535) return nullptr;
  return GObjectPtr<GSocketAddress>(
      g_inet_socket_address_new_from_string(host.c_str(), static_cast<guint>(port)));
}

std::string FormatAddress(GSocketAddress* address) {
  auto* inet = G_INET_SOCKET_ADDRESS(address);
  gchar* host = g_inet_address_to_string(g_inet_socket_address_get_address(inet));
  const bool v6 = g_socket_address_get_family(address) == G_SOCKET_FAMILY_IPV6;
  std::string text = v6 ? "[" + std::string(host) + "]" : std::string(host);
  g_free(host);
  return text + ":" + std::to_string(g_inet_socket_address_get_port(inet));
}

}  // namespace

Result<std::unique_ptr<Listener>> Listener::Open(const std::string& address) {
  const auto parsed = ParseAddress(address);
  if (parsed == nullptr) return ListenFailed(address, nullptr);
  GError* error = nullptr;
  std::unique_ptr<Listener> listener(new Listener);
  listener->socket_.reset(g_socket_new(g_socket_address_get_family(parsed.get()),
                                       G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error));
  if (listener->socket_ == nullptr) return ListenFailed(address, error);
  GSocket* socket = listener->socket_.get();
  g_socket_set_blocking(socket, FALSE);
  g_socket_set_listen_backlog(socket, kBacklog);
  if (!g_socket_bind(socket, parsed.get(), TRUE, &error) || !g_socket_listen(socket, &error)) {
    return ListenFailed(address, error);
  }
  const GObjectPtr<GSocketAddress> local(g_socket_get_local_address(socket, &error));
  if (local == nullptr) return ListenFailed(address, error);
  listener->address_ = FormatAddress(local.get());
  return listener;
}

Listener::~Listener() {
  if (source_ != nullptr) {
    g_source_destroy(source_);
    g_source_unref(source_);
  }
}

void Listener::Start(GMainContext* context, Handler handler) {
  handler_ = std::move(handler);
  source_ = g_socket_create_source(socket_.get(), G_IO_IN, nullptr);
  g_source_set_callback(source_, G_SOURCE_FUNC(&Listener::OnReady), this, nullptr);
  g_source_attach(source_, context);
}

gboolean Listener::OnReady(GSocket*, GIOCondition, gpointer data) {
  static_cast<Listener*>(data)->AcceptAll();
  return G_SOURCE_CONTINUE;
}

std::size_t Listener::AcceptAll() {
  std::size_t count = 0;
  while (GSocket* socket = g_socket_accept(socket_.get(), nullptr, nullptr)) {
    GSocketConnection* connection = g_socket_connection_factory_create_connection(socket);
    g_object_unref(socket);
    handler_(std::shared_ptr<GSocketConnection>(connection, GObjectUnref()));
    ++count;
  }
  return count;
}

}  // namespace monsoonshelf::entry
