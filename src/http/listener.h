#pragma once

#include <glib.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/base_types.h"
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

  // Sets a function that tells whether a connection may be accepted. While it returns false, and
  // while the process has no descriptor left, connections wait in the listen queue.
  void SetMayAccept(std::function<bool()> may_accept) { may_accept_ = std::move(may_accept); }
  // Number of times that accepting was interrupted.
  std::uint64_t PauseCount() const { return pause_count_; }
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
  // Stops accepting for a short time.
  void Pause(const char* cause);

  int descriptor_ = -1;
  GSource* source_ = nullptr;
  gpointer fd_tag_ = nullptr;
  OnAccept on_accept_;
  std::function<bool()> may_accept_;
  std::uint64_t pause_count_ = 0;
  Time pause_logged_at_{};
  std::string address_;
};

}  // namespace monsoonshelf::http
