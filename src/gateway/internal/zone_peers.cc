#include "gateway/zone_peers.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "gateway/reader_choice.h"

namespace monsoonshelf::gateway {

namespace {

using Json = nlohmann::json;

// A peer without messages for this time no longer counts towards kMaxMonitoredPeers and is pinged
// at the longer interval below.
constexpr Duration kUnresponsivePeerTimeout = std::chrono::seconds(4);
// Monitored peers that are chosen by ReaderRank.
constexpr std::size_t kMonitoredReaders = 2;
constexpr Duration kUnresponsivePeerPingInterval = std::chrono::seconds(3);

bool IsUnresponsive(const Peer& peer, Time now) {
  return peer.last_ping_time_ != Time{} && now - peer.last_message_time_ > kUnresponsivePeerTimeout;
}

// Gives each host its own pseudo-random order of peers, so that hosts monitor different peers.
XXH64_hash_t PairHash(const HostName& from, const HostName& to) {
  const std::string key = from + ' ' + to;
  return XXH3_64bits(key.data(), key.size());
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  const Json body = {{"type", NameOf(kPeerMessageTypeNames, message.type_)},
                     {"name", message.sender_.name_},
                     {"zone", message.sender_.zone_},
                     {"front", message.sender_.front_address_},
                     {"peer", message.sender_.peer_address_},
                     {"incarnation", message.sender_.incarnation_},
                     {"serving", message.serving_},
                     {"reaches_store", message.reaches_store_},
                     {"control", message.sender_.control_address_},
                     {"capacity", message.sender_.capacity_},
                     {"target", message.target_}};
  const std::vector<std::uint8_t> bytes = Json::to_msgpack(body);
  return {bytes.begin(), bytes.end()};
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  const Json body = Json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  if (!body.is_object()) return std::nullopt;
  const auto flag = [&body](const char* key) {
    const auto found = body.find(key);
    return found != body.end() && found->is_boolean() && found->get<bool>();
  };
  const auto text = [&body](const char* key) -> std::optional<std::string> {
    const auto found = body.find(key);
    if (found == body.end() || !found->is_string()) return std::nullopt;
    return found->get<std::string>();
  };
  const auto type = ValueOf(kPeerMessageTypeNames, text("type").value_or(""));
  const auto incarnation = body.find("incarnation");
  if (!type || !text("name") || !text("zone") || !text("front") || !text("peer") ||
      !text("control") || incarnation == body.end() || !incarnation->is_number_unsigned()) {
    return std::nullopt;
  }
  PeerMessage message;
  message.type_ = *type;
  message.sender_ = {*text("name"),
                     *text("zone"),
                     *text("front"),
                     *text("peer"),
                     *text("control"),
                     incarnation->get<Incarnation>(),
                     0};
  const auto capacity = body.find("capacity");
  if (capacity != body.end() && capacity->is_number_integer()) {
    message.sender_.capacity_ = capacity->get<int>();
  }
  message.serving_ = flag("serving");
  message.reaches_store_ = flag("reaches_store");
  message.target_ = text("target").value_or("");
  return message;
}

void AddOrUpdatePeer(ZonePeers& peers, const HostRecord& record) {
  if (record.name_ == peers.self_.name_ || record.zone_ != peers.self_.zone_) return;
  Peer& peer = peers.peers_[record.name_];
  if (record.incarnation_ >= peer.record_.incarnation_) peer.record_ = record;
}

void ApplyPeerMessage(ZonePeers& peers, const PeerMessage& message, Time now) {
  AddOrUpdatePeer(peers, message.sender_);
  const auto found = peers.peers_.find(message.sender_.name_);
  if (found == peers.peers_.end()) return;
  Peer& peer = found->second;
  // A delayed message of an earlier incarnation says nothing about the current one.
  if (message.sender_.incarnation_ < peer.record_.incarnation_) return;
  peer.last_message_time_ = now;
  peer.has_sent_message_ = true;
  peer.reaches_store_ = message.reaches_store_;
  peer.serving_ = message.serving_ && message.type_ != PeerMessageType::kLeaving;
}

std::vector<HostRecord> SelectPeersToPing(ZonePeers& peers, Time now) {
  std::vector<Peer*> monitored;
  std::vector<Peer*> unresponsive;
  for (auto& [name, peer] : peers.peers_)
    (IsUnresponsive(peer, now) ? unresponsive : monitored).push_back(&peer);
  if (monitored.size() > kMaxMonitoredPeers) {
    // All hosts monitor the same reader candidates, so that they agree on the reader.
    std::partial_sort(monitored.begin(), monitored.begin() + kMonitoredReaders, monitored.end(),
                      [](const Peer* left, const Peer* right) {
                        return ReaderRank(left->record_.name_, left->record_.capacity_) >
                               ReaderRank(right->record_.name_, right->record_.capacity_);
                      });
    const HostName& self = peers.self_.name_;
    std::partial_sort(monitored.begin() + kMonitoredReaders, monitored.begin() + kMaxMonitoredPeers,
                      monitored.end(), [&self](const Peer* left, const Peer* right) {
                        return PairHash(self, left->record_.name_) <
                               PairHash(self, right->record_.name_);
                      });
    monitored.resize(kMaxMonitoredPeers);
  }
  std::vector<HostRecord> due;
  const auto add = [&due, now](Peer* peer, Duration interval) {
    if (now - peer->last_ping_time_ < interval) return;
    if (peer->last_ping_time_ == Time{}) peer->last_message_time_ = now;  // Starts its timeout.
    peer->last_ping_time_ = now;
    due.push_back(peer->record_);
  };
  for (Peer* peer : monitored) add(peer, kPingInterval);
  for (Peer* peer : unresponsive) add(peer, kUnresponsivePeerPingInterval);
  return due;
}

bool IsAlive(const Peer& peer, Time now) {
  return peer.has_sent_message_ && now - peer.last_message_time_ <= kPeerTimeout;
}

std::vector<const Peer*> ServingPeers(const ZonePeers& peers, Time now) {
  std::vector<const Peer*> serving;
  for (const auto& [name, peer] : peers.peers_) {
    if (peer.serving_ && IsAlive(peer, now)) serving.push_back(&peer);
  }
  return serving;
}

}  // namespace monsoonshelf::gateway
