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

// One version of a record as received from the platform or a peer. Without a text, the record was
// deleted.
struct RecordVersion {
  RecordKey key_;
  Version version_ = 0;
  std::optional<std::string> text_;
};

// The record in effect for a key; a null record marks a deleted key (tombstone).
struct Entry {
  Version version_ = 0;
  std::shared_ptr<const records::Record> record_;
};

// A version whose text failed validation. The text is kept for peers that support a newer schema.
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
  // Order-independent hash over (key, newest version received). Rejected versions are included.
  // Otherwise hosts that support different schemas would exchange the same records indefinitely.
  std::uint64_t digest_ = 0;
};

enum class MergeOutcome { kAccepted, kStale, kRejected };

// Merges a record if its version is higher than every version received for its key, so a record
// never reverts to an older version. A text that fails validation is stored as rejected, and the
// record in effect stays. On rejection, `error` receives the reason; it may be null.
MergeOutcome MergeRecord(Configuration& configuration, const RecordVersion& record,
                         std::string* error);

// Returns tombstones for the records that are missing from a complete list read at `list_version`
// although their newest received version is lower than `list_version`: they were deleted. The
// tombstones carry `list_version`, which is above the version of the record and below that of any
// later record with the same key.
std::vector<RecordVersion> FindDeletedRecords(const Configuration& configuration,
                                              const std::vector<RecordKey>& listed,
                                              Version list_version);

// Returns the newest received version of each record if it is above `after`, including tombstones
// and rejected records, in ascending order of version. The result is limited to `max_bytes`, but
// contains at least one record if there is any, and all records of its highest version. `more` is
// set to whether records were left out; it may be null.
std::vector<RecordVersion> ChangesAfter(const Configuration& configuration, Version after,
                                        std::size_t max_bytes, bool* more = nullptr);

struct TargetView {
  std::string name_;
  std::string service_;
  std::string zone_;
  std::string address_;
  bool accepts_work_ = false;  // False if the target is leaving or its zone is out of service.
};

struct ServiceView {
  std::string name_;
  records::Service service_;
  std::vector<TargetView> targets_;
  std::vector<std::pair<std::string, records::Rule>> rules_;  // Longest path prefix first.
};

// Immutable index of a configuration that is used while calls are processed.
struct Snapshot {
  std::map<std::string, ServiceView> services_;
  std::map<std::string, records::Zone> zones_;
  Version highest_version_ = 0;
};

// Records that refer to an unknown service are left out.
std::shared_ptr<const Snapshot> BuildSnapshot(const Configuration& configuration);

// Returns the rule for a call: the first matching rule, else the default rule of the service, else
// a default-constructed rule.
const records::Rule& FindRule(const ServiceView& service, const std::string& method,
                              const std::string& path);

}  // namespace monsoonshelf::configuration
