#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/base_types.h"
#include "base/enum_names.h"
#include "http/http_types.h"
#include "http/server_connection.h"

namespace monsoonshelf::gateway {

using TargetId = std::string;
using Revision = std::int64_t;

// Whether a request may run more than once. Downloads are idempotent and have large answers.
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

// One sending rule: which requests it takes, where they go and within which bounds.
struct Route {
  std::string name_;
  std::string host_;
  std::string path_prefix_;  // Begins and ends with a slash.
  RequestKind kind_ = RequestKind::kNonIdempotent;
  std::vector<WeightedService> services_;
  Duration timeout_ = std::chrono::seconds(30);  // Until the final answer, waiting included.
  Duration latency_objective_{};                 // 0: none.
  int max_attempts_ = 1;                         // Targets that one request may be sent to.
  int priority_ = 0;                             // 0 is the highest.
};

struct ServiceSpec {
  std::string name_;
  std::string health_path_ = "/healthz";
  int max_connections_ = 64;             // Of one target, from all entry hosts together.
  double cold_requests_per_second_ = 1;  // Requests per second that a cold target bears.
};

struct Configuration {
  std::int64_t version_ = 0;
  std::vector<Route> routes_;
  std::map<std::string, ServiceSpec> services_;
  http::ServerLimits limits_;
};

// A target as it registered itself.
struct TargetRecord {
  TargetId id_;
  std::string service_;
  std::string zone_;
  std::string address_;  // IP:port.
  int slots_ = 1;
  bool draining_ = false;
  Duration remaining_cold_time_{};
  std::int64_t started_unix_ms_ =
      0;  // Unix time of its start in milliseconds; tells incarnations apart.
};

// An availability zone whose targets get no work.
struct EvacuatedZone {
  std::string zone_;
};

// An entry host as it registered itself.
struct HostRecord {
  HostName name_;
  std::string zone_;
  std::string front_address_;    // For callers.
  std::string peer_address_;     // For datagrams of other entry hosts.
  std::string control_address_;  // Where other entry hosts read records.
  Incarnation incarnation_ = 0;
  int capacity_ = 0;  // Processor and link, to compare hosts; see ReaderRank.
};

enum class RecordKind { kConfiguration, kTarget, kEvacuation, kHost };

inline constexpr EnumNames<RecordKind, 4> kRecordKindNames = {{
    {RecordKind::kConfiguration, "configuration"},
    {RecordKind::kTarget, "target"},
    {RecordKind::kEvacuation, "evacuation"},
    {RecordKind::kHost, "host"},
}};

// An object of the store. An unreadable one has no value and a text that says what is wrong.
struct StoredRecord {
  std::string name_;
  Revision revision_ = 0;
  std::variant<std::monostate, Configuration, TargetRecord, EvacuatedZone, HostRecord> value_;
  std::string problem_;
  std::string text_;  // The object as the store sent it, to pass on to other entry hosts.
};

// What a target says about its load.
struct TargetLoad {
  int running_ = 0;
  int waiting_ = 0;
  int slots_ = 1;
  int slowness_percent_ = 100;  // How long work takes on its machine now; 100 is as usual.
};

// Numbers that bound the fleet as a whole, from the settings.
struct FleetBounds {
  double retry_ratio_ = 0.2;  // Repeated sends per request of a service.
  double extra_retries_per_window_ =
      10;  // Repeated sends of a service per window beyond the ratio.
  Duration retry_window_ = std::chrono::seconds(10);
  double cold_rate_factor_ =
      1;  // Allowed sends to a cold target: rate * factor + slack in a second.
  double cold_rate_slack_ = 0;
  Duration stop_time_ = std::chrono::seconds(6);  // From SIGTERM to the end of the process.
  Duration max_directory_ttl_ = std::chrono::seconds(5);
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
  bool is_bootstrap_ = false;  // The fleet starts for the first time.
  std::int64_t memory_bytes_ = std::int64_t{256} << 20;
};

}  // namespace monsoonshelf::gateway
