#include "gateway/internal/record_exchange.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "base/clock.h"
#include "gateway/internal/compression.h"
#include "http/message_writer.h"

namespace monsoonshelf::gateway {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kRecordsPath = "/records/";
// Time since the store confirmed the content, in milliseconds.
constexpr std::string_view kAgeHeader = "Content-Age-Ms";
// Time since the call to the store that confirmed the configuration was made, in milliseconds.
constexpr std::string_view kProofAgeHeader = "Proof-Age-Ms";
// Time that the request waited for changes, in milliseconds.
constexpr std::string_view kHeldHeader = "Held-Ms";
// What the host holds of each kind: `configuration=REVISION:DIGEST,target=REVISION:DIGEST`.
constexpr std::string_view kContentsHeader = "Records-Content";
// Era of each kind: `configuration=ERA,target=ERA`. A header of its own, because hosts of an
// earlier version cannot read another format of Records-Content.
constexpr std::string_view kEraHeader = "Records-Era";
// Limits the list of all records of a kind. The store accepts values of up to one megabyte.
constexpr std::size_t kMaxResponseBytes = std::size_t{64} << 20;
constexpr int kHistoryGoneStatus = 410;
constexpr http::StreamOptions kPeerOptions = {.keep_alive_idle_ = std::chrono::seconds(1),
                                              .user_timeout_ = std::chrono::seconds(2)};
constexpr std::size_t kMaxConnections = 8;
// Maximum of `wait_ms`.
constexpr std::int64_t kMaxWaitMs = 30'000;

// Returns the value of a query parameter of a request target, or 0 if it is missing or no number.
std::int64_t QueryParameter(std::string_view request_target, std::string_view name) {
  const std::size_t question = request_target.find('?');
  if (question == std::string_view::npos) return 0;
  std::string_view query = request_target.substr(question + 1);
  while (!query.empty()) {
    const std::string_view part = query.substr(0, query.find('&'));
    const std::size_t equals = part.find('=');
    if (part.substr(0, equals) == name && equals != std::string_view::npos) {
      std::int64_t value = 0;
      std::from_chars(part.data() + equals + 1, part.data() + part.size(), value);
      return value;
    }
    query.remove_prefix(std::min(part.size() + 1, query.size()));
  }
  return 0;
}

std::optional<RecordKind> KindFromPath(std::string_view request_target) {
  if (!request_target.starts_with(kRecordsPath)) return std::nullopt;
  request_target.remove_prefix(kRecordsPath.size());
  return ValueOf(kRecordKindNames, request_target.substr(0, request_target.find('?')));
}

Json ToJson(const StoredRecord& record, bool deleted) {
  return {{"name", record.name_}, {"text", record.text_}, {"deleted", deleted}};
}

std::string EncodeRecords(Json records, Revision revision) {
  return Compress(Json{{"records", std::move(records)}, {"revision", revision}}.dump(
      -1, ' ', false, Json::error_handler_t::replace));
}

// Returns std::nullopt if the header is missing or not a number.
std::optional<Duration> DurationHeader(const http::Headers& headers, std::string_view name) {
  const std::string* text = http::FindHeader(headers, name);
  if (text == nullptr) return std::nullopt;
  std::int64_t milliseconds = 0;
  const auto [end, error] =
      std::from_chars(text->data(), text->data() + text->size(), milliseconds);
  // A longer time would not fit into a Duration.
  constexpr std::int64_t kMaxMilliseconds = 1'000'000'000'000;
  if (error != std::errc() || milliseconds > kMaxMilliseconds || milliseconds < -kMaxMilliseconds) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(milliseconds);
}

std::string FormatContents(const RecordCaches& caches) {
  std::string text;
  for (const auto& [kind, cache] : caches) {
    if (cache.revision_ == 0) continue;
    if (!text.empty()) text += ',';
    text.append(NameOf(kRecordKindNames, kind)).append("=");
    text.append(std::to_string(cache.revision_)).append(":").append(std::to_string(cache.digest_));
  }
  return text;
}

std::string FormatEras(const RecordCaches& caches) {
  std::string text;
  for (const auto& [kind, cache] : caches) {
    if (cache.era_ == 0) continue;
    if (!text.empty()) text += ',';
    text.append(NameOf(kRecordKindNames, kind)).append("=").append(std::to_string(cache.era_));
  }
  return text;
}

template <typename Number>
bool ParseNumber(std::string_view text, Number& number) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size();
}

