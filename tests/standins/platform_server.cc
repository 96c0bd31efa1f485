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

std::optional<Version> ParseUnsigned(const std::string& text) {
  guint64 value = 0;
  if (g_ascii_string_to_unsigned(text.c_str(), 10, 0, G_MAXINT64, &value, nullptr) == FALSE) {
    return std::nullopt;
  }
  return value;
}

// Closes the connection without a response.
void CloseConnection(SoupServerMessage* message) {
  GIOStream* stream = soup_server_message_steal_connection(message);
  if (stream == nullptr) return;
  g_io_stream_close(stream, nullptr, nullptr);
  g_object_unref(stream);
}

}  // namespace

struct PlatformServer::QueryParameters {
  std::map<std::string, std::string> values_;

  std::string Text(const std::string& key) const {
    const auto found = values_.find(key);
    return found == values_.end() ? "" : found->second;
  }
  // Returns 0 if the value is missing or not a number.
  std::int64_t Number(const std::string& key) const {
    return static_cast<std::int64_t>(ParseUnsigned(Text(key)).value_or(0));
  }
};

// A request that waits for its response. A watch has kinds and is completed by a matching change;
// other messages have none and wait for their delay only.
struct PlatformServer::PausedMessage {
  PlatformServer* server_ = nullptr;
  SoupServerMessage* message_ = nullptr;
  GSource* timer_ = nullptr;
  gulong finished_handler_ = 0;
  std::vector<std::string> kinds_;
  Version after_ = 0;
  int status_ = 0;  // 0: the connection is closed when the delay ends.
  std::string body_;
};

PlatformServer::PlatformServer(PlatformServerSettings settings)
    : settings_(std::move(settings)),
      main_context_(g_main_context_ref_thread_default()),
      server_(soup_server_new(nullptr, nullptr)) {
  soup_server_add_handler(server_, nullptr, &PlatformServer::OnRequest, this, nullptr);
  soup_server_add_handler(server_, "/control", &PlatformServer::OnControl, this, nullptr);
}

PlatformServer::~PlatformServer() {
  while (!paused_messages_.empty()) ResumeMessage(paused_messages_.begin());
  soup_server_disconnect(server_);
  g_object_unref(server_);
  g_main_context_unref(main_context_);
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
  const auto current = FindObject(store_.objects_, key);
  WriteObject(store_, key, current ? current->version_ : 0, body, Now());
  CompleteWatches();
}

void PlatformServer::SetOutage(OutageMode mode) {
  faults_.outage_ = mode;
  // A platform that goes down or comes back does not respond to requests from before.
  while (!paused_messages_.empty()) {
    SoupServerMessage* message = paused_messages_.front()->message_;
    g_object_ref(message);
    ResumeMessage(paused_messages_.begin());
    CloseConnection(message);
    g_object_unref(message);
  }
}

void PlatformServer::ServeStaleReads(Duration duration) {
  faults_.stale_reads_until_ = Now() + duration;
  faults_.stale_objects_ = store_.objects_;
  faults_.stale_version_ = store_.version_;
}

bool PlatformServer::ServesStaleReads() const { return Now() < faults_.stale_reads_until_; }

void PlatformServer::OnRequest(SoupServer* /*server*/, SoupServerMessage* message, const char* path,
                               GHashTable* query, gpointer data) {
  auto* self = static_cast<PlatformServer*>(data);
  QueryParameters values;
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
      return self->RouteRequest(message, path, values);
    case OutageMode::kUnavailable:
      self->counters_["outage"]++;
      return self->Respond(message, 503, "{}");
    case OutageMode::kDrop:
      self->counters_["outage"]++;
      return CloseConnection(message);
    case OutageMode::kHang: {
      self->counters_["outage"]++;
      auto paused = std::make_unique<PausedMessage>();
      paused->message_ = message;
      // The outage normally ends before this timeout: SetOutage closes the connection.
      return self->PauseMessage(std::move(paused), std::chrono::hours(1));
    }
  }
}

