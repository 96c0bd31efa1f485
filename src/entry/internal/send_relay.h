#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "entry/internal/router_types.h"
#include "entry/itarget_client.h"

namespace monsoonshelf::entry {

// Receives the responses and reports of a SendRelay and passes them to the task that needs them.
class ISendRelayDelegate {
 public:
  virtual ~ISendRelayDelegate() = default;
  virtual void RelayResponse(CallHandle call, BufferedResponse response) = 0;
  virtual void RelayHead(CallHandle call, SendId send, ResponseHead head) = 0;
  virtual void RelayChunk(CallHandle call, std::string bytes) = 0;
  virtual void RelayEnd(CallHandle call, bool complete) = 0;
  virtual void ReportSend(SendReport report) = 0;
};

// Runs the sends of one task. Passes successful responses to the task that accepted the call: small
// ones complete, large ones streamed. Reports the end of each send to the router.
class SendRelay : public ITargetObserver {
 public:
  explicit SendRelay(ISendRelayDelegate& delegate) : delegate_(delegate) {}

  void SetClient(ITargetClient& client) { client_ = &client; }
  void Start(SendCommand command);
  void Cancel(SendId id) { client_->Cancel(id); }
  // Reads the next chunk of a streamed response; called when the previous one has been written.
  void ReadChunk(SendId id) { client_->ReadChunk(id); }

  void OnHead(SendId id, ResponseHead head) override;
  void OnChunk(SendId id, std::string bytes) override;
  void OnEnd(SendId id, const SendEnd& end) override;

 private:
  struct Relay {
    SendCommand command_;
    ResponseHead head_;
    std::string body_;
    std::string recorded_body_;
    bool records_body_ = true;
    std::optional<int> returned_retry_budget_;
    std::string shard_load_;
    bool streaming_ = false;
  };

  void BeginStream(SendId id, Relay& relay);
  void RecordBody(Relay& relay, const std::string& bytes);
  static bool Succeeded(const Relay& relay);

  ISendRelayDelegate& delegate_;
  ITargetClient* client_ = nullptr;
  std::unordered_map<SendId, Relay> relays_;
};

}  // namespace monsoonshelf::entry
