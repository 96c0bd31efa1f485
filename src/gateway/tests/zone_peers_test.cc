#include "gateway/zone_peers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>

namespace monsoonshelf::gateway {

namespace {

using std::chrono::milliseconds;

}  // namespace

class ZonePeersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZonePeersTest);
  CPPUNIT_TEST(ReturnsHostsThatAnswer);
  CPPUNIT_TEST(SilentHostIsNotReturned);
  CPPUNIT_TEST(LeavingHostIsNotReturned);
  CPPUNIT_TEST(IgnoresEarlierIncarnations);
  CPPUNIT_TEST(LimitsNumberOfMonitoredPeers);
  CPPUNIT_TEST(RejectsMalformedMessages);
  CPPUNIT_TEST(IgnoresUnreadableReaders);
  CPPUNIT_TEST(HostThatWasCutOffFindsItsPeersSoon);
  CPPUNIT_TEST(ReadersArePassedOn);
  CPPUNIT_TEST(WithdrawnReaderStaysWithdrawn);
  CPPUNIT_TEST_SUITE_END();

 public:
  static HostRecord Host(const std::string& name, Incarnation incarnation = 1) {
    return {name, "z", name + ":1", name + ":2", name + ":3", incarnation, 0};
  }
  static PeerMessage MessageFrom(const HostRecord& host,
                                 PeerMessageType type = PeerMessageType::kAck) {
    return {type, host, true,
            true, {},   {{host.name_, host.control_address_, 25, milliseconds(100)}}};
  }
  static Time AtMs(int ms) { return Time(milliseconds(ms)); }

  void ReturnsHostsThatAnswer() {
    ZonePeers peers;
    peers.self_ = Host("self");
    AddOrUpdatePeer(peers, Host("a"));
    HostRecord elsewhere = Host("b");
    elsewhere.zone_ = "y";
    AddOrUpdatePeer(peers, elsewhere);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, SelectPeersToPing(peers, AtMs(1000)).size());
    CPPUNIT_ASSERT(ServingPeers(peers, AtMs(1000)).empty());
    ApplyPeerMessage(peers, MessageFrom(Host("a")), AtMs(1010));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ServingPeers(peers, AtMs(1020)).size());
  }

  // Callers lose one second for each address of a host that is gone. A killed host must
  // disappear from the directory within three seconds.
  void SilentHostIsNotReturned() {
    ZonePeers peers;
    peers.self_ = Host("self");
    ApplyPeerMessage(peers, MessageFrom(Host("a")), AtMs(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ServingPeers(peers, AtMs(2000)).size());
    CPPUNIT_ASSERT(ServingPeers(peers, AtMs(4000)).empty());
  }

  void LeavingHostIsNotReturned() {
    ZonePeers peers;
    peers.self_ = Host("self");
    ApplyPeerMessage(peers, MessageFrom(Host("a")), AtMs(1000));
    ApplyPeerMessage(peers, MessageFrom(Host("a"), PeerMessageType::kLeaving), AtMs(1010));
    CPPUNIT_ASSERT(ServingPeers(peers, AtMs(1020)).empty());
  }

  // Guards against a delayed datagram of an earlier process of the same host.
  void IgnoresEarlierIncarnations() {
    ZonePeers peers;
    peers.self_ = Host("self");
    ApplyPeerMessage(peers, MessageFrom(Host("a", 2)), AtMs(1000));
    ApplyPeerMessage(peers, MessageFrom(Host("a", 1), PeerMessageType::kLeaving), AtMs(1010));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ServingPeers(peers, AtMs(1020)).size());
  }

  // Guards against ping traffic that grows with the square of the number of hosts in the zone.
  void LimitsNumberOfMonitoredPeers() {
    ZonePeers peers;
    peers.self_ = Host("self");
    for (int i = 0; i < 60; ++i) AddOrUpdatePeer(peers, Host("h" + std::to_string(i)));
    CPPUNIT_ASSERT_EQUAL(kMaxMonitoredPeers, SelectPeersToPing(peers, AtMs(1000)).size());
    CPPUNIT_ASSERT(SelectPeersToPing(peers, AtMs(1100)).empty());
  }

  // Guards against a host that pings its peers at a long interval after it was cut off from all of
  // them, and so learns late which of them read the store.
  void HostThatWasCutOffFindsItsPeersSoon() {
    ZonePeers peers;
    peers.self_ = Host("self");
    for (const char* name : {"a", "b"}) AddOrUpdatePeer(peers, Host(name));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, SelectPeersToPing(peers, AtMs(1000)).size());
    SelectPeersToPing(peers, AtMs(9000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, SelectPeersToPing(peers, AtMs(9500)).size());
  }

  // A host knows the readers of its zone although it does not ping them.
  void ReadersArePassedOn() {
    ZonePeers middle;
    middle.self_ = Host("middle");
    CPPUNIT_ASSERT(ApplyPeerMessage(middle, MessageFrom(Host("reader")), AtMs(5000)));
    CPPUNIT_ASSERT(!ApplyPeerMessage(middle, MessageFrom(Host("reader")), AtMs(5100)));
    PeerMessage message = MessageFrom(Host("middle"));
    message.reads_store_ = false;
    message.readers_ = SelectReadersToAnnounce(middle, AtMs(5500));
    const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
    CPPUNIT_ASSERT(decoded);
    ZonePeers peers;
    peers.self_ = Host("self");
    CPPUNIT_ASSERT(ApplyPeerMessage(peers, *decoded, AtMs(5600)));
    const std::vector<Reader> readers = FindReaders(peers, AtMs(5600)).readers_;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, readers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("reader:3"), readers[0].address_);
    // Confirmed at 5000 ms, and 100 ms on the way.
    CPPUNIT_ASSERT(readers[0].confirmed_at_ == AtMs(5100));
    CPPUNIT_ASSERT(
        FindReaders(peers, AtMs(5100) + kMaxReaderAge + milliseconds(1)).readers_.empty());
  }

  // Guards against hosts that pass on a reader which has lost the store.
  void WithdrawnReaderStaysWithdrawn() {
    ZonePeers peers;
    peers.self_ = Host("self");
    ApplyPeerMessage(peers, MessageFrom(Host("reader")), AtMs(5000));
    PeerMessage message = MessageFrom(Host("reader"));
    message.reads_store_ = false;
    message.readers_.clear();
    ApplyPeerMessage(peers, message, AtMs(5200));
    CPPUNIT_ASSERT(FindReaders(peers, AtMs(5200)).readers_.empty());
    message = MessageFrom(Host("other"));
    message.readers_ = {{"reader", "reader:3", 25, milliseconds(150)}};
    CPPUNIT_ASSERT(!ApplyPeerMessage(peers, message, AtMs(5300)));
    CPPUNIT_ASSERT(FindReaders(peers, AtMs(5300)).readers_.empty());
    CPPUNIT_ASSERT(ApplyPeerMessage(peers, MessageFrom(Host("reader")), AtMs(5400)));
  }

  void RejectsMalformedMessages() {
    const std::string bytes = EncodePeerMessage(MessageFrom(Host("a")));
    const auto message = DecodePeerMessage(bytes);
    CPPUNIT_ASSERT(message && message->sender_.control_address_ == "a:3");
    CPPUNIT_ASSERT(message->reads_store_);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
      CPPUNIT_ASSERT(!DecodePeerMessage(std::string_view(bytes).substr(0, length)));
    }
    CPPUNIT_ASSERT(!DecodePeerMessage("\x81\xa4type\xa4ping"));
    // Arrays nested as deeply as a datagram allows.
    CPPUNIT_ASSERT(!DecodePeerMessage(std::string(2048, '\x91')));
    CPPUNIT_ASSERT(!DecodePeerMessage(std::string(2047, '\x91') + '\x01'));
  }

  // A reader with numbers out of range, or of another type, is left out.
  void IgnoresUnreadableReaders() {
    PeerMessage message = MessageFrom(Host("a"));
    message.readers_ = {{"a", "a:3", 25, std::chrono::hours(1)},
                        {"b", "b:3", 25, milliseconds(-5)},
                        {"c", "c:3", 25, milliseconds(10)}};
    const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
    CPPUNIT_ASSERT(decoded);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decoded->readers_.size());
    CPPUNIT_ASSERT_EQUAL(HostName("c"), decoded->readers_[0].name_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZonePeersTest);

}  // namespace monsoonshelf::gateway
