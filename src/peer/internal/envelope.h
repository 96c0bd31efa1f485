#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result_codes.h"
#include "coordination/coordination_types.h"
#include "peer/peer_types.h"

namespace monsoonshelf::peer::detail {

inline constexpr unsigned char kProtocolMajorVersion = 1;

// Content of a peer message. Wire format: major version (1 byte), length of the key id (1 byte),
// key id, HMAC-SHA-256 (32 bytes), MessagePack of the envelope. The HMAC covers everything except
// itself. It is verified before the MessagePack is parsed.
struct Envelope {
  HostName sender_;
  std::string sender_address_;
  // Address of the receiver. A host drops messages for another address, which prevents replaying a
  // message to a host for which it was not meant.
  std::string destination_;
  Incarnation incarnation_ = 0;
  std::uint64_t sequence_ = 0;  // Increases with each message of an incarnation, from 1.
  std::int64_t sent_time_ = 0;  // Wall clock of the sender, microseconds since the Unix epoch.
  coordination::PeerBody body_;
};

// Encodes and signs a message. `key` must satisfy CheckKeys.
std::string Encode(const Envelope& envelope, const Key& key);

struct DecodeResult {
  ResultCode code_ = ResultCode::kOk;
  Envelope envelope_;  // Valid only if `code_` is kOk.
};

// Verifies and decodes a message that is signed with one of `keys`. Codes: kOk,
// kPeerMessageTooLarge, kPeerMessageVersion (unknown major version or type), kPeerMessageUnsigned
// (unknown key or wrong signature), kPeerMessageMalformed.
DecodeResult Decode(std::string_view message, const std::vector<Key>& keys);

}  // namespace monsoonshelf::peer::detail
