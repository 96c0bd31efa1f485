#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "entry/internal/call_headers.h"
#include "entry/tests/entry_fixture.h"

namespace monsoonshelf::entry {

// Headers that entry hosts add to forwarded calls and to responses.
class HopHeadersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HopHeadersTest);
  CPPUNIT_TEST(ShardLoadRoundTrips);
  CPPUNIT_TEST(MalformedShardLoadIsIgnored);
  CPPUNIT_TEST(ResponseToAnotherZoneCarriesShardLoad);
  CPPUNIT_TEST(ShardLoadFromAnotherZoneIsUsed);
  CPPUNIT_TEST(UnsignedHopIsRejected);
  CPPUNIT_TEST(FailedCallReturnsNoRetryBudget);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ShardLoadRoundTrips() {
    dispatch::ShardSummary summary;
    summary.free_slots_ = 3;
    summary.queued_ = 7;
    summary.queued_interactive_ = 5;
    summary.ready_targets_ = 2;
    const auto parsed = ParseShardLoad(FormatShardLoad(summary));
    CPPUNIT_ASSERT(parsed.has_value());
    CPPUNIT_ASSERT_EQUAL(3, parsed->free_slots_);
    CPPUNIT_ASSERT_EQUAL(7, parsed->queued_);
    CPPUNIT_ASSERT_EQUAL(5, parsed->queued_interactive_);
    CPPUNIT_ASSERT_EQUAL(2, parsed->ready_targets_);
  }

  // Guards against a zone that appears idle because part of its load could not be parsed.
  void MalformedShardLoadIsIgnored() {
    for (const char* text : {"", "free_slots=1", "free_slots=x;queued=1", "queued",
                             "free_slots=-1;queued=0;queued_interactive=0;ready_targets=1"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseShardLoad(text).has_value());
    }
  }

  // Guards against spill-over decisions based on load that is older than the last response.
  void ResponseToAnotherZoneCarriesShardLoad() {
    FakeTarget target(EchoHandler);
    EntryFixture entry;
    CPPUNIT_ASSERT(entry.Started());
    entry.targets_ = {target.Address()};
    entry.Publish();
    const std::string hop = "Monsoonshelf-Forwarded: spill\r\nMonsoonshelf-Shard-Zone: z1\r\n";
    const auto forwarded = entry.Call("GET", "/s/svc/page", hop);
    CPPUNIT_ASSERT_EQUAL(std::string("answered"), forwarded.Outcome());
    CPPUNIT_ASSERT(ParseShardLoad(forwarded.Header("Monsoonshelf-Shard-Load")).has_value());
    CPPUNIT_ASSERT(entry.Call("GET", "/s/svc/page").Header("Monsoonshelf-Shard-Load").empty());
  }

  // Guards against forwarding calls to a zone whose last response reported no ready target.
  void ShardLoadFromAnotherZoneIsUsed() {
    FakeTarget other_host([](Connection& connection) {
      for (std::string head = connection.ReadHead(); !head.empty(); head = connection.ReadHead()) {
        connection.Write(
            Response(head, "from z2", "200 OK",
                     "Monsoonshelf-Outcome: answered\r\nMonsoonshelf-Shard-Load: "
                     "free_slots=0;queued=0;queued_interactive=0;ready_targets=0\r\n"));
      }
    });
    EntryFixture entry;
    CPPUNIT_ASSERT(entry.Started());
    auto& placement = entry.view_.placements_[{"svc", "z2"}];
    placement.dispatcher_ = entry.Member("h2", other_host.Address());
    entry.Publish();
    entry.Host().SetRemoteShards({{"svc", "z2", 2, 0, 1, {}}});
    CPPUNIT_ASSERT_EQUAL(std::string("from z2"), entry.Call("GET", "/s/svc/page").body_);
    // The load reaches the dispatch task after the caller has its response. A call that arrives in
    // between is still forwarded.
    std::string code = "0";
    for (int call = 0; call < 100 && code == "0"; ++call) {
      code = entry.Call("GET", "/s/svc/page").Code();
    }
    CPPUNIT_ASSERT_EQUAL(std::string("450"), code);
  }

  // Guards against a caller that bypasses the at-most-once rules of the home host by claiming that
  // its call was forwarded; the call could then be executed twice.
  void UnsignedHopIsRejected() {
    FakeTarget target(EchoHandler);
    EntrySettings settings;
    settings.hop_secrets_ = {"new secret", "old secret"};
    EntryFixture entry(settings);
    CPPUNIT_ASSERT(entry.Started());
    entry.targets_ = {target.Address()};
    entry.Publish();
    const std::string id = entry.NewId();
    const std::string hop =
        "Monsoonshelf-Forwarded: dispatch\r\nMonsoonshelf-Shard-Zone: z1\r\n"
        "Monsoonshelf-Call-Id: " +
        id + "\r\n";
    const auto call_with = [&](const std::string& signature) {
      return entry.Call("POST", "/s/svc/work",
                        hop + "Monsoonshelf-Forwarded-Signature: " + signature + "\r\n", "x");
    };
    CPPUNIT_ASSERT_EQUAL(403, entry.Call("POST", "/s/svc/work", hop, "x").Status());
    const auto wrong = call_with(SignHop("other secret", "dispatch", "z1", id));
    CPPUNIT_ASSERT_EQUAL(403, wrong.Status());
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), wrong.Outcome());
    CPPUNIT_ASSERT_EQUAL(403, call_with(SignHop("new secret", "home", "z1", id)).Status());
    CPPUNIT_ASSERT_EQUAL(0, target.ConnectionCount());
    CPPUNIT_ASSERT_EQUAL(200, call_with(SignHop("old secret", "dispatch", "z1", id)).Status());
  }

  // Guards against retries that multiply at each level of a call tree.
  void FailedCallReturnsNoRetryBudget() {
    FakeTarget target([](Connection& connection) {
      // Keeps the connection open: a retry may be sent on it, and would be lost if it were closed.
      for (;;) {
        const std::string head = connection.ReadHead();
        if (head.empty()) return;
        connection.Write(Response(head, "failed", "500 Failed"));
      }
    });
    EntryFixture entry;
    CPPUNIT_ASSERT(entry.Started());
    entry.targets_ = {target.Address()};
    entry.Publish();
    const auto failed = entry.Call("GET", "/s/svc/page", "Monsoonshelf-Retry-Budget: 3\r\n");
    CPPUNIT_ASSERT_EQUAL(500, failed.Status());
    CPPUNIT_ASSERT_EQUAL(std::string("0"), failed.Header("Monsoonshelf-Retry-Budget"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HopHeadersTest);

}  // namespace monsoonshelf::entry
