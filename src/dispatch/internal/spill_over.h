#pragma once

#include "dispatch/internal/admission.h"
#include "dispatch/internal/dispatcher_state.h"

namespace monsoonshelf::dispatch::internal {

// Stores the load of another shard, and lowers the forward share if that shard is overloaded.
void UpdateRemoteLoad(Dispatcher& dispatcher, const RemoteShardLoad& shard, Time now);
// Lowers the forward share of a zone that refused a call and blocks forwarding to it for a short
// time.
void RecordForwardRefusal(Dispatcher& dispatcher, const std::string& zone, Time now);
// Removes a forwarded call that ended from the calls counted against the other zone.
void RecordForwardEnd(Dispatcher& dispatcher, const ForwardedCall& call);

// Returns true if another zone may accept the call, now or after its pause.
bool AnyZoneMayAcceptCall(const Dispatcher& dispatcher, const PendingCall& pending, Time now);

// Returns the zone to which a call behind `ahead` queued calls is forwarded, or nullptr if the call
// stays in this zone.
RemoteState* ChooseZone(Dispatcher& dispatcher, const Capacity& capacity, PendingCall& pending,
                        int ahead, Time now, Random& random);

}  // namespace monsoonshelf::dispatch::internal
