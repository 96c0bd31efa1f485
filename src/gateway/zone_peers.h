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
#include "gateway/reader_choice.h"

namespace monsoonshelf::gateway {

// Liveness detection between the entry hosts of one availability zone, based on the datagrams that
// they exchange. Pure logic: uses no sockets and no clock.

enum class PeerMessageType { kPing, kAck, kLeaving, kTargetFailed };

inline constexpr EnumNames<PeerMessageType, 4> kPeerMessageTypeNames = {{
    {PeerMessageType::kPing, "ping"},
    {PeerMessageType::kAck, "ack"},
    {PeerMessageType::kLeaving, "leaving"},
    {PeerMessageType::kTargetFailed, "target_failed"},
}};

// A reader as one host describes it to another one.
struct AnnouncedReader {
  HostName name_;
  std::string address_;
  int capacity_ = 0;
  Duration content_age_{};  // Time since the store confirmed its content.
};

struct PeerMessage {
  PeerMessageType type_ = PeerMessageType::kPing;
  HostRecord sender_;
  bool serving_ = false;                  // The sender accepts requests of callers.
  bool reads_store_ = false;              // The sender is a reader; it is then one of `readers_`.
  TargetId target_;                       // The failed target; only with kTargetFailed.
  std::vector<AnnouncedReader> readers_;  // Readers of the zone that the sender knows of.
};

std::string EncodePeerMessage(const PeerMessage& message);
// Returns std::nullopt if the bytes are not a valid message.
std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes);

struct Peer {
  HostRecord record_;
  Time last_ping_time_{};     // Zero if no ping was sent yet.
  Time last_message_time_{};  // The last message, or the first ping until a message arrives.
  bool has_sent_message_ = false;
  bool serving_ = false;
};

struct KnownReader {
  Reader reader_;
  // When the host itself said that it is no reader. Earlier confirmations, which other hosts may
  // still pass on, do not make it one again.
  Time withdrawn_at_{};
};

struct ZonePeers {
  HostRecord self_;
  std::map<HostName, Peer> peers_;  // Other hosts of the same zone.
  std::map<HostName, KnownReader> readers_;
};

// Adds or updates a peer whose record was read from the store or received in a message. Ignores the
// own host, hosts of other zones and earlier incarnations.
void AddOrUpdatePeer(ZonePeers& peers, const HostRecord& record);
// Updates the state of the sender of a message that was received at `now`, and the known readers.
// Returns whether a reader was learned that was not known, or no longer.
bool ApplyPeerMessage(ZonePeers& peers, const PeerMessage& message, Time now);
// Returns the readers whose content the store has confirmed within kMaxReaderAge.
ZoneReaders FindReaders(const ZonePeers& peers, Time now);
// Returns the highest-ranked readers, to be passed on to a peer.
std::vector<AnnouncedReader> SelectReadersToAnnounce(const ZonePeers& peers, Time now);
// Returns the peers that are due for a ping, and records that they are pinged at `now`.
std::vector<HostRecord> SelectPeersToPing(ZonePeers& peers, Time now);
// Returns whether a message of the peer was received within kPeerTimeout.
bool IsAlive(const Peer& peer, Time now);
// Returns the live peers that accept requests of callers.
std::vector<const Peer*> ServingPeers(const ZonePeers& peers, Time now);

// A reader whose content the store confirmed longer ago than this is not chosen. Covers the
// interval between two confirmations and two hops of an announcement.
inline constexpr Duration kMaxReaderAge = std::chrono::seconds(2);
// Maximum number of readers in one message.
inline constexpr std::size_t kMaxAnnouncedReaders = 4;
// Interval between two pings to the same peer.
inline constexpr Duration kPingInterval = std::chrono::milliseconds(500);
// A peer without messages for this time is no longer returned to callers: allows for two lost pings
// and some delay.
inline constexpr Duration kPeerTimeout = std::chrono::milliseconds(1300);
// Maximum number of live peers that one host pings. Callers need only a few addresses, so the cost
// per host does not have to grow with the zone.
inline constexpr std::size_t kMaxMonitoredPeers = 8;

}  // namespace monsoonshelf::gateway
