#pragma once

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/coordination_types.h"
#include "tests/scenario/simulation.h"

namespace monsoonshelf::scenario {

// Fake of the platform of docs/platform-api.md: an object store with versions, conditional updates
// and watches.
class PlatformFake {
 public:
  using ReplyCallback = std::function<void(const coordination::PlatformReply&)>;
  using Hosts = std::vector<coordination::PlatformReply::Host>;

  explicit PlatformFake(Simulation& simulation) : simulation_(simulation) {}

  bool down_ = false;
  double response_loss_probability_ = 0;  // Of a write that takes effect.
  Duration mean_extra_delay_{};           // Added to each request and each response.
  Duration read_staleness_{};             // Age of the data in half of all reads and lists.
  Hosts hosts_;  // Host list as published by the platform, which lags behind.
  std::map<coordination::PlatformOperation, int> calls_;

  // Calls `reply` exactly once, with the answer or an error, at the latest 500 ms after the timeout
  // of the request.
  void Send(const coordination::PlatformRequest& request, const ReplyCallback& reply);

  // Conditional update without network delay; no body deletes the object. Returns the new version,
  // or std::nullopt if the current version is not `expected` (0: the object does not exist).
  std::optional<Version> WriteIfVersion(const std::string& kind, const std::string& name,
                                        Version expected, const std::optional<std::string>& body);
  const coordination::PlatformObject* Find(const std::string& kind, const std::string& name) const;

 private:
  using Key = std::pair<std::string, std::string>;
  struct Watch {
    coordination::PlatformRequest request_;
    ReplyCallback reply_;
    std::uint64_t number_ = 0;
  };

  coordination::PlatformReply Execute(const coordination::PlatformRequest& request);
  void Read(const coordination::PlatformRequest& request, coordination::PlatformReply& reply);
  void NotifyWatches();
  coordination::PlatformReply ReplyWithChanges(const coordination::PlatformRequest& request) const;
  void StartWatch(const coordination::PlatformRequest& request, const ReplyCallback& reply);

  Simulation& simulation_;
  Version version_ = 0;
  std::map<Key, std::vector<std::pair<Time, coordination::PlatformObject>>> history_;
  std::vector<std::pair<Time, Version>> versions_;  // Store version since each time.
  std::list<Watch> watches_;
  std::uint64_t last_watch_number_ = 0;
};

}  // namespace monsoonshelf::scenario
