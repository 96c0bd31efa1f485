#include "gateway/internal/rollout_messages.h"

#include <nlohmann/json.hpp>

namespace monsoonshelf::gateway {

namespace {

using Json = nlohmann::json;

// Begins each message; see quota_messages.cc.
constexpr std::string_view kPrefix = "R1";
// Bounds of what a faulty host can make this one store.
constexpr std::size_t kMaxEntries = 1000;
// A host receives datagrams of up to 2048 bytes, and the network carries 1400 in one packet.
constexpr std::size_t kMaxCountBytes = 1000;
constexpr std::int64_t kMaxCount = 1'000'000'000;
constexpr std::int64_t kMaxMilliseconds = 1'000'000'000;
constexpr std::int64_t kMaxMicroseconds = 1'000'000'000'000'000'000;

bool IsCount(const Json& item, std::int64_t max) {
  return item.is_number_integer() && item.get<std::int64_t>() >= 0 &&
         item.get<std::int64_t>() <= max;
}

Json EncodeCounts(const std::string& route, const TargetId& target, const ResponseCounts& counts) {
  Json durations = Json::array();
  for (std::size_t i = 0; i < kDurationBuckets; ++i) {
    if (counts.durations_[i] == 0) continue;
    durations.push_back(i);
    durations.push_back(counts.durations_[i]);
  }
  return {route, target, counts.requests_, counts.failures_, std::move(durations)};
}

// Returns whether the entry is valid. One without a target is about the old version.
bool DecodeCounts(const Json& item, RolloutCounts& counts) {
  if (!item.is_array() || item.size() < 5 || !item[0].is_string() || !item[1].is_string() ||
      !IsCount(item[2], kMaxCount) || !IsCount(item[3], kMaxCount) || !item[4].is_array() ||
      item[4].size() % 2 != 0 || item[4].size() > 2 * kDurationBuckets) {
    return false;
  }
  RouteCounts& route = counts[item[0].get<std::string>()];
  const auto target = item[1].get<std::string>();
  ResponseCounts& part = target.empty() ? route.old_ : route.new_[target];
  part.requests_ = item[2].get<std::uint32_t>();
  part.failures_ = item[3].get<std::uint32_t>();
  for (std::size_t i = 0; i < item[4].size(); i += 2) {
    if (!IsCount(item[4][i], kDurationBuckets - 1) || !IsCount(item[4][i + 1], kMaxCount)) {
      return false;
    }
    part.durations_[item[4][i].get<std::size_t>()] = item[4][i + 1].get<std::uint32_t>();
  }
  return true;
}

const Json* Find(const Json& body, const char* key) {
  const auto found = body.find(key);
  return found == body.end() ? nullptr : &*found;
}

bool ReadString(const Json& body, const char* key, std::string& value) {
  const Json* const found = Find(body, key);
  if (found == nullptr || !found->is_string()) return false;
  value = found->get<std::string>();
  return true;
}

}  // namespace

bool IsRolloutMessage(std::string_view bytes) { return bytes.starts_with(kPrefix); }

std::string EncodeRolloutMessage(const RolloutMessage& message) {
  Json body = {{"n", message.sender_},
               {"a", message.sender_address_},
               {"s", message.service_},
               {"v", message.target_version_},
               {"k", message.report_.epoch_},
               {"f", static_cast<int>(message.report_.notice_)},
               {"t", message.report_sent_at_.time_since_epoch().count()},
               {"r", message.is_reply_}};
  if (message.elapsed_) {
    body["e"] = std::chrono::duration_cast<std::chrono::milliseconds>(*message.elapsed_).count();
  }
  for (const auto& [route, counts] : message.report_.counts_) {
    if (counts.old_.requests_ > 0) body["q"].push_back(EncodeCounts(route, {}, counts.old_));
    for (const auto& [target, part] : counts.new_) {
      body["q"].push_back(EncodeCounts(route, target, part));
    }
  }
  const std::vector<std::uint8_t> bytes = Json::to_msgpack(body);
  std::string text(kPrefix);
  text.append(bytes.begin(), bytes.end());
  return text;
}

std::vector<RolloutMessage> SplitRolloutMessage(const RolloutMessage& message) {
  std::vector<RolloutMessage> parts(1, message);
  parts.front().report_.counts_.clear();
  std::size_t bytes = 0;
  const auto add = [&](const std::string& route, const TargetId& target,
                       const ResponseCounts& counts) {
    const std::size_t size = Json::to_msgpack(EncodeCounts(route, target, counts)).size();
    if (bytes > 0 && bytes + size > kMaxCountBytes) {
      parts.push_back(message);
      parts.back().report_.counts_.clear();
      bytes = 0;
    }
    bytes += size;
    RouteCounts& part = parts.back().report_.counts_[route];
    (target.empty() ? part.old_ : part.new_[target]) = counts;
  };
  for (const auto& [route, counts] : message.report_.counts_) {
    if (counts.old_.requests_ > 0) add(route, {}, counts.old_);
    for (const auto& [target, part] : counts.new_) add(route, target, part);
  }
  return parts;
}

std::optional<RolloutMessage> DecodeRolloutMessage(std::string_view bytes) {
  if (!IsRolloutMessage(bytes)) return std::nullopt;
  bytes.remove_prefix(kPrefix.size());
  const Json body = Json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  if (!body.is_object()) return std::nullopt;
  RolloutMessage message;
  const Json* const epoch = Find(body, "k");
  const Json* const notice = Find(body, "f");
  const Json* const is_reply = Find(body, "r");
  const Json* const sent_at = Find(body, "t");
  if (!ReadString(body, "n", message.sender_) || !ReadString(body, "a", message.sender_address_) ||
      !ReadString(body, "s", message.service_) || !ReadString(body, "v", message.target_version_) ||
      epoch == nullptr || !epoch->is_number_unsigned() || notice == nullptr ||
      !IsCount(*notice, static_cast<int>(RolloutNotice::kCondemned)) || is_reply == nullptr ||
      !is_reply->is_boolean() || sent_at == nullptr || !IsCount(*sent_at, kMaxMicroseconds)) {
    return std::nullopt;
  }
  message.report_.epoch_ = epoch->get<std::uint64_t>();
  message.report_.notice_ = static_cast<RolloutNotice>(notice->get<int>());
  message.is_reply_ = is_reply->get<bool>();
  message.report_sent_at_ = Time(Duration(sent_at->get<std::int64_t>()));
  if (const Json* const elapsed = Find(body, "e")) {
    if (!IsCount(*elapsed, kMaxMilliseconds)) return std::nullopt;
    message.elapsed_ = std::chrono::milliseconds(elapsed->get<std::int64_t>());
  }
  if (const Json* const counts = Find(body, "q")) {
    if (!counts->is_array() || counts->size() > kMaxEntries) return std::nullopt;
    for (const Json& item : *counts) {
      if (!DecodeCounts(item, message.report_.counts_)) return std::nullopt;
    }
  }
  return message;
}

}  // namespace monsoonshelf::gateway
