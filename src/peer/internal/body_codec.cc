#include "peer/internal/body_codec.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace monsoonshelf::peer::detail {

namespace {

using coordination::Ack;
using coordination::ConfigDelta;
using coordination::ConfigPull;
using coordination::ConfigPush;
using coordination::ConfigurationDigest;
using coordination::Leave;
using coordination::MemberUpdate;
using coordination::PeerBody;
using coordination::Ping;
using coordination::PingRequest;
using coordination::ShardLoad;
using coordination::ShardState;
using nlohmann::json;

// Maximum length of the names and addresses of hosts, zones, services, targets and records.
constexpr std::size_t kMaxNameBytes = 256;

// Type names on the wire, in the order of the alternatives of PeerBody.
constexpr std::array<std::string_view, 8> kTypeNames = {
    "ping",        "ack",          "ping_request", "config_push",
    "config_pull", "config_delta", "shard_state",  "leave"};
static_assert(kTypeNames.size() == std::variant_size_v<PeerBody>);

// Reads the fields of a JSON object. After a missing or invalid field IsValid returns false;
// further fields can still be read.
class FieldReader {
 public:
  explicit FieldReader(const json& value) : value_(value), valid_(value.is_object()) {}

  bool IsValid() const { return valid_; }
  void MarkInvalid() { valid_ = false; }

  const json* Find(const char* key) const {
    if (!value_.is_object()) return nullptr;
    const auto found = value_.find(key);
    return found == value_.end() ? nullptr : &*found;
  }

  template <typename T>
  void ReadUnsigned(const char* key, T& out) {
    const json* field = Find(key);
    if (field == nullptr || !field->is_number_unsigned() ||
        field->get<std::uint64_t>() > std::numeric_limits<T>::max()) {
      return MarkInvalid();
    }
    out = field->get<T>();
  }

  void ReadCount(const char* key, int& out) {
    std::uint32_t value = 0;
    ReadUnsigned(key, value);
    if (value > static_cast<std::uint32_t>(std::numeric_limits<int>::max())) return MarkInvalid();
    out = static_cast<int>(value);
  }

  void ReadText(const char* key, std::string& out, std::size_t max_bytes = kMaxNameBytes) {
    const json* field = Find(key);
    if (field == nullptr || !field->is_string()) return MarkInvalid();
    const auto& text = field->get_ref<const std::string&>();
    if (text.size() > max_bytes) return MarkInvalid();
    out = text;
  }

  void ReadBool(const char* key, bool& out) {
    const json* field = Find(key);
    if (field == nullptr || !field->is_boolean()) return MarkInvalid();
    out = field->get<bool>();
  }

  // An enumerator is encoded as its index in `table`.
  template <typename Enum, std::size_t kSize>
  void ReadEnum(const char* key, const EnumNames<Enum, kSize>& table, Enum& out) {
    std::uint32_t index = 0;
    ReadUnsigned(key, index);
    if (index >= kSize) return MarkInvalid();
    out = table[index].first;
  }

  template <typename T>
  void ReadList(const char* key, std::vector<T>& out, bool (*decode)(const json&, T&)) {
    const json* field = Find(key);
    if (field == nullptr || !field->is_array()) return MarkInvalid();
    for (const auto& item : *field) {
      T element;
      if (!decode(item, element)) return MarkInvalid();
      out.push_back(std::move(element));
    }
  }

