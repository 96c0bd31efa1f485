#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "coordination/coordination_types.h"
#include "store/iplatform_client.h"
#include "store/platform_types.h"

namespace monsoonshelf::store {

// Creates a client that runs on the thread-default main context of the calling thread.
// Error: kSettingsInvalidValue if the address is not an IP address with a port.
Result<std::unique_ptr<IPlatformClient>> MakePlatformClient(ClientSettings settings);

// Blocking client for command-line use. Each call but Watch waits at most `timeout`.
// Errors: kPlatformUnreachable, kPlatformTimeout (a write may have been applied),
// kPlatformInvalidAnswer, and those named below.
class SyncClient {
 public:
  // Error: kSettingsInvalidValue.
  static Result<std::unique_ptr<SyncClient>> Make(ClientSettings settings, Duration timeout);
  ~SyncClient();
  SyncClient(const SyncClient&) = delete;
  SyncClient& operator=(const SyncClient&) = delete;

  // Error: kPlatformNotFound.
  Result<coordination::PlatformObject> Get(const std::string& kind, const std::string& name);

  // Replaces the object if its version is `version`; 0 means that it must not exist. Returns the
  // written object. Error: kPlatformConflict; LastConflict() is then the existing object.
  Result<coordination::PlatformObject> Put(const std::string& kind, const std::string& name,
                                           Version version, const std::string& body);

  // Deletes the object if its version is `version`. Errors: kPlatformConflict, kPlatformNotFound.
  Result<void> Delete(const std::string& kind, const std::string& name, Version version);

  struct Listing {
    std::vector<coordination::PlatformObject> objects_;
    Version version_ = 0;  // Pass to Watch() to get later changes.
  };
  Result<Listing> List(const std::vector<std::string>& kinds);

  // Waits up to `max_wait` for changes with versions above `after`. Returns an empty list if there
  // were none.
  Result<Listing> Watch(const std::vector<std::string>& kinds, Version after, Duration max_wait);

  // Returns the existing object of the latest kPlatformConflict; its version is 0 if the object
  // does not exist.
  const coordination::PlatformObject& LastConflict() const;

 private:
  SyncClient();
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace monsoonshelf::store
