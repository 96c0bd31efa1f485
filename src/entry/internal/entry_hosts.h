#pragma once

#include <string>

#include "entry/entry_types.h"

namespace monsoonshelf::entry {

inline constexpr char kEntryHostsPath[] = "/monsoonshelf/v1/entry-hosts";

// JSON list of the entry hosts that a caller of a service in a zone is to use, best first, with a
// ticket for call identifiers of each.
std::string EntryHostsJson(const EntryView& view, const EntrySettings& settings,
                           const std::string& service, const std::string& zone,
                           std::int64_t now_minute);

}  // namespace monsoonshelf::entry
