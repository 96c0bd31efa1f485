#pragma once

#include <map>
#include <string>

#include "control/control_types.h"
#include "metrics/metrics.h"
#include "records/records_types.h"

namespace monsoonshelf::app {

// What ReportView has reported so far. Not thread-safe.
struct ReportedState {
  Version revision_ = 0;  // Highest configuration version; 0 before the first one.
  std::map<std::string, records::ZoneState> zone_states_;  // By zone name.
};

// Sets the metrics of members, shards and configuration from a view of the control task. Logs
// `zone_state` for each zone whose state differs from the previous view. `local` is the load of the
// shards that this host dispatches.
void ReportView(ReportedState& reported, metrics::Metrics& metrics,
                const control::ControlView& view, const std::vector<coordination::ShardLoad>& local,
                Time now);

}  // namespace monsoonshelf::app