void PlatformServer::RouteRequest(SoupServerMessage* message, const std::string& path,
                                  const QueryParameters& query) {
  const auto parts = Split(path, '/');
  const std::string method = soup_server_message_get_method(message);
  const bool is_get = method == "GET";
  if (parts.size() == 3 && parts[0] == "objects") {
    if (is_get) return HandleRead(message, {parts[1], parts[2]});
    if (method == "PUT" || method == "DELETE") return HandleWrite(message, {parts[1], parts[2]});
  }
  if (is_get && parts.size() == 2 && parts[0] == "objects") return HandleList(message, {parts[1]});
  if (is_get && parts.size() == 1) {
    if (parts[0] == "objects") return HandleList(message, Split(query.Text("kinds"), ','));
    if (parts[0] == "watch") return HandleWatch(message, query);
    if (parts[0] == "hosts") return HandleHosts(message);
  }
  counters_["invalid"]++;
  Respond(message, 400, R"({"error":"unknown method or path"})");
}

void PlatformServer::HandleRead(SoupServerMessage* message, const ObjectKey& key) {
  counters_["get"]++;
  const auto object =
      FindObject(ServesStaleReads() ? faults_.stale_objects_ : store_.objects_, key);
  if (!object) return Respond(message, 404, "{}");
  Respond(message, 200, ToJson(*object).dump());
}

void PlatformServer::HandleWrite(SoupServerMessage* message, const ObjectKey& key) {
  const bool is_put = std::string(soup_server_message_get_method(message)) == "PUT";
  counters_[is_put ? "put" : "delete"]++;
  const char* header =
      soup_message_headers_get_one(soup_server_message_get_request_headers(message), "If-Match");
  const auto expected = header == nullptr ? std::nullopt : ParseUnsigned(header);
  if (!expected) return Respond(message, 400, R"({"error":"If-Match is missing or not a number"})");
  SoupMessageBody* request = soup_server_message_get_request_body(message);
  std::string body(request->data == nullptr ? "" : request->data,
                   static_cast<std::size_t>(request->length));
  if (body.size() > store::kMaxObjectBytes) return Respond(message, 413, "{}");
  if (g_utf8_validate(body.data(), static_cast<gssize>(body.size()), nullptr) == FALSE) {
    return Respond(message, 400, R"({"error":"the body is not UTF-8"})");
  }
  if (faults_.conflicts_to_inject_ > 0) {
    faults_.conflicts_to_inject_--;
    BumpVersion(store_, key, Now());
    CompleteWatches();
    const auto current = FindObject(store_.objects_, key);
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
    CloseConnection(message);
  } else {
    Respond(message, 200, ToJson(*result.object_).dump());
  }
  CompleteWatches();
}

void PlatformServer::HandleList(SoupServerMessage* message, const std::vector<std::string>& kinds) {
  counters_["list"]++;
  if (kinds.empty())
    return Respond(message, 400, R"({"error":"query parameter kinds is missing"})");
  const bool stale = ServesStaleReads();
  const auto& objects = stale ? faults_.stale_objects_ : store_.objects_;
  const Version version = stale ? faults_.stale_version_ : store_.version_;
  Respond(message, 200, FormatList(FindChangedObjects(objects, kinds, 0, false), version));
}

void PlatformServer::HandleWatch(SoupServerMessage* message, const QueryParameters& query) {
  counters_["watch"]++;
  const auto after = ParseUnsigned(query.Text("after"));
  const auto kinds = Split(query.Text("kinds"), ',');
  if (!after || kinds.empty())
    return Respond(message, 400,
                   R"({"error":"query parameter after or kinds is missing or invalid"})");
  const auto changes = FindChangedObjects(store_.objects_, kinds, *after, true);
  if (!changes.empty()) return Respond(message, 200, FormatList(changes, store_.version_));
  auto watch = std::make_unique<PausedMessage>();
  watch->message_ = message;
  watch->kinds_ = kinds;
  watch->after_ = *after;
  PauseMessage(std::move(watch), std::chrono::milliseconds(query.Number("timeout_ms")));
}

