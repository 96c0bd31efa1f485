#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "eventloop/timer.h"
#include "gateway/irecord_format.h"
#include "gateway/irecord_store.h"
#include "gateway/record_cache.h"
#include "http/http_client.h"
#include "http/server_connection.h"

namespace monsoonshelf::gateway {

// Exchange of records between entry hosts over HTTP. GET /records/KIND lists all records of a kind;
// with `after` (a revision), `era` and `wait_ms`, the request waits for changes; it gets 410 if the
// records are of another era. Each response states the era of the records, and how
// long ago the store confirmed its content, and how long the request waited: the rest of the time
// that the request took is added to the age.

using RecordCaches = std::map<RecordKind, RecordCache>;

// Serves the cached records of this host to other entry hosts.
class RecordServer {
 public:
  // Returns std::nullopt if the content is not proven.
  using ProofAge = std::function<std::optional<Duration>()>;

  // `caches` must outlive the server. `content_age` returns the time since the store confirmed the
  // content of the caches, `proof_age` the time since the call that confirmed it was made.
  RecordServer(const RecordCaches& caches, std::function<Duration()> content_age,
               ProofAge proof_age);

  void OnRequest(const http::ServerExchangePtr& exchange, const http::Request& request);
  void OnCallerDisconnected(const http::ServerExchangePtr& exchange);
  // Responds to the requests that wait for changes of the kind.
  void OnRecordsChanged(RecordKind kind);
  // Responds to the requests that wait for changes of the kind, so that their hosts learn that the
  // store has confirmed the content.
  void OnContentConfirmed(RecordKind kind);
  // Responds to all requests that wait for changes.
  void EndWaits();

 private:
  struct WaitingRequest {
    http::ServerExchangePtr exchange_;
    RecordKind kind_ = RecordKind::kConfiguration;
    Revision after_ = 0;
    Time deadline_{};
    Time received_at_{};
    Era era_ = 0;  // That `after_` belongs to; 0 if a host of an earlier version asks.
  };
  // The last response of a kind, which is reused for followers that wait after the same revision.
  struct CachedResponse {
    Revision after_ = -1;
    Revision revision_ = -1;
    ContentDigest digest_ = 0;
    Era era_ = 0;
    std::string body_;
  };
  void RespondWithEvents(const WaitingRequest& request);
  void RespondHistoryGone(const WaitingRequest& request);
  void SendBody(const WaitingRequest& request, const std::string& body);
  void OnTimer();

  const RecordCaches& caches_;
  std::function<Duration()> content_age_;
  ProofAge proof_age_;
  std::list<WaitingRequest> waiting_;
  std::map<RecordKind, CachedResponse> cached_responses_;
  eventloop::Timer timer_;
};

// Reads records from another entry host. Writes must go to the store itself and fail with kRefused.
class PeerRecordStore : public IRecordStore {
 public:
  PeerRecordStore(const Address& address, const IRecordFormat& format);

  void List(RecordKind kind, const std::string& after, Consistency consistency, Duration timeout,
            PageCallback callback) override;
  void Watch(RecordKind kind, Revision revision, Duration wait, Duration timeout,
             EventsCallback callback) override;
  void SetEra(Era era) override { era_ = era; }
  void CreateHost(const HostRecord& host, Duration timeout, WriteCallback callback) override;
  void ReplaceHost(const HostRecord& host, Revision expected, Duration timeout,
                   WriteCallback callback) override;
  void WriteRolloutState(const RolloutOrder& order, RolloutState state, Duration timeout,
                         WriteCallback callback) override;

 private:
  const IRecordFormat& format_;
  std::string host_;
  http::HttpClient client_;
  Era era_ = 0;
  std::map<RecordKind, http::HttpClient::CallId> watches_;
};

}  // namespace monsoonshelf::gateway
