#pragma once

#include <glib.h>

#include <chrono>
#include <functional>

namespace monsoonshelf::http::tests {

// A GLib main context that is the thread default while the object exists.
class Loop {
 public:
  Loop() : context_(g_main_context_new()) { g_main_context_push_thread_default(context_); }
  ~Loop() {
    g_main_context_pop_thread_default(context_);
    g_main_context_unref(context_);
  }
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // Runs until the condition holds. Returns false after 20 s, which only a hang reaches.
  bool RunUntil(const std::function<bool()>& condition) {
    return Run(condition, std::chrono::seconds(20));
  }
  // Runs for the given time, to check that something does not happen.
  void RunFor(std::chrono::milliseconds time) {
    Run([] { return false; }, time);
  }

 private:
  bool Run(const std::function<bool()>& condition, std::chrono::milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (!condition()) {
      if (std::chrono::steady_clock::now() >= end) return false;
      if (g_main_context_iteration(context_, FALSE) == FALSE) g_usleep(200);
    }
    return true;
  }

  GMainContext* context_;
};

}  // namespace monsoonshelf::http::tests
