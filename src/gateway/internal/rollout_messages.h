#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/rollout.h"

namespace monsoonshelf::gateway {

// Datagram about a roll-out between two entry hosts. Hosts of an earlier version ignore it.
struct RolloutMessage {
  HostName sender_;
  std::string sender_address_;  // Where the reply is sent to.
  std::string service_;
  std::string target_version_;
  std::optional<Duration> elapsed_;  // Since the order; empty if the sender does not know it.
  RolloutReport report_;
  // When the report was sent, by the clock of its sender. A reply repeats it; a notice has none.
  Time report_sent_at_{};
  bool is_reply_ = false;  // Of a deciding host; it has no counts.
};

// Returns whether the datagram is a message about a roll-out.
bool IsRolloutMessage(std::string_view bytes);
std::string EncodeRolloutMessage(const RolloutMessage& message);
// Returns messages with the same counts together, each of which fits into a datagram.
std::vector<RolloutMessage> SplitRolloutMessage(const RolloutMessage& message);
// Returns std::nullopt if the bytes are not a valid message.
std::optional<RolloutMessage> DecodeRolloutMessage(std::string_view bytes);

}  // namespace monsoonshelf::gateway
