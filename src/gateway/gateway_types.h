#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/base_types.h"
#include "base/enum_names.h"
#include "gateway/teams.h"
#include "http/http_types.h"
#include "http/server_connection.h"

namespace monsoonshelf::gateway {

using TargetId = std::string;
using Revision = std::int64_t;

// Tells whether a request may be executed more than once. Downloads are idempotent and have large
// responses.
enum class RequestKind { kSafe, kNonIdempotent, kDownload };

inline constexpr EnumNames<RequestKind, 3> kRequestKindNames = {{
    {RequestKind::kSafe, "safe"},
    {RequestKind::kNonIdempotent, "non_idempotent"},
    {RequestKind::kDownload, "download"},
}};

constexpr bool IsIdempotent(RequestKind kind) { return kind != RequestKind::kNonIdempotent; }

struct WeightedService {
  std::string name_;
  double weight_ = 1;
};

// A routing rule: the requests that it matches, their services and their limits.
struct Route {
  std::string name_;
  std::string host_;
  std::string path_prefix_;  // Starts and ends with a slash.
  RequestKind kind_ = RequestKind::kNonIdempotent;
  std::vector<WeightedService> services_;
  Duration timeout_ = std::chrono::seconds(30);  // Until the final response, waiting time included.
  Duration latency_objective_{};                 // Zero if there is none.
  int max_attempts_ = 1;                         // Targets that a request may be sent to.
  int priority_ = 0;                             // 0 is the highest priority.
  bool allows_anonymous_ = false;                // Requests need no API key.
};

struct ServiceSpec {
  std::string name_;
  std::string health_path_ = "/healthz";
  int max_connections_ = 64;             // To one target, from all entry hosts together.
  double cold_requests_per_second_ = 1;  // That a target can handle while it warms up.
};

struct Configuration {
  std::int64_t version_ = 0;
  std::vector<Route> routes_;
  std::map<std::string, ServiceSpec> services_;
  http::ServerLimits limits_;
  // Empty if the deployment has no teams; requests then need no key.
  std::optional<TeamTable> teams_;
};

// Registration of a target, written by the target.
struct TargetRecord {
  TargetId id_;
  std::string service_;
  std::string zone_;
  std::string address_;  // IP:port.
  int slots_ = 1;        // Requests that it runs concurrently.
  std::string version_;  // Of its software; empty if unknown.
  bool draining_ = false;
  Duration remaining_cold_time_{};
  std::int64_t started_unix_ms_ = 0;  // Start of its process; distinguishes its incarnations.
};

// An availability zone whose targets must not receive requests.
struct EvacuatedZone {
  std::string zone_;
};

// Registration of an entry host, written by the entry host.
struct HostRecord {
  HostName name_;
  std::string zone_;
  std::string front_address_;    // Accepts callers.
  std::string peer_address_;     // Receives datagrams from other entry hosts.
  std::string control_address_;  // Serves records to other entry hosts.
  Incarnation incarnation_ = 0;
  int capacity_ = 0;  // Of processor and link, 1000 per core; see ReaderRank.
};

enum class RolloutState { kOrdered, kRunning, kSucceeded, kRolledBack };

inline constexpr EnumNames<RolloutState, 4> kRolloutStateNames = {{
    {RolloutState::kOrdered, "ordered"},
    {RolloutState::kRunning, "running"},
    {RolloutState::kSucceeded, "succeeded"},
    {RolloutState::kRolledBack, "rolled_back"},
}};

// Order of the operator to replace the version of a service, and how far it was carried out.
struct RolloutOrder {
  std::string service_;
  std::string target_version_;
  Duration duration_{};  // The state must be final this long after the order.
  RolloutState state_ = RolloutState::kOrdered;
  Revision revision_ = 0;  // Of the object in the store.
};

enum class RecordKind { kConfiguration, kTarget, kEvacuation, kHost, kRollout };

inline constexpr EnumNames<RecordKind, 5> kRecordKindNames = {{
    {RecordKind::kConfiguration, "configuration"},
    {RecordKind::kTarget, "target"},
    {RecordKind::kEvacuation, "evacuation"},
    {RecordKind::kHost, "host"},
    {RecordKind::kRollout, "rollout"},
}};

// An object of the store. If it cannot be read, value_ is empty and problem_ describes the error.
struct StoredRecord {
  std::string name_;
  Revision revision_ = 0;
  std::variant<std::monostate, Configuration, TargetRecord, EvacuatedZone, HostRecord, RolloutOrder>
      value_;
  std::string problem_;
  std::string text_;  // As received from the store, for other entry hosts.
};

// Load that a target reports.
struct TargetLoad {
  int running_ = 0;  // Requests that it runs now.
  int waiting_ = 0;  // Requests in its queue.
  int slots_ = 1;
  int slowness_percent_ = 100;  // Service time relative to normal; 100 is normal.
};

// Limits for the whole fleet, from the settings.
struct FleetBounds {
  double retry_ratio_ = 0.2;              // Retries per request of a service.
  double extra_retries_per_window_ = 10;  // Of a service, in addition to the ratio.
  Duration retry_window_ = std::chrono::seconds(10);
  double cold_rate_factor_ = 1;  // Requests per second to a cold target: rate * factor + slack.
  double cold_rate_slack_ = 0;
  Duration stop_time_ = std::chrono::seconds(6);  // Maximum time from SIGTERM to the process exit.
  Duration max_directory_ttl_ = std::chrono::seconds(5);
  // A request that was sent this long after its key was withdrawn must not run on any host.
  bool strict_revocation_ = false;
  Duration revocation_time_ = std::chrono::seconds(5);
  // Requests of a team that may run in any window: (rate x window + burst) x (1 + overage) + slack.
  Duration quota_window_ = std::chrono::seconds(5);
  double quota_overage_ = 0.1;
  double quota_slack_ = 20;
  bool has_rollouts_ = false;  // The settings contain a bound on the exposure.
  // Requests that a version under roll-out may receive: share of its service's requests + slack.
  double exposure_share_ = 0.1;
  double exposure_slack_ = 50;
  // A bad version receives no request that is sent later than this after its 50th bad response.
  Duration rollback_time_ = std::chrono::seconds(5);
};

struct GatewaySettings {
  HostName name_;
  std::string zone_;
  std::string region_;
  std::string front_address_;
  std::string readiness_address_;
  std::string directory_address_;
  std::string control_address_;
  std::string metrics_address_;
  std::string peer_address_;
  std::string store_address_;
  std::vector<std::string> seeds_;  // Control addresses of other entry hosts.
  FleetBounds bounds_;
  int capacity_ = 0;
  bool is_bootstrap_ = false;  // First start of the fleet: no host is registered.
  std::int64_t memory_bytes_ = std::int64_t{256} << 20;
  int max_descriptors_ = 0;  // Of the process; 0: unknown, connections are not limited.
  // See http::ServerLimits.
  Duration body_timeout_ = std::chrono::seconds(10);
  Duration response_timeout_ = std::chrono::seconds(30);
  std::size_t max_fields_ = http::kMaxRequestFields;
  // Once the deadline of its request has passed, a streamed response is ended after this time in
  // which its target sent nothing. Covers the repetition of a lost packet.
  Duration target_stall_timeout_ = std::chrono::milliseconds(400);
  // The same for a caller that does not read.
  Duration stream_stall_timeout_ = std::chrono::seconds(30);
  // Requests of a service that may be sent to a second target while the first one is slow, as a
  // share of its requests that may be repeated. Empty: only the retry budget limits them.
  std::optional<double> max_hedge_share_;
};

}  // namespace monsoonshelf::gateway
