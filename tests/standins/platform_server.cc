#include "tests/standins/platform_server.h"

#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "base/clock.h"
#include "base/enum_names.h"
#include "store/platform_types.h"

namespace monsoonshelf::standins {

namespace {

using coordination::PlatformObject;
using nlohmann::json;

constexpr EnumNames<OutageMode, 4> kOutageModeNames = {{
    {OutageMode::kOff, "off"},
    {OutageMode::kUnavailable, "unavailable"},
    {OutageMode::kDrop, "drop"},
    {OutageMode::kHang, "hang"},
}};

json ToJson(const PlatformObject& object) {
  json value = {{"kind", object.kind_}, {"name", object.name_}, {"version", object.version_}};
  if (object.deleted_) {
    value["deleted"] = true;
  } else {
    value["body"] = object.body_;
  }
  return value;
}

std::string FormatList(const std::vector<PlatformObject>& objects, Version version) {
  json list = json::array();
  for (const auto& object : objects) list.push_back(ToJson(object));
  return json{{"version", version}, {"objects", std::move(list)}}.dump();
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  for (std::string part; std::getline(stream, part, separator);) {
    if (!part.empty()) parts.push_back(part);
  }
  return parts;
}

std::optional<Version> ParseNumber(const std::string& text) {
  guint64 value = 0;
  if (g_ascii_string_to_unsigned(text.c_str(), 10, 0, G_MAXINT64, &value, nullptr) == FALSE) {
    return std::nullopt;
  }
  return value;
}

// Closes the connection without a response.
void Drop(SoupServerMessage* message) {
  GIOStream* stream = soup_server_message_steal_connection(message);
  if (stream == nullptr) return;
  g_io_stream_close(stream, nullptr, nullptr);
  g_object_unref(stream);
}

}  // namespace

struct PlatformServer::Query {
  std::map<std::string, std::string> values_;

