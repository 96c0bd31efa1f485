#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/base_types.h"
#include "base/key_value.h"
#include "base/result_codes.h"
#include "configuration/configuration.h"
#include "coordination/coordination_types.h"
#include "coordination/node.h"

namespace monsoonshelf::control {

// Service and availability zone.
using ShardKey = std::pair<std::string, std::string>;

// Where calls of one shard are sent, according to the members that this host knows.
struct ShardPlacement {
  std::optional<coordination::MemberUpdate> dispatcher_;
  // Entry hosts for callers, best first. Leaving and suspected hosts are omitted.
  std::vector<coordination::MemberUpdate> entry_hosts_;
};

// Placements of every service in every zone of the configuration and of the targets of the service.
using Placements = std::map<ShardKey, ShardPlacement>;

// Immutable state of coordination that is published to the other tasks.
struct ControlView {
  std::uint64_t revision_ = 0;  // Increases by one with each published view.
  HostName name_;
  Incarnation incarnation_ = 0;
  std::string zone_;
  std::string region_;
  std::string peer_address_;
  std::shared_ptr<const configuration::Snapshot> snapshot_;  // Never null.
  std::vector<coordination::MemberUpdate> members_;
  std::shared_ptr<const Placements> placements_;  // Never null.
  // Strict limits held by this host. The end of the lease must be compared with the clock at each
  // use.
  std::map<ShardKey, coordination::AssignmentView> assignments_;
  bool has_configuration_ = false;
  bool isolated_ = false;
  bool leaving_ = false;
};

using ControlViewPtr = std::shared_ptr<const ControlView>;

// Resources that the control task has used since its start.
struct ControlCost {
  Duration processor_time_{};  // Processor time of the control thread.
  std::uint64_t wakeups_ = 0;
  std::uint64_t peer_messages_in_ = 0;
  std::uint64_t peer_messages_out_ = 0;
  std::uint64_t peer_bytes_in_ = 0;
  std::uint64_t peer_bytes_out_ = 0;
  std::map<ResultCode, std::uint64_t> peer_rejected_;
  std::uint64_t platform_calls_ = 0;
  std::uint64_t platform_refused_ = 0;  // Calls refused by the call budget of the client.
  std::uint64_t platform_bytes_in_ = 0;
  std::uint64_t platform_bytes_out_ = 0;
};

// Called on the control thread. A receiver must pass the values on to its own task.
struct ControlCallbacks {
  std::function<void(const ControlViewPtr&)> view_;
  std::function<void(const std::vector<coordination::ShardLoad>&)> remote_shards_;
  std::function<void(const KeyValues&)> event_;
  std::function<void(const ControlCost&)> cost_;  // Called once a second.
};

// Returns the placement of a shard, or nullptr if the service or the zone is unknown. The pointer
// is valid as long as the view.
const ShardPlacement* FindPlacement(const ControlView& view, const std::string& service,
                                    const std::string& zone);

// Returns the dispatcher of a shard, or std::nullopt if the shard is unknown or has no dispatcher.
std::optional<coordination::MemberUpdate> DispatcherOf(const ControlView& view,
                                                       const std::string& service,
                                                       const std::string& zone);

// Returns true if this host is the dispatcher of the shard.
bool IsDispatcher(const ControlView& view, const std::string& service, const std::string& zone);

// Returns at most `max_hosts` entry hosts for a caller, best first. For an unknown shard these are
// the alive hosts, those of the zone first.
std::vector<coordination::MemberUpdate> EntryHostsFor(const ControlView& view,
                                                      const std::string& service,
                                                      const std::string& zone,
                                                      std::size_t max_hosts);

// Returns the assignment of a shard, or std::nullopt if this host does not hold it or its lease has
// ended.
std::optional<coordination::AssignmentView> FindHeldAssignment(const ControlView& view,
                                                               const std::string& service,
                                                               const std::string& zone, Time now);

}  // namespace monsoonshelf::control
