#pragma once

#include <string>

#include "entry/entry_types.h"

namespace monsoonshelf::entry {

inline constexpr char kEntryHostsPath[] = "/monsoonshelf/v1/entry-hosts";

// Returns the entry hosts that callers of a service in a zone should use, as JSON, most preferred
// first. Each has a ticket, the prefix of call identifiers whose home is that host. `now_minute` is
// in minutes since the Unix epoch.
std::string EntryHostsJson(const EntryView& view, const EntrySettings& settings,
                           const std::string& service, const std::string& zone,
                           std::int64_t now_minute);

}  // namespace monsoonshelf::entry
