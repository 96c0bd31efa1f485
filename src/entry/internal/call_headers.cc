#include "entry/internal/call_headers.h"

#include <glib.h>
#include <strings.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <set>

namespace monsoonshelf::entry {

namespace {

constexpr std::size_t kMaxCallIdBytes = 256;
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

template <typename Int>
std::optional<Int> ParseInt(std::string_view text, Int low, Int high) {
  Int value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  if (value < low || value > high) return std::nullopt;
  return value;
}

ErrorResponse NotRunError(int status, ResultCode code, std::string reason) {
  return {status, CallOutcome::kNotRun, code, std::move(reason)};
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c < 0x7f &&
           std::string_view("()<>@,;:\\\"/[]?={}").find(c) == std::string_view::npos;
  });
}

bool HasControlCharacters(std::string_view text) {
  return std::any_of(text.begin(), text.end(),
                     [](char c) { return static_cast<unsigned char>(c) < ' ' && c != '\t'; });
}

// Splits `/s/<service>/<path>` into service and path. Returns false if the form does not match.
bool SplitPath(const std::string& path, CallHead& head) {
  if (!path.starts_with("/s/")) return false;
  const std::size_t end = path.find_first_of("/?", 3);
  head.service_ = path.substr(3, end == std::string::npos ? std::string::npos : end - 3);
  head.path_ = end == std::string::npos ? "/" : path.substr(end);
  if (head.path_[0] == '?') head.path_.insert(0, "/");
  return !head.service_.empty();
}

std::optional<ErrorResponse> CheckHeaders(const RawRequest& request,
                                          const EntrySettings& settings) {
  std::size_t bytes = request.path_.size();
  for (const auto& [name, value] : request.headers_) {
    bytes += name.size() + value.size() + 4;
    if (!IsToken(name) || HasControlCharacters(value)) {
      return NotRunError(400, ResultCode::kRequestMalformed, "a header name or value is malformed");
    }
  }
  if (bytes > settings.max_header_bytes_) {
    return NotRunError(431, ResultCode::kHeaderTooLarge,
                       "the request line and headers have " + std::to_string(bytes) +
                           " bytes; at most " + std::to_string(settings.max_header_bytes_) +
                           " are allowed");
  }
  return std::nullopt;
}

// Parses the headers for deadline, call depth and retry budget.
std::optional<ErrorResponse> ParseLimits(const RawRequest& request, const records::Rule& rule,
                                         Time now, CallHead& head) {
  head.deadline_ = now + rule.deadline_;
  if (const auto* text = FindHeader(request.headers_, kDeadlineHeader)) {
    const auto value = ParseInt<std::int64_t>(*text, 0, kMaxDeadlineMs);
    if (!value) {
      return NotRunError(400, ResultCode::kDeadlineInvalid,
                         std::string(kDeadlineHeader) +
                             " must be a number of milliseconds from 0 to " +
                             std::to_string(kMaxDeadlineMs));
    }
    head.deadline_ = std::min(head.deadline_, now + std::chrono::milliseconds(*value));
    if (*value == 0) {
      return ErrorResponse{504, CallOutcome::kNotRun, ResultCode::kDeadlinePassed,
                           "the deadline passed before the call arrived"};
    }
  }
  if (const auto* text = FindHeader(request.headers_, kDepthHeader)) {
    const auto value = ParseInt(*text, 0, 1'000'000);
    if (!value) return NotRunError(400, ResultCode::kRequestMalformed, "the depth is not a number");
    if (*value > kMaxDepth) {
      return NotRunError(400, ResultCode::kDepthExceeded,
                         "the call tree is deeper than " + std::to_string(kMaxDepth) + " levels");
    }
    head.depth_ = *value;
  }
  if (const auto* text = FindHeader(request.headers_, kRetryBudgetHeader)) {
    const auto value = ParseInt(*text, 0, 1'000'000);
    if (!value) {
      return NotRunError(400, ResultCode::kRequestMalformed, "the retry budget is not a number");
    }
    head.retry_budget_ = std::min(*value, kMaxRetryBudget);
  }
  return std::nullopt;
}

bool HasValidHopSignature(const RawRequest& request, const EntrySettings& settings,
                          const CallHead& head) {
  if (head.hops_.empty() || settings.hop_secrets_.empty()) return true;
  const auto* signature = FindHeader(request.headers_, kHopSignatureHeader);
  const auto* zone = FindHeader(request.headers_, kShardZoneHeader);
  if (signature == nullptr || zone == nullptr) return false;
  return std::any_of(
      settings.hop_secrets_.begin(), settings.hop_secrets_.end(), [&](const std::string& secret) {
        return *signature == SignHop(secret, FormatHops(head.hops_), *zone, head.call_id_);
      });
}

