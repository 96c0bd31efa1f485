#include "entry/internal/router.h"

#include <algorithm>
#include <utility>

#include "entry/internal/call_headers.h"

namespace monsoonshelf::entry {

using dispatch::SendResult;

namespace {

// Maximum number of connections to another entry host.
constexpr int kMaxForwardConnections = 64;
// Forwarded calls get a deadline that is earlier by this margin. Otherwise a call that the other
// host rejects at its deadline would time out here first and be reported as unknown.
constexpr Duration kForwardResponseMargin = std::chrono::milliseconds(5);

dispatch::Call MakeCall(const CallArrival& arrival, int retry_budget, bool forwarded) {
  const CallHead& head = *arrival.head_;
  dispatch::Call call;
  call.handle_ = arrival.handle_;
  call.class_ = head.class_;
  call.priority_ = head.priority_;
  call.idempotent_ = head.idempotent_;
  // A streamed body can be sent only once.
  call.attempts_left_ = arrival.body_.bytes_ != nullptr ? head.max_attempts_ : 1;
  call.retry_budget_ = retry_budget;
  call.deadline_ = head.deadline_;
  call.zone_preference_ = head.zone_preference_;
  call.forwarded_ = forwarded;
  return call;
}

Hop LastHop(const CallHead& head) { return head.hops_.empty() ? Hop::kNone : head.hops_.back(); }

}  // namespace

Router::Router(EntrySettings settings, IRouterDelegate& delegate, std::uint64_t seed)
    : settings_(std::move(settings)),
      delegate_(delegate),
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
    FinishWithError(call,
                    {504, CallOutcome::kNotRun, ResultCode::kDeadlinePassed,
                     "the deadline passed before the call was placed"},
                    now);
    return;
  }
  if (cutting_) {
    FinishWithError(
        call,
        {503, CallOutcome::kNotRun, ResultCode::kHostStopping, "the entry host is stopping", ""},
        now);
    return;
  }
  if (!head.idempotent_ && LastHop(head) < Hop::kDispatch && !RegisterCall(call, now_minute, now)) {
    return;
  }
  PlaceCall(call, now);
}

void Router::PlaceCall(RoutedCall& call, Time now) {
  const CallHead& head = *call.arrival_.head_;
  const ShardKey key{head.service_, head.shard_zone_};
  if (LastHop(head) < Hop::kDispatch) {
    const auto placement = view_->placements_.find(key);
    if (placement != view_->placements_.end() && placement->second.dispatcher_ &&
        placement->second.dispatcher_->name_ != settings_.name_) {
      ForwardCall(call, *placement->second.dispatcher_, SendPurpose::kDispatch, key.second,
                  call.retry_budget_, now);
      return;
    }
  }
  PlaceLocally(call, key, LastHop(head) == Hop::kSpill, now);
}

void Router::PlaceLocally(RoutedCall& call, const ShardKey& key, bool forwarded, Time now) {
  if (FindService(key.first) == nullptr) {
    FinishWithError(call,
                    {404, CallOutcome::kNotRun, ResultCode::kUnknownService,
                     "service \"" + key.first + "\" does not exist"},
                    now);
    return;
  }
  call.phase_ = Phase::kQueued;
  if (call.known_to_dispatcher_) {
    call.spill_shard_ = key;
  } else {
    call.shard_ = key;
    call.known_to_dispatcher_ = true;
  }
  Shard& shard = GetOrCreateShard(key, now);
  const auto actions = dispatch::OnCallArrived(
      *shard.dispatcher_, MakeCall(call.arrival_, call.retry_budget_, forwarded), now, random_);
  RunActions(key, actions, now);
}

bool Router::ForwardCall(RoutedCall& call, const coordination::MemberUpdate& member,
                         SendPurpose purpose, const std::string& zone, int retry_budget, Time now) {
  const CallHead& head = *call.arrival_.head_;
  SendCommand command;
  command.purpose_ = purpose;
  command.retry_budget_ = retry_budget;
  command.request_.address_ = member.call_address_;
  command.request_.max_connections_ = kMaxForwardConnections;
  command.request_.path_ = "/s/" + head.service_ + head.path_;
  command.request_.deadline_ = head.deadline_;
  command.request_.headers_ =
      OutgoingHeaders(head, head.deadline_ - kForwardResponseMargin, retry_budget, now);
  auto hops = head.hops_;
  hops.push_back(purpose == SendPurpose::kHome       ? Hop::kHome
                 : purpose == SendPurpose::kDispatch ? Hop::kDispatch
                                                     : Hop::kSpill);
  command.request_.headers_.emplace_back(kForwardedHeader, FormatHops(hops));
  command.request_.headers_.emplace_back(kShardZoneHeader, zone);
  if (!settings_.hop_secrets_.empty()) {
    command.request_.headers_.emplace_back(
        kHopSignatureHeader,
        SignHop(settings_.hop_secrets_.front(), FormatHops(hops), zone, head.call_id_));
  }
  SendCall(call, std::move(command));
  return true;
}

