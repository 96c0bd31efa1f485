#pragma once

#include "dispatch/internal/dispatcher_state.h"

namespace monsoonshelf::dispatch::internal {

TargetState* FindTarget(Dispatcher& dispatcher, const std::string& name);
// True while this host may send work to cold and warming targets and probe.
bool MayUseStrictLimits(const Dispatcher& dispatcher, Time now);
// Calls that the target may hold now, 0 in phases that take no work.
int SlotLimit(const Dispatcher& dispatcher, const TargetState& target, Time now);
// Places queued calls on free slots and refuses those whose deadline passed.
void PlaceQueued(Dispatcher& dispatcher, Time now, Random& random, Actions& actions);
Action Refusal(const WaitingCall& waiting, ResultCode code);

}  // namespace monsoonshelf::dispatch::internal
