#pragma once

#include <functional>
#include <utility>
#include <vector>

namespace monsoonshelf {

// Notifies subscribers within one task, in the order of subscription.
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
