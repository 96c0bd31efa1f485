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
// Sent with forwarded calls: the availability zone of the shard that the call is for.
inline constexpr char kShardZoneHeader[] = "Monsoonshelf-Shard-Zone";

// Sent with forwarded calls: proves that an entry host forwarded the call. Without it a caller
// could bypass the at-most-once rules of the home host.
inline constexpr char kHopSignatureHeader[] = "Monsoonshelf-Forwarded-Signature";
// On responses to calls that the dispatcher of another zone forwarded: the load of this shard.
inline constexpr char kShardLoadHeader[] = "Monsoonshelf-Shard-Load";

// A request as received by the HTTP server.
struct RawRequest {
  std::string method_;
  std::string path_;  // Percent-encoded, with query.
  Headers headers_;
  std::int64_t body_length_ = 0;  // Bytes; -1: chunked.
};

// Validates a request and applies the rule of its service. Returns the error response to send if
// the request is not valid.
std::variant<CallHead, ErrorResponse> ParseCall(const RawRequest& request, const EntryView& view,
                                                const EntrySettings& settings, Time now);

// Returns true for headers that are not passed on: hop-by-hop headers, headers that each hop sets
// itself, and all Monsoonshelf headers.
bool IsHopByHopHeader(std::string_view name);

// Returns the request headers to send to a target or to another entry host.
Headers OutgoingHeaders(const CallHead& head, Time deadline, int retry_budget, Time now);

// Parses `in_flight=..;slots=..;state=..;epoch=..`. Returns std::nullopt if it is malformed.
std::optional<dispatch::LoadReport> ParseLoadReport(std::string_view text);

// Format and parse `free_slots=..;queued=..;queued_interactive=..;ready_targets=..`. The zone and
// the delay are not included. Parsing returns std::nullopt if the text is malformed.
std::string FormatShardLoad(const dispatch::ShardSummary& summary);
std::optional<dispatch::RemoteShardLoad> ParseShardLoad(std::string_view text);

// Returns the signature of a forwarded call: an HMAC-SHA-256 in hexadecimal digits.
std::string SignHop(const std::string& secret, const std::string& hops, const std::string& zone,
                    const std::string& call_id);

// Parses hops such as `home,dispatch`. Returns std::nullopt if a hop is unknown, repeated or out of
// order.
std::optional<std::vector<Hop>> ParseHops(std::string_view text);
std::string FormatHops(const std::vector<Hop>& hops);

// Returns the value of the first header with this name, ignoring case; null if there is none.
const std::string* FindHeader(const Headers& headers, std::string_view name);

}  // namespace monsoonshelf::entry
