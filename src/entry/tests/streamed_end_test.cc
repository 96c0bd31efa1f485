#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "entry/tests/entry_fixture.h"

namespace monsoonshelf::entry {

// Outcome of calls with streamed responses.
class StreamedEndTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamedEndTest);
  CPPUNIT_TEST(CompleteStreamedResponseCountsAsAnswered);
  CPPUNIT_TEST(HostCanBeDestroyedWhileResponsesAreStreamed);
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

  // Guards against a crash at the end of a stop: a data task that still receives a response passes
  // it to another one, which has already destroyed its server.
  void HostCanBeDestroyedWhileResponsesAreStreamed() {
    for (int round = 0; round < 40; ++round) {
      FakeTarget target([](Connection& connection) {
        const std::string head = connection.ReadHead();
        if (head.empty()) return;
        const std::string block(20'000, 'b');
        connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nMonsoonshelf-Call-Id: " +
                         HeaderOf(head, "Monsoonshelf-Call-Id") + "\r\n\r\n");
        while (connection.Write("4e20\r\n" + block + "\r\n")) {
        }
      });
      EntryFixture entry;
      CPPUNIT_ASSERT(entry.Started());
      entry.targets_ = {target.Address()};
      entry.Publish();
      // One caller per data task: the response of one of them is passed on between the tasks.
      std::vector<std::thread> callers;
      for (int i = 0; i < 2; ++i) {
        auto caller = std::make_shared<Connection>(Connection::ConnectTo(entry.Address()));
        caller->Write(EntryFixture::Request("GET", "/s/svc/pack"));
        callers.emplace_back([caller] { caller->ReadToEnd(); });
      }
      while (target.ConnectionCount() == 0) std::this_thread::yield();
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      entry.DestroyHost();
      for (auto& caller : callers) caller.join();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamedEndTest);

}  // namespace monsoonshelf::entry
