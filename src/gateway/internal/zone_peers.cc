#include "gateway/zone_peers.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace monsoonshelf::gateway {

namespace {

using Json = nlohmann::json;

// A peer without messages for this time counts towards kMaxMonitoredPeers only if there are not
// enough others, and is pinged at the longer interval below otherwise.
constexpr Duration kUnresponsivePeerTimeout = std::chrono::seconds(4);
// Monitored peers that are chosen by ReaderRank.
constexpr std::size_t kMonitoredReaders = 2;
constexpr Duration kUnresponsivePeerPingInterval = std::chrono::seconds(3);

bool IsUnresponsive(const Peer& peer, Time now) {
  return peer.last_ping_time_ != Time{} && now - peer.last_message_time_ > kUnresponsivePeerTimeout;
}

// Each reader is an array of its name, address, capacity and content age in milliseconds.
Json EncodeReaders(const std::vector<AnnouncedReader>& readers) {
  Json encoded = Json::array();
  for (const AnnouncedReader& reader : readers) {
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(reader.content_age_).count();
    encoded.push_back({reader.name_, reader.address_, reader.capacity_, age});
  }
  return encoded;
}

// Readers that cannot be read are left out: hosts of another version may describe them differently.
std::vector<AnnouncedReader> DecodeReaders(const Json& body) {
  std::vector<AnnouncedReader> readers;
  const auto found = body.find("readers");
  if (found == body.end() || !found->is_array()) return readers;
  for (const Json& item : *found) {
    if (readers.size() == kMaxAnnouncedReaders) break;
    if (!item.is_array() || item.size() < 4 || !item[0].is_string() || !item[1].is_string() ||
        !item[2].is_number_integer() || !item[3].is_number_integer()) {
      continue;
    }
    const auto age = item[3].get<std::int64_t>();
    // An older reader is of no use, and a larger number could exceed the range of a duration.
    if (age < 0 || std::chrono::milliseconds(age) > kMaxReaderAge) continue;
    readers.push_back({item[0].get<std::string>(), item[1].get<std::string>(), item[2].get<int>(),
                       std::chrono::milliseconds(age)});
  }
  return readers;
}

std::vector<Reader> FreshReaders(const ZonePeers& peers, Time now) {
  std::vector<Reader> readers;
  for (const auto& [name, known] : peers.readers_) {
    const Time confirmed_at = known.reader_.confirmed_at_;
    if (confirmed_at > known.withdrawn_at_ && now - confirmed_at <= kMaxReaderAge) {
      readers.push_back(known.reader_);
    }
  }
  return readers;
}

// Returns whether a reader was learned.
bool ApplyReaders(ZonePeers& peers, const PeerMessage& message, Time now) {
  bool is_learned = false;
  for (const AnnouncedReader& announced : message.readers_) {
    if (announced.name_ == peers.self_.name_) continue;
    const bool is_sender = announced.name_ == message.sender_.name_;
    KnownReader& known = peers.readers_[announced.name_];
    const Time confirmed_at = now - announced.content_age_;
    if (confirmed_at <= known.reader_.confirmed_at_) continue;
    const bool was_fresh = known.reader_.confirmed_at_ > known.withdrawn_at_ &&
                           now - known.reader_.confirmed_at_ <= kMaxReaderAge;
    if (is_sender) known.withdrawn_at_ = {};
    known.reader_ = {announced.name_, announced.address_, announced.capacity_, confirmed_at};
    is_learned = is_learned || (!was_fresh && confirmed_at > known.withdrawn_at_);
  }
  if (!message.reads_store_) {
    const auto known = peers.readers_.find(message.sender_.name_);
    if (known != peers.readers_.end()) known->second.withdrawn_at_ = now;
  }
  std::erase_if(peers.readers_, [now](const auto& item) {
    return now - std::max(item.second.reader_.confirmed_at_, item.second.withdrawn_at_) >
           2 * kMaxReaderAge;
  });
  return is_learned;
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
                     {"reads_store", message.reads_store_},
                     {"readers", EncodeReaders(message.readers_)},
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
  message.reads_store_ = flag("reads_store");
  message.readers_ = DecodeReaders(body);
  message.target_ = text("target").value_or("");
  return message;
}

void AddOrUpdatePeer(ZonePeers& peers, const HostRecord& record) {
  if (record.name_ == peers.self_.name_ || record.zone_ != peers.self_.zone_) return;
  Peer& peer = peers.peers_[record.name_];
  if (record.incarnation_ >= peer.record_.incarnation_) peer.record_ = record;
}

bool ApplyPeerMessage(ZonePeers& peers, const PeerMessage& message, Time now) {
  AddOrUpdatePeer(peers, message.sender_);
  const auto found = peers.peers_.find(message.sender_.name_);
  if (found == peers.peers_.end()) return false;
  Peer& peer = found->second;
  // A delayed message of an earlier incarnation says nothing about the current one.
  if (message.sender_.incarnation_ < peer.record_.incarnation_) return false;
  peer.last_message_time_ = now;
  peer.has_sent_message_ = true;
  peer.serving_ = message.serving_ && message.type_ != PeerMessageType::kLeaving;
  return ApplyReaders(peers, message, now);
}

ZoneReaders FindReaders(const ZonePeers& peers, Time now) {
  ZoneReaders zone;
  zone.readers_ = FreshReaders(peers, now);
  zone.hosts_ = peers.peers_.size() + 1;
  const auto own_rank = ReaderRank(peers.self_.name_, peers.self_.capacity_);
  for (const auto& [name, peer] : peers.peers_) {
    if (!IsUnresponsive(peer, now) && ReaderRank(name, peer.record_.capacity_) > own_rank) {
      ++zone.higher_ranked_;
    }
  }
  return zone;
}

std::vector<AnnouncedReader> SelectReadersToAnnounce(const ZonePeers& peers, Time now) {
  std::vector<Reader> readers = FreshReaders(peers, now);
  std::sort(readers.begin(), readers.end(), [](const Reader& left, const Reader& right) {
    return ReaderRank(left.name_, left.capacity_) > ReaderRank(right.name_, right.capacity_);
  });
  if (readers.size() > kMaxAnnouncedReaders) readers.resize(kMaxAnnouncedReaders);
  std::vector<AnnouncedReader> announced;
  announced.reserve(readers.size());
  for (const Reader& reader : readers) {
    announced.push_back(
        {reader.name_, reader.address_, reader.capacity_, now - reader.confirmed_at_});
  }
  return announced;
}

std::vector<HostRecord> SelectPeersToPing(ZonePeers& peers, Time now) {
  std::vector<Peer*> monitored;
  std::vector<Peer*> unresponsive;
  for (auto& [name, peer] : peers.peers_)
    (IsUnresponsive(peer, now) ? unresponsive : monitored).push_back(&peer);
  // A host that was cut off hears from its peers again as soon as it can reach one of them.
  const HostName& self = peers.self_.name_;
  std::sort(unresponsive.begin(), unresponsive.end(), [&self](const Peer* left, const Peer* right) {
    return PairHash(self, left->record_.name_) < PairHash(self, right->record_.name_);
  });
  while (monitored.size() < kMaxMonitoredPeers && !unresponsive.empty()) {
    monitored.push_back(unresponsive.back());
    unresponsive.pop_back();
  }
  if (monitored.size() > kMaxMonitoredPeers) {
    // All hosts monitor the same reader candidates, so that they agree on the reader.
    std::partial_sort(monitored.begin(), monitored.begin() + kMonitoredReaders, monitored.end(),
                      [](const Peer* left, const Peer* right) {
                        return ReaderRank(left->record_.name_, left->record_.capacity_) >
                               ReaderRank(right->record_.name_, right->record_.capacity_);
                      });
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
