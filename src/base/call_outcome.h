#pragma once

#include "base/enum_names.h"

namespace monsoonshelf {

// What a caller may conclude about a call from its answer.
enum class CallOutcome {
  kAnswered,  // A target ran the call and the whole answer was delivered.
  kNotRun,    // The call did not run and will not run.
  kUnknown,   // The call may have run.
};

inline constexpr EnumNames<CallOutcome, 3> kCallOutcomeNames = {{
    {CallOutcome::kAnswered, "answered"},
    {CallOutcome::kNotRun, "not_run"},
    {CallOutcome::kUnknown, "unknown"},
}};

}  // namespace monsoonshelf
