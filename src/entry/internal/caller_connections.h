#pragma once

#include <gio/gio.h>

#include <map>
#include <vector>

#include "base/base_types.h"
#include "entry/internal/gobject_ptr.h"

namespace monsoonshelf::entry {

// A connection to a caller, as a graceful stop sees it.
struct CallerConnection {
  GObjectPtr<GSocket> socket_;
  Time accepted_{};
  bool had_request_ = false;
  Time request_started_{};  // When the first byte of the current request was read.
  int open_requests_ = 0;   // Started and not finished.
  bool half_closed_ = false;
  int unsent_bytes_ = 0;  // In the send buffer of the kernel, at the last check.
  Time last_progress_{};  // When `unsent_bytes_` last decreased, or the half-close.
};

// The connections of one CallerServer to callers. libsoup owns and closes them. This table closes
// idle ones, and delays the close after a last response until the caller has received it.
class CallerConnections {
 public:
  CallerConnections() = default;
  ~CallerConnections();
  CallerConnections(const CallerConnections&) = delete;
  CallerConnections& operator=(const CallerConnections&) = delete;

  void Add(GSocket* socket, Time now);
  // Returns nullptr if the connection is unknown or closed.
  CallerConnection* Find(GSocket* socket);
  // Returns the open connections.
  std::vector<CallerConnection*> Open();
  // Sends the end of the stream to the caller, but keeps the connection open until the caller has
  // received everything and closed it, even if libsoup closes its descriptor.
  void Linger(GSocket* socket, Time now);
  // Reads and discards what callers send on lingering connections; closes those that have ended.
  void Sweep(Time now);
  std::size_t LingeringCount() const { return lingering_.size(); }

 private:
  struct LingeringSocket {
    int descriptor_ = -1;
    int unsent_bytes_ = 0;
    Time last_progress_{};
  };

  std::map<GSocket*, CallerConnection> connections_;
  std::vector<LingeringSocket> lingering_;
};

// Sends the end of the stream to the caller. Bytes that the caller sends are still received.
void HalfClose(CallerConnection& connection, Time now);
// Returns true if the caller of a half-closed connection may still be receiving bytes.
bool IsReceiving(CallerConnection& connection, Time now);

}  // namespace monsoonshelf::entry
