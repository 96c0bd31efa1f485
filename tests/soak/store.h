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

// Stand-in of the users' object store: lists, watches, conditional writes.
class Store : private http::IServerHandler {
 public:
  Store();
  Address GetAddress() const { return *ParseAddress(listener_->LocalAddress()); }

  // Writes of the operator and of targets.
  void Put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
  void Delete(const std::string& kind, const std::string& name);
  // Refuses every call with 503.
  void SetBusy(bool busy) { busy_ = busy; }
  // Forgets all history without waking watches.
  void Compact() { history_begin_ = revision_; }

 private:
  using Json = nlohmann::json;
  struct Waiting {
    http::ServerConnectionPtr connection_;
    std::string kind_;
    std::int64_t after_ = 0;
    Time deadline_{};
  };
  struct Change {
    std::int64_t revision_ = 0;
    std::string kind_;
    Json object_;
    bool deleted_ = false;
  };

  void OnRequest(const http::ServerConnectionPtr& connection, http::Request request) override;
  void OnCallerDisconnected(const http::ServerConnectionPtr& connection) override;
  void OnResponseFlushed(const http::ServerConnectionPtr& /*connection*/) override {}
  void OnRejected(int /*status*/, std::string_view /*reason*/) override {}

  void AnswerList(const http::ServerConnectionPtr& connection, const std::string& kind);
  // False if there is nothing to tell yet.
  bool AnswerWatch(const Waiting& waiting, bool at_end);
  void AnswerWrite(const http::ServerConnectionPtr& connection, const std::string& kind,
                   const http::Request& request);
  void Wake();

  http::ServerConnections connections_;
  std::unique_ptr<http::Listener> listener_;
  std::map<std::string, std::map<std::string, Json>> objects_;
  std::deque<Change> changes_;
  std::list<Waiting> waiting_;
  std::int64_t revision_ = 1;
  std::int64_t history_begin_ = 0;
  bool busy_ = false;
  eventloop::Timer timer_;
};

}  // namespace monsoonshelf::soak
