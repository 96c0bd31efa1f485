#include "entry/internal/lifecycle.h"

#include "embedded/lifecycle_chart.h"

namespace monsoonshelf::entry {

Result<LifecycleMachine> LoadLifecycle() {
  return LifecycleMachine::Load(kLifecycleChart, kLifecycleStateNames, kLifecycleEventNames);
}

}  // namespace monsoonshelf::entry
