#include <gio/gio.h>

#include <optional>
#include <utility>

#include "store/platform_client.h"

namespace monsoonshelf::store {

namespace {

using coordination::PlatformObject;
using coordination::PlatformOperation;
using coordination::PlatformReply;
using coordination::PlatformRequest;

std::string DescribeRequest(const PlatformRequest& request) {
  std::string text(NameOf(coordination::kPlatformOperationNames, request.operation_));
  for (const auto& kind : request.kinds_) text += " " + kind;
  return request.name_.empty() ? text : text + " " + request.name_;
}

PlatformRequest MakeRequest(PlatformOperation operation, std::vector<std::string> kinds,
                            std::string name, Version version) {
  PlatformRequest request;
  request.operation_ = operation;
  request.kinds_ = std::move(kinds);
  request.name_ = std::move(name);
  request.version_ = version;
  return request;
}

}  // namespace

// Runs the asynchronous client on a separate main context.
class SyncClient::Impl {
 public:
  explicit Impl(Duration timeout) : timeout_(timeout), context_(g_main_context_new()) {}

  ~Impl() {
    client_.reset();
    // Runs the pending libsoup callbacks, in which cancelled calls release their memory.
    while (g_main_context_iteration(context_, FALSE) == TRUE) {
    }
    g_main_context_unref(context_);
  }

  Result<void> Open(ClientSettings settings) {
    g_main_context_push_thread_default(context_);
    auto client = MakePlatformClient(std::move(settings));
    g_main_context_pop_thread_default(context_);
    BOOST_LEAF_ASSIGN(client_, std::move(client));
    return {};
  }

  Result<PlatformReply> Run(PlatformRequest request) {
    if (request.operation_ != PlatformOperation::kWatch) request.timeout_ = timeout_;
    std::optional<PlatformReply> reply;
    g_main_context_push_thread_default(context_);
    client_->Send(request, [&reply](const PlatformReply& received) { reply = received; });
    while (!reply) g_main_context_iteration(context_, TRUE);
    g_main_context_pop_thread_default(context_);
    if (reply->code_ == ResultCode::kOk) return std::move(*reply);
    if (reply->code_ == ResultCode::kPlatformConflict) {
      conflict_ = reply->objects_.empty()
                      ? PlatformObject{request.kinds_.front(), request.name_, 0, true, {}}
                      : reply->objects_.front();
    }
    return Fail(reply->code_, "platform call failed: " + DescribeRequest(request) + ": " +
                                  std::string(ResultCodeName(reply->code_)));
  }

  PlatformObject conflict_;

 private:
  Duration timeout_;
  GMainContext* context_;
  std::unique_ptr<IPlatformClient> client_;
};

SyncClient::SyncClient() = default;
SyncClient::~SyncClient() = default;

Result<std::unique_ptr<SyncClient>> SyncClient::Make(ClientSettings settings, Duration timeout) {
  std::unique_ptr<SyncClient> client(new SyncClient());
  client->impl_ = std::make_unique<Impl>(timeout);
  BOOST_LEAF_CHECK(client->impl_->Open(std::move(settings)));
  return client;
}

Result<PlatformObject> SyncClient::Get(const std::string& kind, const std::string& name) {
  BOOST_LEAF_AUTO(reply, impl_->Run(MakeRequest(PlatformOperation::kGet, {kind}, name, 0)));
  return std::move(reply.objects_.front());
}

Result<PlatformObject> SyncClient::Put(const std::string& kind, const std::string& name,
                                       Version version, const std::string& body) {
  auto request = MakeRequest(PlatformOperation::kPut, {kind}, name, version);
  request.body_ = body;
  BOOST_LEAF_AUTO(reply, impl_->Run(std::move(request)));
  return std::move(reply.objects_.front());
}

Result<void> SyncClient::Delete(const std::string& kind, const std::string& name, Version version) {
  BOOST_LEAF_CHECK(impl_->Run(MakeRequest(PlatformOperation::kDelete, {kind}, name, version)));
  return {};
}

Result<SyncClient::Listing> SyncClient::List(const std::vector<std::string>& kinds) {
  BOOST_LEAF_AUTO(reply, impl_->Run(MakeRequest(PlatformOperation::kList, kinds, {}, 0)));
  return Listing{std::move(reply.objects_), reply.version_};
}

Result<SyncClient::Listing> SyncClient::Watch(const std::vector<std::string>& kinds, Version after,
                                              Duration max_wait) {
  auto request = MakeRequest(PlatformOperation::kWatch, kinds, {}, after);
  request.timeout_ = max_wait;
  BOOST_LEAF_AUTO(reply, impl_->Run(std::move(request)));
  return Listing{std::move(reply.objects_), reply.version_};
}

const PlatformObject& SyncClient::LastConflict() const { return impl_->conflict_; }

}  // namespace monsoonshelf::store
