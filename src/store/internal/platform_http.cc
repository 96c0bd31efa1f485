#include "store/internal/platform_http.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "store/platform_types.h"

namespace monsoonshelf::store::detail {

namespace {

using coordination::PlatformObject;
using coordination::PlatformOperation;
using coordination::PlatformReply;
using coordination::PlatformRequest;
using nlohmann::json;

constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kMaxHosts = 10000;

bool IsName(std::string_view name) {
  if (name.empty() || name.size() > kMaxNameLength || name == "." || name == "..") return false;
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '_' || c == '-';
  });
}

std::string JoinKinds(const std::vector<std::string>& kinds) {
  std::string joined;
  for (const auto& kind : kinds) joined += (joined.empty() ? "" : ",") + kind;
  return joined;
}

std::optional<Version> ReadVersion(const json& value) {
  const auto found = value.find("version");
  if (found == value.end() || !found->is_number_unsigned()) return std::nullopt;
  return found->get<Version>();
}

std::optional<std::string> ReadText(const json& value, const char* field) {
  const auto found = value.find(field);
  if (found == value.end() || !found->is_string()) return std::nullopt;
  return found->get<std::string>();
}

std::optional<PlatformObject> ReadObject(const json& value) {
  if (!value.is_object()) return std::nullopt;
  const auto kind = ReadText(value, "kind");
  const auto name = ReadText(value, "name");
  const auto version = ReadVersion(value);
  if (!kind || !name || !version || *version == 0 || !IsName(*kind) || !IsName(*name)) {
    return std::nullopt;
  }
  PlatformObject object{*kind, *name, *version, false, {}};
  if (const auto deleted = value.find("deleted"); deleted != value.end()) {
    if (!deleted->is_boolean()) return std::nullopt;
    object.deleted_ = deleted->get<bool>();
  }
  if (object.deleted_) return object;
  auto body = ReadText(value, "body");
  if (!body || body->size() > kMaxObjectBytes) return std::nullopt;
  object.body_ = std::move(*body);
  return object;
}

// Reads the object that the request names. Returns false for any other object.
bool ReadNamedObject(const PlatformRequest& request, const json& value, PlatformReply& reply) {
  auto object = ReadObject(value);
  if (!object || object->kind_ != request.kinds_.front() || object->name_ != request.name_) {
    return false;
  }
  reply.version_ = object->version_;
  reply.objects_.push_back(std::move(*object));
  return true;
}

bool ReadList(const PlatformRequest& request, const json& value, PlatformReply& reply) {
  const auto version = ReadVersion(value);
  const auto objects = value.find("objects");
  if (!version || objects == value.end() || !objects->is_array()) return false;
  const bool is_watch = request.operation_ == PlatformOperation::kWatch;
  const Version after_version = is_watch ? request.version_ : 0;
  if (*version < after_version) return false;
  for (const auto& item : *objects) {
    auto object = ReadObject(item);
    if (!object || object->version_ <= after_version || object->version_ > *version) return false;
    if (object->deleted_ && !is_watch) return false;
    if (std::find(request.kinds_.begin(), request.kinds_.end(), object->kind_) ==
        request.kinds_.end()) {
      return false;
    }
    reply.objects_.push_back(std::move(*object));
  }
  reply.version_ = *version;
  return true;
}

bool ReadHosts(const json& value, PlatformReply& reply) {
  const auto hosts = value.find("hosts");
  if (hosts == value.end() || !hosts->is_array() || hosts->size() > kMaxHosts) return false;
  for (const auto& item : *hosts) {
    if (!item.is_object()) return false;
    const auto name = ReadText(item, "name");
    const auto address = ReadText(item, "peer_address");
    const auto leaving = item.find("leaving");
    if (!name || name->empty() || !address || leaving == item.end() || !leaving->is_boolean()) {
      return false;
    }
    reply.hosts_.push_back({*name, *address, leaving->get<bool>()});
  }
  return true;
}

