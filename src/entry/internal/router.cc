#include "entry/internal/router.h"

#include <algorithm>
#include <utility>

#include "entry/internal/call_headers.h"

namespace monsoonshelf::entry {

using dispatch::SendResult;

namespace {

// Connections to another entry host.
constexpr int kForwardConnections = 64;
// The response of a forward hop needs time for the way back; without it a call that was refused
// at its deadline would be reported as unknown.
constexpr Duration kForwardMargin = std::chrono::milliseconds(5);

dispatch::Call MakeCall(const CallArrival& arrival, int retry_budget, bool forwarded) {
  const CallHead& head = *arrival.head_;
  dispatch::Call call;
  call.handle_ = arrival.handle_;
  call.class_ = head.class_;
  call.priority_ = head.priority_;
  call.idempotent_ = head.idempotent_;
  // A streamed body can be sent once.
  call.attempts_left_ = arrival.body_.bytes_ != nullptr ? head.attempts_ : 1;
  call.retry_budget_ = retry_budget;
  call.deadline_ = head.deadline_;
  call.zone_preference_ = head.zone_preference_;
  call.forwarded_ = forwarded;
  return call;
}

Hop LastHop(const CallHead& head) { return head.hops_.empty() ? Hop::kNone : head.hops_.back(); }

}  // namespace

Router::Router(EntrySettings settings, IRouterPort& port, std::uint64_t seed)
    : settings_(std::move(settings)),
      port_(port),
      random_(seed),
      view_(std::make_shared<EntryView>()),
      outcomes_(outcomes::MakeOutcomeTable(settings_.name_, settings_.incarnation_,
                                           settings_.outcomes_)) {}

void Router::OnCall(CallArrival arrival, std::int64_t now_minute, Time now) {
  const CallHandle handle = arrival.handle_;
  RoutedCall& call = calls_[handle];
  call.arrival_ = std::move(arrival);
  const CallHead& head = *call.arrival_.head_;
  call.retry_budget_ = head.retry_budget_;
  if (now >= head.deadline_) {
    FinishWithRefusal(call,
                      {504, CallOutcome::kNotRun, ResultCode::kDeadlinePassed,
                       "the deadline passed before the call was placed"},
                      now);
    return;
  }
  if (!head.idempotent_ && LastHop(head) < Hop::kDispatch && !BeginAtHome(call, now_minute, now)) {
    return;
  }
  Place(call, now);
}

void Router::Place(RoutedCall& call, Time now) {
  const CallHead& head = *call.arrival_.head_;
  const ShardKey key{head.service_, head.shard_zone_};
  if (LastHop(head) < Hop::kDispatch) {
    const auto placement = view_->placements_.find(key);
    if (placement != view_->placements_.end() && placement->second.dispatcher_ &&
        placement->second.dispatcher_->name_ != settings_.name_) {
      Forward(call, *placement->second.dispatcher_, SendPurpose::kDispatch, key.second,
              call.retry_budget_, now);
      return;
    }
  }
  PlaceLocally(call, key, LastHop(head) == Hop::kSpill, now);
}

void Router::PlaceLocally(RoutedCall& call, const ShardKey& key, bool forwarded, Time now) {
  if (FindService(key.first) == nullptr) {
    FinishWithRefusal(call,
                      {404, CallOutcome::kNotRun, ResultCode::kUnknownService,
                       "service \"" + key.first + "\" does not exist"},
                      now);
    return;
  }
  call.phase_ = Phase::kQueued;
  if (call.dispatched_) {
    call.spill_ = key;
  } else {
    call.shard_ = key;
    call.dispatched_ = true;
  }
  Shard& shard = ShardOf(key, now);
  const auto actions = dispatch::OnCallArrived(
      *shard.dispatcher_, MakeCall(call.arrival_, call.retry_budget_, forwarded), now, random_);
  Run(key, actions, now);
}

bool Router::Forward(RoutedCall& call, const coordination::MemberUpdate& member,
                     SendPurpose purpose, const std::string& zone, int retry_budget, Time now) {
  const CallHead& head = *call.arrival_.head_;
  SendOrder order;
  order.purpose_ = purpose;
  order.retry_budget_ = retry_budget;
  order.request_.address_ = member.call_address_;
  order.request_.max_connections_ = kForwardConnections;
  order.request_.path_ = "/s/" + head.service_ + head.path_;
  order.request_.deadline_ = head.deadline_;
  order.request_.headers_ =
      OutgoingHeaders(head, head.deadline_ - kForwardMargin, retry_budget, now);
  auto hops = head.hops_;
  hops.push_back(purpose == SendPurpose::kHome       ? Hop::kHome
                 : purpose == SendPurpose::kDispatch ? Hop::kDispatch
                                                     : Hop::kSpill);
  order.request_.headers_.emplace_back(kForwardedHeader, FormatHops(hops));
  order.request_.headers_.emplace_back(kShardZoneHeader, zone);
  if (!settings_.hop_secrets_.empty()) {
    order.request_.headers_.emplace_back(
        kHopSignatureHeader,
        SignHop(settings_.hop_secrets_.front(), FormatHops(hops), zone, head.call_id_));
  }
  SendCall(call, std::move(order));
  return true;
}

void Router::SendCall(RoutedCall& call, SendOrder order) {
  const CallHead& head = *call.arrival_.head_;
  call.phase_ = Phase::kSending;
  call.purpose_ = order.purpose_;
  call.address_ = order.request_.address_;
  call.send_ = next_send_++;
  order.call_ = call.arrival_.handle_;
  order.keep_ = call.at_home_;
  order.request_.id_ = call.send_;
  order.request_.method_ = head.method_;
  order.request_.body_ = call.arrival_.body_;
  order.request_.body_length_ = head.body_length_;
  order.request_.call_id_ = head.call_id_;
  order.request_.new_connection_ = !head.idempotent_;
  port_.Send(std::move(order));
}

void Router::Run(const ShardKey& key, const dispatch::Actions& actions, Time now) {
  for (const auto& action : actions) {
    switch (action.kind_) {
      case dispatch::ActionKind::kSend:
        RunSend(key, action, now);
        break;
      case dispatch::ActionKind::kForward:
        RunForward(key, action, now);
        break;
      case dispatch::ActionKind::kRefuse:
        RunRefuse(key, action, now);
        break;
      case dispatch::ActionKind::kProbe: {
        Shard& shard = ShardOf(key, now);
        const auto address = shard.addresses_.find(action.target_);
        if (address == shard.addresses_.end()) break;
        port_.Probe(key, action.target_, address->second, ConnectionShare(key.first));
        break;
      }
    }
  }
  ScheduleTick(ShardOf(key, now), now);
}

void Router::RunSend(const ShardKey& key, const dispatch::Action& action, Time now) {
  const auto found = calls_.find(action.call_);
  Shard& shard = ShardOf(key, now);
  const auto address = shard.addresses_.find(action.target_);
  if (found == calls_.end() || address == shard.addresses_.end() || found->second.body_used_) {
    // The slot is given back; nothing was sent.
    bool finished = false;
    const auto actions =
        dispatch::OnSendFinished(*shard.dispatcher_, action.call_, action.target_,
                                 SendResult::kCancelled, std::nullopt, now, random_, &finished);
    if (found != calls_.end()) {
      FinishWithRefusal(found->second, RefusalOf(SendResult::kUnreachable, false), now);
    }
    Run(key, actions, now);
    return;
  }
  RoutedCall& call = found->second;
  const CallHead& head = *call.arrival_.head_;
  call.target_ = action.target_;
  call.retry_budget_ = action.retry_budget_;
  SendOrder order;
  order.purpose_ = SendPurpose::kTarget;
  order.retry_budget_ = action.retry_budget_;
  order.request_.address_ = address->second;
  order.request_.max_connections_ = ConnectionShare(key.first);
  order.request_.path_ = head.path_;
  order.request_.deadline_ = std::min(action.deadline_, head.deadline_);
  order.request_.headers_ =
      OutgoingHeaders(head, order.request_.deadline_, action.retry_budget_, now);
  if (CameFromOtherZone(head)) {
    order.shard_load_ = FormatShardLoad(dispatch::Summarize(*shard.dispatcher_, now));
  }
  SendCall(call, std::move(order));
}

void Router::RunForward(const ShardKey& key, const dispatch::Action& action, Time now) {
  const auto found = calls_.find(action.call_);
  if (found == calls_.end()) return;
  RoutedCall& call = found->second;
  call.spill_zone_ = action.zone_;
  const ShardKey other{key.first, action.zone_};
  const auto placement = view_->placements_.find(other);
  if (placement == view_->placements_.end() || !placement->second.dispatcher_ || call.body_used_) {
    Shard& shard = ShardOf(key, now);
    Run(key,
        dispatch::OnForwardRefused(*shard.dispatcher_, action.call_, action.zone_, now, random_),
        now);
    return;
  }
  if (placement->second.dispatcher_->name_ == settings_.name_) {
    call.retry_budget_ = action.retry_budget_;
    PlaceLocally(call, other, true, now);
    return;
  }
  Forward(call, *placement->second.dispatcher_, SendPurpose::kSpill, action.zone_,
          action.retry_budget_, now);
}

void Router::RunRefuse(const ShardKey& key, const dispatch::Action& action, Time now) {
  const auto found = calls_.find(action.call_);
  if (found == calls_.end()) return;
  RoutedCall& call = found->second;
  if (call.spill_ == key && action.outcome_ == CallOutcome::kNotRun) {
    // Refused by the local dispatcher of the other zone: back to the first one.
    call.spill_.reset();
    Shard& shard = ShardOf(call.shard_, now);
    const ShardKey first = call.shard_;
    Run(first,
        dispatch::OnForwardRefused(*shard.dispatcher_, action.call_, key.second, now, random_),
        now);
    return;
  }
  const int status = action.outcome_ == CallOutcome::kUnknown ||
                             action.code_ == ResultCode::kDeadlinePassed ||
                             action.code_ == ResultCode::kDeadlineTooShort
                         ? 504
                         : 503;
  FinishWithRefusal(call,
                    {status, action.outcome_, action.code_,
                     "the call was not placed: " + std::string(ResultCodeName(action.code_))},
                    now);
}

void Router::OnCallerGone(CallHandle handle, Time now) {
  const auto found = calls_.find(handle);
  if (found == calls_.end()) return;
  RoutedCall& call = found->second;
  const CallHead& head = *call.arrival_.head_;
  switch (call.phase_) {
    case Phase::kWaiting:
      std::erase(repeats_[head.call_id_], handle);
      FinishWithRefusal(call,
                        {504, CallOutcome::kUnknown, ResultCode::kCallCancelled,
                         "the caller went away while an earlier attempt was running"},
                        now);
      return;
    case Phase::kSending:
      // Repeats that wait for the result keep the call running.
      if (call.at_home_ && repeats_.contains(head.call_id_) && !repeats_[head.call_id_].empty()) {
        return;
      }
      port_.CancelSend(call.address_, call.send_);
      return;
    case Phase::kQueued:
      break;
  }
  const ShardKey key = call.spill_.value_or(call.shard_);
  dispatch::OnCallCancelled(*ShardOf(key, now).dispatcher_, handle);
  FinishWithRefusal(call,
                    {503, CallOutcome::kNotRun, ResultCode::kCallCancelled,
                     "the caller cancelled the call before it was sent"},
                    now);
}

void Router::OnTick(Time now) {
  std::vector<ShardKey> due;
  for (const auto& [key, shard] : shards_) {
    if (shard.next_tick_ <= now) due.push_back(key);
  }
  for (const auto& key : due) {
    Shard& shard = ShardOf(key, now);
    ApplyAssignment(key, shard, now);
    Run(key, dispatch::OnTick(*shard.dispatcher_, now, random_), now);
  }
  std::vector<CallHandle> late;
  for (const auto& [id, handles] : repeats_) {
    for (const CallHandle handle : handles) {
      if (calls_.at(handle).arrival_.head_->deadline_ <= now) late.push_back(handle);
    }
  }
  for (const CallHandle handle : late) {
    RoutedCall& call = calls_.at(handle);
    std::erase(repeats_[call.arrival_.head_->call_id_], handle);
    FinishWithRefusal(call,
                      {504, CallOutcome::kUnknown, ResultCode::kCallStillRunning,
                       "an earlier attempt of the call is still running"},
                      now);
  }
}

Time Router::NextTick(Time now) const {
  Time next = Time::max();
  for (const auto& [key, shard] : shards_) next = std::min(next, shard.next_tick_);
  for (const auto& [id, handles] : repeats_) {
    for (const CallHandle handle : handles) {
      next = std::min(next, calls_.at(handle).arrival_.head_->deadline_);
    }
  }
  return std::max(next, now);
}

}  // namespace monsoonshelf::entry
