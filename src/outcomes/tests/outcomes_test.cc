#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>
#include <string>

#include "outcomes/outcome_table.h"

namespace monsoonshelf::outcomes {

namespace {

constexpr Incarnation kIncarnation = 7;

CallId MakeId(std::int64_t minute, const std::string& random = "aaaaaaaa") {
  return {"h1", kIncarnation, minute, random};
}

OutcomeTablePtr MakeTable(OutcomeTableLimits limits = {}) {
  return MakeOutcomeTable("h1", kIncarnation, limits);
}

FinishedCall Answered(const std::string& body) {
  return {CallOutcome::kAnswered, ResultCode::kOk, 200, "text/plain", body, true};
}

bool IsValidCallId(const std::string& text) {
  return Recover(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(ParseCallId(text));
        return true;
      },
      [](const Error& error) {
        CPPUNIT_ASSERT(error.code_ == ResultCode::kCallIdInvalid);
        return false;
      });
}

}  // namespace

class OutcomesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OutcomesTest);
  CPPUNIT_TEST(RejectsMalformedCallIds);
  CPPUNIT_TEST(ParsesFormattedCallIds);
  CPPUNIT_TEST(AnswersRepeatsFromTheTable);
  CPPUNIT_TEST(RefusesIdsOfOtherHostsAndTimes);
  CPPUNIT_TEST(FullTableEvictsNoCalls);
  CPPUNIT_TEST(LimitsStoredBodies);
  CPPUNIT_TEST(RegistersEachCallOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against two accepted spellings of one identifier, with each of which the call would run
  // once.
  void RejectsMalformedCallIds() {
    CPPUNIT_ASSERT(IsValidCallId("h1.7.29000000.abcdEFGH_-09"));
    for (const char* text : {"",
                             ".",
                             "...",
                             "h1.7.29000000",
                             "h1.7.29000000.",
                             "h1.7.29000000.short_7",
                             "h1.07.1.abcdefgh",
                             "h1.+7.1.abcdefgh",
                             "h1.-7.1.abcdefgh",
                             "h1.7.01.abcdefgh",
                             "h1.7.-1.abcdefgh",
                             "h1.7.1 .abcdefgh",
                             "h 1.7.1.abcdefgh",
                             ".7.1.abcdefgh",
                             "h1.7.1.abcdefg\n",
                             "h1.7.1.abcdefg.h",
                             "h1.18446744073709551616.1.abcdefgh",
                             "h1.7.9223372036854775808.abcdefgh",
                             "h1..1.abcdefgh",
                             "h1.7..abcdefgh"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !IsValidCallId(text));
    }
    CPPUNIT_ASSERT(!IsValidCallId("h1.7.1." + std::string(65, 'a')));
    CPPUNIT_ASSERT(!IsValidCallId(std::string(1 << 20, '1')));
  }

  void ParsesFormattedCallIds() {
    const CallId id{"entry-1", 18446744073709551615U, 29'000'000, "abcdefgh"};
    CPPUNIT_ASSERT_EQUAL(std::string("entry-1.18446744073709551615.29000000.abcdefgh"),
                         FormatCallId(id));
    CPPUNIT_ASSERT(IsValidCallId(FormatCallId(id)));
  }

  void AnswersRepeatsFromTheTable() {
    const auto table = MakeTable();
    CPPUNIT_ASSERT(BeginAttempt(*table, MakeId(100), 100).result_ == BeginResult::kNew);
    CPPUNIT_ASSERT(BeginAttempt(*table, MakeId(100), 101).result_ == BeginResult::kRunning);
    FinishAttempt(*table, MakeId(100), Answered("first"));
    FinishAttempt(*table, MakeId(100), Answered("second"));
    const auto answer = BeginAttempt(*table, MakeId(100), 110);
    CPPUNIT_ASSERT(answer.result_ == BeginResult::kFinished);
    CPPUNIT_ASSERT_EQUAL(std::string("first"), answer.finished_.body_);
  }

  void RefusesIdsOfOtherHostsAndTimes() {
    const auto table = MakeTable();
    CPPUNIT_ASSERT(BeginAttempt(*table, {"h2", 7, 100, "aaaaaaaa"}, 100).result_ ==
                   BeginResult::kOtherHome);
    CPPUNIT_ASSERT(BeginAttempt(*table, {"h1", 6, 100, "aaaaaaaa"}, 100).result_ ==
                   BeginResult::kOtherIncarnation);
    CPPUNIT_ASSERT(BeginAttempt(*table, MakeId(103), 100).result_ == BeginResult::kFuture);
    CPPUNIT_ASSERT(BeginAttempt(*table, MakeId(102), 100).result_ == BeginResult::kNew);
    CPPUNIT_ASSERT(BeginAttempt(*table, MakeId(90), 100).result_ == BeginResult::kNew);
    CPPUNIT_ASSERT(BeginAttempt(*table, MakeId(89), 100).result_ == BeginResult::kExpired);
    CPPUNIT_ASSERT(BeginAttempt(*table, MakeId(90), 101).result_ == BeginResult::kExpired);
    // The identifier stays expired when the clock is set back.
    CPPUNIT_ASSERT(BeginAttempt(*table, MakeId(90), 95).result_ == BeginResult::kExpired);
  }

  // Guards against a full table that evicts a call, which could then run again.
  void FullTableEvictsNoCalls() {
    const auto table = MakeTable({.max_calls_ = 2});
    BeginAttempt(*table, MakeId(100, "aaaaaaaa"), 100);
    BeginAttempt(*table, MakeId(100, "bbbbbbbb"), 100);
    FinishAttempt(*table, MakeId(100, "aaaaaaaa"), Answered("a"));
    CPPUNIT_ASSERT(BeginAttempt(*table, MakeId(105, "cccccccc"), 105).result_ ==
                   BeginResult::kFull);
    CPPUNIT_ASSERT(BeginAttempt(*table, MakeId(100, "aaaaaaaa"), 105).result_ ==
                   BeginResult::kFinished);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, CallCount(*table));
    CPPUNIT_ASSERT(BeginAttempt(*table, MakeId(111, "cccccccc"), 111).result_ == BeginResult::kNew);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CallCount(*table));
  }

  // Guards against memory use that grows with the size of the responses.
  void LimitsStoredBodies() {
    const auto table = MakeTable({.max_body_bytes_ = 30, .max_total_body_bytes_ = 40});
    const auto body_kept = [&](const std::string& random, std::size_t bytes, std::int64_t minute) {
      BeginAttempt(*table, MakeId(minute, random), minute);
      FinishAttempt(*table, MakeId(minute, random), Answered(std::string(bytes, 'x')));
      const auto answer = BeginAttempt(*table, MakeId(minute, random), minute);
      CPPUNIT_ASSERT(answer.result_ == BeginResult::kFinished);
      return answer.finished_.body_kept_;
    };
    CPPUNIT_ASSERT(!body_kept("aaaaaaaa", 21, 100));
    CPPUNIT_ASSERT(body_kept("bbbbbbbb", 20, 100));
    CPPUNIT_ASSERT(!body_kept("cccccccc", 1, 100));
    CPPUNIT_ASSERT(body_kept("dddddddd", 20, 111));
  }

  // Guards against a non-idempotent call that runs twice.
  void RegistersEachCallOnce() {
    const bool ok = rc::check("no identifier is new twice", [] {
      const auto table =
          MakeTable({.max_calls_ = 5, .retention_minutes_ = 3, .future_minutes_ = 1});
      std::set<std::string> begun;
      std::int64_t now = 100;
      const auto steps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 1 << 12));
      for (const int step : steps) {
        const CallId id =
            MakeId(now + (step >> 2) % 8 - 5, "random_" + std::to_string(step >> 5 & 3));
        if (step % 4 == 0) {
          now += step % 3 - (step % 32 == 4 ? 2 : 0);  // The wall clock can be set back.
        } else if (step % 4 == 1) {
          FinishAttempt(*table, id, Answered("x"));
        } else if (BeginAttempt(*table, id, now).result_ == BeginResult::kNew) {
          RC_ASSERT(begun.insert(FormatCallId(id)).second);
        }
        RC_ASSERT(CallCount(*table) <= 5U);
      }
      RC_CLASSIFY(begun.size() > 5U, "more calls than the table holds");
    });
    CPPUNIT_ASSERT(ok);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutcomesTest);

}  // namespace monsoonshelf::outcomes