bool ReadSuccess(const PlatformRequest& request, const json& value, PlatformReply& reply) {
  switch (request.operation_) {
    case PlatformOperation::kGet:
    case PlatformOperation::kPut:
      return ReadNamedObject(request, value, reply) && !reply.objects_.front().deleted_ &&
             reply.version_ >
                 (request.operation_ == PlatformOperation::kPut ? request.version_ : 0);
    case PlatformOperation::kDelete:
      return ReadNamedObject(request, value, reply) && reply.objects_.front().deleted_ &&
             reply.version_ > request.version_;
    case PlatformOperation::kList:
    case PlatformOperation::kWatch:
      return ReadList(request, value, reply);
    case PlatformOperation::kHosts:
      return ReadHosts(value, reply);
  }
  return false;
}

bool IsWrite(PlatformOperation operation) {
  return operation == PlatformOperation::kPut || operation == PlatformOperation::kDelete;
}

bool ReadConflict(const PlatformRequest& request, const json& value, PlatformReply& reply) {
  if (!IsWrite(request.operation_)) return false;
  if (value.empty()) return true;
  return ReadNamedObject(request, value, reply) && !reply.objects_.front().deleted_;
}

ResultCode ResultCodeOfStatus(const PlatformRequest& request, int status) {
  switch (status) {
    case 200:
      return ResultCode::kOk;
    case 404:
      return request.name_.empty() || request.operation_ == PlatformOperation::kPut
                 ? ResultCode::kPlatformInvalidAnswer
                 : ResultCode::kPlatformNotFound;
    case 412:
      return ResultCode::kPlatformConflict;
    case 429:
      return ResultCode::kPlatformBudgetSpent;
    case 503:
      return ResultCode::kPlatformUnreachable;
    default:
      return ResultCode::kPlatformInvalidAnswer;
  }
}

}  // namespace

std::optional<HttpRequest> MakeHttpRequest(const PlatformRequest& request) {
  const bool named = request.operation_ == PlatformOperation::kGet || IsWrite(request.operation_);
  if (named && (request.kinds_.size() != 1 || !IsName(request.name_))) return std::nullopt;
  if (request.operation_ != PlatformOperation::kHosts &&
      (request.kinds_.empty() || !std::all_of(request.kinds_.begin(), request.kinds_.end(),
                                              [](const auto& kind) { return IsName(kind); }))) {
    return std::nullopt;
  }
  switch (request.operation_) {
    case PlatformOperation::kGet:
      return HttpRequest{"GET", "/objects/" + request.kinds_.front() + "/" + request.name_, false};
    case PlatformOperation::kPut:
      return HttpRequest{"PUT", "/objects/" + request.kinds_.front() + "/" + request.name_, true};
    case PlatformOperation::kDelete:
      return HttpRequest{"DELETE", "/objects/" + request.kinds_.front() + "/" + request.name_,
                         true};
    case PlatformOperation::kList:
      return HttpRequest{"GET", "/objects?kinds=" + JoinKinds(request.kinds_), false};
    case PlatformOperation::kWatch:
      return HttpRequest{
          "GET",
          "/watch?kinds=" + JoinKinds(request.kinds_) +
              "&after=" + std::to_string(request.version_) + "&timeout_ms=" +
              std::to_string(
                  std::chrono::duration_cast<std::chrono::milliseconds>(request.timeout_).count()),
          false};
    case PlatformOperation::kHosts:
      return HttpRequest{"GET", "/hosts", false};
  }
  return std::nullopt;
}

PlatformReply ParseHttpResponse(const PlatformRequest& request, int status, std::string_view body) {
  PlatformReply reply{request.id_, request.operation_, ResultCodeOfStatus(request, status), {}, 0,
                      {}};
  if (reply.code_ != ResultCode::kOk && reply.code_ != ResultCode::kPlatformConflict) return reply;
  const json value = json::parse(body, nullptr, false);
  const bool valid =
      value.is_object() && (reply.code_ == ResultCode::kOk ? ReadSuccess(request, value, reply)
                                                           : ReadConflict(request, value, reply));
  if (valid) return reply;
  return {request.id_, request.operation_, ResultCode::kPlatformInvalidAnswer, {}, 0, {}};
}

}  // namespace monsoonshelf::store::detail
