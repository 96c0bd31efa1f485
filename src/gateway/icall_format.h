#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/gateway_types.h"
#include "gateway/target_notices.h"
#include "http/http_types.h"

namespace monsoonshelf::gateway {

// Metadata of a caller's request.
struct CallInfo {
  std::string id_;                     // Empty if it is missing.
  std::optional<Duration> time_left_;  // Until the caller's deadline; empty if not given.
  bool invalid_ = false;               // A header of the format cannot be parsed.
  Credential credential_;
};

// The credentials with which a request is sent to a target.
struct TargetCredentials {
  // The configuration has teams: the caller's key must not reach the target.
  bool replaces_key_ = false;
  std::string team_;  // Name of the caller's team; empty if the request is anonymous.
};

// Metadata of a target's response.
struct TargetResponseInfo {
  std::optional<std::string> call_id_;  // Request that it answers; none if it answers a probe.
  bool is_signed_ = false;              // Signed by the service itself.
  bool not_run_ = false;                // The target did not execute the request.
  bool misdirected_ = false;            // Another target uses this address now.
  bool is_encoded_ = false;             // Content-encoded: not the original bytes of the service.
  std::optional<TargetLoad> load_;
  TargetNotice notice_;
};

struct ProbeResult {
  bool healthy_ = false;
  std::optional<TargetId> target_;  // The target that responded.
  // Request that the response belongs to. Such a response answers no probe.
  std::optional<std::string> call_id_;
  std::optional<TargetLoad> load_;
  Duration remaining_cold_time_{};
  TargetNotice notice_;
};

struct DirectoryQuery {
  std::string zone_;
};

// Wire format of requests, responses, probes and directory queries. Implementations only translate;
// they make no decisions.
class ICallFormat {
 public:
  virtual ~ICallFormat() = default;
  virtual CallInfo ReadCallInfo(const http::RequestHead& head) const = 0;
  // Returns the bytes of the request to a target. `time_left` is the time until its deadline.
  virtual std::string FormatTargetRequest(const http::RequestHead& head, std::string_view body,
                                          const TargetId& target, Duration time_left,
                                          const TargetCredentials& credentials) const = 0;
  virtual TargetResponseInfo ReadTargetResponse(const http::ResponseHead& head) const = 0;
  // Returns the headers of a target's response that are forwarded to the caller.
  virtual http::Headers HeadersForCaller(const http::ResponseHead& head) const = 0;
  // Returns the headers of a response that the entry host generates itself.
  virtual http::Headers HeadersForLocalResponse(const std::string& call_id) const = 0;

  virtual std::string FormatProbeRequest(const std::string& address,
                                         const std::string& path) const = 0;
  virtual ProbeResult ReadProbeResponse(const http::ResponseHead& head) const = 0;

  virtual bool IsReadinessQuery(const http::RequestHead& head) const = 0;
  virtual std::optional<DirectoryQuery> ReadDirectoryQuery(const http::RequestHead& head) const = 0;
  virtual std::string FormatDirectoryResponse(const std::vector<std::string>& addresses,
                                              Duration time_to_live) const = 0;
};

}  // namespace monsoonshelf::gateway
