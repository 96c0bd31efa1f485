#include "coordination/internal/configuration_exchange.h"

#include <algorithm>
#include <utility>

namespace monsoonshelf::coordination::internal {

namespace {

constexpr Duration kFirstBackoff = std::chrono::milliseconds(200);
constexpr Duration kLastBackoff = std::chrono::seconds(5);

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

}  // namespace

void MergeRecords(Node& node, const std::vector<configuration::RecordVersion>& records,
                  NodeOutput& output) {
  for (const auto& record : records) {
    std::string reason;
    const auto outcome = configuration::Merge(node.configuration_, record, &reason);
    if (outcome == configuration::MergeOutcome::kAccepted) output.configuration_changed_ = true;
    if (outcome != configuration::MergeOutcome::kRejected) continue;
    output.events_.push_back({{"event", "record_rejected"},
                              {"kind", std::string(NameOf(records::kKindNames, record.key_.first))},
                              {"name", record.key_.second},
                              {"version", std::to_string(record.version_)},
                              {"reason", reason}});
  }
}

void ContinueExchange(Node& node, Time now, NodeOutput& output) {
  if (node.exchange_request_ != 0 || now < node.next_exchange_) return;
  PlatformRequest request;
  request.id_ = node.exchange_request_ = node.next_request_++;
  request.kinds_ = RecordKinds();
  if (node.watch_after_.has_value()) {
    request.operation_ = PlatformOperation::kWatch;
    request.version_ = *node.watch_after_;
    request.timeout_ = node.settings_.watch_timeout_;
  } else {
    request.operation_ = PlatformOperation::kList;
    request.timeout_ = std::chrono::seconds(5);
  }
  output.platform_requests_.push_back(std::move(request));
}

void OnExchangeReply(Node& node, const PlatformReply& reply, Time now, Random& random,
                     NodeOutput& output) {
  node.exchange_request_ = 0;
  if (reply.code_ != ResultCode::kOk) {
    // The platform no longer has the changes after the cursor, or the answer was unusable.
    if (reply.code_ == ResultCode::kPlatformNotFound) node.watch_after_.reset();
    node.exchange_backoff_ =
        std::clamp(node.exchange_backoff_ * 2, Duration(kFirstBackoff), Duration(kLastBackoff));
    std::uniform_int_distribution<std::int64_t> jitter(node.exchange_backoff_.count() / 2,
                                                       node.exchange_backoff_.count());
    node.next_exchange_ = now + Duration(jitter(random));
    return;
  }
  node.exchange_backoff_ = Duration::zero();
  auto records = ToRecords(reply.objects_);
  if (reply.operation_ == PlatformOperation::kList) {
    std::vector<configuration::RecordKey> listed;
    for (const auto& record : records) listed.push_back(record.key_);
    const auto deleted =
        configuration::DeletedByList(node.configuration_, listed, reply.version_);
    records.insert(records.end(), deleted.begin(), deleted.end());
  }
  MergeRecords(node, records, output);
  node.has_configuration_ = true;
  node.watch_after_ = std::max(node.watch_after_.value_or(0), reply.version_);
  ContinueExchange(node, now, output);
}

}  // namespace monsoonshelf::coordination::internal
