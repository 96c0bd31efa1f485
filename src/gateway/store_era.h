#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway/irecord_store.h"

namespace monsoonshelf::gateway {

// What a host does when the store has been restored from a copy. Pure logic: the caller passes the
// time in.

// The era that a host reads, and another one that responses state without being believed yet.
struct EraTracker {
  Era era_ = 0;
  Era doubted_era_ = 0;
  Time doubted_since_{};
  int doubted_responses_ = 0;
};

enum class EraVerdict {
  kUnstated,  // The response states no era and counts as one of the present era.
  kCurrent,
  kFirst,    // The first era that was stated; it is the present one from now on.
  kChanged,  // The store has another era from now on.
  kIgnored,  // Of an earlier era, or too far from the present one.
};

// Applies the era of a response. A lower era, or one that jumps far, is believed after the store
// itself has stated it, and no other one, for a time.
EraVerdict ObserveEra(EraTracker& tracker, Era era, bool is_from_store, Time now);

// Records that have been removed lately, by kind and name.
struct Departure {
  StoredRecord record_;
  Time at_{};
};
using Departures = std::map<std::pair<RecordKind, std::string>, Departure>;

void AddDeparture(Departures& departures, RecordKind kind, StoredRecord record, Time now);

// Records of one kind that stay as they were for a time after a change of the era.
struct EraHold {
  std::map<std::string, StoredRecord> present_;
  std::map<std::string, StoredRecord> departed_;
  // The hold begins with the first content of the new era.
  std::optional<Time> until_;
};

struct HoldCounts {
  std::size_t kept_ = 0;    // Missing in the list, or in an older state there.
  std::size_t hidden_ = 0;  // Listed although they had been removed.
};

// `in_force` are the records in force at the change. An earlier hold that has not ended is part of
// them already.
EraHold MakeHold(RecordKind kind, const std::map<std::string, StoredRecord>& in_force,
                 const Departures& departures, Time now);
// Returns the records that are in force after a list of the new era.
std::vector<StoredRecord> HoldOver(EraHold& hold, std::vector<StoredRecord> listed, Time now,
                                   HoldCounts& counts);
// Applies an event, which was written in the new era, and returns the event that is in force. Only
// a target that drains cannot return before the end of the hold, unless it is a new incarnation.
StoreEvent HoldOver(EraHold& hold, StoreEvent event);
bool HasEnded(const EraHold& hold, Time now);

// Returns how long a host waits after a change of the era before it looks whether the store still
// has its registration, so that the hosts of the fleet do not do so at the same time.
Duration RegistrationDelay(const HostName& host, Era era);

// Returns whether a configuration replaces the one in force. A store that was restored may reissue
// a version with other content, but never brings an older version into force.
bool ReplacesConfiguration(std::int64_t present_version, Era present_era, std::int64_t version,
                           Era era);

}  // namespace monsoonshelf::gateway