 private:
  const json& value_;
  bool valid_;
};

template <typename Enum, std::size_t kSize>
std::size_t IndexOf(const EnumNames<Enum, kSize>& table, Enum value) {
  return static_cast<std::size_t>(
      std::find_if(table.begin(), table.end(),
                   [value](const auto& entry) { return entry.first == value; }) -
      table.begin());
}

template <typename T>
json EncodeList(const std::vector<T>& items, json (*encode)(const T&)) {
  json list = json::array();
  for (const auto& item : items) list.push_back(encode(item));
  return list;
}

json EncodeMember(const MemberUpdate& member) {
  return {
      {"n", member.name_},          {"i", member.incarnation_},
      {"c", member.state_version_}, {"s", IndexOf(coordination::kMemberStateNames, member.state_)},
      {"z", member.zone_},          {"p", member.peer_address_},
      {"a", member.call_address_}};
}

bool DecodeMember(const json& value, MemberUpdate& member) {
  FieldReader reader(value);
  reader.ReadText("n", member.name_);
  reader.ReadUnsigned("i", member.incarnation_);
  reader.ReadUnsigned("c", member.state_version_);
  reader.ReadEnum("s", coordination::kMemberStateNames, member.state_);
  reader.ReadText("z", member.zone_);
  reader.ReadText("p", member.peer_address_);
  reader.ReadText("a", member.call_address_);
  return reader.IsValid() && !member.name_.empty();
}

json EncodeRecord(const configuration::RecordVersion& record) {
  json value = {{"k", IndexOf(records::kKindNames, record.key_.first)},
                {"n", record.key_.second},
                {"v", record.version_}};
  if (record.text_) value["t"] = *record.text_;
  return value;
}

bool DecodeRecord(const json& value, configuration::RecordVersion& record) {
  FieldReader reader(value);
  reader.ReadEnum("k", records::kKindNames, record.key_.first);
  reader.ReadText("n", record.key_.second);
  reader.ReadUnsigned("v", record.version_);
  if (reader.Find("t") != nullptr) {
    reader.ReadText("t", record.text_.emplace(), std::numeric_limits<std::size_t>::max());
  }
  return reader.IsValid() && record.version_ > 0;
}

json EncodeTarget(const dispatch::TargetSnapshot& target) {
  return {{"n", target.name_},
          {"p", IndexOf(dispatch::kTargetPhaseNames, target.phase_)},
          {"e", target.epoch_}};
}

bool DecodeTarget(const json& value, dispatch::TargetSnapshot& target) {
  FieldReader reader(value);
  reader.ReadText("n", target.name_);
  reader.ReadEnum("p", dispatch::kTargetPhaseNames, target.phase_);
  reader.ReadUnsigned("e", target.epoch_);
  return reader.IsValid();
}

json EncodeShard(const ShardLoad& shard) {
  json value = {{"s", shard.service_},
                {"z", shard.zone_},
                {"f", std::max(shard.free_slots_, 0)},
                {"q", std::max(shard.queued_, 0)},
                {"r", std::max(shard.ready_targets_, 0)}};
  if (shard.queued_interactive_ >= 0) value["i"] = shard.queued_interactive_;
  if (!shard.targets_.empty()) value["t"] = EncodeList(shard.targets_, &EncodeTarget);
  return value;
}

bool DecodeShard(const json& value, ShardLoad& shard) {
  FieldReader reader(value);
  reader.ReadText("s", shard.service_);
  reader.ReadText("z", shard.zone_);
  reader.ReadCount("f", shard.free_slots_);
  reader.ReadCount("q", shard.queued_);
  reader.ReadCount("r", shard.ready_targets_);
  if (reader.Find("i") != nullptr) reader.ReadCount("i", shard.queued_interactive_);
  if (reader.Find("t") != nullptr) reader.ReadList("t", shard.targets_, &DecodeTarget);
  return reader.IsValid();
}

void AddDigest(json& value, const ConfigurationDigest& digest) {
  value["v"] = digest.highest_version_;
  value["h"] = digest.digest_;
}

void ReadDigest(FieldReader& reader, ConfigurationDigest& digest) {
  reader.ReadUnsigned("v", digest.highest_version_);
  reader.ReadUnsigned("h", digest.digest_);
}

// Encodes the fields that Ping and Ack have in common. `key` is the field for `name`, the other
// host of an indirect ping; it is omitted if `name` is empty, as in a direct ping.
template <typename T>
json EncodeExchange(const T& message, const char* key, const HostName& name) {
  json value = {{"n", message.sequence_number_}};
  AddDigest(value, message.configuration_);
  if (!message.updates_.empty()) value["u"] = EncodeList(message.updates_, &EncodeMember);
  if (!name.empty()) value[key] = name;
  return value;
}

template <typename T>
bool DecodeExchange(const json& value, T& message, const char* key, HostName& name) {
  FieldReader reader(value);
  reader.ReadUnsigned("n", message.sequence_number_);
  ReadDigest(reader, message.configuration_);
  if (reader.Find("u") != nullptr) reader.ReadList("u", message.updates_, &DecodeMember);
  if (reader.Find(key) != nullptr) reader.ReadText(key, name);
  return reader.IsValid();
}

json Encode(const Ping& ping) { return EncodeExchange(ping, "o", ping.requester_); }
json Encode(const Ack& ack) { return EncodeExchange(ack, "o", ack.pinged_member_); }
json Encode(const PingRequest& request) {
  return {{"n", request.sequence_number_}, {"m", request.member_}};
}
json Encode(const ConfigPush& push) { return {{"r", EncodeList(push.records_, &EncodeRecord)}}; }
json Encode(const ConfigPull& pull) { return {{"v", pull.after_version_}}; }
json Encode(const ConfigDelta& delta) {
  json value = {{"r", EncodeList(delta.records_, &EncodeRecord)}, {"m", delta.more_}};
  AddDigest(value, delta.configuration_);
  return value;
}
json Encode(const ShardState& state) { return {{"s", EncodeList(state.shards_, &EncodeShard)}}; }
json Encode(const Leave& /*leave*/) { return json::object(); }

bool Decode(const json& value, Ping& ping) {
  return DecodeExchange(value, ping, "o", ping.requester_);
}
bool Decode(const json& value, Ack& ack) {
  return DecodeExchange(value, ack, "o", ack.pinged_member_);
}
bool Decode(const json& value, PingRequest& request) {
  FieldReader reader(value);
  reader.ReadUnsigned("n", request.sequence_number_);
  reader.ReadText("m", request.member_);
  return reader.IsValid();
}
bool Decode(const json& value, ConfigPush& push) {
  FieldReader reader(value);
  reader.ReadList("r", push.records_, &DecodeRecord);
  return reader.IsValid();
}
bool Decode(const json& value, ConfigPull& pull) {
  FieldReader reader(value);
  reader.ReadUnsigned("v", pull.after_version_);
  return reader.IsValid();
}
bool Decode(const json& value, ConfigDelta& delta) {
  FieldReader reader(value);
  reader.ReadList("r", delta.records_, &DecodeRecord);
  reader.ReadBool("m", delta.more_);
  ReadDigest(reader, delta.configuration_);
  return reader.IsValid();
}
bool Decode(const json& value, ShardState& state) {
  FieldReader reader(value);
  reader.ReadList("s", state.shards_, &DecodeShard);
  return reader.IsValid();
}
bool Decode(const json& value, Leave& /*leave*/) { return value.is_object(); }

template <std::size_t kIndex = 0>
std::optional<PeerBody> DecodeAlternative(std::size_t index, const json& value) {
  if constexpr (kIndex < std::variant_size_v<PeerBody>) {
    if (index != kIndex) return DecodeAlternative<kIndex + 1>(index, value);
    std::variant_alternative_t<kIndex, PeerBody> body;
    if (!Decode(value, body)) return std::nullopt;
    return PeerBody(std::move(body));
  } else {
    return std::nullopt;
  }
}

}  // namespace

std::string BodyTypeName(const PeerBody& body) { return std::string(kTypeNames.at(body.index())); }

json EncodeBody(const PeerBody& body) {
  return std::visit([](const auto& message) { return Encode(message); }, body);
}

bool IsKnownType(const std::string& type) {
  return std::find(kTypeNames.begin(), kTypeNames.end(), type) != kTypeNames.end();
}

std::optional<PeerBody> DecodeBody(const std::string& type, const json& value) {
  const auto found = std::find(kTypeNames.begin(), kTypeNames.end(), type);
  return DecodeAlternative(static_cast<std::size_t>(found - kTypeNames.begin()), value);
}

}  // namespace monsoonshelf::peer::detail
