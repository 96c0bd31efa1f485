#include <cppunit/extensions/HelperMacros.h>

#include "entry/tests/entry_fixture.h"

namespace monsoonshelf::entry {

class EntryHostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryHostTest);
  CPPUNIT_TEST(ServesCallsAndEntryHostList);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Checks the whole path: path, body and headers reach the target, and its response reaches the
  // caller. Also checks the list of entry hosts.
  void ServesCallsAndEntryHostList() {
    FakeTarget target(EchoHandler);
    EntryFixture entry;
    CPPUNIT_ASSERT(entry.Started());
    CPPUNIT_ASSERT_EQUAL(503, entry.Call("GET", "/s/svc/a").Status());
    entry.targets_ = {target.Address()};
    entry.Publish();
    const auto read = entry.Call("GET", "/s/svc/a/b?c=%20d");
    CPPUNIT_ASSERT_EQUAL(std::string("GET /a/b?c=%20d|"), read.body_);
    CPPUNIT_ASSERT_EQUAL(std::string("answered"), read.Outcome());
    CPPUNIT_ASSERT_EQUAL(std::string("0"), read.Code());
    const auto write = entry.Post(entry.NewId(), "stamp");
    CPPUNIT_ASSERT_EQUAL(std::string("POST /work|stamp"), write.body_);
    Connection keep_alive = Connection::ConnectTo(entry.Address());
    for (int i = 0; i < 3; ++i) {
      keep_alive.Write(EntryFixture::Request("GET", "/s/svc/kept"));
      const auto answer = EntryFixture::ReadAnswer(keep_alive);
      CPPUNIT_ASSERT_EQUAL(std::string("GET /kept|"), answer.body_);
    }
    const auto hosts = entry.Call("GET", "/monsoonshelf/v1/entry-hosts?service=svc&zone=z1");
    CPPUNIT_ASSERT(hosts.body_.find("\"ticket\":\"h1.7.") != std::string::npos);
    CPPUNIT_ASSERT(hosts.body_.find(entry.Address()) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryHostTest);

}  // namespace monsoonshelf::entry
