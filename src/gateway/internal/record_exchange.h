#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>

#include "eventloop/timer.h"
#include "gateway/irecord_format.h"
#include "gateway/irecord_store.h"
#include "gateway/record_cache.h"
#include "http/http_client.h"
#include "http/server_connection.h"

namespace monsoonshelf::gateway {

// Records passed between entry hosts over HTTP: GET /records/KIND lists, with `after` and `wait_ms`
// it waits for changes. Each answer says how long ago its content was confirmed by the store.

using RecordCaches = std::map<RecordKind, RecordCache>;

class RecordServer {
 public:
  // `age` returns how long ago the store confirmed the caches.
  RecordServer(const RecordCaches& caches, std::function<Duration()> age);

  void OnRequest(const http::ServerConnectionPtr& connection, const http::Request& request);
  void OnCallerDisconnected(const http::ServerConnectionPtr& connection);
  // Answers those who wait for a change of the kind.
  void OnChanged(RecordKind kind);

 private:
  struct Waiting {
    http::ServerConnectionPtr connection_;
    RecordKind kind_ = RecordKind::kConfiguration;
    Revision after_ = 0;
    Time deadline_{};
  };
  // The last answer of a kind: followers that wait together get the same one.
  struct LastAnswer {
    Revision after_ = -1;
    Revision revision_ = -1;
    std::string body_;
  };
  void AnswerEvents(const http::ServerConnectionPtr& connection, RecordKind kind, Revision after);
  void Send(const http::ServerConnectionPtr& connection, const std::string& body);
  void OnTimer();

  const RecordCaches& caches_;
  std::function<Duration()> age_;
  std::list<Waiting> waiting_;
  std::map<RecordKind, LastAnswer> last_answers_;
  eventloop::Timer timer_;
};

// Reads the records of another entry host. Writes are for the store alone and fail.
class PeerRecordStore : public IRecordStore {
 public:
  PeerRecordStore(const Address& address, const IRecordFormat& format);

  void List(RecordKind kind, const std::string& after, Consistency consistency, Duration timeout,
            PageCallback callback) override;
  void Watch(RecordKind kind, Revision revision, Duration wait, Duration timeout,
             EventsCallback callback) override;
  void CreateHost(const HostRecord& host, Duration timeout, WriteCallback callback) override;
  void ReplaceHost(const HostRecord& host, Revision expected, Duration timeout,
                   WriteCallback callback) override;

 private:
  const IRecordFormat& format_;
  std::string host_;
  http::HttpClient client_;
  std::map<RecordKind, http::HttpClient::CallId> watches_;
};

}  // namespace monsoonshelf::gateway
