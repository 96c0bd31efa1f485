#pragma once

#include <gio/gio.h>

#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "entry/internal/gobject_ptr.h"

namespace monsoonshelf::entry {

// A listening TCP socket that passes accepted connections to a handler. Used by one task only.
class Listener {
 public:
  using Handler = std::function<void(std::shared_ptr<GSocketConnection>)>;

  // Binds the socket to `IP:port`; with port 0 the OS chooses. Error: kListenFailed.
  static Result<std::unique_ptr<Listener>> Open(const std::string& address);
  ~Listener();

  // Returns IP and port of the socket, with the chosen port if 0 was requested.
  const std::string& Address() const { return address_; }
  void Start(GMainContext* context, Handler handler);
  // Accepts all pending connections. Returns their number.
  std::size_t AcceptAll();

 private:
  Listener() = default;
  static gboolean OnReady(GSocket* socket, GIOCondition condition, gpointer data);

  GObjectPtr<GSocket> socket_;
  std::string address_;
  GSource* source_ = nullptr;
  Handler handler_;
};

}  // namespace monsoonshelf::entry
