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

using ObjectKey = std::pair<std::string, std::string>;
using ObjectMap = std::map<ObjectKey, coordination::PlatformObject>;

// Objects with one increasing version; deletions are kept as tombstones.
struct PlatformStore {
  ObjectMap objects_;
  Version version_ = 0;
  // Changes of `sessions`, oldest first, for the lagging host list.
  std::deque<std::pair<Time, coordination::PlatformObject>> session_changes_;
};

struct WriteResult {
  bool conflict_ = false;
  bool not_found_ = false;
  std::optional<coordination::PlatformObject> object_;  // Written, or there on a conflict.
};

// Writes or, without a body, deletes the object if it has the expected version; 0: must not exist.
WriteResult WriteObject(PlatformStore& store, const ObjectKey& key, Version expected,
                        const std::optional<std::string>& body, Time now);

// Gives the object a new version with the same body, as a write by somebody else would.
void Touch(PlatformStore& store, const ObjectKey& key, Time now);

std::optional<coordination::PlatformObject> Find(const ObjectMap& objects, const ObjectKey& key);

// Objects of the kinds above a version, oldest first.
std::vector<coordination::PlatformObject> Changes(const ObjectMap& objects,
                                                  const std::vector<std::string>& kinds,
                                                  Version after, bool with_deleted);

// Hosts whose session was renewed in the `window` before now - lag, as of now - lag.
std::vector<coordination::PlatformReply::Host> ListHosts(PlatformStore& store, Time now,
                                                         Duration lag, Duration window);

}  // namespace monsoonshelf::standins
