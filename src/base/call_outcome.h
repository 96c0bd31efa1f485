#pragma once

#include "base/enum_names.h"

namespace monsoonshelf {

// What the response to a call tells its caller about the execution of the call.
enum class CallOutcome {
  kAnswered,  // A target executed the call and the whole response was delivered.
  kNotRun,    // The call was not executed and will not be.
  kUnknown,   // The call may have been executed.
};

inline constexpr EnumNames<CallOutcome, 3> kCallOutcomeNames = {{
    {CallOutcome::kAnswered, "answered"},
    {CallOutcome::kNotRun, "not_run"},
    {CallOutcome::kUnknown, "unknown"},
}};

}  // namespace monsoonshelf
