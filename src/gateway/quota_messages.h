#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/quota.h"

namespace monsoonshelf::gateway {

// Datagram about quotas between two entry hosts. Hosts of an earlier version ignore it.
struct QuotaMessage {
  QuotaSender sender_;
  std::string sender_address_;  // Where replies are sent to.
  std::vector<QuotaRequest> requests_;
  std::vector<QuotaReply> replies_;  // Replies to requests, or notices to all hosts.
};

// Returns whether the datagram is a quota message, and not one of zone_peers.h.
bool IsQuotaMessage(std::string_view bytes);
std::string EncodeQuotaMessage(const QuotaMessage& message);
// Returns std::nullopt if the bytes are not a valid message.
std::optional<QuotaMessage> DecodeQuotaMessage(std::string_view bytes);

}  // namespace monsoonshelf::gateway
