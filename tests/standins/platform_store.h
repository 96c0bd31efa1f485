#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/base_types.h"
#include "coordination/coordination_types.h"

namespace monsoonshelf::standins {

using ObjectKey = std::pair<std::string, std::string>;  // Kind and name.
using ObjectMap = std::map<ObjectKey, coordination::PlatformObject>;

// Objects that share one increasing version counter. Deleted objects are kept as tombstones.
struct PlatformStore {
  ObjectMap objects_;
  Version version_ = 0;
  // Changes of objects of kind `sessions`, oldest first; ListHosts() reads its past state from
  // them.
  std::deque<std::pair<Time, coordination::PlatformObject>> session_changes_;
};

struct WriteResult {
  bool conflict_ = false;
  bool not_found_ = false;
  // The written object, or the current one on a conflict.
  std::optional<coordination::PlatformObject> object_;
};

// Writes the object, or deletes it if `body` is empty, provided that it has the expected version.
// Version 0 means that the object must not exist.
WriteResult WriteObject(PlatformStore& store, const ObjectKey& key, Version expected,
                        const std::optional<std::string>& body, Time now);

// Gives an existing object a new version and keeps its body, like a write by another client.
void BumpVersion(PlatformStore& store, const ObjectKey& key, Time now);

// Returns std::nullopt if the object is missing or deleted.
std::optional<coordination::PlatformObject> FindObject(const ObjectMap& objects,
                                                       const ObjectKey& key);

// Returns the objects of the given kinds whose version is above `after`, in ascending order of
// version. Tombstones are included if `with_deleted` is set.
std::vector<coordination::PlatformObject> FindChangedObjects(const ObjectMap& objects,
                                                             const std::vector<std::string>& kinds,
                                                             Version after, bool with_deleted);

// Returns the hosts as they were at `now - lag`: those whose session was written and not deleted
// within the `window` before that time. Removes older session changes from the store.
std::vector<coordination::PlatformReply::Host> ListHosts(PlatformStore& store, Time now,
                                                         Duration lag, Duration window);

}  // namespace monsoonshelf::standins
