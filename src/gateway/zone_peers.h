#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base_types.h"
#include "base/enum_names.h"
#include "gateway/gateway_types.h"

namespace monsoonshelf::gateway {

// Liveness of the entry hosts of one availability zone, from datagrams between them. Uses no
// sockets or clocks.

enum class PeerMessageType { kPing, kAck, kLeaving, kTargetFailed };

inline constexpr EnumNames<PeerMessageType, 4> kPeerMessageTypeNames = {{
    {PeerMessageType::kPing, "ping"},
    {PeerMessageType::kAck, "ack"},
    {PeerMessageType::kLeaving, "leaving"},
    {PeerMessageType::kTargetFailed, "target_failed"},
}};

struct PeerMessage {
  PeerMessageType type_ = PeerMessageType::kPing;
  HostRecord sender_;
  bool serving_ = false;        // The sender takes callers.
  bool reaches_store_ = false;  // Its last call to the store succeeded.
  TargetId target_;             // kTargetFailed.
};

std::string EncodePeerMessage(const PeerMessage& message);
// Nothing if the bytes are no message.
std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes);

struct Peer {
  HostRecord record_;
  Time pinged_{};
  Time heard_{};
  bool was_heard_ = false;
  bool serving_ = false;
  bool reaches_store_ = false;
};

struct ZonePeers {
  HostRecord self_;
  std::map<HostName, Peer> peers_;  // Of the own zone, without the own host.
};

// A host is known from the store or from a message. Older incarnations are ignored.
void AddOrUpdatePeer(ZonePeers& peers, const HostRecord& record);
void ApplyPeerMessage(ZonePeers& peers, const PeerMessage& message, Time now);
// Peers to ping now.
std::vector<HostRecord> SelectPeersToPing(ZonePeers& peers, Time now);
bool IsAlive(const Peer& peer, Time now);
// Peers that answer and take callers.
std::vector<const Peer*> ServingPeers(const ZonePeers& peers, Time now);

// Time between two pings of one peer.
inline constexpr Duration kPingInterval = std::chrono::milliseconds(500);
// Silence after which a peer is no longer named to callers: two lost pings and some delay.
inline constexpr Duration kPeerTimeout = std::chrono::milliseconds(1300);
// Peers that one host watches. Callers need a handful of addresses, so that the cost of a host
// doesn't grow with the zone.
inline constexpr std::size_t kWatchedPeers = 8;

}  // namespace monsoonshelf::gateway
