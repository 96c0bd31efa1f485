#pragma once

#include <functional>

#include "coordination/coordination_types.h"
#include "store/platform_types.h"

namespace monsoonshelf::store {

// Access to the platform's object API. Belongs to one task: calls and callbacks are on its thread.
class IPlatformClient {
 public:
  using Callback = std::function<void(const coordination::PlatformReply&)>;

  virtual ~IPlatformClient() = default;

  // Starts a request; the callback is called exactly once, also after a timeout.
  virtual void Send(const coordination::PlatformRequest& request, Callback callback) = 0;

  // Ends all waiting requests without callbacks.
  virtual void Close() = 0;

  virtual const ClientCounters& Counters() const = 0;
};

}  // namespace monsoonshelf::store
