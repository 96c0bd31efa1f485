#include "peer/internal/envelope.h"

#include <glib.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "peer/internal/body_codec.h"

namespace monsoonshelf::peer::detail {

namespace {

using nlohmann::json;

constexpr std::size_t kSignatureBytes = 32;
constexpr std::size_t kFixedHeaderBytes = 2;
// Limits the recursion of nlohmann's MessagePack reader, which recurses once per nesting level. The
// deepest valid message has 7 levels.
constexpr int kMaxDepth = 16;
constexpr std::size_t kMaxNameBytes = 256;

using Signature = std::array<unsigned char, kSignatureBytes>;

Signature ComputeSignature(const Key& key, std::string_view header, std::string_view body) {
  Signature signature{};
  gsize size = signature.size();
  GHmac* hmac = g_hmac_new(G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(key.secret_.data()),
                           key.secret_.size());
  g_hmac_update(hmac, reinterpret_cast<const guchar*>(header.data()),
                static_cast<gssize>(header.size()));
  g_hmac_update(hmac, reinterpret_cast<const guchar*>(body.data()),
                static_cast<gssize>(body.size()));
  g_hmac_get_digest(hmac, signature.data(), &size);
  g_hmac_unref(hmac);
  return signature;
}

// Compares in constant time: the duration must not reveal the position of the first difference,
// from which an attacker could guess the signature byte by byte.
bool EqualsInConstantTime(const Signature& expected, std::string_view received) {
  unsigned difference = 0;
  for (std::size_t i = 0; i < expected.size(); i++) {
    difference |= static_cast<unsigned>(expected[i] ^ static_cast<unsigned char>(received[i]));
  }
  return difference == 0;
}

// SAX handler that aborts the parsing of a message with more than kMaxDepth nesting levels.
class DepthLimiter : public nlohmann::json_sax<json> {
 public:
  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool start_object(std::size_t /*size*/) override { return ++depth_ <= kMaxDepth; }
  bool key(string_t& /*value*/) override { return true; }
  bool end_object() override { return depth_-- > 0; }
  bool start_array(std::size_t /*size*/) override { return ++depth_ <= kMaxDepth; }
  bool end_array() override { return depth_-- > 0; }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const json::exception& /*error*/) override {
    return false;
  }

 private:
  int depth_ = 0;
};

std::optional<json> Parse(std::string_view body) {
  DepthLimiter limit;
  if (!json::sax_parse(body, &limit, json::input_format_t::msgpack)) return std::nullopt;
  json value = json::from_msgpack(body, true, false);
  if (!value.is_object()) return std::nullopt;
  return value;
}

bool ReadText(const json& value, const char* key, std::string& out) {
  const auto found = value.find(key);
  if (found == value.end() || !found->is_string()) return false;
  out = found->get<std::string>();
  return !out.empty() && out.size() <= kMaxNameBytes;
}

template <typename T>
bool ReadUnsigned(const json& value, const char* key, T& out) {
  const auto found = value.find(key);
  if (found == value.end() || !found->is_number_unsigned()) return false;
  const auto number = found->get<std::uint64_t>();
  if (number > static_cast<std::uint64_t>(std::numeric_limits<T>::max())) return false;
  out = static_cast<T>(number);
  return true;
}

ResultCode ReadEnvelope(const json& value, Envelope& envelope) {
  std::string type;
  const bool valid = ReadText(value, "s", envelope.sender_) &&
                     ReadText(value, "a", envelope.sender_address_) &&
                     ReadText(value, "d", envelope.destination_) &&
                     ReadUnsigned(value, "i", envelope.incarnation_) &&
                     ReadUnsigned(value, "q", envelope.sequence_) &&
                     ReadUnsigned(value, "t", envelope.sent_time_) && ReadText(value, "y", type);
  const auto body = value.find("b");
  if (!valid || body == value.end()) return ResultCode::kPeerMessageMalformed;
  if (!IsKnownType(type)) return ResultCode::kPeerMessageVersion;
  auto decoded = DecodeBody(type, *body);
  if (!decoded) return ResultCode::kPeerMessageMalformed;
  envelope.body_ = std::move(*decoded);
  return ResultCode::kOk;
}

}  // namespace

std::string Encode(const Envelope& envelope, const Key& key) {
  const json value = {{"s", envelope.sender_},
                      {"a", envelope.sender_address_},
                      {"d", envelope.destination_},
                      {"i", envelope.incarnation_},
                      {"q", envelope.sequence_},
                      {"t", envelope.sent_time_},
                      {"y", BodyTypeName(envelope.body_)},
                      {"b", EncodeBody(envelope.body_)}};
  std::string body;
  json::to_msgpack(value, body);
  std::string message;
  message += static_cast<char>(kProtocolMajorVersion);
  message += static_cast<char>(key.id_.size());
  message += key.id_;
  const Signature signature = ComputeSignature(key, message, body);
  message.append(reinterpret_cast<const char*>(signature.data()), signature.size());
  return message + body;
}

DecodeResult Decode(std::string_view message, const std::vector<Key>& keys) {
  if (message.size() > kMaxMessageBytes) return {ResultCode::kPeerMessageTooLarge, {}};
  if (message.size() < kFixedHeaderBytes) return {ResultCode::kPeerMessageMalformed, {}};
  if (static_cast<unsigned char>(message[0]) != kProtocolMajorVersion) {
    return {ResultCode::kPeerMessageVersion, {}};
  }
  const std::size_t header_bytes = kFixedHeaderBytes + static_cast<unsigned char>(message[1]);
  if (message.size() < header_bytes + kSignatureBytes) {
    return {ResultCode::kPeerMessageMalformed, {}};
  }
  const auto header = message.substr(0, header_bytes);
  const auto signature = message.substr(header_bytes, kSignatureBytes);
  const auto body = message.substr(header_bytes + kSignatureBytes);
  const auto key = std::find_if(keys.begin(), keys.end(), [&header](const Key& candidate) {
    return candidate.id_ == header.substr(kFixedHeaderBytes);
  });
  if (key == keys.end() || !EqualsInConstantTime(ComputeSignature(*key, header, body), signature)) {
    return {ResultCode::kPeerMessageUnsigned, {}};
  }
  const auto value = Parse(body);
  if (!value) return {ResultCode::kPeerMessageMalformed, {}};
  DecodeResult decoded;
  decoded.code_ = ReadEnvelope(*value, decoded.envelope_);
  return decoded;
}

}  // namespace monsoonshelf::peer::detail
