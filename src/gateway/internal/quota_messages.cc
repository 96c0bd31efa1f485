#include "gateway/quota_messages.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace monsoonshelf::gateway {

namespace {

using Json = nlohmann::json;

// Begins each message. The peer messages begin with a MessagePack map, which has another first
// byte.
constexpr std::string_view kPrefix = "Q1";
constexpr std::size_t kMaxEntries = 64;
// Larger numbers come from a faulty host, and would not fit into the types that hold them.
constexpr std::int64_t kMaxCount = 1'000'000;
constexpr std::int64_t kMaxMilliseconds = 3'600'000;

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

bool IsCount(const Json& item, std::int64_t max) {
  return item.is_number_integer() && item.get<std::int64_t>() >= 0 &&
         item.get<std::int64_t>() <= max;
}

std::optional<QuotaRequest> DecodeRequest(const Json& item) {
  if (!item.is_array() || item.size() < 4 || !item[0].is_string() ||
      !item[1].is_number_unsigned() || !IsCount(item[2], kMaxCount) ||
      !IsCount(item[3], kMaxCount)) {
    return std::nullopt;
  }
  return QuotaRequest{item[0].get<std::string>(), item[1].get<std::uint64_t>(), item[2].get<int>(),
                      item[3].get<int>()};
}

std::optional<QuotaReply> DecodeReply(const Json& item) {
  if (!item.is_array() || item.size() < 5 || !item[0].is_string() ||
      !item[1].is_number_unsigned() || !IsCount(item[2], kMaxCount) ||
      !IsCount(item[3], kMaxMilliseconds) || !IsCount(item[4], kMaxMilliseconds)) {
    return std::nullopt;
  }
  return QuotaReply{item[0].get<std::string>(), item[1].get<std::uint64_t>(), item[2].get<int>(),
                    std::chrono::milliseconds(item[3].get<std::int64_t>()),
                    std::chrono::milliseconds(item[4].get<std::int64_t>())};
}

// Returns whether all entries are valid.
template <typename Entry, typename Decode>
bool DecodeEntries(const Json& body, const char* key, std::vector<Entry>& entries, Decode decode) {
  const auto found = body.find(key);
  if (found == body.end()) return true;
  if (!found->is_array() || found->size() > kMaxEntries) return false;
  for (const Json& item : *found) {
    const auto entry = decode(item);
    if (!entry) return false;
    entries.push_back(*entry);
  }
  return true;
}

}  // namespace

bool IsQuotaMessage(std::string_view bytes) { return bytes.starts_with(kPrefix); }

std::string EncodeQuotaMessage(const QuotaMessage& message) {
  Json body = {{"n", message.sender_.host_},
               {"i", message.sender_.incarnation_},
               {"a", message.sender_address_}};
  for (const QuotaRequest& request : message.requests_) {
    body["q"].push_back({request.team_, request.sequence_, request.debit_, request.wanted_});
  }
  for (const QuotaReply& reply : message.replies_) {
    body["r"].push_back({reply.team_, reply.sequence_, reply.granted_,
                         std::min(ToMilliseconds(reply.retry_after_), kMaxMilliseconds),
                         std::min(ToMilliseconds(reply.must_ask_for_), kMaxMilliseconds)});
  }
  const std::vector<std::uint8_t> bytes = Json::to_msgpack(body);
  std::string text(kPrefix);
  text.append(bytes.begin(), bytes.end());
  return text;
}

std::optional<QuotaMessage> DecodeQuotaMessage(std::string_view bytes) {
  if (!IsQuotaMessage(bytes)) return std::nullopt;
  bytes.remove_prefix(kPrefix.size());
  const Json body = Json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  if (!body.is_object()) return std::nullopt;
  const auto name = body.find("n");
  const auto incarnation = body.find("i");
  const auto address = body.find("a");
  if (name == body.end() || !name->is_string() || incarnation == body.end() ||
      !incarnation->is_number_unsigned() || address == body.end() || !address->is_string()) {
    return std::nullopt;
  }
  QuotaMessage message;
  message.sender_ = {name->get<std::string>(), incarnation->get<Incarnation>()};
  message.sender_address_ = address->get<std::string>();
  if (!DecodeEntries(body, "q", message.requests_, DecodeRequest) ||
      !DecodeEntries(body, "r", message.replies_, DecodeReply)) {
    return std::nullopt;
  }
  return message;
}

}  // namespace monsoonshelf::gateway
