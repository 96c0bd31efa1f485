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

// A thread with its own main context and a mailbox. State of a task is touched only by messages
// that run on its thread.
class Task {
 public:
  using Message = std::function<void()>;

  explicit Task(std::string name);
  ~Task();  // Stops the thread.
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  void Start();
  // Runs the remaining messages, then ends the thread.
  void Stop();

  // Queues a message; callable from every thread. A message posted by the task itself also waits
  // for its turn.
  void Post(Message message);

  // Posts a message and waits until it has run.
  void PostAndWait(const Message& message);

  // Runs a message at once on the task's own thread, otherwise posts it.
  template <typename Function>
  void Run(Function&& function) {
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
  struct MailboxSource;
  static gboolean Prepare(GSource* source, gint* timeout);
  static gboolean Check(GSource* source);
  static gboolean Dispatch(GSource* source, GSourceFunc callback, gpointer data);

  void Run();
  void Drain();

  std::string name_;
  GMainContext* context_;
  GMainLoop* loop_;
  GAsyncQueue* queue_;
  GSource* source_;
  // True while the thread will look at its mailbox without a wake-up.
  std::atomic<bool> woken_{false};
  std::atomic<std::uint64_t> handed_over_{0};
  std::thread thread_;
  std::atomic<std::thread::id> id_{};
};

using eventloop::Timer;

}  // namespace monsoonshelf::entry
