#include "tests/standins/platform_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace monsoonshelf::standins {

namespace {

using coordination::PlatformObject;

// Stores the object with the next version.
PlatformObject& CommitObject(PlatformStore& store, PlatformObject object, Time now) {
  object.version_ = ++store.version_;
  auto& stored = store.objects_[{object.kind_, object.name_}];
  stored = std::move(object);
  if (stored.kind_ == "sessions") store.session_changes_.emplace_back(now, stored);
  return stored;
}

// Reads a host from its session object, in which an entry host describes itself. The real platform
// gets its list of machines from another source and may not know the peer address.
coordination::PlatformReply::Host HostFromSession(const PlatformObject& session) {
  const auto body = nlohmann::json::parse(session.body_, nullptr, false);
  const auto text = [&body](const nlohmann::json::json_pointer& path) -> std::string {
    if (!body.is_object() || !body.contains(path) || !body[path].is_string()) return "";
    return body[path].get<std::string>();
  };
  using Path = nlohmann::json::json_pointer;
  return {session.name_, text(Path("/peer_address")), text(Path("/status/state")) == "leaving"};
}

}  // namespace

WriteResult WriteObject(PlatformStore& store, const ObjectKey& key, Version expected,
                        const std::optional<std::string>& body, Time now) {
  const auto current = FindObject(store.objects_, key);
  if (!body && !current) return {false, true, std::nullopt};
  if ((current ? current->version_ : 0) != expected) return {true, false, current};
  PlatformObject object{key.first, key.second, 0, !body.has_value(), body.value_or("")};
  return {false, false, CommitObject(store, std::move(object), now)};
}

void BumpVersion(PlatformStore& store, const ObjectKey& key, Time now) {
  if (auto current = FindObject(store.objects_, key)) CommitObject(store, std::move(*current), now);
}

std::optional<PlatformObject> FindObject(const ObjectMap& objects, const ObjectKey& key) {
  const auto found = objects.find(key);
  if (found == objects.end() || found->second.deleted_) return std::nullopt;
  return found->second;
}

std::vector<PlatformObject> FindChangedObjects(const ObjectMap& objects,
                                               const std::vector<std::string>& kinds, Version after,
                                               bool with_deleted) {
  std::vector<PlatformObject> changes;
  for (const auto& [key, object] : objects) {
    if (object.version_ <= after || (object.deleted_ && !with_deleted)) continue;
    if (std::find(kinds.begin(), kinds.end(), key.first) == kinds.end()) continue;
    changes.push_back(object);
  }
  std::sort(changes.begin(), changes.end(),
            [](const auto& a, const auto& b) { return a.version_ < b.version_; });
  return changes;
}

std::vector<coordination::PlatformReply::Host> ListHosts(PlatformStore& store, Time now,
                                                         Duration lag, Duration window) {
  const Time as_of = now - lag;
  auto& changes = store.session_changes_;
  while (!changes.empty() && changes.front().first < as_of - window) changes.pop_front();
  std::map<std::string, const PlatformObject*> latest;
  for (const auto& [time, object] : changes) {
    if (time <= as_of) latest[object.name_] = &object;
  }
  std::vector<coordination::PlatformReply::Host> hosts;
  for (const auto& [name, object] : latest) {
    if (object->deleted_) continue;
    hosts.push_back(HostFromSession(*object));
  }
  return hosts;
}

}  // namespace monsoonshelf::standins
