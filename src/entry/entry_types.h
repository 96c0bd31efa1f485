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

inline constexpr int kMaxDepth = 19;
inline constexpr int kDefaultRetryBudget = 1;
inline constexpr int kMaxRetryBudget = 16;
// Bodies up to this size are buffered, so that a call can be sent again and is placed only when
// its body has arrived.
inline constexpr std::size_t kSmallBodyBytes = std::size_t{64} * 1024;
// One piece of a streamed body. One piece per call and direction is held at a time.
inline constexpr std::size_t kChunkBytes = std::size_t{64} * 1024;

struct EntrySettings {
  HostName name_;
  Incarnation incarnation_ = 0;
  std::string zone_;
  std::string listen_address_ = "127.0.0.1:0";  // IP address and port; port 0 is chosen by the OS.
  // Shared secrets of the entry hosts: the first signs forwarded calls, all verify. Without one,
  // forwarded calls are not verified.
  std::vector<std::string> hop_secrets_;
  int data_tasks_ = 2;
  std::size_t max_header_bytes_ = std::size_t{16} * 1024;
  std::size_t max_buffered_bytes_ = std::size_t{32} << 20;  // Bodies of all calls.
  int max_hosts_ = 64;           // Entry hosts that share the connections of a target.
  std::size_t max_queue_ = 256;  // Waiting calls per shard.
  Duration keep_time_ = std::chrono::seconds(5);
  Duration stop_time_ = std::chrono::seconds(30);  // Allowed time of a graceful stop.
  outcomes::OutcomeTableLimits outcomes_;
  std::uint64_t random_seed_ = 0;  // 0: taken from the system.
};

using ShardKey = std::pair<std::string, std::string>;  // Service and availability zone.

struct ShardPlacement {
  std::optional<coordination::MemberUpdate> dispatcher_;
  std::vector<coordination::MemberUpdate> entry_hosts_;  // To name to callers, best first.
};

// Immutable state of coordination as the call path reads it.
struct EntryView {
  std::shared_ptr<const configuration::Snapshot> snapshot_;
  std::vector<coordination::MemberUpdate> members_;
  std::map<ShardKey, ShardPlacement> placements_;
  std::map<ShardKey, coordination::AssignmentView> assignments_;
  bool has_configuration_ = false;
  bool isolated_ = false;
};
using EntryViewPtr = std::shared_ptr<const EntryView>;

using Headers = std::vector<std::pair<std::string, std::string>>;

// Hops between entry hosts, in the only order in which a call may take them.
enum class Hop { kNone, kHome, kDispatch, kSpill };

inline constexpr EnumNames<Hop, 4> kHopNames = {{
    {Hop::kNone, ""},
    {Hop::kHome, "home"},
    {Hop::kDispatch, "dispatch"},
    {Hop::kSpill, "spill"},
}};

// Head of a call. Immutable once it is shared between tasks.
struct CallHead {
  std::string method_;
  std::string service_;
  std::string path_;  // With query, as the target gets it.
  Headers headers_;   // End-to-end headers of the caller.
  std::string call_id_;
  std::optional<outcomes::CallId> parsed_id_;
  Time received_{};
  Time deadline_{};
  int depth_ = 0;
  int retry_budget_ = kDefaultRetryBudget;
  std::vector<Hop> hops_;
  std::string shard_zone_;  // Availability zone of the shard that is to place the call.
  records::CallClass class_ = records::CallClass::kInteractive;
  records::ZonePreference zone_preference_ = records::ZonePreference::kOwnFirst;
  int priority_ = 0;
  int attempts_ = 1;
  bool idempotent_ = false;
  std::int64_t max_request_body_ = 0;
  std::int64_t body_length_ = 0;  // -1: chunked.
};
using CallHeadPtr = std::shared_ptr<const CallHead>;

// Closes a file descriptor when the last owner is gone.
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

// Body of a request: either whole in memory, or a pipe that the task of the caller fills.
struct RequestBody {
  std::shared_ptr<const std::string> bytes_;    // Whole body; null when streamed.
  std::shared_ptr<const FileDescriptor> pipe_;  // Read end.
};

struct ResponseHead {
  int status_ = 0;
  Headers headers_;
  std::int64_t body_length_ = -1;  // -1: chunked.
  CallOutcome outcome_ = CallOutcome::kUnknown;
  ResultCode code_ = ResultCode::kOk;
  std::optional<int> retry_budget_;
  std::string shard_load_;  // Of the shard in another zone that answered, as it was sent.
  Duration target_time_{};  // From the start of the send to the end of the response.
};

// A response that is complete in memory.
struct WholeResponse {
  ResponseHead head_;
  std::string body_;
};

// The entry point of an error answer: HTTP status, outcome, code and text for people.
struct Refusal {
  int status_ = 503;
  CallOutcome outcome_ = CallOutcome::kNotRun;
  ResultCode code_ = ResultCode::kInternal;
  std::string reason_;
  std::string shard_load_;  // As in SendOrder.
};

}  // namespace monsoonshelf::entry
