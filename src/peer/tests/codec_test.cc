#include <cppunit/extensions/HelperMacros.h>
#include <glib.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>

#include "peer/internal/body_codec.h"
#include "peer/internal/envelope.h"

namespace monsoonshelf::peer::detail {

using coordination::PeerBody;

namespace {

const Key kKey{"k1", "0123456789abcdef"};
const Key kOldKey{"k0", "fedcba9876543210"};

template <typename T>
T Arbitrary() {
  return *rc::gen::arbitrary<T>();
}

std::string RandomName() { return "n" + std::to_string(*rc::gen::inRange(0, 1000)); }

std::vector<coordination::MemberUpdate> RandomUpdates() {
  std::vector<coordination::MemberUpdate> updates;
  for (int i = *rc::gen::inRange(0, 4); i > 0; i--) {
    updates.push_back({RandomName(), Arbitrary<std::uint64_t>(), Arbitrary<std::uint32_t>(),
                       coordination::kMemberStateNames[*rc::gen::inRange(0, 4)].first, RandomName(),
                       "127.0.0.1:1", ""});
  }
  return updates;
}

std::vector<configuration::RecordVersion> RandomRecords() {
  std::vector<configuration::RecordVersion> records;
  for (int i = *rc::gen::inRange(0, 4); i > 0; i--) {
    records.push_back({{records::kKindNames[*rc::gen::inRange(0, 4)].first, RandomName()},
                       *rc::gen::inRange<std::uint64_t>(1, 1ULL << 62),
                       Arbitrary<bool>() ? std::optional(Arbitrary<std::string>()) : std::nullopt});
  }
  return records;
}

PeerBody RandomBody() {
  const coordination::ConfigurationDigest digest{Arbitrary<std::uint64_t>(),
                                                 Arbitrary<std::uint64_t>()};
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
      return coordination::Ping{Arbitrary<std::uint64_t>(), digest, RandomUpdates(), RandomName()};
    case 1:
      return coordination::Ack{Arbitrary<std::uint64_t>(), digest, RandomUpdates(), ""};
    case 2:
      return coordination::PingRequest{Arbitrary<std::uint64_t>(), RandomName()};
    case 3:
      return coordination::ConfigPush{RandomRecords()};
    case 4:
      return coordination::ConfigPull{Arbitrary<std::uint64_t>()};
    case 5:
      return coordination::ConfigDelta{RandomRecords(), Arbitrary<bool>(), digest};
    case 6:
      return coordination::ShardState{{{RandomName(),
                                        RandomName(),
                                        1,
                                        2,
                                        3,
                                        {{RandomName(), dispatch::TargetPhase::kWarming, 7}}},
                                       {RandomName(), RandomName(), 0, 0, 0, {}}}};
    default:
      return coordination::Leave{};
  }
}

Envelope RandomEnvelope() {
  return {RandomName(), "127.0.0.1:1", "127.0.0.1:2", 3, Arbitrary<std::uint64_t>(), 5,
          RandomBody()};
}

}  // namespace

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(DecodesEncodedMessages);
  CPPUNIT_TEST(RejectsTruncatedAndAlteredMessages);
  CPPUNIT_TEST(HandlesCorruptContentWithValidSignature);
  CPPUNIT_TEST(AcceptsBothKeysDuringRotation);
  CPPUNIT_TEST(RejectsUnknownVersionsAndInvalidSizes);
  CPPUNIT_TEST(IgnoresUnknownFieldsAndRejectsUnknownTypes);
  CPPUNIT_TEST(RejectsDeeplyNestedContent);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against fields that the codec loses or confuses with each other.
  void DecodesEncodedMessages() {
    CPPUNIT_ASSERT(rc::check("round trip", [] {
      const Envelope envelope = RandomEnvelope();
      const auto decoded = Decode(Encode(envelope, kKey), {kKey});
      RC_ASSERT(decoded.code_ == ResultCode::kOk);
      RC_ASSERT(decoded.envelope_.sender_ == envelope.sender_);
      RC_ASSERT(decoded.envelope_.sequence_ == envelope.sequence_);
      RC_ASSERT(decoded.envelope_.body_.index() == envelope.body_.index());
      RC_ASSERT(EncodeBody(decoded.envelope_.body_) == EncodeBody(envelope.body_));
    }));
    const PeerBody body = coordination::ConfigPush{
        {{{records::Kind::kRule, "r"}, 4, "text"}, {{records::Kind::kZone, "z"}, 5, std::nullopt}}};
    const auto decoded =
        Decode(Encode({"h", "127.0.0.1:1", "127.0.0.1:2", 1, 1, 1, body}, kKey), {kKey});
    const auto& records = std::get<coordination::ConfigPush>(decoded.envelope_.body_).records_;
    CPPUNIT_ASSERT_EQUAL(std::string("text"), records.at(0).text_.value());
    CPPUNIT_ASSERT(records[0].key_.first == records::Kind::kRule && records[0].version_ == 4);
    CPPUNIT_ASSERT(!records.at(1).text_.has_value());
  }

  // Guards against accepting, or crashing on, messages that were corrupted or forged in transit.
  void RejectsTruncatedAndAlteredMessages() {
    CPPUNIT_ASSERT(rc::check("damage", [] {
      const std::string message = Encode(RandomEnvelope(), kKey);
      const auto position = *rc::gen::inRange<std::size_t>(0, message.size());
      RC_ASSERT(Decode(message.substr(0, position), {kKey}).code_ != ResultCode::kOk);
      std::string altered = message;
      altered[position] = static_cast<char>(altered[position] ^ (1 << *rc::gen::inRange(0, 8)));
      RC_ASSERT(Decode(altered, {kKey}).code_ != ResultCode::kOk);
      RC_ASSERT(Decode(message + "x", {kKey}).code_ == ResultCode::kPeerMessageUnsigned);
    }));
  }

  // Guards against crashes caused by a faulty peer that signs corrupt content with the valid key.
  void HandlesCorruptContentWithValidSignature() {
    CPPUNIT_ASSERT(rc::check("signed damage", [] {
      std::string body = EncodedEnvelope(RandomBody());
      for (int i = *rc::gen::inRange(1, 4); i > 0; i--) {
        body[*rc::gen::inRange<std::size_t>(0, body.size())] = Arbitrary<char>();
      }
      if (Arbitrary<bool>()) body.resize(*rc::gen::inRange<std::size_t>(0, body.size()));
      const auto code = Decode(SignMessage(body), {kKey}).code_;
      RC_ASSERT(code == ResultCode::kOk || code == ResultCode::kPeerMessageMalformed ||
                code == ResultCode::kPeerMessageVersion);
    }));
  }

  // Guards against a key rotation that requires stopping all hosts at the same time.
  void AcceptsBothKeysDuringRotation() {
    const Envelope envelope{"h", "127.0.0.1:1", "127.0.0.1:2", 1, 1, 1, coordination::Leave{}};
    const std::string signed_with_old_key = Encode(envelope, kOldKey);
    CPPUNIT_ASSERT(Decode(signed_with_old_key, {kKey, kOldKey}).code_ == ResultCode::kOk);
    CPPUNIT_ASSERT(Decode(Encode(envelope, kKey), {kKey, kOldKey}).code_ == ResultCode::kOk);
    CPPUNIT_ASSERT(Decode(signed_with_old_key, {kKey}).code_ == ResultCode::kPeerMessageUnsigned);
    const Key same_id{kKey.id_, "another secret..."};
    CPPUNIT_ASSERT(Decode(Encode(envelope, same_id), {kKey}).code_ ==
                   ResultCode::kPeerMessageUnsigned);
  }

  // Guards against decoding a message in a format that this version does not know.
  void RejectsUnknownVersionsAndInvalidSizes() {
    std::string message = SignMessage(EncodedEnvelope(coordination::Leave{}));
    CPPUNIT_ASSERT(Decode(message, {kKey}).code_ == ResultCode::kOk);
    message[0] = static_cast<char>(kProtocolMajorVersion + 1);
    CPPUNIT_ASSERT(Decode(message, {kKey}).code_ == ResultCode::kPeerMessageVersion);
    CPPUNIT_ASSERT(Decode(std::string(kMaxMessageBytes + 1, 'x'), {kKey}).code_ ==
                   ResultCode::kPeerMessageTooLarge);
    CPPUNIT_ASSERT(Decode("", {kKey}).code_ == ResultCode::kPeerMessageMalformed);
  }

  // Guards against a newer peer whose additional fields make older peers reject its messages.
  void IgnoresUnknownFieldsAndRejectsUnknownTypes() {
    auto value = nlohmann::json::from_msgpack(EncodedEnvelope(coordination::ConfigPull{9}));
    value["new"] = {1, 2};
    value["b"]["new"] = "x";
    CPPUNIT_ASSERT(Decode(SignMessage(EncodeMessagePack(value)), {kKey}).code_ == ResultCode::kOk);
    value["y"] = "unknown";
    CPPUNIT_ASSERT(Decode(SignMessage(EncodeMessagePack(value)), {kKey}).code_ ==
                   ResultCode::kPeerMessageVersion);
    value.erase("y");
    CPPUNIT_ASSERT(Decode(SignMessage(EncodeMessagePack(value)), {kKey}).code_ ==
                   ResultCode::kPeerMessageMalformed);
  }

  // Guards against a stack overflow in nlohmann's recursive MessagePack parser.
  void RejectsDeeplyNestedContent() {
    const std::string nested(60000, static_cast<char>(0x91));  // 0x91: array of one element.
    CPPUNIT_ASSERT(Decode(SignMessage(nested), {kKey}).code_ == ResultCode::kPeerMessageMalformed);
  }

 private:
  static std::string EncodeMessagePack(const nlohmann::json& value) {
    std::string packed;
    nlohmann::json::to_msgpack(value, packed);
    return packed;
  }

  static constexpr std::size_t HeaderBytes() { return 2 + 2 + 32; }

  static std::string EncodedEnvelope(const PeerBody& body) {
    return Encode({"h", "127.0.0.1:1", "127.0.0.1:2", 1, 1, 1, body}, kKey).substr(HeaderBytes());
  }

  // Returns a message with `content` and a valid signature, computed independently of the codec.
  static std::string SignMessage(const std::string& content) {
    std::string message =
        std::string(1, static_cast<char>(kProtocolMajorVersion)) + '\x02' + kKey.id_;
    const std::string covered = message + content;
    gchar* hex = g_compute_hmac_for_data(
        G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(kKey.secret_.data()),
        kKey.secret_.size(), reinterpret_cast<const guchar*>(covered.data()), covered.size());
    for (std::size_t i = 0; i < 32; i++) {
      message += static_cast<char>(g_ascii_xdigit_value(hex[2 * i]) * 16 +
                                   g_ascii_xdigit_value(hex[2 * i + 1]));
    }
    g_free(hex);
    return message + content;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}  // namespace monsoonshelf::peer::detail
