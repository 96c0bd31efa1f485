#pragma once

#include <unistd.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/base_types.h"
#include "base/call_outcome.h"
#include "base/result_codes.h"
#include "configuration/configuration.h"
#include "coordination/coordination_types.h"
#include "coordination/node.h"
#include "dispatch/dispatch_types.h"
#include "outcomes/outcome_table.h"

namespace monsoonshelf::entry {

// Largest accepted value of the depth header; a call without the header has depth 0.
inline constexpr int kMaxDepth = 19;
// Retries for the whole call tree if the caller does not specify a budget.
inline constexpr int kDefaultRetryBudget = 1;
inline constexpr int kMaxRetryBudget = 16;
// Request bodies up to this size are buffered: the call can be retried, and it is placed only after
// the whole body has arrived. Larger bodies are streamed.
inline constexpr std::size_t kSmallBodyBytes = std::size_t{64} * 1024;
// Size of a chunk of a streamed body. At most one chunk per call and direction is buffered.
inline constexpr std::size_t kChunkBytes = std::size_t{64} * 1024;

struct EntrySettings {
  HostName name_;
  Incarnation incarnation_ = 0;
  std::string zone_;
  std::string listen_address_ = "127.0.0.1:0";  // IP:port; with port 0 the OS chooses.
  // Secrets shared by the entry hosts. The first one signs forwarded calls; a signature by any of
  // them is accepted. If the list is empty, signatures are not checked.
  std::vector<std::string> hop_secrets_;
  int data_tasks_ = 2;
  std::size_t max_header_bytes_ = std::size_t{16} * 1024;
  std::size_t max_buffered_bytes_ = std::size_t{32} << 20;  // Limit for the bodies of all calls.
  int max_hosts_ = 64;           // Entry hosts that share the connection limit of a target.
  std::size_t max_queue_ = 256;  // Queued calls per shard.
  // How long callers may use the list of entry hosts before they fetch it again.
  Duration keep_time_ = std::chrono::seconds(5);
  Duration stop_time_ = std::chrono::seconds(30);  // Timeout of a graceful stop.
  outcomes::OutcomeTableLimits outcomes_;
  std::uint64_t random_seed_ = 0;  // 0: a random seed.
};

using ShardKey = std::pair<std::string, std::string>;  // Service and availability zone.

// Entry hosts that are responsible for a shard.
struct ShardPlacement {
  std::optional<coordination::MemberUpdate> dispatcher_;
  // Recommended to callers, most preferred first.
  std::vector<coordination::MemberUpdate> entry_hosts_;
};

// Immutable snapshot of the configuration and the cluster state, read by the call path.
struct EntryView {
  std::shared_ptr<const configuration::Snapshot> snapshot_;
  std::vector<coordination::MemberUpdate> members_;
  std::map<ShardKey, ShardPlacement> placements_;
  std::map<ShardKey, coordination::AssignmentView> assignments_;
  bool has_configuration_ = false;
  bool isolated_ = false;  // This host can reach neither the platform nor a peer.
};
using EntryViewPtr = std::shared_ptr<const EntryView>;

using Headers = std::vector<std::pair<std::string, std::string>>;

// Purpose for which one entry host forwards a call to another. A call takes each hop at most once
// and only in this order.
enum class Hop { kNone, kHome, kDispatch, kSpill };

inline constexpr EnumNames<Hop, 4> kHopNames = {{
    {Hop::kNone, ""},
    {Hop::kHome, "home"},
    {Hop::kDispatch, "dispatch"},
    {Hop::kSpill, "spill"},
}};

// Request line and headers of a call with the values derived from them. Immutable once it is shared
// between tasks.
struct CallHead {
  std::string method_;
  std::string service_;
  std::string path_;  // With query, as sent to the target.
  Headers headers_;   // End-to-end headers of the request.
  std::string call_id_;
  std::optional<outcomes::CallId> parsed_call_id_;  // Not set for idempotent calls.
  Time received_{};
  Time deadline_{};
  int depth_ = 0;
  int retry_budget_ = kDefaultRetryBudget;
  std::vector<Hop> hops_;
  std::string shard_zone_;  // Zone of the shard that dispatches the call.
  records::CallClass class_ = records::CallClass::kInteractive;
  records::ZonePreference zone_preference_ = records::ZonePreference::kOwnFirst;
  int priority_ = 0;
  int max_attempts_ = 1;
  bool idempotent_ = false;
  std::int64_t max_request_body_bytes_ = 0;
  std::int64_t body_length_ = 0;  // Bytes; -1: chunked.
};
using CallHeadPtr = std::shared_ptr<const CallHead>;

// Owns a file descriptor and closes it on destruction.
class FileDescriptor {
 public:
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
  ~FileDescriptor() {
    if (descriptor_ >= 0) close(descriptor_);
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  int Get() const { return descriptor_; }

 private:
  int descriptor_;
};

// Body of a request: either buffered completely, or read from a pipe that the data task which
// accepted the call writes.
struct RequestBody {
  std::shared_ptr<const std::string> bytes_;    // Complete body; null if streamed.
  std::shared_ptr<const FileDescriptor> pipe_;  // Read end.
};

// Status, headers and metadata of a response.
struct ResponseHead {
  int status_ = 0;
  Headers headers_;
  std::int64_t body_length_ = -1;  // Bytes; -1: chunked.
  CallOutcome outcome_ = CallOutcome::kUnknown;
  ResultCode code_ = ResultCode::kOk;
  std::optional<int> retry_budget_;  // Retries left for the call tree, if reported.
  // Unparsed shard load header, if a shard in another zone answered.
  std::string shard_load_;
  Duration target_time_{};  // Duration of the send.
};

// A response that is buffered completely.
struct BufferedResponse {
  ResponseHead head_;
  std::string body_;
};

// An error response to the caller that this host generates.
struct ErrorResponse {
  int status_ = 503;
  CallOutcome outcome_ = CallOutcome::kNotRun;
  ResultCode code_ = ResultCode::kInternal;
  std::string reason_;      // Human-readable text; becomes the body of the response.
  std::string shard_load_;  // As in SendCommand.
};

}  // namespace monsoonshelf::entry
