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

// Object store with versions, conditional updates and watches, as docs/platform-api.md describes.
class PlatformFake {
 public:
  using Reply = std::function<void(const coordination::PlatformReply&)>;
  using Hosts = std::vector<coordination::PlatformReply::Host>;

  explicit PlatformFake(Simulation& simulation) : simulation_(simulation) {}

  bool down_ = false;
  double lose_response_ = 0;  // Share of writes that take effect and get no response.
  Duration slowness_{};       // Mean extra delay of each request.
  Duration staleness_{};      // Age of half of all reads and lists.
  Hosts hosts_;               // The lagging list.
  std::map<coordination::PlatformOperation, int> calls_;

  // Answers exactly once, at the latest at the timeout of the request.
  void Send(const coordination::PlatformRequest& request, const Reply& reply);

  // Conditional update without network. Nothing: conflict. No body: deletion.
  std::optional<Version> Write(const std::string& kind, const std::string& name, Version expected,
                               const std::optional<std::string>& body);
  const coordination::PlatformObject* Find(const std::string& kind, const std::string& name) const;

 private:
  using Key = std::pair<std::string, std::string>;
  struct Watch {
    coordination::PlatformRequest request_;
    Reply reply_;
    std::uint64_t number_ = 0;
  };

  coordination::PlatformReply Execute(const coordination::PlatformRequest& request);
  void Read(const coordination::PlatformRequest& request, coordination::PlatformReply& reply);
  void NotifyWatches();
  coordination::PlatformReply Changes(const coordination::PlatformRequest& request) const;
  void StartWatch(const coordination::PlatformRequest& request, const Reply& reply);

  Simulation& simulation_;
  Version version_ = 0;
  std::map<Key, std::vector<std::pair<Time, coordination::PlatformObject>>> history_;
  std::vector<std::pair<Time, Version>> versions_;
  std::list<Watch> watches_;
  std::uint64_t watch_count_ = 0;
};

}  // namespace monsoonshelf::scenario
