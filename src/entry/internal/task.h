#pragma once

#include <glib.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "base/base_types.h"
#include "eventloop/timer.h"

namespace monsoonshelf::entry {

// A thread with its own GLib main context and a message queue. The state of a task is accessed only
// by messages that run on its thread.
class Task {
 public:
  using Message = std::function<void()>;

  explicit Task(std::string name);
  ~Task();  // Stops the thread.
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  void Start();
  // Runs the queued messages, then ends the thread. Must not be called on the thread itself.
  void Stop();

  // Queues a message; safe to call from any thread. A message posted from the thread of the task is
  // queued as well.
  void Post(Message message);

  // Posts a message and blocks until it has run. Must not be called on the thread itself.
  void PostAndWait(const Message& message);

  // Runs the function immediately if called on the thread of the task; otherwise posts it.
  template <typename Function>
  void RunOrPost(Function&& function) {
    if (IsCurrent()) {
      function();
    } else {
      Post(std::forward<Function>(function));
    }
  }

  bool IsCurrent() const { return std::this_thread::get_id() == id_.load(); }
  bool IsRunning() const { return thread_.joinable(); }
  GMainContext* Context() const { return context_; }

 private:
  struct MessageSource;
  static gboolean Prepare(GSource* source, gint* timeout);
  static gboolean Check(GSource* source);
  static gboolean Dispatch(GSource* source, GSourceFunc callback, gpointer data);

  void RunLoop();
  void RunMessages();

  std::string name_;
  GMainContext* context_;
  GMainLoop* loop_;
  GAsyncQueue* queue_;
  GSource* source_;
  // True while the thread will check the queue without being woken up.
  std::atomic<bool> awake_{false};
  std::atomic<std::uint64_t> publish_count_{0};  // See Post().
  std::thread thread_;
  std::atomic<std::thread::id> id_{};
};

using eventloop::Timer;

}  // namespace monsoonshelf::entry