// Leaves out what cannot be read, as ParseContents does.
std::map<RecordKind, Era> ParseEras(const http::Headers& headers) {
  std::map<RecordKind, Era> eras;
  const std::string* text = http::FindHeader(headers, kEraHeader);
  std::string_view rest = text == nullptr ? std::string_view() : *text;
  while (!rest.empty()) {
    const std::string_view part = rest.substr(0, rest.find(','));
    rest.remove_prefix(std::min(part.size() + 1, rest.size()));
    const std::size_t equals = part.find('=');
    if (equals == std::string_view::npos) continue;
    const auto kind = ValueOf(kRecordKindNames, part.substr(0, equals));
    Era era = 0;
    if (kind && ParseNumber(part.substr(equals + 1), era) && era > 0) eras[*kind] = era;
  }
  return eras;
}

// Leaves out what cannot be read: hosts of another version may know other kinds.
ContentVersions ParseContents(const http::Headers& headers) {
  ContentVersions contents;
  const std::string* text = http::FindHeader(headers, kContentsHeader);
  std::string_view rest = text == nullptr ? std::string_view() : *text;
  while (!rest.empty()) {
    const std::string_view part = rest.substr(0, rest.find(','));
    rest.remove_prefix(std::min(part.size() + 1, rest.size()));
    const std::size_t equals = part.find('=');
    const std::size_t colon = part.find(':');
    if (equals == std::string_view::npos || colon == std::string_view::npos || colon < equals) {
      continue;
    }
    const auto kind = ValueOf(kRecordKindNames, part.substr(0, equals));
    ContentVersion content;
    if (kind && ParseNumber(part.substr(equals + 1, colon - equals - 1), content.revision_) &&
        ParseNumber(part.substr(colon + 1), content.digest_)) {
      contents[*kind] = content;
    }
  }
  return contents;
}

// Returns std::nullopt if the response does not have the format of a RecordServer.
std::optional<StoreEvents> DecodeEvents(RecordKind kind, const http::CallResult& result,
                                        const IRecordFormat& format) {
  const auto age = DurationHeader(result.headers_, kAgeHeader);
  const auto text = Decompress(result.body_, kMaxResponseBytes);
  if (!age || !text) return std::nullopt;
  const Json json = Json::parse(*text, nullptr, false);
  try {
    StoreEvents events;
    for (const Json& item : json.at("records")) {
      StoreEvent event;
      event.deleted_ = item.at("deleted").get<bool>();
      if (event.deleted_) {
        event.record_.name_ = item.at("name").get<std::string>();
      } else {
        event.record_ = format.ReadRecord(kind, item.at("text").get<std::string>());
      }
      events.events_.push_back(std::move(event));
    }
    if (!json.at("revision").is_number_integer()) return std::nullopt;
    events.revision_ = json.at("revision").get<Revision>();
    events.age_ = *age;
    events.contents_ = ParseContents(result.headers_);
    events.status_ = StoreStatus::kOk;
    return events;
  } catch (const Json::exception&) {
    return std::nullopt;  // EventsFromResult reports the response as kInvalid.
  }
}

StoreEvents InvalidEvents() {
  StoreEvents events;
  events.status_ = StoreStatus::kInvalid;
  return events;
}

// `sent_at` is the time at which the request was sent.
StoreEvents EventsFromResult(RecordKind kind, const http::CallResult& result, Time sent_at,
                             const IRecordFormat& format) {
  StoreEvents events;
  if (result.status_ == kHistoryGoneStatus) {
    events.status_ = StoreStatus::kHistoryGone;
  } else if (result.status_ == 200) {
    events = DecodeEvents(kind, result, format).value_or(InvalidEvents());
    // A response can be on its way for long, if the other host is slow or a link is full. Hosts of
    // an earlier version do not state how long the request waited.
    const auto held = DurationHeader(result.headers_, kHeldHeader);
    // The clock is read once, so that both ages grow by the same time.
    const Duration travel_time =
        held ? std::max(Duration(Now() - sent_at - *held), Duration{}) : Duration{};
    events.age_ += travel_time;
    // A proof without a travel time could be older than it says.
    const auto proof_age = DurationHeader(result.headers_, kProofAgeHeader);
    if (proof_age && *proof_age >= Duration{} && held) {
      events.proof_age_ = *proof_age + travel_time;
    }
  } else if (result.status_ != 0) {
    events.status_ = StoreStatus::kRefused;
  }
  for (const auto& [other, era] : ParseEras(result.headers_)) {
    if (other == kind) events.era_ = era;
    const auto content = events.contents_.find(other);
    if (content != events.contents_.end()) content->second.era_ = era;
  }
  return events;
}

}  // namespace

