#pragma once

#include <glib.h>

#include <functional>

#include "base/base_types.h"

namespace monsoonshelf::eventloop {

// Timer on a main context, used only on the thread of the context. Setting it again is cheap.
class Timer {
 public:
  Timer(GMainContext* context, std::function<void()> callback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Replaces the time. The callback runs once, at `at` at the earliest. The callback must not
  // destroy the timer.
  void Set(Time at);
  void Clear();
  bool IsActive() const { return active_; }
  Time Deadline() const { return at_; }

 private:
  struct TimerSource;
  static gboolean Fire(GSource* source, GSourceFunc callback, gpointer data);

  GSource* source_ = nullptr;
  std::function<void()> callback_;
  Time at_{};
  bool active_ = false;
};

}  // namespace monsoonshelf::eventloop
