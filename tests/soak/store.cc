#include "tests/soak/store.h"

#include <cstdlib>
#include <utility>

#include "base/clock.h"

namespace monsoonshelf::soak {

namespace {

constexpr std::string_view kPath = "/v1/objects/";
constexpr Duration kWatchCheckInterval = std::chrono::milliseconds(20);

std::int64_t QueryNumber(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  return at == std::string::npos ? -1 : std::atoll(target.c_str() + at + name.size() + 1);
}

constexpr Duration kCopyInterval = std::chrono::milliseconds(500);
constexpr std::size_t kMaxCopies = 20;

}  // namespace

Store::Store()
    : connections_(*this),
      timer_(g_main_context_get_thread_default(), [this] { AnswerWatches(); }) {
  auto listener = http::Listener::Open("127.0.0.1:0",
                                       [this](int descriptor) { connections_.Accept(descriptor); });
  listener_ = std::move(listener.value());
  timer_.Set(Now() + kWatchCheckInterval);
}

void Store::Respond(const http::ServerExchangePtr& exchange, int status, const Json& body) const {
  exchange->Respond(status,
                    {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era_)}},
                    body.dump());
}

void Store::TakeCopy() {
  if (!copies_.empty() && Now() - copies_.back().taken_at_ < kCopyInterval) return;
  copies_.push_back({Now(), objects_, changes_, revision_, compacted_revision_});
  if (copies_.size() > kMaxCopies) copies_.pop_front();
}

void Store::RestoreFromCopy(Duration age) {
  // The oldest copy is used if none is old enough.
  while (copies_.size() > 1 && Now() - copies_.back().taken_at_ < age) copies_.pop_back();
  if (copies_.empty()) return;
  const Copy& copy = copies_.back();
  objects_ = copy.objects_;
  changes_ = copy.changes_;
  revision_ = copy.revision_;
  compacted_revision_ = copy.compacted_revision_;
  ++era_;
}

void Store::Put(const std::string& kind, const std::string& name, const Json& spec) {
  ++revision_;
  Json object = {{"metadata", {{"name", name}, {"resourceVersion", revision_}}}, {"spec", spec}};
  objects_[kind][name] = object;
  changes_.push_back({revision_, kind, std::move(object), false});
}

void Store::Delete(const std::string& kind, const std::string& name) {
  const auto found = objects_[kind].find(name);
  if (found == objects_[kind].end()) return;
  changes_.push_back({++revision_, kind, found->second, true});
  objects_[kind].erase(found);
}

void Store::OnRequest(const http::ServerExchangePtr& exchange, http::Request request) {
  const std::string& target = request.head_.target_;
  if (unavailable_ || !target.starts_with(kPath))
    return Respond(exchange, unavailable_ ? 503 : 404, {});
  const std::string rest = target.substr(kPath.size());
  const std::string kind = rest.substr(0, rest.find_first_of("/?"));
  if (request.head_.method_ != "GET") return AnswerWrite(exchange, kind, request);
  const std::int64_t after = QueryNumber(target, "watch");
  if (after < 0) return AnswerList(exchange, kind);
  const auto wait = std::chrono::milliseconds(QueryNumber(target, "waitMs"));
  const PendingWatch watch = {exchange, kind, after, Now() + wait};
  if (!AnswerWatch(watch, false)) pending_watches_.push_back(watch);
}

void Store::OnCallerDisconnected(const http::ServerExchangePtr& exchange) {
  std::erase_if(pending_watches_,
                [&](const PendingWatch& item) { return item.exchange_ == exchange; });
}

void Store::AnswerList(const http::ServerExchangePtr& exchange, const std::string& kind) {
  Json items = Json::array();
  for (const auto& [name, object] : objects_[kind]) items.push_back(object);
  Respond(exchange, 200, {{"items", items}, {"more", false}, {"currentRev", revision_}});
}

bool Store::AnswerWatch(const PendingWatch& watch, bool timed_out) {
  if (watch.after_revision_ < compacted_revision_ || watch.after_revision_ > revision_) {
    // The dropped history is reported at once to a new watch, but to a pending one only at its
    // timeout.
    if (!timed_out && watch.deadline_ - Now() < std::chrono::milliseconds(1)) return false;
    Respond(watch.exchange_, 410, Json::object());
    return true;
  }
  Json events = Json::array();
  for (const Change& change : changes_) {
    if (change.kind_ != watch.kind_ || change.revision_ <= watch.after_revision_) continue;
    events.push_back({{"object", change.object_}, {"deleted", change.deleted_}});
  }
  if (events.empty() && !timed_out) return false;
  Respond(watch.exchange_, 200, {{"events", events}, {"currentRev", revision_}});
  return true;
}

void Store::AnswerWrite(const http::ServerExchangePtr& exchange, const std::string& kind,
                        const http::Request& request) {
  const Json body = Json::parse(request.body_, nullptr, false);
  const std::string name = body["metadata"]["name"];
  const auto found = objects_[kind].find(name);
  const bool exists = found != objects_[kind].end();
  if (request.head_.method_ == "POST" && exists) return Respond(exchange, 409, found->second);
  if (request.head_.method_ == "PUT" && !exists) return Respond(exchange, 404, {});
  Put(kind, name, body["spec"]);
  Respond(exchange, 200, objects_[kind][name]);
}

void Store::AnswerWatches() {
  const Time now = Now();
  TakeCopy();
  std::erase_if(pending_watches_, [this, now](const PendingWatch& item) {
    if (item.after_revision_ < compacted_revision_ && item.deadline_ > now) return false;
    return AnswerWatch(item, item.deadline_ <= now);
  });
  timer_.Set(now + kWatchCheckInterval);
}

}  // namespace monsoonshelf::soak
