#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "entry/entry_events.h"
#include "entry/entry_types.h"

namespace monsoonshelf::entry {

struct StopResult {
  bool forced_ = false;
  std::size_t interrupted_calls_ = 0;
};

// The data path of one entry host: dispatch task, data tasks, listener and life cycle. All
// functions may be called from any thread unless they say otherwise.
class EntryHost {
 public:
  EntryHost(EntrySettings settings, EntryCallbacks callbacks);
  ~EntryHost();  // Stops at once.
  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;

  // Starts to listen. Errors: kListenFailed, kChartInvalid, kChartSyntax.
  Result<void> Start();
  // IP address and port of the listener, after Start.
  const std::string& Address() const { return address_; }

  void SetView(const EntryViewPtr& view);
  void SetRemoteShards(std::vector<coordination::ShardLoad> shards);

  // Begins the graceful stop. `done` is called once, on a thread of the entry host.
  void BeginStop(std::function<void(const StopResult&)> done);
  // Ends a graceful stop at once; `done` of BeginStop gets the number of interrupted calls.
  void ForceStop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
  std::string address_;
};

}  // namespace monsoonshelf::entry
