#include "coordination/internal/configuration_exchange.h"

#include <algorithm>
#include <utility>

#include "coordination/internal/membership.h"
#include "coordination/internal/platform_link.h"

namespace monsoonshelf::coordination::internal {

namespace {

// A push to four members, each of which forwards it, reaches about 98% of the hosts at once. The
// others detect the difference by the digests in pings.
constexpr std::size_t kPushFanOut = 4;
// Larger batches result from lists and pulls, which also provide them to the other hosts.
constexpr std::size_t kMaxPushedRecords = 16;
// The limit of a message is 64 KiB.
constexpr std::size_t kMaxDeltaBytes = 40'000;
constexpr Duration kPullTimeout = std::chrono::milliseconds(500);
constexpr int kPullAttempts = 3;
// Rate limit of full pulls, which transfer about 400 KB at the design scale.
constexpr Duration kFullPullInterval = std::chrono::seconds(10);

std::vector<std::string> RecordKinds() {
  std::vector<std::string> kinds;
  for (const auto& [kind, name] : records::kKindNames) kinds.emplace_back(name);
  return kinds;
}

std::vector<configuration::RecordVersion> ToRecords(const std::vector<PlatformObject>& objects) {
  std::vector<configuration::RecordVersion> result;
  for (const auto& object : objects) {
    const auto kind = ValueOf(records::kKindNames, object.kind_);
    if (!kind.has_value()) continue;
    result.push_back({{*kind, object.name_}, object.version_, std::nullopt});
    if (!object.deleted_) result.back().text_ = object.body_;
  }
  return result;
}

void AddRecordEvent(Step& step, const configuration::RecordVersion& record) {
  KeyValues fields{{"kind", std::string(NameOf(records::kKindNames, record.key_.first))},
                   {"name", record.key_.second},
                   {"version", std::to_string(record.version_)},
                   {"change", record.text_ ? "written" : "deleted"}};
  const auto& entry = step.node_.configuration_.entries_.at(record.key_);
  if (entry.record_ != nullptr) {
    if (const auto* zone = std::get_if<records::Zone>(&entry.record_->spec_)) {
      fields.emplace_back("state", NameOf(records::kZoneStateNames, zone->state_));
    }
    if (const auto* target = std::get_if<records::Target>(&entry.record_->spec_)) {
      fields.emplace_back("state", NameOf(records::kTargetStateNames, target->state_));
    }
  }
  AddEvent(step, "record_in_effect", std::move(fields));
}

void MergeRecords(Step& step, const std::vector<configuration::RecordVersion>& records) {
  auto& node = step.node_;
  for (const auto& record : records) {
    std::string reason;
    const auto outcome = configuration::MergeRecord(node.configuration_, record, &reason);
    if (outcome == configuration::MergeOutcome::kStale) continue;
    node.configuration_exchange_.received_records_.push_back(record);
    if (outcome == configuration::MergeOutcome::kAccepted) {
      step.output_.configuration_changed_ = true;
      node.assignments_.ownership_dirty_ = true;
      // Not logged for the first list, which would cause one event for each record.
      if (node.configuration_exchange_.has_configuration_) AddRecordEvent(step, record);
      continue;
    }
    const auto code = node.configuration_.rejected_.at(record.key_).code_;
    AddErrorEvent(step, "record_rejected", code,
                  {{"kind", std::string(NameOf(records::kKindNames, record.key_.first))},
                   {"name", record.key_.second},
                   {"version", std::to_string(record.version_)},
                   {"reason", reason}});
  }
}

void SetHasConfiguration(Step& step, const std::string& source) {
  auto& exchange = step.node_.configuration_exchange_;
  if (exchange.has_configuration_) return;
  exchange.has_configuration_ = true;
  step.output_.configuration_changed_ = true;
  step.node_.assignments_.ownership_dirty_ = true;
  AddEvent(step, "configuration_received",
           {{"source", source},
            {"version", std::to_string(step.node_.configuration_.highest_version_)}});
}

void SendPull(Step& step) {
  auto& pull = *step.node_.configuration_exchange_.pull_;
  pull.deadline_ = step.now_ + kPullTimeout;
  ++pull.attempts_;
  step.output_.peer_sends_.push_back({pull.address_, ConfigPull{pull.after_version_}});
}

bool IsEqual(const ConfigurationDigest& left, const ConfigurationDigest& right) {
  return left.digest_ == right.digest_ && left.highest_version_ == right.highest_version_;
}

// Returns the records that a peer lacks, given its complete delta after the version `after`.
std::vector<configuration::RecordVersion> RecordsMissingAtPeer(
    const Node& node, Version after, const std::vector<configuration::RecordVersion>& delta) {
  auto own = configuration::ChangesAfter(node.configuration_, after, kMaxDeltaBytes);
  std::erase_if(own, [&](const auto& record) {
    return std::any_of(delta.begin(), delta.end(), [&](const auto& other) {
      return other.key_ == record.key_ && other.version_ >= record.version_;
    });
  });
  return own;
}

}  // namespace

ConfigurationDigest DigestOf(const Node& node) {
  if (!node.configuration_exchange_.has_configuration_) return {};
  return {node.configuration_.highest_version_, node.configuration_.digest_};
}

void RunConfigurationExchange(Step& step) {
  auto& exchange = step.node_.configuration_exchange_;
  if (exchange.pull_ && step.now_ >= exchange.pull_->deadline_) {
    if (exchange.pull_->attempts_ >= kPullAttempts) {
      exchange.pull_.reset();
    } else {
      SendPull(step);
    }
  }
  if (exchange.pending_request_id_ != 0 || step.now_ < exchange.next_request_) return;
  PlatformRequest request;
  request.kinds_ = RecordKinds();
  if (exchange.watch_after_version_.has_value()) {
    request.operation_ = PlatformOperation::kWatch;
    request.version_ = *exchange.watch_after_version_;
    request.timeout_ = step.node_.settings_.watch_timeout_;
  } else {
    request.operation_ = PlatformOperation::kList;
    request.timeout_ = std::chrono::seconds(5);
  }
  exchange.pending_request_id_ =
      AddPlatformRequest(step, RequestPurpose::kExchange, std::move(request), {});
}

Time NextConfigurationExchangeTime(const Node& node) {
  const auto& exchange = node.configuration_exchange_;
  Time next = exchange.pending_request_id_ == 0 ? exchange.next_request_ : kNever;
  if (exchange.pull_) next = std::min(next, exchange.pull_->deadline_);
  return next;
}

void OnConfigurationReply(Step& step, const PlatformReply& reply) {
  auto& node = step.node_;
  auto& exchange = node.configuration_exchange_;
  exchange.pending_request_id_ = 0;
  if (reply.code_ != ResultCode::kOk) {
    // The platform no longer has the changes after the watch version, so a list is requested.
    if (reply.code_ == ResultCode::kPlatformNotFound) exchange.watch_after_version_.reset();
    exchange.next_request_ = step.now_ + exchange.backoff_.Next(step.random_);
    return;
  }
  exchange.backoff_.Reset();
  exchange.next_request_ = step.now_;
  auto records = ToRecords(reply.objects_);
  if (reply.operation_ == PlatformOperation::kList) {
    std::vector<configuration::RecordKey> listed;
    listed.reserve(records.size());
    for (const auto& record : records) listed.push_back(record.key_);
    const auto deleted =
        configuration::FindDeletedRecords(node.configuration_, listed, reply.version_);
    records.insert(records.end(), deleted.begin(), deleted.end());
  }
  MergeRecords(step, records);
  exchange.from_platform_ = true;
  SetHasConfiguration(step, "platform");
  exchange.watch_after_version_ =
      std::max(exchange.watch_after_version_.value_or(0), reply.version_);
}

void CompareDigest(Step& step, const PeerMessage& message, const ConfigurationDigest& digest) {
  auto& exchange = step.node_.configuration_exchange_;
  const bool peer_has_none = digest.highest_version_ == 0;
  if (peer_has_none) return;
  // A host that did not answer once may be able to send but not to receive. Another one takes its
  // place, so that the time until a change is in effect does not grow with the number of such
  // hosts.
  if (exchange.pull_ &&
      (exchange.pull_->attempts_ <= 1 || exchange.pull_->peer_ == message.sender_)) {
    return;
  }
  const bool has = exchange.has_configuration_;
  if (has && IsEqual(digest, DigestOf(step.node_))) {
    exchange.last_matching_version_ =
        std::max(exchange.last_matching_version_, step.node_.configuration_.highest_version_);
    return;
  }
  exchange.pull_ = ConfigurationPull{message.sender_,
                                     message.sender_address_,
                                     has ? exchange.last_matching_version_ : 0,
                                     !has,
                                     Time{},
                                     0};
  SendPull(step);
}

void OnConfigPush(Step& step, const ConfigPush& push) { MergeRecords(step, push.records_); }

void OnConfigPull(Step& step, const PeerMessage& message, const ConfigPull& pull) {
  // A host with a partial configuration must not answer, because the peer takes it to be complete.
  if (!step.node_.configuration_exchange_.has_configuration_) return;
  ConfigDelta delta;
  delta.records_ = configuration::ChangesAfter(step.node_.configuration_, pull.after_version_,
                                               kMaxDeltaBytes, &delta.more_);
  delta.configuration_ = DigestOf(step.node_);
  step.output_.peer_sends_.push_back({message.sender_address_, std::move(delta)});
}

void OnConfigDelta(Step& step, const PeerMessage& message, const ConfigDelta& delta) {
  auto& exchange = step.node_.configuration_exchange_;
  MergeRecords(step, delta.records_);
  // Duplicate deltas are merged, but only the delta that was requested continues the pull.
  if (!exchange.pull_ || exchange.pull_->peer_ != message.sender_) return;
  const Version after = exchange.pull_->after_version_;
  if (!delta.records_.empty() && delta.records_.front().version_ <= after) return;
  if (delta.more_ && !delta.records_.empty()) {
    exchange.pull_->after_version_ = delta.records_.back().version_;
    exchange.pull_->attempts_ = 0;
    SendPull(step);
    return;
  }
  const ConfigurationPull pull = *exchange.pull_;
  exchange.pull_.reset();
  if (pull.full_) SetHasConfiguration(step, "peer");
  if (!exchange.has_configuration_) return;
  if (IsEqual(delta.configuration_, DigestOf(step.node_))) {
    exchange.last_matching_version_ =
        std::max(exchange.last_matching_version_, step.node_.configuration_.highest_version_);
    return;
  }
  if (pull.full_) return;
  auto lacked = RecordsMissingAtPeer(step.node_, pull.after_version_, delta.records_);
  if (!lacked.empty()) {
    step.output_.peer_sends_.push_back({message.sender_address_, ConfigPush{std::move(lacked)}});
  } else if (step.now_ >= exchange.next_full_pull_) {
    // The difference is older than the last matching version. A full pull compares all records.
    exchange.next_full_pull_ =
        step.now_ + Jitter(step.random_, kFullPullInterval / 2, kFullPullInterval);
    exchange.pull_ =
        ConfigurationPull{message.sender_, message.sender_address_, 0, true, Time{}, 0};
    SendPull(step);
  }
}

void PushReceivedRecords(Step& step) {
  auto& received = step.node_.configuration_exchange_.received_records_;
  std::vector<configuration::RecordVersion> records = std::move(received);
  received.clear();
  if (records.empty() || records.size() > kMaxPushedRecords) return;
  std::size_t bytes = 0;
  for (const auto& record : records) bytes += record.text_.value_or("").size();
  if (bytes > kMaxDeltaBytes) return;
  for (const Member* member : RandomMembers(step, kPushFanOut, "")) {
    step.output_.peer_sends_.push_back({member->update_.peer_address_, ConfigPush{records}});
  }
}

}  // namespace monsoonshelf::coordination::internal
