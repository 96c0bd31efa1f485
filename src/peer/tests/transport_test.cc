#include <cppunit/extensions/HelperMacros.h>
#include <gio/gio.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

#include <functional>

#include "base/clock.h"
#include "peer/internal/envelope.h"
#include "peer/peer_setup.h"

namespace monsoonshelf::peer {

using coordination::PeerMessage;

// Tests transports over TCP sockets on loopback, with ports chosen by the kernel.
class TransportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TransportTest);
  CPPUNIT_TEST(DeliversInBothDirections);
  CPPUNIT_TEST(ReconnectsToPeerRestartedAtSameAddress);
  CPPUNIT_TEST(CountsAndDropsInvalidMessages);
  CPPUNIT_TEST(RotatesKeysWithoutMessageLoss);
  CPPUNIT_TEST(LimitsOutgoingSockets);
  CPPUNIT_TEST(RejectsInvalidSettings);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    context_ = g_main_context_new();
    g_main_context_push_thread_default(context_);
  }

  void tearDown() override {
    g_main_context_pop_thread_default(context_);
    g_main_context_unref(context_);
  }

  // Guards against messages that are delivered in one direction only.
  void DeliversInBothDirections() {
    Host a({"a", 1, "127.0.0.1:0", {kNewKey}});
    Host b({"b", 2, "127.0.0.1:0", {kNewKey}});
    a.transport_->Send({b.Address(), coordination::ConfigPull{7}});
    RunUntil([&b] { return b.received_.size() == 1; });
    CPPUNIT_ASSERT_EQUAL(std::string("a"), b.received_[0].sender_);
    CPPUNIT_ASSERT_EQUAL(Incarnation{1}, b.received_[0].incarnation_);
    CPPUNIT_ASSERT(std::get<coordination::ConfigPull>(b.received_[0].body_).after_version_ == 7);
    b.transport_->Send({b.received_[0].sender_address_, coordination::Leave{}});
    RunUntil([&a] { return a.received_.size() == 1; });
    CPPUNIT_ASSERT(a.transport_->Counters().bytes_out_ == b.transport_->Counters().bytes_in_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, b.transport_->Counters().messages_out_);
  }

  // Guards against an outgoing socket that does not reconnect after its peer restarted.
  void ReconnectsToPeerRestartedAtSameAddress() {
    Host a({"a", 1, "127.0.0.1:0", {kNewKey}});
    auto b = std::make_unique<Host>(TransportSettings{"b", 2, "127.0.0.1:0", {kNewKey}});
    const std::string address = b->Address();
    a.transport_->Send({address, coordination::Leave{}});
    RunUntil([&b] { return b->received_.size() == 1; });
    b.reset();
    b = std::make_unique<Host>(TransportSettings{"b", 3, address, {kNewKey}});
    RunUntil([&] {
      if (b->received_.empty()) a.transport_->Send({address, coordination::Leave{}});
      return !b->received_.empty();
    });
  }

  // Guards against delivering messages that are replayed, unsigned, corrupt or addressed to another
  // host.
  void CountsAndDropsInvalidMessages() {
    Host b({"b", 2, "127.0.0.1:0", {kNewKey}});
    nng_socket raw_socket = NNG_SOCKET_INITIALIZER;
    CPPUNIT_ASSERT_EQUAL(0, nng_push0_open(&raw_socket));
    CPPUNIT_ASSERT_EQUAL(0, nng_dial(raw_socket, ("tcp://" + b.Address()).c_str(), nullptr, 0));
    const auto make_envelope = [&b](const char* sender, std::uint64_t sequence) {
      return detail::Envelope{sender,   "127.0.0.1:1",      b.Address(),          1,
                              sequence, WallMicroseconds(), coordination::Leave{}};
    };
    const auto valid_envelope = make_envelope("a", 1);
    auto outdated = make_envelope("a", 2);
    outdated.sent_time_ -= 3600LL * 1000 * 1000;
    auto other_destination = make_envelope("a", 3);
    other_destination.destination_ = "127.0.0.1:2";
    auto invalid_sender_address = make_envelope("a", 4);
    invalid_sender_address.sender_address_ = "localhost:1";
    std::string corrupt = detail::Encode(make_envelope("a", 5), kNewKey);
    corrupt.back() = static_cast<char>(corrupt.back() ^ 1);
    const std::pair<std::string, ResultCode> messages[] = {
        {detail::Encode(valid_envelope, kNewKey), ResultCode::kOk},
        {detail::Encode(valid_envelope, kNewKey), ResultCode::kPeerMessageReplayed},
        {detail::Encode(outdated, kNewKey), ResultCode::kPeerMessageReplayed},
        {detail::Encode(other_destination, kNewKey), ResultCode::kPeerMessageReplayed},
        {detail::Encode(invalid_sender_address, kNewKey), ResultCode::kPeerUnknownSender},
        {detail::Encode(make_envelope("b", 6), kNewKey), ResultCode::kPeerUnknownSender},
        {detail::Encode(make_envelope("a", 7), kOldKey), ResultCode::kPeerMessageUnsigned},
        {corrupt, ResultCode::kPeerMessageUnsigned},
        {"", ResultCode::kPeerMessageMalformed},
        {std::string(kMaxMessageBytes + 1, '\x01'), ResultCode::kPeerMessageTooLarge},
    };
    std::map<ResultCode, std::uint64_t> expected;
    std::uint64_t sent = 0;
    for (const auto& [message, code] : messages) {
      if (code != ResultCode::kOk) expected[code]++;
      sent++;
      CPPUNIT_ASSERT_EQUAL(
          0, nng_send(raw_socket, const_cast<char*>(message.data()), message.size(), 0));
      RunUntil([&] { return b.transport_->Counters().messages_in_ == sent; });
      CPPUNIT_ASSERT_MESSAGE(std::string(ResultCodeName(code)),
                             expected == b.transport_->Counters().rejected_);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, b.received_.size());
    nng_close(raw_socket);
  }

  // Guards against a key rotation during which hosts reject each other's messages.
  void RotatesKeysWithoutMessageLoss() {
    Host a({"a", 1, "127.0.0.1:0", {kOldKey}});
    Host b({"b", 2, "127.0.0.1:0", {kOldKey}});
    const std::vector<Key> steps[] = {{kOldKey, kNewKey}, {kNewKey, kOldKey}, {kNewKey}};
    std::size_t count = 0;
    for (const auto& keys : steps) {
      for (Host* changed : {&a, &b}) {
        changed->transport_->SetKeys(keys);
        count++;
        a.transport_->Send({b.Address(), coordination::Leave{}});
        b.transport_->Send({a.Address(), coordination::Leave{}});
        RunUntil([&] { return a.received_.size() == count && b.received_.size() == count; });
      }
    }
  }

  // Guards against sockets that stay open for every address that was ever used.
  void LimitsOutgoingSockets() {
    TransportSettings settings{"a", 1, "127.0.0.1:0", {kNewKey}};
    settings.max_outgoing_sockets_ = 2;
    Host a(settings);
    Host b({"b", 2, "127.0.0.1:0", {kNewKey}});
    for (std::size_t round = 1; round <= 3; round++) {
      a.transport_->Send({b.Address(), coordination::Leave{}});
      RunUntil([&] { return b.received_.size() == round; });
      for (const char* address : {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}) {
        a.transport_->Send({address, coordination::Leave{}});
        CPPUNIT_ASSERT(a.transport_->Counters().outgoing_sockets_ <= 2);
      }
    }
    a.transport_->Send({"localhost:1", coordination::Leave{}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, a.transport_->Counters().messages_dropped_);
  }

  // Guards against starting with settings that make peers unreachable or accept unsigned messages.
  void RejectsInvalidSettings() {
    const TransportSettings valid{"a", 1, "127.0.0.1:0", {kNewKey}, 8, {"127.0.0.0/8"}};
    CPPUNIT_ASSERT(IsAccepted(valid));
    auto settings = valid;
    settings.address_ = "localhost:1";
    CPPUNIT_ASSERT(!IsAccepted(settings));
    settings = valid;
    settings.keys_ = {};
    CPPUNIT_ASSERT(!IsAccepted(settings));
    settings.keys_ = {{"k", "short"}};
    CPPUNIT_ASSERT(!IsAccepted(settings));
    settings = valid;
    settings.allowed_networks_ = {"not a network"};
    CPPUNIT_ASSERT(!IsAccepted(settings));
  }

 private:
  static inline const Key kNewKey{"new", "0123456789abcdef"};
  static inline const Key kOldKey{"old", "fedcba9876543210"};

  struct Host {
    explicit Host(const TransportSettings& settings) {
      auto transport = MakeTransport(settings);
      CPPUNIT_ASSERT(transport);
      transport_ = std::move(*transport);
      CPPUNIT_ASSERT(
          transport_->Start([this](const PeerMessage& message) { received_.push_back(message); }));
    }
    std::string Address() const { return transport_->ListenAddress(); }

    std::vector<PeerMessage> received_;
    std::unique_ptr<IPeerTransport> transport_;
  };

  static bool IsAccepted(const TransportSettings& settings) {
    return Recover(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(MakeTransport(settings));
          return true;
        },
        [](const Error&) { return false; });
  }

  // Runs the main context until the condition holds. If it never does, the ctest timeout ends the
  // test.
  void RunUntil(const std::function<bool()>& condition) {
    while (!condition()) {
      if (g_main_context_iteration(context_, FALSE) == FALSE) g_usleep(1000);
    }
  }

  GMainContext* context_ = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransportTest);

}  // namespace monsoonshelf::peer
