#pragma once

#include <string>
#include <vector>

#include "base/base_types.h"
#include "base/result.h"
#include "coordination/coordination_types.h"

namespace monsoonshelf::app {

// Blocking access to the records on the platform. Errors as for store::SyncClient.
class IRecordStore {
 public:
  struct Listing {
    std::vector<coordination::PlatformObject> objects_;
    Version version_ = 0;
  };

  virtual ~IRecordStore() = default;
  virtual Result<coordination::PlatformObject> Get(const std::string& kind,
                                                   const std::string& name) = 0;
  virtual Result<coordination::PlatformObject> Put(const std::string& kind, const std::string& name,
                                                   Version version, const std::string& body) = 0;
  virtual Result<void> Delete(const std::string& kind, const std::string& name,
                              Version version) = 0;
  virtual Result<Listing> List(const std::vector<std::string>& kinds) = 0;
  virtual Result<Listing> Watch(const std::vector<std::string>& kinds, Version after,
                                Duration hold) = 0;
  // The object that the latest kPlatformConflict met; version 0 without one.
  virtual coordination::PlatformObject LastConflict() const = 0;
  // Waits before a repeat.
  virtual void Pause(Duration duration) = 0;
};

}  // namespace monsoonshelf::app
