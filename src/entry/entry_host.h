#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "entry/entry_events.h"
#include "entry/entry_types.h"

namespace monsoonshelf::entry {

// Result of a stop.
struct StopResult {
  bool forced_ = false;  // The stop was forced before all calls had ended.
  std::size_t interrupted_calls_ = 0;
};

// The data path of one entry host: the dispatch task, the data tasks, the listener and the life
// cycle. All functions are safe to call from any thread.
class EntryHost {
 public:
  EntryHost(EntrySettings settings, EntryCallbacks callbacks);
  ~EntryHost();  // Stops immediately, without waiting for calls in flight.
  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;

  // Starts the threads and the listener. Call it once, before the other functions.
  // Errors: kListenFailed, kChartInvalid, kChartSyntax.
  Result<void> Start();
  // Returns the IP address and port of the listener; empty before Start().
  const std::string& Address() const { return address_; }

  // Replaces the cluster state that the call path uses. The first view with a configuration starts
  // serving.
  void SetView(const EntryViewPtr& view);
  // Passes on the load of shards that other entry hosts dispatch.
  void SetRemoteShards(std::vector<coordination::ShardLoad> shards);

  // Begins a graceful stop. `done` is called once, on a thread of the entry host. Later calls have
  // no effect.
  void BeginStop(std::function<void(const StopResult&)> done);
  // Stops without waiting for calls in flight. The `done` callback of BeginStop() receives the
  // number of interrupted calls.
  void ForceStop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
  std::string address_;
};

}  // namespace monsoonshelf::entry
