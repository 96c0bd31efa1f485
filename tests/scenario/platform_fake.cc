#include "tests/scenario/platform_fake.h"

#include <algorithm>
#include <memory>

namespace monsoonshelf::scenario {

using coordination::PlatformObject;
using coordination::PlatformOperation;
using coordination::PlatformReply;
using coordination::PlatformRequest;

namespace {

constexpr Duration kLatency = std::chrono::milliseconds(2);

PlatformReply ReplyTo(const PlatformRequest& request, ResultCode code) {
  PlatformReply reply;
  reply.id_ = request.id_;
  reply.operation_ = request.operation_;
  reply.code_ = code;
  return reply;
}

bool Contains(const std::vector<std::string>& kinds, const std::string& kind) {
  return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

}  // namespace

void PlatformFake::Send(const PlatformRequest& request, const ReplyCallback& reply) {
  ++calls_[request.operation_];
  if (down_) {
    simulation_.ScheduleAfter(kLatency,
                              [=] { reply(ReplyTo(request, ResultCode::kPlatformUnreachable)); });
    return;
  }
  // Only the first of answer and timeout is reported. A request that times out still takes effect.
  auto answered = std::make_shared<bool>(false);
  const ReplyCallback once = [answered, reply](const PlatformReply& answer) {
    if (std::exchange(*answered, true)) return;
    reply(answer);
  };
  const auto delay = [this] {
    return kLatency / 2 + (mean_extra_delay_.count() > 0
                               ? simulation_.Exponential(mean_extra_delay_)
                               : Duration());
  };
  const Duration timeout = request.timeout_ + std::chrono::milliseconds(500);
  simulation_.ScheduleAfter(timeout, [=] { once(ReplyTo(request, ResultCode::kPlatformTimeout)); });
  simulation_.ScheduleAfter(delay(), [=, this] {
    if (down_) return;
    if (request.operation_ == PlatformOperation::kWatch) return StartWatch(request, once);
    const PlatformReply answer = Execute(request);
    const bool write = request.operation_ == PlatformOperation::kPut ||
                       request.operation_ == PlatformOperation::kDelete;
    if (write && simulation_.Uniform() < response_loss_probability_) return;
    simulation_.ScheduleAfter(delay(), [=] { once(answer); });
  });
}

std::optional<Version> PlatformFake::WriteIfVersion(const std::string& kind,
                                                    const std::string& name, Version expected,
                                                    const std::optional<std::string>& body) {
  const PlatformObject* current = Find(kind, name);
  if ((current == nullptr ? 0 : current->version_) != expected) return std::nullopt;
  PlatformObject object{kind, name, ++version_, !body.has_value(), body.value_or("")};
  history_[{kind, name}].emplace_back(simulation_.Now(), std::move(object));
  versions_.emplace_back(simulation_.Now(), version_);
  NotifyWatches();
  return version_;
}

const PlatformObject* PlatformFake::Find(const std::string& kind, const std::string& name) const {
  const auto found = history_.find({kind, name});
  if (found == history_.end() || found->second.back().second.deleted_) return nullptr;
  return &found->second.back().second;
}

PlatformReply PlatformFake::Execute(const PlatformRequest& request) {
  PlatformReply reply = ReplyTo(request, ResultCode::kOk);
  const bool remove = request.operation_ == PlatformOperation::kDelete;
  if (!remove && request.operation_ != PlatformOperation::kPut) {
    Read(request, reply);
    return reply;
  }
  const std::string& kind = request.kinds_.front();
  const PlatformObject* current = Find(kind, request.name_);
  const auto body = remove ? std::nullopt : std::optional(request.body_);
  if (remove && current == nullptr) {
    reply.code_ = ResultCode::kPlatformNotFound;
  } else if (!WriteIfVersion(kind, request.name_, request.version_, body)) {
    reply.code_ = ResultCode::kPlatformConflict;
    if (current != nullptr) reply.objects_.push_back(*current);
  } else {
    reply.objects_.push_back(history_.at({kind, request.name_}).back().second);
  }
  return reply;
}

void PlatformFake::Read(const PlatformRequest& request, PlatformReply& reply) {
  if (request.operation_ == PlatformOperation::kHosts) {
    reply.hosts_ = hosts_;
    return;
  }
  const Time as_of =
      simulation_.Now() - (simulation_.Uniform() < 0.5 ? read_staleness_ : Duration());
  for (const auto& [time, version] : versions_) {
    if (time <= as_of) reply.version_ = version;
  }
  for (const auto& [key, states] : history_) {
    if (!Contains(request.kinds_, key.first)) continue;
    if (request.operation_ == PlatformOperation::kGet && key.second != request.name_) continue;
    const PlatformObject* seen = nullptr;
    for (const auto& [time, object] : states) {
      if (time <= as_of) seen = &object;
    }
    if (seen != nullptr && !seen->deleted_) reply.objects_.push_back(*seen);
  }
  if (request.operation_ == PlatformOperation::kGet && reply.objects_.empty()) {
    reply.code_ = ResultCode::kPlatformNotFound;
  }
}

PlatformReply PlatformFake::ReplyWithChanges(const PlatformRequest& request) const {
  PlatformReply reply = ReplyTo(request, ResultCode::kOk);
  reply.version_ = std::max(version_, request.version_);
  for (const auto& [key, states] : history_) {
    const auto& object = states.back().second;
    if (Contains(request.kinds_, key.first) && object.version_ > request.version_) {
      reply.objects_.push_back(object);
    }
  }
  return reply;
}

void PlatformFake::StartWatch(const PlatformRequest& request, const ReplyCallback& reply) {
  const auto number = ++last_watch_number_;
  watches_.push_back({request, reply, number});
  NotifyWatches();
  simulation_.ScheduleAfter(request.timeout_, [this, number] {
    const auto watch = std::find_if(watches_.begin(), watches_.end(),
                                    [&](const Watch& item) { return item.number_ == number; });
    if (watch == watches_.end()) return;
    const PlatformReply answer = ReplyWithChanges(watch->request_);
    if (!down_) watch->reply_(answer);
    watches_.erase(watch);
  });
}

void PlatformFake::NotifyWatches() {
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    PlatformReply answer = ReplyWithChanges(watch->request_);
    if (answer.objects_.empty()) {
      ++watch;
      continue;
    }
    if (!down_) {
      simulation_.ScheduleAfter(kLatency / 2, [reply = watch->reply_, answer] { reply(answer); });
    }
    watch = watches_.erase(watch);
  }
}

}  // namespace monsoonshelf::scenario
