#pragma once

#include <glib.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "base/result.h"

namespace monsoonshelf::http {

// A listening TCP socket that is polled by the thread-default GLib main context.
class Listener {
 public:
  // Receives an accepted non-blocking socket and owns it.
  using OnAccept = std::function<void(int descriptor)>;

  // Listens on `address` (IP:port). With port 0 the system chooses a free port. Error:
  // kListenFailed.
  static Result<std::unique_ptr<Listener>> Open(const std::string& address, OnAccept on_accept);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Accepts all connections in the listen queue. Returns their number.
  std::size_t AcceptAll();
  // Address with the actual port, as IP:port.
  const std::string& LocalAddress() const { return address_; }

 private:
  struct ListenerSource;
  Listener() = default;
  static gboolean Dispatch(GSource* source, GSourceFunc callback, gpointer data);
  // Returns whether a connection was accepted.
  bool AcceptOne();

  int descriptor_ = -1;
  GSource* source_ = nullptr;
  OnAccept on_accept_;
  std::string address_;
};

}  // namespace monsoonshelf::http
