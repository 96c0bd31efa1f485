#include "control/control_task.h"

#include <glib.h>

#include <future>
#include <optional>
#include <thread>
#include <utility>

#include "control/internal/node_runner.h"
#include "peer/peer_setup.h"

namespace monsoonshelf::control {

class ControlTask::Impl {
 public:
  Impl(coordination::NodeSettings settings, std::uint64_t random_seed, ControlFactories factories,
       ControlCallbacks callbacks)
      : settings_(std::move(settings)),
        random_seed_(random_seed),
        factories_(std::move(factories)),
        callbacks_(std::move(callbacks)),
        context_(g_main_context_new()),
        loop_(g_main_loop_new(context_, FALSE)) {}

  ~Impl() {
    Stop();
    g_main_loop_unref(loop_);
    g_main_context_unref(context_);
  }

  Result<void> Start() {
    std::promise<std::optional<Error>> started;
    auto result = started.get_future();
    thread_ = std::thread([this, &started] { Run(started); });
    const auto error = result.get();
    if (!error) return {};
    thread_.join();
    return Fail(error->code_, error->message_);
  }

  void Stop() {
    if (!thread_.joinable()) return;
    Post([this](detail::NodeRunner&) { g_main_loop_quit(loop_); });
    thread_.join();
  }

  // Runs the function on the control thread, after all functions that were posted earlier.
  void Post(std::function<void(detail::NodeRunner&)> function) {
    struct Message {
      Impl* impl_;
      std::function<void(detail::NodeRunner&)> function_;
    };
    GSource* source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    g_source_set_callback(
        source,
        [](gpointer data) -> gboolean {
          const auto* message = static_cast<Message*>(data);
          if (message->impl_->runner_) message->function_(*message->impl_->runner_);
          return G_SOURCE_REMOVE;
        },
        new Message{this, std::move(function)},
        [](gpointer data) { delete static_cast<Message*>(data); });
    g_source_attach(source, context_);
    g_source_unref(source);
  }

  void SetKeys(std::vector<peer::Key> keys) {
    Post([this, keys = std::move(keys)](detail::NodeRunner&) {
      std::string ids;
      for (const auto& key : keys) ids += (ids.empty() ? "" : ",") + key.id_;
      transport_->SetKeys(keys);
      if (callbacks_.event_) callbacks_.event_({{"event", "peer_keys_changed"}, {"keys", ids}});
    });
  }

 private:
  void Run(std::promise<std::optional<Error>>& started) {
    g_main_context_push_thread_default(context_);
    const auto error = Recover(
        [this]() -> Result<std::optional<Error>> {
          BOOST_LEAF_CHECK(OpenClients());
          return std::optional<Error>();
        },
        [](const Error& failure) { return std::optional(failure); });
    if (!error) runner_->Start();
    started.set_value(error);
    if (!error) g_main_loop_run(loop_);
    CloseClients();
    g_main_context_pop_thread_default(context_);
  }

  Result<void> OpenClients() {
    BOOST_LEAF_ASSIGN(client_, factories_.platform_client_());
    BOOST_LEAF_ASSIGN(transport_, factories_.peer_transport_());
    // The transport delivers no message before this function has returned to the main loop, so
    // `runner_` may still be null here.
    BOOST_LEAF_CHECK(transport_->Start(
        [this](const coordination::PeerMessage& message) { runner_->OnMessage(message); }));
    settings_.peer_address_ = transport_->ListenAddress();
    runner_ = std::make_unique<detail::NodeRunner>(settings_, random_seed_, *client_, *transport_,
                                                   callbacks_);
    return {};
  }

  void CloseClients() {
    if (transport_) transport_->Stop();
    if (client_) client_->Close();
    runner_.reset();
    client_.reset();
    transport_.reset();
    // Cancelled platform calls release their memory in callbacks, which run here.
    while (g_main_context_iteration(context_, FALSE) == TRUE) {
    }
  }

  coordination::NodeSettings settings_;
  std::uint64_t random_seed_;
  ControlFactories factories_;
  ControlCallbacks callbacks_;
  GMainContext* context_;
  GMainLoop* loop_;
  std::thread thread_;
  // The following members are used on the control thread only.
  std::unique_ptr<store::IPlatformClient> client_;
  std::unique_ptr<peer::IPeerTransport> transport_;
  std::unique_ptr<detail::NodeRunner> runner_;
};

ControlTask::ControlTask(coordination::NodeSettings settings, std::uint64_t random_seed,
                         ControlFactories factories, ControlCallbacks callbacks)
    : impl_(std::make_unique<Impl>(std::move(settings), random_seed, std::move(factories),
                                   std::move(callbacks))) {}

ControlTask::~ControlTask() = default;

Result<void> ControlTask::Start() { return impl_->Start(); }

void ControlTask::SetLocalShards(std::vector<coordination::ShardLoad> shards) {
  impl_->Post(
      [shards = std::move(shards)](detail::NodeRunner& runner) { runner.SetLocalShards(shards); });
}

void ControlTask::Leave() {
  impl_->Post([](detail::NodeRunner& runner) { runner.Leave(); });
}

Result<void> ControlTask::SetKeys(std::vector<peer::Key> keys) {
  BOOST_LEAF_CHECK(peer::CheckKeys(keys));
  impl_->SetKeys(std::move(keys));
  return {};
}

void ControlTask::Stop() { impl_->Stop(); }

}  // namespace monsoonshelf::control
