// Places calls of one shard with the decision library. Time is a number that the program chooses.
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

struct Sent {
  dispatch::CallHandle call_;
  std::string target_;
};

// Remembers what the dispatcher wants sent; a real program would open connections here.
struct Shard {
  dispatch::DispatcherPtr dispatcher_;
  std::vector<Sent> sent_;
  std::vector<std::string> probed_;
  int refused_ = 0;

  void Take(const dispatch::Actions& actions) {
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
  // Another dispatcher knew these targets as ready, which a probe confirms before the first call. A
  // target that is new starts cold and gets work only while SetAssignment says that this program
  // may use the cold limit.
  dispatch::OnTargetSnapshots(*shard.dispatcher_,
                              {{"summit-pages-1", dispatch::TargetPhase::kReady, 1},
                               {"summit-pages-2", dispatch::TargetPhase::kReady, 1}},
                              now);
  shard.Take(dispatch::OnTargetsChanged(
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
    shard.Take(dispatch::OnCallArrived(*shard.dispatcher_, MakeCall(number, now), now, random));
  }
  const std::vector<std::string> probed = shard.probed_;
  for (const std::string& target : probed) {
    now += std::chrono::milliseconds(1);
    shard.Take(dispatch::OnProbeFinished(
        *shard.dispatcher_, target, dispatch::LoadReport{0, 2, dispatch::TargetPhase::kReady, 1},
        now, random));
  }
  const std::size_t at_once = shard.sent_.size();
  const int queued = dispatch::Summarize(*shard.dispatcher_, now).queued_;
  // Each response frees a slot, which the next queued call takes.
  for (std::size_t i = 0; i < shard.sent_.size(); ++i) {
    now += std::chrono::milliseconds(5);
    const Sent sent = shard.sent_[i];
    bool finished = false;
    shard.Take(dispatch::OnSendFinished(
        *shard.dispatcher_, sent.call_, sent.target_, dispatch::SendResult::kAnswered,
        dispatch::LoadReport{1, 2, dispatch::TargetPhase::kReady, 1}, now, random, &finished));
  }
  std::cout << "sent at once=" << at_once << " queued=" << queued
            << " sent later=" << shard.sent_.size() - at_once << " refused=" << shard.refused_
            << "\n";
}
