#include "eventloop/timer.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"

namespace monsoonshelf::eventloop {

struct Timer::TimerSource {
  GSource base_;
  Timer* timer_;
};

Timer::Timer(GMainContext* context, std::function<void()> callback)
    : callback_(std::move(callback)) {
  // A custom source, because a GLib timeout source reschedules itself after each dispatch.
  static GSourceFuncs functions = {nullptr, nullptr, &Timer::Fire, nullptr, nullptr, nullptr};
  source_ = g_source_new(&functions, sizeof(TimerSource));
  reinterpret_cast<TimerSource*>(source_)->timer_ = this;
  g_source_attach(source_, context);
}

Timer::~Timer() {
  g_source_destroy(source_);
  g_source_unref(source_);
}

void Timer::Set(Time deadline) {
  deadline_ = deadline;
  active_ = true;
  const auto wait = std::max(Duration(0), deadline - Now());
  g_source_set_ready_time(source_, g_get_monotonic_time() + wait.count());
}

void Timer::Clear() {
  if (!active_) return;
  active_ = false;
  g_source_set_ready_time(source_, -1);
}

gboolean Timer::Fire(GSource* source, GSourceFunc, gpointer) {
  auto* timer = reinterpret_cast<TimerSource*>(source)->timer_;
  timer->Clear();
  timer->callback_();
  return G_SOURCE_CONTINUE;
}

}  // namespace monsoonshelf::eventloop
