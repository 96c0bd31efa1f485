#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result_codes.h"
#include "coordination/coordination_types.h"
#include "peer/peer_types.h"

namespace monsoonshelf::peer::detail {

inline constexpr unsigned char kMajorVersion = 1;

// Wire format: major version (1 byte), length of the key id (1 byte), key id, HMAC-SHA-256
// (32 bytes), MessagePack of the envelope. The HMAC covers everything but itself, so that nothing
// of an unsigned message is parsed.
struct Envelope {
  HostName sender_;
  std::string sender_address_;
  std::string destination_;  // Address of the receiver; a copy sent to another host is dropped.
  Incarnation incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  std::int64_t sent_time_ = 0;  // Wall clock, microseconds since 1970.
  coordination::PeerBody body_;
};

std::string Encode(const Envelope& envelope, const Key& key);

struct Decoded {
  ResultCode code_ = ResultCode::kOk;
  Envelope envelope_;
};

// Codes: kPeerMessageTooLarge, kPeerMessageVersion (major version or type), kPeerMessageUnsigned,
// kPeerMessageMalformed.
Decoded Decode(std::string_view message, const std::vector<Key>& keys);

}  // namespace monsoonshelf::peer::detail
