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
  kUnavailable,  // Each response has status 503.
  kDrop,         // Connections are closed without a response.
  kHang,         // No response until the outage ends, then the connection is closed.
};

struct PlatformServerSettings {
  std::string address_ = "127.0.0.1";
  int port_ = 0;                                         // 0: chosen by the kernel.
  Duration host_list_lag_ = std::chrono::seconds(2);     // Age of the data in the host list.
  Duration host_list_window_ = std::chrono::seconds(8);  // See ListHosts().
};

// Faults injected by tests or by the commands under /control.
struct PlatformFaults {
  OutageMode outage_ = OutageMode::kOff;
  Duration response_delay_{};    // Delay of each response after its write took effect.
  int responses_to_drop_ = 0;    // Next writes take effect but get no response.
  int conflicts_to_inject_ = 0;  // Next writes are rejected with a version conflict.
  Time stale_reads_until_{};     // Until then reads are served from `stale_objects_`.
  ObjectMap stale_objects_;
  Version stale_version_ = 0;
};

// Stand-in for the users' platform (docs/platform-api.md). Runs on the thread-default main context
// of the thread that creates it.
class PlatformServer {
 public:
  explicit PlatformServer(PlatformServerSettings settings);
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  // Returns kListenFailed if the address is invalid or in use.
  Result<void> Listen();
  int Port() const { return port_; }

  PlatformStore& Store() { return store_; }
  PlatformFaults& Faults() { return faults_; }
  const std::map<std::string, std::uint64_t>& Counters() const { return counters_; }

  // Writes an object regardless of its version and completes the watches for its kind.
  void PutObject(const ObjectKey& key, const std::string& body);
  // Also closes the connections of all paused messages.
  void SetOutage(OutageMode mode);
  // Serves reads from a copy of the current objects for the given time; watches stay current.
  void ServeStaleReads(Duration duration);

 private:
  struct PausedMessage;
  struct QueryParameters;

  static void OnRequest(SoupServer* server, SoupServerMessage* message, const char* path,
                        GHashTable* query, gpointer data);
  static void OnControl(SoupServer* server, SoupServerMessage* message, const char* path,
                        GHashTable* query, gpointer data);
  static void OnMessageFinished(SoupServerMessage* message, gpointer data);
  static gboolean OnPauseTimeout(gpointer data);

  void RouteRequest(SoupServerMessage* message, const std::string& path,
                    const QueryParameters& query);
  void HandleRead(SoupServerMessage* message, const ObjectKey& key);
  void HandleWrite(SoupServerMessage* message, const ObjectKey& key);
  void HandleList(SoupServerMessage* message, const std::vector<std::string>& kinds);
  void HandleWatch(SoupServerMessage* message, const QueryParameters& query);
  void HandleHosts(SoupServerMessage* message);
  void CompleteWatches();
  void Respond(SoupServerMessage* message, int status, std::string body);
  void PauseMessage(std::unique_ptr<PausedMessage> paused, Duration delay);
  void ResumeMessage(std::list<std::unique_ptr<PausedMessage>>::iterator paused);
  bool ServesStaleReads() const;

  PlatformServerSettings settings_;
  int port_ = 0;
  PlatformStore store_;
  PlatformFaults faults_;
  std::map<std::string, std::uint64_t> counters_;
  // Watches, delayed and hanging messages.
  std::list<std::unique_ptr<PausedMessage>> paused_messages_;
  GMainContext* main_context_;
  SoupServer* server_;
};

}  // namespace monsoonshelf::standins
