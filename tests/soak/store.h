#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "eventloop/timer.h"
#include "http/listener.h"
#include "http/server_connection.h"

namespace monsoonshelf::soak {

// Fake of the users' object store, with lists, watches and conditional writes.
class Store : private http::IServerHandler {
 public:
  Store();
  Address GetAddress() const { return *ParseAddress(listener_->LocalAddress()); }

  // Writes by operators and targets.
  void Put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
  void Delete(const std::string& kind, const std::string& name);
  // While unavailable, the store answers every request with 503.
  void SetUnavailable(bool unavailable) { unavailable_ = unavailable; }
  // Drops all history. Pending watches get no answer before their timeout.
  void Compact() { compacted_revision_ = revision_; }
  // Goes back to the content that the store had `age` ago, in the next era, and reissues the
  // revisions since then. Pending watches of a revision that it does not have get 410.
  void RestoreFromCopy(Duration age);

 private:
  using Json = nlohmann::json;
  struct PendingWatch {
    http::ServerExchangePtr exchange_;
    std::string kind_;
    std::int64_t after_revision_ = 0;
    Time deadline_{};
  };
  struct Change {
    std::int64_t revision_ = 0;
    std::string kind_;
    Json object_;
    bool deleted_ = false;
  };

  using Objects = std::map<std::string, std::map<std::string, Json>>;
  struct Copy {
    Time taken_at_{};
    Objects objects_;
    std::deque<Change> changes_;
    std::int64_t revision_ = 1;
    std::int64_t compacted_revision_ = 0;
  };

  void Respond(const http::ServerExchangePtr& exchange, int status, const Json& body) const;
  // Keeps a copy of the content for RestoreFromCopy, and those of the last seconds.
  void TakeCopy();
  void OnRequest(const http::ServerExchangePtr& exchange, http::Request request) override;
  void OnCallerDisconnected(const http::ServerExchangePtr& exchange) override;
  void OnResponseFlushed(const http::ServerExchangePtr& /*exchange*/) override {}
  void OnRejected(int /*status*/, std::string_view /*reason*/) override {}

  void AnswerList(const http::ServerExchangePtr& exchange, const std::string& kind);
  // Returns false if the watch stays pending because there is no change yet.
  bool AnswerWatch(const PendingWatch& watch, bool timed_out);
  void AnswerWrite(const http::ServerExchangePtr& exchange, const std::string& kind,
                   const http::Request& request);
  // Answers the pending watches that have changes or have timed out.
  void AnswerWatches();

  http::ServerConnections connections_;
  std::unique_ptr<http::Listener> listener_;
  Objects objects_;
  std::deque<Copy> copies_;
  std::int64_t era_ = 1;
  std::deque<Change> changes_;
  std::list<PendingWatch> pending_watches_;
  std::int64_t revision_ = 1;
  std::int64_t compacted_revision_ = 0;
  bool unavailable_ = false;
  eventloop::Timer timer_;
};

}  // namespace monsoonshelf::soak
