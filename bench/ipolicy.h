#pragma once

#include <memory>

#include "bench/bench_types.h"

namespace monsoonshelf::bench {

class World;

// Places calls of entry hosts on the targets of a world.
class IPolicy {
 public:
  virtual ~IPolicy() = default;
  // A call reached its entry host. `done` is called once, in the world's time.
  virtual void Arrive(const BenchCall& call, Done done) = 0;
  // The entry hosts learned that a zone went out of service or came back.
  virtual void OnZonesChanged() {}
};

std::unique_ptr<IPolicy> MakeLocalPolicy(World& world, Policy kind);
std::unique_ptr<IPolicy> MakeCentralPolicy(World& world);
std::unique_ptr<IPolicy> MakeDispatcherPolicy(World& world, Policy kind);

}  // namespace monsoonshelf::bench
