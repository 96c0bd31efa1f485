#pragma once

#include <glib.h>

#include <functional>
#include <memory>
#include <string>

#include "base/result.h"

namespace monsoonshelf::http {

// A listening TCP socket on the thread-default main context.
class Listener {
 public:
  using OnAccept = std::function<void(int descriptor)>;

  // `address` is IP:port; port 0 is chosen by the system. Error: kListenFailed.
  static Result<std::unique_ptr<Listener>> Open(const std::string& address, OnAccept on_accept);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  const std::string& LocalAddress() const { return address_; }

 private:
  struct ListenerSource;
  Listener() = default;
  static gboolean Dispatch(GSource* source, GSourceFunc callback, gpointer data);

  int descriptor_ = -1;
  GSource* source_ = nullptr;
  OnAccept on_accept_;
  std::string address_;
};

}  // namespace monsoonshelf::http
