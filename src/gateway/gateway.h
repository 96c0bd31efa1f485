#pragma once

#include <memory>

#include "base/result.h"
#include "gateway/gateway_types.h"
#include "gateway/icall_format.h"
#include "gateway/irecord_format.h"
#include "gateway/irecord_store.h"

namespace monsoonshelf::gateway {

// One entry host that serves callers directly: requests, directory, readiness and metrics, on the
// thread-default main context.
class Gateway {
 public:
  virtual ~Gateway() = default;

  // Begins the graceful stop; a second call ends at once.
  virtual void Stop() = 0;
  // Applies bounds and limits of settings that were read again. Addresses can't change.
  virtual void Reload(const GatewaySettings& settings) = 0;
  virtual bool IsStopped() const = 0;
};

// Opens all sockets. `incarnation` is higher than that of each earlier process of the host.
// Error: kListenFailed, kPeerSocket, kChartInvalid.
Result<std::unique_ptr<Gateway>> StartGateway(const GatewaySettings& settings,
                                              const ICallFormat& format,
                                              const IRecordFormat& record_format,
                                              IRecordStore& store, Incarnation incarnation,
                                              std::uint64_t seed);

}  // namespace monsoonshelf::gateway
