// Example of embedding the dispatch library: dispatches the calls of one shard to its targets. The
// program passes the current time to each function, here a simulated one.
#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

#include "dispatch/dispatcher.h"

namespace {

namespace dispatch = monsoonshelf::dispatch;
using monsoonshelf::Random;
using monsoonshelf::Time;

constexpr std::uint64_t kSeed = 7;
constexpr int kCalls = 6;

struct SentCall {
  dispatch::CallHandle call_;
  std::string target_;
};

// Carries out the actions that the dispatcher requests. A real program would send calls and probes
// over connections; this one only records them.
struct Shard {
  dispatch::DispatcherPtr dispatcher_;
  std::vector<SentCall> sent_;
  std::vector<std::string> probed_;
  int refused_ = 0;

  void Execute(const dispatch::Actions& actions) {
    for (const dispatch::Action& action : actions) {
      if (action.kind_ == dispatch::ActionKind::kSend) {
        std::cout << "call " << action.call_ << " -> " << action.target_ << "\n";
        sent_.push_back({action.call_, action.target_});
      } else if (action.kind_ == dispatch::ActionKind::kProbe) {
        probed_.push_back(action.target_);
      } else if (action.kind_ == dispatch::ActionKind::kRefuse) {
        ++refused_;
      }
    }
  }
};

Shard MakeShard(Time now, Random& random) {
  dispatch::ShardSettings settings;
  settings.service_ = "summit-pages";
  settings.zone_ = "uplands-a";
  settings.limits_.slots_ = 2;
  Shard shard{dispatch::MakeDispatcher(settings, now), {}, {}, 0};
  // These snapshots of another dispatcher say that the targets are ready; a probe confirms this
  // before the first call is sent. A new target starts cold and gets calls only while SetAssignment
  // allows this program to use the cold limit.
  dispatch::OnTargetSnapshots(*shard.dispatcher_,
                              {{"summit-pages-1", dispatch::TargetPhase::kReady, 1},
                               {"summit-pages-2", dispatch::TargetPhase::kReady, 1}},
                              now);
  shard.Execute(dispatch::OnTargetsChanged(
      *shard.dispatcher_, {{"summit-pages-1", true}, {"summit-pages-2", true}}, now, random));
  return shard;
}

dispatch::Call MakeCall(int number, Time now) {
  dispatch::Call call;
  call.handle_ = static_cast<dispatch::CallHandle>(number);
  call.idempotent_ = true;
  call.deadline_ = now + std::chrono::seconds(2);
  return call;
}

}  // namespace

int main() {
  Random random(kSeed);
  Time now{};
  Shard shard = MakeShard(now, random);
  for (int number = 1; number <= kCalls; ++number) {
    shard.Execute(dispatch::OnCallArrived(*shard.dispatcher_, MakeCall(number, now), now, random));
  }
  const std::vector<std::string> probed = shard.probed_;
  for (const std::string& target : probed) {
    now += std::chrono::milliseconds(1);
    shard.Execute(dispatch::OnProbeFinished(
        *shard.dispatcher_, target, dispatch::LoadReport{0, 2, dispatch::TargetPhase::kReady, 1},
        now, random));
  }
  const std::size_t at_once = shard.sent_.size();
  const int queued = dispatch::Summarize(*shard.dispatcher_, now).queued_;
  // Each response frees a slot, and the dispatcher sends the next queued call.
  for (std::size_t i = 0; i < shard.sent_.size(); ++i) {
    now += std::chrono::milliseconds(5);
    const SentCall sent = shard.sent_[i];
    bool finished = false;
    shard.Execute(dispatch::OnSendFinished(
        *shard.dispatcher_, sent.call_, sent.target_, dispatch::SendResult::kAnswered,
        dispatch::LoadReport{1, 2, dispatch::TargetPhase::kReady, 1}, now, random, &finished));
  }
  std::cout << "sent at once=" << at_once << " queued=" << queued
            << " sent later=" << shard.sent_.size() - at_once << " refused=" << shard.refused_
            << "\n";
}
