#include "lifecycle/lifecycle.h"

#include "embedded/lifecycle_chart.h"

namespace monsoonshelf::lifecycle {

Result<LifecycleMachine> LoadLifecycle() {
  return LifecycleMachine::Load(kLifecycleChart, kLifecycleStateNames, kLifecycleEventNames);
}

}  // namespace monsoonshelf::lifecycle