RecordServer::RecordServer(const RecordCaches& caches, std::function<Duration()> content_age,
                           ProofAge proof_age)
    : caches_(caches),
      content_age_(std::move(content_age)),
      proof_age_(std::move(proof_age)),
      timer_(g_main_context_get_thread_default(), [this] { OnTimer(); }) {}

void RecordServer::OnRequest(const http::ServerExchangePtr& exchange,
                             const http::Request& request) {
  const auto kind = KindFromPath(request.head_.target_);
  if (!kind) {
    return exchange->Respond(404, {{"Content-Type", "text/plain"}}, "no such kind of record");
  }
  const auto found = caches_.find(*kind);
  if (found == caches_.end() || found->second.revision_ == 0) {
    return exchange->Respond(503, {{"Content-Type", "text/plain"}}, "no records are known yet");
  }
  const RecordCache& cache = found->second;
  const Revision after = QueryParameter(request.head_.target_, "after");
  const std::int64_t wait =
      std::clamp<std::int64_t>(QueryParameter(request.head_.target_, "wait_ms"), 0, kMaxWaitMs);
  const Time now = Now();
  const WaitingRequest waiting = {exchange, *kind,
                                  after,    now + std::chrono::milliseconds(wait),
                                  now,      QueryParameter(request.head_.target_, "era")};
  if (after == 0) return RespondWithEvents(waiting);
  const auto events = EventsAfter(cache, StoreVersion{waiting.era_, after});
  if (!events || !events->empty() || wait == 0) return RespondWithEvents(waiting);
  waiting_.push_back(waiting);
  OnTimer();
}

void RecordServer::RespondWithEvents(const WaitingRequest& request) {
  const RecordCache& cache = caches_.at(request.kind_);
  const Revision after = request.after_;
  CachedResponse& last = cached_responses_[request.kind_];
  if (after != 0 && request.era_ != 0 && cache.era_ != 0 && request.era_ != cache.era_) {
    return RespondHistoryGone(request);
  }
  // A record that was read again can have changed at the same revision.
  if (last.after_ == after && last.revision_ == cache.revision_ && last.digest_ == cache.digest_ &&
      last.era_ == cache.era_) {
    return SendBody(request, last.body_);
  }
  Json records = Json::array();
  if (after == 0) {
    for (const auto& [name, record] : cache.records_) records.push_back(ToJson(record, false));
  } else {
    const auto events = EventsAfter(cache, after);
    if (!events) return RespondHistoryGone(request);
    for (const StoreEvent& event : *events) {
      records.push_back(ToJson(event.record_, event.deleted_));
    }
  }
  last = {after, cache.revision_, cache.digest_, cache.era_,
          EncodeRecords(std::move(records), std::max(after, cache.revision_))};
  SendBody(request, last.body_);
}

void RecordServer::RespondHistoryGone(const WaitingRequest& request) {
  request.exchange_->Respond(
      kHistoryGoneStatus,
      {{"Content-Type", "text/plain"}, {std::string(kEraHeader), FormatEras(caches_)}},
      "the history doesn't reach back that far");
}

void RecordServer::SendBody(const WaitingRequest& request, const std::string& body) {
  // Rounded so that content that hosts pass on does not become younger.
  const auto age = std::chrono::ceil<std::chrono::milliseconds>(content_age_()).count();
  const auto held =
      std::chrono::floor<std::chrono::milliseconds>(Now() - request.received_at_).count();
  http::Headers headers = {{"Content-Type", "application/octet-stream"},
                           {std::string(kAgeHeader), std::to_string(age)},
                           {std::string(kHeldHeader), std::to_string(held)},
                           {std::string(kContentsHeader), FormatContents(caches_)}};
  const std::string eras = FormatEras(caches_);
  if (!eras.empty()) headers.emplace_back(kEraHeader, eras);
  if (const auto proof_age = proof_age_()) {
    const auto proof_age_ms = std::chrono::ceil<std::chrono::milliseconds>(*proof_age).count();
    headers.emplace_back(kProofAgeHeader, std::to_string(proof_age_ms));
  }
  request.exchange_->Respond(200, headers, body);
}

void RecordServer::OnCallerDisconnected(const http::ServerExchangePtr& exchange) {
  std::erase_if(waiting_, [&](const WaitingRequest& item) { return item.exchange_ == exchange; });
}

