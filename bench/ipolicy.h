#pragma once

#include <memory>

#include "bench/bench_types.h"

namespace monsoonshelf::bench {

class World;

// Assigns calls that reach the entry hosts to the targets of a simulated world.
class IPolicy {
 public:
  virtual ~IPolicy() = default;
  // Handles a call that has reached its entry host. Calls `done` exactly once, at the simulated
  // time at which the call ends at the entry host.
  virtual void PlaceCall(const BenchCall& call, CallCallback done) = 0;
  // Called when the entry hosts have received a change of the zones that are in service.
  virtual void OnZonesChanged() {}
};

// For kRandom, kRoundRobin, kTwoChoices and kLeastReportedLoad.
std::unique_ptr<IPolicy> MakeLocalPolicy(World& world, PolicyKind kind);
// For kCentralQueue.
std::unique_ptr<IPolicy> MakeCentralPolicy(World& world);
// For kDispatcherPerHost, kDispatcher and kForwardAlways.
std::unique_ptr<IPolicy> MakeDispatcherPolicy(World& world, PolicyKind kind);

}  // namespace monsoonshelf::bench
