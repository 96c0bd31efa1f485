#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dispatch/dispatcher.h"
#include "entry/entry_types.h"

namespace monsoonshelf::entry {

inline constexpr char kCallIdHeader[] = "Monsoonshelf-Call-Id";
inline constexpr char kDeadlineHeader[] = "Monsoonshelf-Deadline-Ms";
inline constexpr char kDepthHeader[] = "Monsoonshelf-Depth";
inline constexpr char kRetryBudgetHeader[] = "Monsoonshelf-Retry-Budget";
inline constexpr char kOutcomeHeader[] = "Monsoonshelf-Outcome";
inline constexpr char kResultCodeHeader[] = "Monsoonshelf-Result-Code";
inline constexpr char kForwardedHeader[] = "Monsoonshelf-Forwarded";
inline constexpr char kLoadHeader[] = "Monsoonshelf-Load";
// Between entry hosts: the availability zone of the shard that a forwarded call is for.
inline constexpr char kShardZoneHeader[] = "Monsoonshelf-Shard-Zone";

// Between entry hosts: proves that an entry host forwarded the call, so that a caller cannot pass
// over the rules of the home host.
inline constexpr char kHopSignatureHeader[] = "Monsoonshelf-Forwarded-Signature";
// On answers to calls that came from the dispatcher of another zone: the load of this shard.
inline constexpr char kShardLoadHeader[] = "Monsoonshelf-Shard-Load";

// Request as the HTTP server read it.
struct RawRequest {
  std::string method_;
  std::string path_;  // Encoded, with query.
  Headers headers_;
  std::int64_t body_length_ = 0;  // -1: chunked.
};

// Validates a call and finds its service and rule.
std::variant<CallHead, Refusal> ParseCall(const RawRequest& request, const EntryView& view,
                                          const EntrySettings& settings, Time now);

// True for headers that end at this hop or that each hop writes itself.
bool IsHopHeader(std::string_view name);

// Headers that go with a call to a target or to another entry host.
Headers OutgoingHeaders(const CallHead& head, Time deadline, int retry_budget, Time now);

// Parses `in_flight=..;slots=..;state=..;epoch=..`; nothing if it is malformed.
std::optional<dispatch::LoadReport> ParseLoad(std::string_view text);

// Formats and parses `free_slots=..;queued=..;queued_interactive=..;ready_targets=..`. Zone and
// delay are not part of it.
std::string FormatShardLoad(const dispatch::ShardSummary& summary);
std::optional<dispatch::RemoteShardLoad> ParseShardLoad(std::string_view text);

// Returns the HMAC-SHA-256, in hexadecimal digits, of a hop.
std::string SignHop(const std::string& secret, const std::string& hops, const std::string& zone,
                    const std::string& call_id);

// Parses hops such as `home,dispatch`; nothing if one is unknown, repeated or out of order.
std::optional<std::vector<Hop>> ParseHops(std::string_view text);
std::string FormatHops(const std::vector<Hop>& hops);

const std::string* FindHeader(const Headers& headers, std::string_view name);

}  // namespace monsoonshelf::entry
