#pragma once

#include <map>
#include <string>

#include "control/control_types.h"
#include "metrics/metrics.h"
#include "records/records_types.h"

namespace monsoonshelf::app {

// Turns views of the control task into metrics and log events. Belongs to the thread that gets the
// views.
struct ViewReport {
  Version revision_ = 0;
  std::map<std::string, records::ZoneState> zones_;
};

// Sets configuration, members and shards; logs `zone_state` for each zone that changed its state
// since the view before. `local` is the load of the shards that this host dispatches.
void ReportView(ViewReport& report, metrics::Metrics& metrics, const control::ControlView& view,
                const std::vector<coordination::ShardLoad>& local, Time now);

}  // namespace monsoonshelf::app
