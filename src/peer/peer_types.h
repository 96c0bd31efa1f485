#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/base_types.h"
#include "base/result_codes.h"

namespace monsoonshelf::peer {

// Maximum size of a peer message, including envelope and signature.
inline constexpr std::size_t kMaxMessageBytes = 65536;

// Secret that all entry hosts share, with which they sign peer messages.
struct Key {
  std::string id_;
  std::string secret_;
};

struct PeerCounters {
  std::uint64_t messages_in_ = 0;
  std::uint64_t messages_out_ = 0;
  std::uint64_t bytes_in_ = 0;  // Size of the messages, without TCP and nng framing.
  std::uint64_t bytes_out_ = 0;
  std::uint64_t messages_dropped_ =
      0;                              // Not sent: no socket, send queue full or message too large.
  std::size_t outgoing_sockets_ = 0;  // Currently open.
  std::map<ResultCode, std::uint64_t> rejected_;  // Received messages that were dropped, by reason.
};

}  // namespace monsoonshelf::peer
