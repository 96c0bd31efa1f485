#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "entry/internal/router_types.h"
#include "entry/itarget_client.h"

namespace monsoonshelf::entry {

// Where the relay delivers responses and reports. Implementations pass them to the right task.
class IRelayPort {
 public:
  virtual ~IRelayPort() = default;
  virtual void Whole(CallHandle call, WholeResponse response) = 0;
  virtual void Head(CallHandle call, SendId send, ResponseHead head) = 0;
  virtual void Chunk(CallHandle call, std::string bytes) = 0;
  virtual void End(CallHandle call, bool complete) = 0;
  virtual void Report(SendReport report) = 0;
};

// Runs the sends of one task: passes successful responses to the caller's task, small ones in one
// piece and large ones in pieces, and reports every end to the router.
class SendRelay : public ITargetObserver {
 public:
  explicit SendRelay(IRelayPort& port) : port_(port) {}

  void SetClient(ITargetClient& client) { client_ = &client; }
  void Start(SendOrder order);
  void Cancel(SendId id) { client_->Cancel(id); }
  // The caller's task has taken the last piece.
  void Read(SendId id) { client_->Read(id); }

  void OnHead(SendId id, ResponseHead head) override;
  void OnChunk(SendId id, std::string bytes) override;
  void OnEnd(SendId id, const SendEnd& end) override;

 private:
  struct Relay {
    SendOrder order_;
    ResponseHead head_;
    std::string body_;
    std::string kept_;
    bool keeps_body_ = true;
    std::optional<int> returned_budget_;
    std::string shard_load_;
    bool streaming_ = false;
  };

  void BeginStream(SendId id, Relay& relay);
  void Keep(Relay& relay, const std::string& bytes);
  static bool Succeeded(const Relay& relay);

  IRelayPort& port_;
  ITargetClient* client_ = nullptr;
  std::unordered_map<SendId, Relay> relays_;
};

}  // namespace monsoonshelf::entry
