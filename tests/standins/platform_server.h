#pragma once

#include <libsoup/soup.h>

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "tests/standins/platform_store.h"

namespace monsoonshelf::standins {

enum class OutageMode {
  kOff,
  kUnavailable,  // 503.
  kDrop,         // Connections are closed without a response.
  kHang,         // No response until the outage ends, then the connection is closed.
};

struct PlatformServerSettings {
  std::string address_ = "127.0.0.1";
  int port_ = 0;  // 0: chosen by the kernel.
  Duration hosts_lag_ = std::chrono::seconds(2);
  Duration hosts_window_ = std::chrono::seconds(8);
};

// Faults that the commands under /control inject.
struct PlatformFaults {
  OutageMode outage_ = OutageMode::kOff;
  Duration response_delay_{};    // Delay of each response, after the effect.
  int responses_to_drop_ = 0;    // Of the next writes, after the effect.
  int conflicts_to_inject_ = 0;  // For the next writes.
  Time stale_until_{};           // Reads come from `stale_objects_`.
  ObjectMap stale_objects_;
  Version stale_version_ = 0;
};

// Stand-in for the users' platform (docs/platform-api.md) on the thread-default main context.
class PlatformServer {
 public:
  explicit PlatformServer(PlatformServerSettings settings);
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  // Error: kListenFailed.
  Result<void> Listen();
  int Port() const { return port_; }

  PlatformStore& Store() { return store_; }
  PlatformFaults& Faults() { return faults_; }
  const std::map<std::string, std::uint64_t>& Counters() const { return counters_; }

  // Writes an object without a condition and answers the watches that it concerns.
  void PutObject(const ObjectKey& key, const std::string& body);
  void SetOutage(OutageMode mode);
  void ServeStaleReads(Duration duration);

 private:
  struct Held;
  struct Query;

  static void OnRequest(SoupServer* server, SoupServerMessage* message, const char* path,
                        GHashTable* query, gpointer data);
  static void OnControl(SoupServer* server, SoupServerMessage* message, const char* path,
                        GHashTable* query, gpointer data);
  static void OnFinished(SoupServerMessage* message, gpointer data);
  static gboolean OnHeldTimeout(gpointer data);

  void Route(SoupServerMessage* message, const std::string& path, const Query& query);
  void HandleObject(SoupServerMessage* message, const ObjectKey& key);
  void HandleWrite(SoupServerMessage* message, const ObjectKey& key);
  void HandleList(SoupServerMessage* message, const std::vector<std::string>& kinds);
  void HandleWatch(SoupServerMessage* message, const Query& query);
  void HandleHosts(SoupServerMessage* message);
  void AnswerWatches();
  void Respond(SoupServerMessage* message, int status, std::string body);
  void Hold(std::unique_ptr<Held> held, Duration delay);
  void Release(std::list<std::unique_ptr<Held>>::iterator held);
  bool IsStale() const;

  PlatformServerSettings settings_;
  int port_ = 0;
  PlatformStore store_;
  PlatformFaults faults_;
  std::map<std::string, std::uint64_t> counters_;
  std::list<std::unique_ptr<Held>> held_;  // Messages that wait for their response.
  GMainContext* context_;
  SoupServer* server_;
};

}  // namespace monsoonshelf::standins
