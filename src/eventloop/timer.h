#pragma once

#include <glib.h>

#include <functional>

#include "base/base_types.h"

namespace monsoonshelf::eventloop {

// One-shot timer on a GLib main context. Must be used only on the thread that runs the context.
// Rescheduling is cheap: all deadlines use one GSource.
class Timer {
 public:
  Timer(GMainContext* context, std::function<void()> callback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Schedules the callback to run once, not before the deadline, and replaces an earlier deadline.
  // The callback must not destroy the timer.
  void Set(Time deadline);
  // Cancels the pending callback, if there is one.
  void Clear();
  bool IsActive() const { return active_; }
  Time Deadline() const { return deadline_; }

 private:
  struct TimerSource;
  static gboolean Fire(GSource* source, GSourceFunc callback, gpointer data);

  GSource* source_ = nullptr;
  std::function<void()> callback_;
  Time deadline_{};
  bool active_ = false;
};

}  // namespace monsoonshelf::eventloop
