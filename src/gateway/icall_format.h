#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/gateway_types.h"
#include "http/http_types.h"

namespace monsoonshelf::gateway {

// What a request of a caller says about itself.
struct CallInfo {
  std::string id_;                     // Empty if the request has none.
  std::optional<Duration> time_left_;  // How long the caller waits.
  bool invalid_ = false;               // A header of the format can't be read.
};

// What the response of a target says about itself.
struct TargetResponseInfo {
  std::optional<std::string> call_id_;  // Request that it belongs to.
  bool is_signed_ = false;              // It comes from the target's service itself.
  bool not_run_ = false;                // The target states that it didn't run the request.
  bool misdirected_ = false;            // Another target has the address.
  bool is_encoded_ = false;             // Not the bytes of the service.
  std::optional<TargetLoad> load_;
};

struct ProbeResult {
  bool healthy_ = false;
  std::optional<TargetId> target_;  // Who answered.
  std::optional<TargetLoad> load_;
  Duration remaining_cold_time_{};
};

struct DirectoryQuery {
  std::string zone_;
};

// How requests, their answers and probes are written on the wire. Implementations translate and
// decide nothing.
class ICallFormat {
 public:
  virtual ~ICallFormat() = default;
  virtual CallInfo ReadCallInfo(const http::RequestHead& head) const = 0;
  // The request for a target; `time_left` is the time in which it must be answered.
  virtual std::string FormatTargetRequest(const http::RequestHead& head, std::string_view body,
                                          const TargetId& target, Duration time_left) const = 0;
  virtual TargetResponseInfo ReadTargetResponse(const http::ResponseHead& head) const = 0;
  // Headers of a target's response for the caller.
  virtual http::Headers HeadersForCaller(const http::ResponseHead& head) const = 0;
  // Headers of a response of our own.
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