void RecordServer::EndWaits() {
  const std::list<WaitingRequest> waiting = std::exchange(waiting_, {});
  for (const WaitingRequest& item : waiting) {
    RespondWithEvents(item);
  }
}

void RecordServer::OnContentConfirmed(RecordKind kind) {
  std::list<WaitingRequest> due;
  for (auto item = waiting_.begin(); item != waiting_.end();) {
    const auto next = std::next(item);
    if (item->kind_ == kind) due.splice(due.end(), waiting_, item);
    item = next;
  }
  for (const WaitingRequest& item : due) RespondWithEvents(item);
}

void RecordServer::OnRecordsChanged(RecordKind kind) {
  std::list<WaitingRequest> due;
  for (auto item = waiting_.begin(); item != waiting_.end();) {
    const auto next = std::next(item);
    const auto events =
        EventsAfter(caches_.at(item->kind_), StoreVersion{item->era_, item->after_});
    if (item->kind_ == kind && (!events || !events->empty())) {
      due.splice(due.end(), waiting_, item);
    }
    item = next;
  }
  for (const WaitingRequest& item : due) RespondWithEvents(item);
}

void RecordServer::OnTimer() {
  const Time now = Now();
  std::list<WaitingRequest> due;
  Time next = Time::max();
  for (auto item = waiting_.begin(); item != waiting_.end();) {
    const auto following = std::next(item);
    if (item->deadline_ <= now) {
      due.splice(due.end(), waiting_, item);
    } else {
      next = std::min(next, item->deadline_);
    }
    item = following;
  }
  for (const WaitingRequest& item : due) RespondWithEvents(item);
  if (next != Time::max()) timer_.Set(next);
}

PeerRecordStore::PeerRecordStore(const Address& address, const IRecordFormat& format)
    : format_(format),
      host_(FormatAddress(address)),
      client_(address, kPeerOptions, kMaxConnections) {}

void PeerRecordStore::List(RecordKind kind, const std::string& /*after*/,
                           Consistency /*consistency*/, Duration timeout, PageCallback callback) {
  const std::string path = std::string(kRecordsPath) + std::string(NameOf(kRecordKindNames, kind));
  client_.Call(http::FormatRequest("GET", path, {{"Host", host_}}, {}), true, timeout,
               [this, kind, sent_at = Now(),
                callback = std::move(callback)](const http::CallResult& result) {
                 StoreEvents events = EventsFromResult(kind, result, sent_at, format_);
                 StorePage page;
                 page.status_ = events.status_;
                 page.revision_ = events.revision_;
                 page.age_ = events.age_;
                 page.era_ = events.era_;
                 page.proof_age_ = events.proof_age_;
                 page.contents_ = std::move(events.contents_);
                 for (StoreEvent& event : events.events_) {
                   page.records_.push_back(std::move(event.record_));
                 }
                 callback(std::move(page));
               });
}

void PeerRecordStore::Watch(RecordKind kind, Revision revision, Duration wait, Duration timeout,
                            EventsCallback callback) {
  const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  const std::string path = std::string(kRecordsPath) + std::string(NameOf(kRecordKindNames, kind)) +
                           "?after=" + std::to_string(revision) +
                           "&wait_ms=" + std::to_string(wait_ms) +
                           (era_ == 0 ? "" : "&era=" + std::to_string(era_));
  client_.Cancel(watches_[kind]);
  watches_[kind] =
      client_.Call(http::FormatRequest("GET", path, {{"Host", host_}}, {}), true, timeout,
                   [this, kind, sent_at = Now(),
                    callback = std::move(callback)](const http::CallResult& result) {
                     callback(EventsFromResult(kind, result, sent_at, format_));
                   });
}

void PeerRecordStore::CreateHost(const HostRecord& /*host*/, Duration /*timeout*/,
                                 WriteCallback callback) {
  callback({StoreStatus::kRefused, 0});
}

void PeerRecordStore::ReplaceHost(const HostRecord& /*host*/, Revision /*expected*/,
                                  Duration /*timeout*/, WriteCallback callback) {
  callback({StoreStatus::kRefused, 0});
}

void PeerRecordStore::WriteRolloutState(const RolloutOrder& /*order*/, RolloutState /*state*/,
                                        Duration /*timeout*/, WriteCallback callback) {
  callback({StoreStatus::kRefused, 0});
}

}  // namespace monsoonshelf::gateway
