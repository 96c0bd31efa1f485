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

// Where the calls of one shard go, as this host sees the membership.
struct ShardPlacement {
  std::optional<coordination::MemberUpdate> dispatcher_;
  // To name to callers, best first; leaving and suspected hosts are omitted.
  std::vector<coordination::MemberUpdate> entry_hosts_;
};

// Every service of the configuration in every zone of the configuration.
using Placements = std::map<ShardKey, ShardPlacement>;

// Immutable state of coordination for the other tasks.
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
  // Strict limits held by this host. The lease end must be checked against the clock at each use.
  std::map<ShardKey, coordination::AssignmentView> assignments_;
  bool has_configuration_ = false;
  bool isolated_ = false;
  bool leaving_ = false;
};

using ControlViewPtr = std::shared_ptr<const ControlView>;

// What control has spent since its start.
struct ControlCost {
  Duration processor_time_{};  // Of the control thread.
  std::uint64_t wakeups_ = 0;
  std::uint64_t peer_messages_in_ = 0;
  std::uint64_t peer_messages_out_ = 0;
  std::uint64_t peer_bytes_in_ = 0;
  std::uint64_t peer_bytes_out_ = 0;
  std::map<ResultCode, std::uint64_t> peer_rejected_;
  std::uint64_t platform_calls_ = 0;
  std::uint64_t platform_refused_ = 0;  // By the own call budget.
  std::uint64_t platform_bytes_in_ = 0;
  std::uint64_t platform_bytes_out_ = 0;
};

// Called on the control thread; a receiver passes the values to its own task.
struct ControlCallbacks {
  std::function<void(const ControlViewPtr&)> view_;
  std::function<void(const std::vector<coordination::ShardLoad>&)> remote_shards_;
  std::function<void(const KeyValues&)> event_;
  std::function<void(const ControlCost&)> cost_;  // Once a second.
};

// Returns the placement of a shard; nullptr if the configuration lacks the service or the zone.
const ShardPlacement* FindPlacement(const ControlView& view, const std::string& service,
                                    const std::string& zone);

// Returns the dispatcher of a shard; nothing if it is unknown.
std::optional<coordination::MemberUpdate> DispatcherOf(const ControlView& view,
                                                       const std::string& service,
                                                       const std::string& zone);

// Returns true if this host is the dispatcher of the shard.
bool IsDispatcher(const ControlView& view, const std::string& service, const std::string& zone);

// Entry hosts to name to a caller, best first. For a shard that the configuration lacks: live
// hosts, those of the zone first.
std::vector<coordination::MemberUpdate> EntryHostsFor(const ControlView& view,
                                                      const std::string& service,
                                                      const std::string& zone,
                                                      std::size_t max_hosts);

// Returns the assignment of a shard if this host holds it and its lease has not ended.
std::optional<coordination::AssignmentView> FindHeldAssignment(const ControlView& view,
                                                               const std::string& service,
                                                               const std::string& zone, Time now);

}  // namespace monsoonshelf::control
