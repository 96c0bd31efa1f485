#pragma once

#include "dispatch/internal/admission.h"
#include "dispatch/internal/dispatcher_state.h"

namespace monsoonshelf::dispatch::internal {

void ObserveRemote(Dispatcher& dispatcher, const RemoteShardLoad& shard, Time now);
void ObserveForwardRefused(Dispatcher& dispatcher, const std::string& zone, Time now);
// Counts the end of a forwarded call.
void ObserveForwardEnd(Dispatcher& dispatcher, const ForwardedCall& call);

// True if another zone may take the call, now or after a pause.
bool AnyZoneMayTake(const Dispatcher& dispatcher, const WaitingCall& waiting, Time now);

// Returns the zone to which a call that waits behind `ahead` others is forwarded, or nothing.
RemoteState* ChooseZone(Dispatcher& dispatcher, const Capacity& capacity, WaitingCall& waiting,
                        int ahead, Time now, Random& random);

}  // namespace monsoonshelf::dispatch::internal
