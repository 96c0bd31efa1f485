#pragma once

#include <gio/gio.h>

#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "entry/internal/gobject_ptr.h"

namespace monsoonshelf::entry {

// Listening socket that hands out accepted connections. Belongs to one task.
class Listener {
 public:
  using Handler = std::function<void(std::shared_ptr<GSocketConnection>)>;

  // Error: kListenFailed.
  static Result<std::unique_ptr<Listener>> Open(const std::string& address);
  ~Listener();

  // Address with the port that was chosen.
  const std::string& Address() const { return address_; }
  void Start(GMainContext* context, Handler handler);
  // Accepts what has arrived. Returns the number of connections.
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
