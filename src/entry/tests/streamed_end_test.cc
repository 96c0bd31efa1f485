#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "entry/tests/entry_fixture.h"

namespace monsoonshelf::entry {

// Outcome of calls with streamed responses.
class StreamedEndTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamedEndTest);
  CPPUNIT_TEST(CompleteStreamedResponseCountsAsAnswered);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a call that counts as cancelled although its caller received the whole body:
  // with Content-Length, libsoup finishes a message before the end of the response is known.
  void CompleteStreamedResponseCountsAsAnswered() {
    constexpr std::size_t kCalls = 40;
    constexpr std::size_t kBodyBytes = 200'000;
    FakeTarget target([](Connection& connection) {
      for (;;) {
        const std::string head = connection.ReadHead();
        if (head.empty()) return;
        if (!connection.Write(Response(head, std::string(kBodyBytes, 'b')))) return;
      }
    });
    EntryFixture entry;
    CPPUNIT_ASSERT(entry.Started());
    entry.targets_ = {target.Address()};
    entry.Publish();
    for (std::size_t call = 0; call < kCalls; ++call) {
      const auto answer = entry.Call("GET", "/s/svc/pack");
      CPPUNIT_ASSERT_EQUAL(kBodyBytes, answer.body_.size());
    }
    for (const auto& end : entry.WaitForEnds(kCalls)) {
      CPPUNIT_ASSERT(end.outcome_ == CallOutcome::kAnswered);
      CPPUNIT_ASSERT(!end.caller_gone_);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamedEndTest);

}  // namespace monsoonshelf::entry