void Router::SendCall(RoutedCall& call, SendCommand command) {
  const CallHead& head = *call.arrival_.head_;
  call.phase_ = Phase::kSending;
  call.purpose_ = command.purpose_;
  call.address_ = command.request_.address_;
  call.send_ = next_send_++;
  command.call_ = call.arrival_.handle_;
  command.record_outcome_ = call.registered_;
  command.request_.id_ = call.send_;
  command.request_.method_ = head.method_;
  command.request_.body_ = call.arrival_.body_;
  command.request_.body_length_ = head.body_length_;
  command.request_.call_id_ = head.call_id_;
  command.request_.new_connection_ = !head.idempotent_;
  delegate_.StartSend(std::move(command));
}

void Router::RunActions(const ShardKey& key, const dispatch::Actions& actions, Time now) {
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
        Shard& shard = GetOrCreateShard(key, now);
        const auto address = shard.addresses_.find(action.target_);
        if (address == shard.addresses_.end()) break;
        delegate_.StartProbe(key, action.target_, address->second, ConnectionShare(key.first));
        break;
      }
    }
  }
  ScheduleTick(GetOrCreateShard(key, now), now);
}

void Router::RunSend(const ShardKey& key, const dispatch::Action& action, Time now) {
  const auto found = calls_.find(action.call_);
  Shard& shard = GetOrCreateShard(key, now);
  const auto address = shard.addresses_.find(action.target_);
  if (found == calls_.end() || address == shard.addresses_.end() || found->second.body_consumed_) {
    // Nothing was sent; release the slot.
    bool finished = false;
    const auto actions =
        dispatch::OnSendFinished(*shard.dispatcher_, action.call_, action.target_,
                                 SendResult::kCancelled, std::nullopt, now, random_, &finished);
    if (found != calls_.end()) {
      FinishWithError(found->second, ErrorResponseFor(SendResult::kUnreachable, false), now);
    }
    RunActions(key, actions, now);
    return;
  }
  RoutedCall& call = found->second;
  const CallHead& head = *call.arrival_.head_;
  call.target_ = action.target_;
  call.retry_budget_ = action.retry_budget_;
  SendCommand command;
  command.purpose_ = SendPurpose::kTarget;
  command.retry_budget_ = action.retry_budget_;
  command.request_.address_ = address->second;
  command.request_.max_connections_ = ConnectionShare(key.first);
  command.request_.path_ = head.path_;
  command.request_.deadline_ = std::min(action.deadline_, head.deadline_);
  command.request_.headers_ =
      OutgoingHeaders(head, command.request_.deadline_, action.retry_budget_, now);
  if (CameFromOtherZone(head)) {
    command.shard_load_ = FormatShardLoad(dispatch::Summarize(*shard.dispatcher_, now));
  }
  SendCall(call, std::move(command));
}

void Router::RunForward(const ShardKey& key, const dispatch::Action& action, Time now) {
  const auto found = calls_.find(action.call_);
  if (found == calls_.end()) return;
  RoutedCall& call = found->second;
  call.spill_zone_ = action.zone_;
  const ShardKey other{key.first, action.zone_};
  const auto placement = view_->placements_.find(other);
  if (placement == view_->placements_.end() || !placement->second.dispatcher_ ||
      call.body_consumed_) {
    Shard& shard = GetOrCreateShard(key, now);
    RunActions(
        key,
        dispatch::OnForwardRefused(*shard.dispatcher_, action.call_, action.zone_, now, random_),
        now);
    return;
  }
  if (placement->second.dispatcher_->name_ == settings_.name_) {
    call.retry_budget_ = action.retry_budget_;
    PlaceLocally(call, other, true, now);
    return;
  }
  ForwardCall(call, *placement->second.dispatcher_, SendPurpose::kSpill, action.zone_,
              action.retry_budget_, now);
}

