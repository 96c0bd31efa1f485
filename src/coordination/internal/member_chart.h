#pragma once

#include "base/enum_names.h"
#include "coordination/coordination_types.h"
#include "statechart/machine.h"

namespace monsoonshelf::coordination::internal {

enum class MemberEvent { kSuspect, kRefute, kLeave, kExpire };

inline constexpr EnumNames<MemberEvent, 4> kMemberEventNames = {{
    {MemberEvent::kSuspect, "suspect"},
    {MemberEvent::kRefute, "refute"},
    {MemberEvent::kLeave, "leave"},
    {MemberEvent::kExpire, "expire"},
}};

// Returns the state machine of src/coordination/member.chart.toml, which is embedded in the
// program.
const statechart::Machine<MemberState, 4, MemberEvent, 4>& MemberMachine();

}  // namespace monsoonshelf::coordination::internal
