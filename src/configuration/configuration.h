#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/base_types.h"
#include "base/result_codes.h"
#include "records/records_types.h"

namespace monsoonshelf::configuration {

using RecordKey = std::pair<records::Kind, std::string>;

// One record as it travels: from the platform or from a peer. No text means deleted.
struct RecordVersion {
  RecordKey key_;
  Version version_ = 0;
  std::optional<std::string> text_;
};

// The record in effect for a key. Without a record it is a tombstone.
struct Entry {
  Version version_ = 0;
  std::shared_ptr<const records::Record> record_;
};

// A version whose text failed validation. The text is kept so that peers with a newer schema get
// it.
struct RejectedRecord {
  Version version_ = 0;
  std::string text_;
  ResultCode code_ = ResultCode::kOk;
  std::string reason_;
};

// The record set in effect at one entry host, tombstones included.
struct Configuration {
  std::map<RecordKey, Entry> entries_;
  // Newest version per key that failed validation and is newer than the entry in effect.
  std::map<RecordKey, RejectedRecord> rejected_;
  Version highest_version_ = 0;  // Of accepted and rejected records.
  // Order-independent hash over (key, newest version received). Rejected versions count, so that
  // hosts that accept different schemas do not exchange the same records for ever.
  std::uint64_t digest_ = 0;
};

enum class MergeOutcome { kAccepted, kStale, kRejected };

// Takes a record only with a version above the newest one received, so that a record never goes
// back. `error` gets the reason of a rejection; it may be null.
MergeOutcome MergeRecord(Configuration& configuration, const RecordVersion& record,
                         std::string* error);

// Returns the keys with a version at or below `list_version` that a complete list read at
// `list_version` lacks: they were deleted. The tombstones carry `list_version`, which is above the
// version of the record and below that of any later record with the same key.
std::vector<RecordVersion> FindDeletedRecords(const Configuration& configuration,
                                              const std::vector<RecordKey>& listed,
                                              Version list_version);

// Returns the newest records received with a version above `after`, tombstones and rejected
// records included, oldest first. Stops before `max_bytes` of text, but returns at least one record
// and never splits records of equal version. `more` tells whether records were left out; it may be
// null.
std::vector<RecordVersion> ChangesAfter(const Configuration& configuration, Version after,
                                        std::size_t max_bytes, bool* more = nullptr);

struct TargetView {
  std::string name_;
  std::string service_;
  std::string zone_;
  std::string address_;
  bool accepts_work_ = false;  // False when leaving or when its zone is out.
};

struct ServiceView {
  std::string name_;
  records::Service service_;
  std::vector<TargetView> targets_;
  std::vector<std::pair<std::string, records::Rule>> rules_;  // Longest path prefix first.
};

// Immutable index of a configuration for the call path.
struct Snapshot {
  std::map<std::string, ServiceView> services_;
  std::map<std::string, records::Zone> zones_;
  Version highest_version_ = 0;
};

std::shared_ptr<const Snapshot> BuildSnapshot(const Configuration& configuration);

// Finds the rule for a call; a default-constructed rule where the service has none.
const records::Rule& FindRule(const ServiceView& service, const std::string& method,
                              const std::string& path);

}  // namespace monsoonshelf::configuration