void Router::RunRefuse(const ShardKey& key, const dispatch::Action& action, Time now) {
  const auto found = calls_.find(action.call_);
  if (found == calls_.end()) return;
  RoutedCall& call = found->second;
  if (call.spill_shard_ == key && action.outcome_ == CallOutcome::kNotRun) {
    // The local dispatcher of the other zone refused the call: return it to the first dispatcher.
    call.spill_shard_.reset();
    Shard& shard = GetOrCreateShard(call.shard_, now);
    const ShardKey first = call.shard_;
    RunActions(
        first,
        dispatch::OnForwardRefused(*shard.dispatcher_, action.call_, key.second, now, random_),
        now);
    return;
  }
  const int status = action.outcome_ == CallOutcome::kUnknown ||
                             action.code_ == ResultCode::kDeadlinePassed ||
                             action.code_ == ResultCode::kDeadlineTooShort
                         ? 504
                         : 503;
  FinishWithError(call,
                  {status, action.outcome_, action.code_,
                   "the call was not placed: " + std::string(ResultCodeName(action.code_))},
                  now);
}

void Router::CancelCall(CallHandle handle, Time now) {
  const auto found = calls_.find(handle);
  if (found == calls_.end()) return;
  RoutedCall& call = found->second;
  const CallHead& head = *call.arrival_.head_;
  switch (call.phase_) {
    case Phase::kWaitingForOutcome:
      std::erase(waiting_duplicates_[head.call_id_], handle);
      FinishWithError(call,
                      {504, CallOutcome::kUnknown, ResultCode::kCallCancelled,
                       "the caller disconnected while an earlier attempt was running"},
                      now);
      return;
    case Phase::kSending:
      // Duplicates that wait for the outcome keep the call running.
      if (call.registered_ && waiting_duplicates_.contains(head.call_id_) &&
          !waiting_duplicates_[head.call_id_].empty()) {
        return;
      }
      delegate_.CancelSend(call.address_, call.send_);
      return;
    case Phase::kQueued:
      break;
  }
  const ShardKey key = call.spill_shard_.value_or(call.shard_);
  dispatch::OnCallCancelled(*GetOrCreateShard(key, now).dispatcher_, handle);
  FinishWithError(call,
                  {503, CallOutcome::kNotRun, ResultCode::kCallCancelled,
                   "the caller cancelled the call before it was sent"},
                  now);
}

void Router::CutCalls(Time now) {
  cutting_ = true;
  // Calls that are being sent come last: the end of one frees a slot, which a queued call would
  // get. Calls that wait for the outcome of another one come before it, which is not cancelled for
  // them.
  for (const Phase phase : {Phase::kQueued, Phase::kWaitingForOutcome, Phase::kSending}) {
    std::vector<CallHandle> handles;
    for (const auto& [handle, call] : calls_) {
      if (call.phase_ == phase) handles.push_back(handle);
    }
    for (const CallHandle handle : handles) CancelCall(handle, now);
  }
}

void Router::OnTick(Time now) {
  std::vector<ShardKey> due;
  for (const auto& [key, shard] : shards_) {
    if (shard.next_tick_ <= now) due.push_back(key);
  }
  for (const auto& key : due) {
    Shard& shard = GetOrCreateShard(key, now);
    ApplyAssignment(key, shard, now);
    RunActions(key, dispatch::OnTick(*shard.dispatcher_, now, random_), now);
  }
  std::vector<CallHandle> late;
  for (const auto& [id, handles] : waiting_duplicates_) {
    for (const CallHandle handle : handles) {
      if (calls_.at(handle).arrival_.head_->deadline_ <= now) late.push_back(handle);
    }
  }
  for (const CallHandle handle : late) {
    RoutedCall& call = calls_.at(handle);
    std::erase(waiting_duplicates_[call.arrival_.head_->call_id_], handle);
    FinishWithError(call,
                    {504, CallOutcome::kUnknown, ResultCode::kCallStillRunning,
                     "an earlier attempt of the call is still running"},
                    now);
  }
}

Time Router::NextTick(Time now) const {
  Time next = Time::max();
  for (const auto& [key, shard] : shards_) next = std::min(next, shard.next_tick_);
  for (const auto& [id, handles] : waiting_duplicates_) {
    for (const CallHandle handle : handles) {
      next = std::min(next, calls_.at(handle).arrival_.head_->deadline_);
    }
  }
  return std::max(next, now);
}

}  // namespace monsoonshelf::entry
