#include "entry/internal/task.h"

#include <pthread.h>

#include <condition_variable>
#include <mutex>
#include <utility>

namespace monsoonshelf::entry {

struct Task::MessageSource {
  GSource base_;
  Task* task_;
};

Task::Task(std::string name)
    : name_(std::move(name)),
      context_(g_main_context_new()),
      loop_(g_main_loop_new(context_, FALSE)),
      queue_(g_async_queue_new_full([](gpointer item) { delete static_cast<Message*>(item); })) {
  static GSourceFuncs functions = {&Task::Prepare, &Task::Check, &Task::Dispatch,
                                   nullptr,        nullptr,      nullptr};
  source_ = g_source_new(&functions, sizeof(MessageSource));
  reinterpret_cast<MessageSource*>(source_)->task_ = this;
  g_source_attach(source_, context_);
}

Task::~Task() {
  Stop();
  g_source_destroy(source_);
  g_source_unref(source_);
  g_async_queue_unref(queue_);
  g_main_loop_unref(loop_);
  g_main_context_unref(context_);
}

void Task::Start() {
  thread_ = std::thread([this] { RunLoop(); });
}

void Task::Stop() {
  if (!thread_.joinable()) return;
  Post([this] { g_main_loop_quit(loop_); });
  thread_.join();
}

void Task::Post(Message message) {
  auto* item = new Message(std::move(message));
  // ThreadSanitizer does not see the lock in the GLib queue. This release and the acquire in
  // RunMessages() make the ordering visible to it.
  publish_count_.fetch_add(1, std::memory_order_release);
  g_async_queue_push(queue_, item);
  if (!awake_.exchange(true)) g_main_context_wakeup(context_);
}

void Task::PostAndWait(const Message& message) {
  std::mutex mutex;
  std::condition_variable done_changed;
  bool done = false;
  Post([&] {
    message();
    const std::lock_guard lock(mutex);
    done = true;
    done_changed.notify_one();
  });
  std::unique_lock lock(mutex);
  done_changed.wait(lock, [&] { return done; });
}

gboolean Task::Prepare(GSource* source, gint* timeout) {
  Task* task = reinterpret_cast<MessageSource*>(source)->task_;
  *timeout = -1;
  // Cleared before the queue is checked: a message posted after the check then wakes up the poll.
  task->awake_.store(false);
  return g_async_queue_length(task->queue_) > 0;
}

gboolean Task::Check(GSource* source) {
  Task* task = reinterpret_cast<MessageSource*>(source)->task_;
  // The thread is awake until the next Prepare(), so posting needs no system call to wake it up.
  task->awake_.store(true);
  return g_async_queue_length(task->queue_) > 0;
}

gboolean Task::Dispatch(GSource* source, GSourceFunc, gpointer) {
  reinterpret_cast<MessageSource*>(source)->task_->RunMessages();
  return G_SOURCE_CONTINUE;
}

void Task::RunMessages() {
  // Limited so that a long queue does not delay socket events; the rest runs in the next main loop
  // iteration.
  for (int i = 0; i < 64; ++i) {
    auto* message = static_cast<Message*>(g_async_queue_try_pop(queue_));
    if (message == nullptr) return;
    publish_count_.load(std::memory_order_acquire);
    (*message)();
    delete message;
  }
}

void Task::RunLoop() {
  id_.store(std::this_thread::get_id());
  pthread_setname_np(pthread_self(), name_.substr(0, 15).c_str());
  g_main_context_push_thread_default(context_);
  g_main_loop_run(loop_);
  while (g_async_queue_length(queue_) > 0) RunMessages();
  g_main_context_pop_thread_default(context_);
}

}  // namespace monsoonshelf::entry
