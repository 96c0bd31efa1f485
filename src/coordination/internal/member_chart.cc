#include "coordination/internal/member_chart.h"

#include <cstdlib>
#include <iostream>

#include "embedded/member_chart_text.h"

namespace monsoonshelf::coordination::internal {

namespace {

using Machine = statechart::Machine<MemberState, 4, MemberEvent, 4>;

Machine LoadMachine() {
  return Recover(
      [] { return Machine::Load(kMemberChartText, kMemberStateNames, kMemberEventNames); },
      // The text is embedded in the program, so only a faulty build can fail here.
      [](const Error& error) -> Machine {
        std::cerr << "member state chart is invalid: " << error.message_ << '\n';
        std::abort();
      });
}

}  // namespace

const Machine& MemberMachine() {
  static const Machine machine = LoadMachine();
  return machine;
}

}  // namespace monsoonshelf::coordination::internal
