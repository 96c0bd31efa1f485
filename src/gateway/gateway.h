#pragma once

#include <memory>

#include "base/result.h"
#include "gateway/gateway_types.h"
#include "gateway/icall_format.h"
#include "gateway/irecord_format.h"
#include "gateway/irecord_store.h"

namespace monsoonshelf::gateway {

// An entry host that forwards requests of callers to targets and serves the directory, readiness
// and metrics endpoints. Runs on the thread-default main context.
class Gateway {
 public:
  virtual ~Gateway() = default;

  // Starts the graceful stop, which ends within the stop time of the settings. Further calls have no
  // effect.
  virtual void Stop() = 0;
  // Applies the fleet bounds of reloaded settings. All other settings keep their values.
  virtual void Reload(const GatewaySettings& settings) = 0;
  virtual bool IsStopped() const = 0;
};

// Opens all sockets. `incarnation` must be higher than that of all earlier processes of the host.
// `format`, `record_format` and `store` must outlive the gateway.
// Errors: kListenFailed, kPeerSocket, kChartInvalid.
Result<std::unique_ptr<Gateway>> StartGateway(const GatewaySettings& settings,
                                              const ICallFormat& format,
                                              const IRecordFormat& record_format,
                                              IRecordStore& store, Incarnation incarnation,
                                              std::uint64_t seed);

}  // namespace monsoonshelf::gateway
