#pragma once

#include <functional>
#include <utility>
#include <vector>

namespace monsoonshelf {

// List of callbacks. Send() calls them synchronously in the order of subscription. Not thread-safe:
// all use must be within one task.
template <typename... Args>
class Channel {
 public:
  using Subscriber = std::function<void(const Args&...)>;

  void Subscribe(Subscriber subscriber) { subscribers_.push_back(std::move(subscriber)); }

  void Send(const Args&... args) const {
    for (const auto& subscriber : subscribers_) subscriber(args...);
  }

 private:
  std::vector<Subscriber> subscribers_;
};

}  // namespace monsoonshelf