std::optional<ErrorResponse> ParseHopsAndCallId(const RawRequest& request, CallHead& head) {
  if (const auto* text = FindHeader(request.headers_, kForwardedHeader)) {
    const auto hops = ParseHops(*text);
    if (!hops) {
      return NotRunError(400, ResultCode::kForwardLoop,
                         "the call was forwarded more than once for the same purpose");
    }
    head.hops_ = *hops;
  }
  if (const auto* text = FindHeader(request.headers_, kCallIdHeader)) {
    if (text->empty() || text->size() > kMaxCallIdBytes) {
      return NotRunError(400, ResultCode::kCallIdInvalid,
                         "the call identifier has an invalid length");
    }
    head.call_id_ = *text;
  } else if (!head.idempotent_) {
    return NotRunError(
        400, ResultCode::kCallIdMissing,
        std::string("a call that is not idempotent needs the header ") + kCallIdHeader);
  }
  if (head.idempotent_) return std::nullopt;
  return Recover(
      [&]() -> Result<std::optional<ErrorResponse>> {
        BOOST_LEAF_ASSIGN(head.parsed_call_id_, outcomes::ParseCallId(head.call_id_));
        return std::optional<ErrorResponse>();
      },
      [](const Error& error) {
        return std::optional<ErrorResponse>(
            NotRunError(400, ResultCode::kCallIdInvalid, error.message_));
      });
}

void ApplyRule(const records::Rule& rule, CallHead& head) {
  head.class_ = rule.class_;
  head.priority_ = rule.priority_;
  head.idempotent_ = rule.idempotent_;
  head.max_attempts_ = rule.max_attempts_;
  head.zone_preference_ = rule.zone_preference_;
  head.max_request_body_bytes_ = rule.max_request_body_;
}

}  // namespace

const std::string* FindHeader(const Headers& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (EqualsIgnoreCase(key, name)) return &value;
  }
  return nullptr;
}

bool IsHopByHopHeader(std::string_view name) {
  static constexpr std::string_view kNames[] = {"Connection",
                                                "Keep-Alive",
                                                "Proxy-Authenticate",
                                                "Proxy-Authorization",
                                                "TE",
                                                "Transfer-Encoding",
                                                "Trailer",
                                                "Upgrade",
                                                "Host",
                                                "Content-Length",
                                                "Expect",
                                                "Proxy-Connection",
                                                "Date"};
  if (name.size() > 13 && EqualsIgnoreCase(name.substr(0, 13), "Monsoonshelf-")) return true;
  return std::any_of(std::begin(kNames), std::end(kNames),
                     [&](std::string_view entry) { return EqualsIgnoreCase(entry, name); });
}

std::variant<CallHead, ErrorResponse> ParseCall(const RawRequest& request, const EntryView& view,
                                                const EntrySettings& settings, Time now) {
  CallHead head;
  head.received_ = now;
  if (const auto error = CheckHeaders(request, settings)) return *error;
  if (!IsToken(request.method_)) {
    return NotRunError(400, ResultCode::kRequestMalformed, "the method is malformed");
  }
  if (!SplitPath(request.path_, head)) {
    return NotRunError(404, ResultCode::kRequestMalformed,
                       "paths of calls are /s/<service>/<path>");
  }
  const auto service = view.snapshot_->services_.find(head.service_);
  if (service == view.snapshot_->services_.end()) {
    return NotRunError(404, ResultCode::kUnknownService,
                       "service \"" + head.service_ + "\" does not exist");
  }
  head.method_ = request.method_;
  const auto& rule = configuration::FindRule(service->second, head.method_,
                                             head.path_.substr(0, head.path_.find('?')));
  ApplyRule(rule, head);
  if (auto error = ParseLimits(request, rule, now, head)) return *error;
  if (auto error = ParseHopsAndCallId(request, head)) return *error;
  if (!HasValidHopSignature(request, settings, head)) {
    return NotRunError(403, ResultCode::kPeerMessageUnsigned,
                       std::string(kForwardedHeader) + " has no valid signature of an entry host");
  }
  head.body_length_ = request.body_length_;
  if (head.body_length_ > head.max_request_body_bytes_) {
    return NotRunError(413, ResultCode::kBodyTooLarge,
                       "the request body has more than " +
                           std::to_string(head.max_request_body_bytes_) + " bytes");
  }
  const auto* zone = FindHeader(request.headers_, kShardZoneHeader);
  head.shard_zone_ = zone != nullptr && !head.hops_.empty() ? *zone : settings.zone_;
  for (const auto& header : request.headers_) {
    if (!IsHopByHopHeader(header.first)) head.headers_.push_back(header);
  }
  return head;
}

