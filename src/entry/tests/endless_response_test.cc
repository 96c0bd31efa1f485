#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <fstream>
#include <string>

#include "entry/tests/entry_fixture.h"

namespace monsoonshelf::entry {

namespace {

std::size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace

// Targets that send bytes without end where a response needs few.
class EndlessResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessResponseTest);
  CPPUNIT_TEST(EndlessResponseEndsWithBoundedMemory);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a data task that is held by one target, so that no call of the task ends at its
  // deadline, and against memory that grows with a head, interim responses, a chunk header or
  // trailers that a target sends without end.
  void EndlessResponseEndsWithBoundedMemory() {
    struct Case {
      std::string name_, begin_, repeated_;
    };
    const std::string line = "X-Filler: " + std::string(1000, 'x') + "\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const Case cases[] = {
        {"status line", "HTTP/1.1 200 ", std::string(1000, 'x')},
        {"head", "HTTP/1.1 200 OK\r\n", line},
        {"header", "HTTP/1.1 200 OK\r\nX: ", std::string(1000, 'x')},
        {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"early hints", "", "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n"},
        {"chunk header", "CHUNKED", "0"},
        {"trailers", "CHUNKED0\r\n", line},
    };
    for (const auto& item : cases) {
      std::atomic<std::size_t> written = 0;
      FakeTarget target([&](Connection& connection) {
        const std::string head = connection.ReadHead();
        if (head.empty()) return;
        std::string begin = item.begin_;
        if (begin.starts_with("CHUNKED")) {
          begin.replace(0, 7,
                        "HTTP/1.1 200 OK\r\nMonsoonshelf-Call-Id: " +
                            HeaderOf(head, "Monsoonshelf-Call-Id") + "\r\n" + chunked + "\r\n");
        }
        if (!connection.Write(begin)) return;
        std::string block;
        while (block.size() < 65536) block += item.repeated_;
        while (connection.Write(block)) written += block.size();
      });
      EntryFixture entry;
      entry.targets_ = {target.Address()};
      records::Rule rule;
      rule.service_ = "svc";
      rule.idempotent_ = true;
      rule.max_attempts_ = 1;
      entry.rules_ = {rule};
      entry.Publish();
      const std::size_t before = ResidentBytes();
      const auto answer = entry.Call("GET", "/s/svc/a", "Monsoonshelf-Deadline-Ms: 1000\r\n");
      const std::size_t after = ResidentBytes();
      const std::string text = item.name_ + ": written " + std::to_string(written) +
                               " bytes, resident " + std::to_string(before) + " before, " +
                               std::to_string(after) + " after, status " +
                               std::to_string(answer.Status());
      CPPUNIT_ASSERT_MESSAGE(text, after < before + (std::size_t{16} << 20));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessResponseTest);

}  // namespace monsoonshelf::entry
