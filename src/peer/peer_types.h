#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/base_types.h"
#include "base/result_codes.h"

namespace monsoonshelf::peer {

// Largest peer message, envelope and signature included.
inline constexpr std::size_t kMaxMessageBytes = 65536;

// Shared secret of the entry hosts.
struct Key {
  std::string id_;
  std::string secret_;
};

struct PeerCounters {
  std::uint64_t messages_in_ = 0;
  std::uint64_t messages_out_ = 0;
  std::uint64_t bytes_in_ = 0;  // Messages as sent, without TCP and nng framing.
  std::uint64_t bytes_out_ = 0;
  std::uint64_t dropped_out_ = 0;     // Not sent: no connection, queue full or too large.
  std::size_t outgoing_sockets_ = 0;  // Open now.
  std::map<ResultCode, std::uint64_t> rejected_;
};

}  // namespace monsoonshelf::peer
