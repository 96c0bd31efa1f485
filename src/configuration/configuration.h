#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/base_types.h"
#include "records/records_types.h"

namespace monsoonshelf::configuration {

using RecordKey = std::pair<records::Kind, std::string>;

// One record as it travels: from the platform or from a peer. No text means deleted.
struct RecordVersion {
  RecordKey key_;
  Version version_ = 0;
  std::optional<std::string> text_;
};

// The record in force for a key. Without a record it is a deletion mark.
struct Entry {
  Version version_ = 0;
  std::shared_ptr<const records::Record> record_;
};

// The record set in force at one entry host, deletion marks included.
struct Configuration {
  std::map<RecordKey, Entry> entries_;
  // Newest version per key whose text failed validation; the older entry stays in force.
  std::map<RecordKey, Version> rejected_;
  Version highest_version_ = 0;  // Of accepted and rejected records.
  std::uint64_t digest_ = 0;     // Order-independent hash over (key, version).
};

enum class MergeOutcome { kAccepted, kStale, kRejected };

// Takes a record only with a version above the one in force, so that a record never goes back.
// `error` gets the reason of a rejection.
MergeOutcome Merge(Configuration& configuration, const RecordVersion& record, std::string* error);

// Returns the records in force with a version above `after`, deletion marks included, oldest
// first, at most `max_bytes` of text.
std::vector<RecordVersion> ChangesAfter(const Configuration& configuration, Version after,
                                        std::size_t max_bytes);

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