void PlatformServer::CompleteWatches() {
  for (auto next = paused_messages_.begin(); next != paused_messages_.end();) {
    const auto current = next++;
    if ((*current)->kinds_.empty()) continue;
    if (FindChangedObjects(store_.objects_, (*current)->kinds_, (*current)->after_, true).empty())
      continue;
    const PausedMessage watch = **current;
    g_object_ref(watch.message_);
    ResumeMessage(current);
    Respond(watch.message_, 200,
            FormatList(FindChangedObjects(store_.objects_, watch.kinds_, watch.after_, true),
                       store_.version_));
    g_object_unref(watch.message_);
  }
}

void PlatformServer::HandleHosts(SoupServerMessage* message) {
  counters_["hosts"]++;
  json list = json::array();
  for (const auto& host :
       ListHosts(store_, Now(), settings_.host_list_lag_, settings_.host_list_window_)) {
    list.push_back(
        {{"name", host.name_}, {"peer_address", host.peer_address_}, {"leaving", host.leaving_}});
  }
  Respond(message, 200, json{{"hosts", std::move(list)}}.dump());
}

void PlatformServer::Respond(SoupServerMessage* message, int status, std::string body) {
  if (faults_.response_delay_ > Duration(0)) {
    auto paused = std::make_unique<PausedMessage>();
    paused->message_ = message;
    paused->status_ = status;
    paused->body_ = std::move(body);
    return PauseMessage(std::move(paused), faults_.response_delay_);
  }
  soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
  soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(),
                                   body.size());
}

void PlatformServer::PauseMessage(std::unique_ptr<PausedMessage> paused, Duration delay) {
  paused->server_ = this;
  g_object_ref(paused->message_);
  soup_server_message_pause(paused->message_);
  paused->finished_handler_ = g_signal_connect(
      paused->message_, "finished", G_CALLBACK(&PlatformServer::OnMessageFinished), paused.get());
  const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(delay).count();
  paused->timer_ = g_timeout_source_new(static_cast<guint>(milliseconds));
  g_source_set_callback(paused->timer_, &PlatformServer::OnPauseTimeout, paused.get(), nullptr);
  g_source_attach(paused->timer_, main_context_);
  paused_messages_.push_back(std::move(paused));
}

// Removes a message from the paused ones and resumes its processing.
void PlatformServer::ResumeMessage(std::list<std::unique_ptr<PausedMessage>>::iterator paused) {
  const auto owned = std::move(*paused);
  paused_messages_.erase(paused);
  g_source_destroy(owned->timer_);
  g_source_unref(owned->timer_);
  g_signal_handler_disconnect(owned->message_, owned->finished_handler_);
  soup_server_message_unpause(owned->message_);
  g_object_unref(owned->message_);
}

// Called when the client has closed the connection of a paused message.
void PlatformServer::OnMessageFinished(SoupServerMessage* /*message*/, gpointer data) {
  const auto* paused = static_cast<PausedMessage*>(data);
  auto* self = paused->server_;
  for (auto item = self->paused_messages_.begin(); item != self->paused_messages_.end(); ++item) {
    if (item->get() == paused) return self->ResumeMessage(item);
  }
}

gboolean PlatformServer::OnPauseTimeout(gpointer data) {
  const PausedMessage paused = *static_cast<PausedMessage*>(data);
  auto* self = paused.server_;
  for (auto item = self->paused_messages_.begin(); item != self->paused_messages_.end(); ++item) {
    if (item->get() != data) continue;
    g_object_ref(paused.message_);
    self->ResumeMessage(item);
    if (!paused.kinds_.empty()) {
      self->Respond(paused.message_, 200,
                    FormatList({}, std::max(self->store_.version_, paused.after_)));
    } else if (paused.status_ != 0) {
      soup_server_message_set_status(paused.message_, static_cast<guint>(paused.status_), nullptr);
      soup_server_message_set_response(paused.message_, "application/json", SOUP_MEMORY_COPY,
                                       paused.body_.data(), paused.body_.size());
    } else {
      CloseConnection(paused.message_);
    }
    g_object_unref(paused.message_);
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
  auto number = ParseUnsigned(value(command == "/control/slow" || command == "/control/stale" ||
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
    self->settings_.host_list_lag_ = std::chrono::milliseconds(*number);
  } else {
    status = 400;
    body = R"({"error":"unknown control command, or a parameter is missing or invalid"})";
  }
  soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
  soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(),
                                   body.size());
}

}  // namespace monsoonshelf::standins
