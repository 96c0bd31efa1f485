#include "statechart/chart.h"

#include <cppunit/extensions/HelperMacros.h>

#include "statechart/machine.h"

namespace monsoonshelf::statechart {

namespace {

constexpr char kHead[] = "name = \"door\"\ninitial = \"closed\"\nstates = [\"closed\", \"open\"]\n";
constexpr char kPush[] = "[[transition]]\nfrom = \"closed\"\nevent = \"push\"\nto = \"open\"\n";
constexpr char kPull[] =
    "[[transition]]\nfrom = [\"open\", \"closed\"]\nevent = \"pull\"\nto = \"closed\"\n";

enum class Door { kClosed, kOpen };
enum class Move { kPush, kPull };
constexpr EnumNames<Door, 2> kDoors = {{{Door::kClosed, "closed"}, {Door::kOpen, "open"}}};
constexpr EnumNames<Move, 2> kMoves = {{{Move::kPush, "push"}, {Move::kPull, "pull"}}};
using DoorMachine = Machine<Door, 2, Move, 2>;

std::string JoinText(std::initializer_list<const char*> parts) {
  std::string text;
  for (const char* part : parts) text += part;
  return text;
}

template <typename Attempt>
ResultCode ResultCodeOf(Attempt attempt) {
  return Recover(
      [&]() -> Result<ResultCode> {
        BOOST_LEAF_CHECK(attempt());
        return ResultCode::kOk;
      },
      [](const Error& error) { return error.code_; });
}

ResultCode ParseCode(const std::string& text) {
  return ResultCodeOf([&] { return ParseChart(text); });
}

}  // namespace

class ChartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChartTest);
  CPPUNIT_TEST(AppliesOnlyChartTransitions);
  CPPUNIT_TEST(RejectsBadSyntax);
  CPPUNIT_TEST(RejectsInconsistentCharts);
  CPPUNIT_TEST(RejectsChartsThatDifferFromTheEnums);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an event that changes the state without a transition in the chart.
  void AppliesOnlyChartTransitions() {
    const DoorMachine machine = Recover(
        [] {
          return DoorMachine::Load(JoinText({kHead, kPush, kPull}), kDoors, kMoves);
        },
        [](const Error&) { return DoorMachine(); });
    CPPUNIT_ASSERT(machine.Initial() == Door::kClosed);
    CPPUNIT_ASSERT(machine.Next(Door::kClosed, Move::kPush) == Door::kOpen);
    CPPUNIT_ASSERT(machine.Next(Door::kOpen, Move::kPush) == Door::kOpen);
    CPPUNIT_ASSERT(machine.Next(Door::kOpen, Move::kPull) == Door::kClosed);
  }

  void RejectsBadSyntax() {
    CPPUNIT_ASSERT(ParseCode("name = ") == ResultCode::kChartSyntax);
    CPPUNIT_ASSERT(ParseCode(JoinText({kHead, kPush, "x"})) == ResultCode::kChartSyntax);
  }

  // Guards against charts of which only a part would take effect.
  void RejectsInconsistentCharts() {
    CPPUNIT_ASSERT(ParseCode(JoinText({kHead, kPush, kPull})) == ResultCode::kOk);
    const std::string broken[] = {
        "",
        kHead,                            // "open" is unreachable.
        JoinText({kHead, kPush, kPush}),  // Duplicate transition.
        JoinText({kHead, kPush, "[[transition]]\nfrom=\"x\"\nevent=\"a\"\nto=\"open\"\n"}),
        JoinText({kHead, kPush, "[[transition]]\nfrom=\"open\"\nevent=\"a\"\nto=\"x\"\n"}),
        JoinText({kHead, kPush, "[[transition]]\nfrom=\"open\"\nevent=\"\"\nto=\"open\"\n"}),
        JoinText({kHead, kPush, "[[transition]]\nfrom=\"open\"\nto=\"open\"\n"}),
        JoinText({kHead, kPush, "[[transition]]\nfrom=[]\nevent=\"a\"\nto=\"open\"\n"}),
        JoinText({kHead, kPush, "[[transition]]\nfrom=\"open\"\nevent=\"a\"\nto=\"open\"\nif=1\n"}),
        JoinText({"transition = 1\n", kHead}),
        "name=\"d\"\ninitial=\"a\"\nstates=[\"a\",\"a\"]\n",
        "name=\"d\"\ninitial=\"b\"\nstates=[\"a\"]\n",
        "name=\"d\"\ninitial=\"a\"\nstates=[\"a\", 1]\n",
        "name=\"d\"\ninitial=\"a\"\nstates=[\"a\"]\ncolour=1\n",
    };
    for (const std::string& text : broken) {
      CPPUNIT_ASSERT_MESSAGE(text, ParseCode(text) == ResultCode::kChartInvalid);
    }
  }

  // Guards against a chart whose states or events differ from the enums in the code.
  void RejectsChartsThatDifferFromTheEnums() {
    const auto load = [](const std::string& text) {
      return ResultCodeOf([&] { return DoorMachine::Load(text, kDoors, kMoves); });
    };
    CPPUNIT_ASSERT(load(JoinText({kHead, kPush, kPull})) == ResultCode::kOk);
    CPPUNIT_ASSERT(load(JoinText({kHead, kPush})) == ResultCode::kChartInvalid);
    std::string renamed = JoinText({kHead, kPush, kPull});
    renamed.replace(renamed.find("pull"), 4, "bang");
    CPPUNIT_ASSERT(load(renamed) == ResultCode::kChartInvalid);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChartTest);

}  // namespace monsoonshelf::statechart