  std::string Text(const std::string& key) const {
    const auto found = values_.find(key);
    return found == values_.end() ? "" : found->second;
  }
  // 0 if the value is missing or not a number.
  std::int64_t Number(const std::string& key) const {
    return static_cast<std::int64_t>(ParseNumber(Text(key)).value_or(0));
  }
};

// A paused message. Without kinds it waits for its delay only.
struct PlatformServer::Held {
  PlatformServer* server_ = nullptr;
  SoupServerMessage* message_ = nullptr;
  GSource* timer_ = nullptr;
  gulong finished_handler_ = 0;
  std::vector<std::string> kinds_;
  Version after_ = 0;
  int status_ = 0;  // 0: the connection is closed at the end of the delay.
  std::string body_;
};

PlatformServer::PlatformServer(PlatformServerSettings settings)
    : settings_(std::move(settings)),
      context_(g_main_context_ref_thread_default()),
      server_(soup_server_new(nullptr, nullptr)) {
  soup_server_add_handler(server_, nullptr, &PlatformServer::OnRequest, this, nullptr);
  soup_server_add_handler(server_, "/control", &PlatformServer::OnControl, this, nullptr);
}

PlatformServer::~PlatformServer() {
  while (!held_.empty()) Release(held_.begin());
  soup_server_disconnect(server_);
  g_object_unref(server_);
  g_main_context_unref(context_);
}

Result<void> PlatformServer::Listen() {
  GSocketAddress* address = g_inet_socket_address_new_from_string(
      settings_.address_.c_str(), static_cast<guint>(settings_.port_));
  if (address == nullptr) return Fail(ResultCode::kListenFailed, "invalid listen address");
  GError* error = nullptr;
  const bool ok =
      soup_server_listen(server_, address, static_cast<SoupServerListenOptions>(0), &error) == TRUE;
  g_object_unref(address);
  if (!ok) {
    const std::string message = error->message;
    g_error_free(error);
    return Fail(ResultCode::kListenFailed, message);
  }
  GSList* uris = soup_server_get_uris(server_);
  port_ = g_uri_get_port(static_cast<GUri*>(uris->data));
  g_slist_free_full(uris, [](gpointer uri) { g_uri_unref(static_cast<GUri*>(uri)); });
  return {};
}

void PlatformServer::PutObject(const ObjectKey& key, const std::string& body) {
  const auto current = Find(store_.objects_, key);
  WriteObject(store_, key, current ? current->version_ : 0, body, Now());
  AnswerWatches();
}

void PlatformServer::SetOutage(OutageMode mode) {
  faults_.outage_ = mode;
  // A platform that goes down or comes up again does not answer the calls that it held.
  while (!held_.empty()) {
    SoupServerMessage* message = held_.front()->message_;
    g_object_ref(message);
    Release(held_.begin());
    Drop(message);
    g_object_unref(message);
  }
}

void PlatformServer::ServeStaleReads(Duration duration) {
  faults_.stale_until_ = Now() + duration;
  faults_.stale_objects_ = store_.objects_;
  faults_.stale_version_ = store_.version_;
}

bool PlatformServer::IsStale() const { return Now() < faults_.stale_until_; }

void PlatformServer::OnRequest(SoupServer* /*server*/, SoupServerMessage* message, const char* path,
                               GHashTable* query, gpointer data) {
  auto* self = static_cast<PlatformServer*>(data);
  Query values;
  if (query != nullptr) {
    GHashTableIter iterator;
    gpointer key = nullptr;
    gpointer value = nullptr;
    g_hash_table_iter_init(&iterator, query);
    while (g_hash_table_iter_next(&iterator, &key, &value) == TRUE) {
      values.values_[static_cast<const char*>(key)] = static_cast<const char*>(value);
    }
  }
  switch (self->faults_.outage_) {
    case OutageMode::kOff:
      return self->Route(message, path, values);
    case OutageMode::kUnavailable:
      self->counters_["outage"]++;
      return self->Respond(message, 503, "{}");
    case OutageMode::kDrop:
      self->counters_["outage"]++;
      return Drop(message);
    case OutageMode::kHang: {
      self->counters_["outage"]++;
      auto held = std::make_unique<Held>();
      held->message_ = message;
      // Ended by SetOutage.
      return self->Hold(std::move(held), std::chrono::hours(1));
    }
  }
}

void PlatformServer::Route(SoupServerMessage* message, const std::string& path,
                           const Query& query) {
  const auto parts = Split(path, '/');
  const std::string method = soup_server_message_get_method(message);
  const bool is_get = method == "GET";
  if (parts.size() == 3 && parts[0] == "objects") {
    if (is_get) return HandleObject(message, {parts[1], parts[2]});
    if (method == "PUT" || method == "DELETE") return HandleWrite(message, {parts[1], parts[2]});
  }
  if (is_get && parts.size() == 2 && parts[0] == "objects") return HandleList(message, {parts[1]});
  if (is_get && parts.size() == 1) {
    if (parts[0] == "objects") return HandleList(message, Split(query.Text("kinds"), ','));
    if (parts[0] == "watch") return HandleWatch(message, query);
    if (parts[0] == "hosts") return HandleHosts(message);
  }
  counters_["invalid"]++;
  Respond(message, 400, R"({"error":"unknown call"})");
}

void PlatformServer::HandleObject(SoupServerMessage* message, const ObjectKey& key) {
  counters_["get"]++;
  const auto object = Find(IsStale() ? faults_.stale_objects_ : store_.objects_, key);
  if (!object) return Respond(message, 404, "{}");
  Respond(message, 200, ToJson(*object).dump());
}

void PlatformServer::HandleWrite(SoupServerMessage* message, const ObjectKey& key) {
  const bool is_put = std::string(soup_server_message_get_method(message)) == "PUT";
  counters_[is_put ? "put" : "delete"]++;
  const char* header =
      soup_message_headers_get_one(soup_server_message_get_request_headers(message), "If-Match");
  const auto expected = header == nullptr ? std::nullopt : ParseNumber(header);
  if (!expected) return Respond(message, 400, R"({"error":"If-Match is missing or invalid"})");
  SoupMessageBody* request = soup_server_message_get_request_body(message);
  std::string body(request->data == nullptr ? "" : request->data,
                   static_cast<std::size_t>(request->length));
  if (body.size() > store::kMaxObjectBytes) return Respond(message, 413, "{}");
  if (g_utf8_validate(body.data(), static_cast<gssize>(body.size()), nullptr) == FALSE) {
    return Respond(message, 400, R"({"error":"the body is not UTF-8"})");
  }
  if (faults_.conflicts_to_inject_ > 0) {
    faults_.conflicts_to_inject_--;
    Touch(store_, key, Now());
    AnswerWatches();
    const auto current = Find(store_.objects_, key);
    return Respond(message, 412, current ? ToJson(*current).dump() : "{}");
  }
  const auto result = WriteObject(store_, key, *expected,
                                  is_put ? std::optional(std::move(body)) : std::nullopt, Now());
  if (result.not_found_) return Respond(message, 404, "{}");
  if (result.conflict_) {
    counters_["conflict"]++;
    return Respond(message, 412, result.object_ ? ToJson(*result.object_).dump() : "{}");
  }
  if (faults_.responses_to_drop_ > 0) {
    faults_.responses_to_drop_--;
    counters_["lost_response"]++;
    Drop(message);
  } else {
    Respond(message, 200, ToJson(*result.object_).dump());
  }
  AnswerWatches();
}

void PlatformServer::HandleList(SoupServerMessage* message, const std::vector<std::string>& kinds) {
  counters_["list"]++;
  if (kinds.empty()) return Respond(message, 400, R"({"error":"kinds are missing"})");
  const bool stale = IsStale();
  const auto& objects = stale ? faults_.stale_objects_ : store_.objects_;
  const Version version = stale ? faults_.stale_version_ : store_.version_;
  Respond(message, 200, FormatList(Changes(objects, kinds, 0, false), version));
}

void PlatformServer::HandleWatch(SoupServerMessage* message, const Query& query) {
  counters_["watch"]++;
  const auto after = ParseNumber(query.Text("after"));
  const auto kinds = Split(query.Text("kinds"), ',');
  if (!after || kinds.empty()) return Respond(message, 400, R"({"error":"invalid watch"})");
  const auto changes = Changes(store_.objects_, kinds, *after, true);
  if (!changes.empty()) return Respond(message, 200, FormatList(changes, store_.version_));
  auto watch = std::make_unique<Held>();
  watch->message_ = message;
  watch->kinds_ = kinds;
  watch->after_ = *after;
  Hold(std::move(watch), std::chrono::milliseconds(query.Number("timeout_ms")));
}

void PlatformServer::AnswerWatches() {
  for (auto next = held_.begin(); next != held_.end();) {
    const auto current = next++;
    if ((*current)->kinds_.empty()) continue;
    if (Changes(store_.objects_, (*current)->kinds_, (*current)->after_, true).empty()) continue;
    const Held watch = **current;
    g_object_ref(watch.message_);
    Release(current);
    Respond(
        watch.message_, 200,
        FormatList(Changes(store_.objects_, watch.kinds_, watch.after_, true), store_.version_));
    g_object_unref(watch.message_);
  }
}

void PlatformServer::HandleHosts(SoupServerMessage* message) {
  counters_["hosts"]++;
  json list = json::array();
  for (const auto& host : ListHosts(store_, Now(), settings_.hosts_lag_, settings_.hosts_window_)) {
    list.push_back(
        {{"name", host.name_}, {"peer_address", host.peer_address_}, {"leaving", host.leaving_}});
  }
  Respond(message, 200, json{{"hosts", std::move(list)}}.dump());
}

void PlatformServer::Respond(SoupServerMessage* message, int status, std::string body) {
  if (faults_.response_delay_ > Duration(0)) {
    auto held = std::make_unique<Held>();
    held->message_ = message;
    held->status_ = status;
    held->body_ = std::move(body);
    return Hold(std::move(held), faults_.response_delay_);
  }
  soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
  soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(),
                                   body.size());
}

