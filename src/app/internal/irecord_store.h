#pragma once

#include <string>
#include <vector>

#include "base/base_types.h"
#include "base/result.h"
#include "coordination/coordination_types.h"

namespace monsoonshelf::app {

// Blocking access to the records on the platform. Reports the same errors as store::SyncClient.
class IRecordStore {
 public:
  struct Listing {
    std::vector<coordination::PlatformObject> objects_;
    Version version_ = 0;  // Pass to Watch to get the changes after this listing.
  };

  virtual ~IRecordStore() = default;
  virtual Result<coordination::PlatformObject> Get(const std::string& kind,
                                                   const std::string& name) = 0;
  // Writes an object if the platform has it at `version`; 0 means that it must not exist.
  virtual Result<coordination::PlatformObject> Put(const std::string& kind, const std::string& name,
                                                   Version version, const std::string& body) = 0;
  virtual Result<void> Delete(const std::string& kind, const std::string& name,
                              Version version) = 0;
  virtual Result<Listing> List(const std::vector<std::string>& kinds) = 0;
  // Waits up to `max_wait` for changes above version `after`. The listing is empty if there are
  // none.
  virtual Result<Listing> Watch(const std::vector<std::string>& kinds, Version after,
                                Duration max_wait) = 0;
  // Returns the object on the platform at the latest kPlatformConflict. Its version is 0 if the
  // object did not exist.
  virtual coordination::PlatformObject LastConflict() const = 0;
  // Blocks for `duration`, for the delay before a retry.
  virtual void SleepFor(Duration duration) = 0;
};

}  // namespace monsoonshelf::app