Headers OutgoingHeaders(const CallHead& head, Time deadline, int retry_budget, Time now) {
  Headers headers = head.headers_;
  const auto left = std::max(Duration(0), deadline - now);
  // Rounded down: the receiver must not assume more time than is left.
  headers.emplace_back(kDeadlineHeader, std::to_string(left.count() / 1000));
  headers.emplace_back(kDepthHeader, std::to_string(head.depth_));
  headers.emplace_back(kRetryBudgetHeader, std::to_string(retry_budget));
  if (!head.call_id_.empty()) headers.emplace_back(kCallIdHeader, head.call_id_);
  return headers;
}

namespace {

// Removes the next `key=value` from a semicolon-separated list and returns it; std::nullopt if it
// is malformed.
std::optional<std::pair<std::string_view, std::string_view>> ConsumeField(std::string_view& text) {
  const std::size_t end = std::min(text.find(';'), text.size());
  const std::string_view field = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  const std::size_t equals = field.find('=');
  if (equals == std::string_view::npos) return std::nullopt;
  std::string_view key = field.substr(0, equals);
  while (key.starts_with(' ')) key.remove_prefix(1);
  return std::pair(key, field.substr(equals + 1));
}

}  // namespace

std::string FormatShardLoad(const dispatch::ShardSummary& summary) {
  return "free_slots=" + std::to_string(summary.free_slots_) +
         ";queued=" + std::to_string(summary.queued_) +
         ";queued_interactive=" + std::to_string(summary.queued_interactive_) +
         ";ready_targets=" + std::to_string(summary.ready_targets_);
}

std::optional<dispatch::RemoteShardLoad> ParseShardLoad(std::string_view text) {
  dispatch::RemoteShardLoad shard;
  const std::map<std::string_view, int*> members{{"free_slots", &shard.free_slots_},
                                                 {"queued", &shard.queued_},
                                                 {"queued_interactive", &shard.queued_interactive_},
                                                 {"ready_targets", &shard.ready_targets_}};
  std::set<std::string_view> seen;
  while (!text.empty()) {
    const auto field = ConsumeField(text);
    if (!field) return std::nullopt;
    const auto member = members.find(field->first);
    if (member == members.end()) continue;
    const auto number = ParseInt(field->second, 0, 1'000'000);
    if (!number) return std::nullopt;
    *member->second = *number;
    seen.insert(member->first);
  }
  if (seen.size() != members.size()) return std::nullopt;
  return shard;
}

std::optional<dispatch::LoadReport> ParseLoadReport(std::string_view text) {
  dispatch::LoadReport report;
  int seen = 0;
  while (!text.empty()) {
    const auto field = ConsumeField(text);
    if (!field) return std::nullopt;
    const auto& [key, value] = *field;
    if (key == "in_flight" || key == "slots") {
      const auto number = ParseInt(value, 0, 1'000'000);
      if (!number) return std::nullopt;
      (key == "slots" ? report.slots_ : report.in_flight_) = *number;
    } else if (key == "state") {
      const auto phase = ValueOf(dispatch::kTargetPhaseNames, value);
      if (!phase || *phase > dispatch::TargetPhase::kDraining) return std::nullopt;
      report.phase_ = *phase;
    } else if (key == "epoch") {
      const auto epoch = ParseInt<std::uint64_t>(value, 0, UINT64_MAX);
      if (!epoch) return std::nullopt;
      report.epoch_ = *epoch;
    } else {
      continue;
    }
    ++seen;
  }
  if (seen != 4) return std::nullopt;
  return report;
}

std::string SignHop(const std::string& secret, const std::string& hops, const std::string& zone,
                    const std::string& call_id) {
  const std::string text = "hop\n" + hops + "\n" + zone + "\n" + call_id;
  gchar* digest =
      g_compute_hmac_for_string(G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(secret.data()),
                                secret.size(), text.data(), static_cast<gssize>(text.size()));
  std::string signature(digest);
  g_free(digest);
  return signature;
}

std::optional<std::vector<Hop>> ParseHops(std::string_view text) {
  std::vector<Hop> hops;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(','), text.size());
    std::string_view name = text.substr(0, end);
    while (name.starts_with(' ')) name.remove_prefix(1);
    const auto hop = ValueOf(kHopNames, name);
    if (!hop || *hop == Hop::kNone) return std::nullopt;
    if (!hops.empty() && *hop <= hops.back()) return std::nullopt;
    hops.push_back(*hop);
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return hops;
}

std::string FormatHops(const std::vector<Hop>& hops) {
  std::string text;
  for (const Hop hop : hops) {
    if (!text.empty()) text += ',';
    text += NameOf(kHopNames, hop);
  }
  return text;
}

}  // namespace monsoonshelf::entry