void PlatformServer::Hold(std::unique_ptr<Held> held, Duration delay) {
  held->server_ = this;
  g_object_ref(held->message_);
  soup_server_message_pause(held->message_);
  held->finished_handler_ = g_signal_connect(held->message_, "finished",
                                             G_CALLBACK(&PlatformServer::OnFinished), held.get());
  const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(delay).count();
  held->timer_ = g_timeout_source_new(static_cast<guint>(milliseconds));
  g_source_set_callback(held->timer_, &PlatformServer::OnHeldTimeout, held.get(), nullptr);
  g_source_attach(held->timer_, context_);
  held_.push_back(std::move(held));
}

// Forgets a message and lets it go on.
void PlatformServer::Release(std::list<std::unique_ptr<Held>>::iterator held) {
  const auto owned = std::move(*held);
  held_.erase(held);
  g_source_destroy(owned->timer_);
  g_source_unref(owned->timer_);
  g_signal_handler_disconnect(owned->message_, owned->finished_handler_);
  soup_server_message_unpause(owned->message_);
  g_object_unref(owned->message_);
}

// The other side closed the connection.
void PlatformServer::OnFinished(SoupServerMessage* /*message*/, gpointer data) {
  const auto* held = static_cast<Held*>(data);
  auto* self = held->server_;
  for (auto item = self->held_.begin(); item != self->held_.end(); ++item) {
    if (item->get() == held) return self->Release(item);
  }
}

