#pragma once

#include <functional>

#include "coordination/coordination_types.h"
#include "store/platform_types.h"

namespace monsoonshelf::store {

// Asynchronous client of the platform's object API. Must be used on one thread; the callbacks run
// on that thread.
class IPlatformClient {
 public:
  using Callback = std::function<void(const coordination::PlatformReply&)>;

  virtual ~IPlatformClient() = default;

  // Starts a request. The callback runs exactly once, also after a timeout, unless Close is called
  // before. It never runs within Send.
  virtual void Send(const coordination::PlatformRequest& request, Callback callback) = 0;

  // Cancels all requests in flight. Their callbacks do not run.
  virtual void Close() = 0;

  virtual const ClientCounters& Counters() const = 0;
};

}  // namespace monsoonshelf::store