gboolean PlatformServer::OnHeldTimeout(gpointer data) {
  const Held held = *static_cast<Held*>(data);
  auto* self = held.server_;
  for (auto item = self->held_.begin(); item != self->held_.end(); ++item) {
    if (item->get() != data) continue;
    g_object_ref(held.message_);
    self->Release(item);
    if (!held.kinds_.empty()) {
      self->Respond(held.message_, 200,
                    FormatList({}, std::max(self->store_.version_, held.after_)));
    } else if (held.status_ != 0) {
      soup_server_message_set_status(held.message_, static_cast<guint>(held.status_), nullptr);
      soup_server_message_set_response(held.message_, "application/json", SOUP_MEMORY_COPY,
                                       held.body_.data(), held.body_.size());
    } else {
      Drop(held.message_);
    }
    g_object_unref(held.message_);
    break;
  }
  return G_SOURCE_REMOVE;
}

void PlatformServer::OnControl(SoupServer* /*server*/, SoupServerMessage* message, const char* path,
                               GHashTable* query, gpointer data) {
  auto* self = static_cast<PlatformServer*>(data);
  const auto value = [query](const char* key) -> std::string {
    const auto* found =
        query == nullptr ? nullptr : static_cast<const char*>(g_hash_table_lookup(query, key));
    return found == nullptr ? "" : found;
  };
  const std::string command = path;
  auto number = ParseNumber(value(command == "/control/slow" || command == "/control/stale" ||
                                          command == "/control/hosts-lag"
                                      ? "ms"
                                      : "writes"));
  const auto mode = ValueOf(kOutageModeNames, value("mode"));
  int status = 200;
  std::string body = "{}";
  if (command == "/control/counters") {
    body = json(self->counters_).dump();
  } else if (command == "/control/outage" && mode) {
    self->SetOutage(*mode);
  } else if (command == "/control/slow" && number) {
    self->faults_.response_delay_ = std::chrono::milliseconds(*number);
  } else if (command == "/control/lose" && number) {
    self->faults_.responses_to_drop_ = static_cast<int>(*number);
  } else if (command == "/control/conflict" && number) {
    self->faults_.conflicts_to_inject_ = static_cast<int>(*number);
  } else if (command == "/control/stale" && number) {
    self->ServeStaleReads(std::chrono::milliseconds(*number));
  } else if (command == "/control/hosts-lag" && number) {
    self->settings_.hosts_lag_ = std::chrono::milliseconds(*number);
  } else {
    status = 400;
    body = R"({"error":"unknown or incomplete command"})";
  }
  soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
  soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(),
                                   body.size());
}

}  // namespace monsoonshelf::standins
