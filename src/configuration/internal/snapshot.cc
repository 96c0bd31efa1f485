#include <algorithm>
#include <tuple>

#include "configuration/configuration.h"

namespace monsoonshelf::configuration {

namespace {

using records::Kind;

template <typename Spec, typename Visit>
void ForEachRecord(const Configuration& configuration, Kind kind, const Visit& visit) {
  for (auto entry = configuration.entries_.lower_bound({kind, ""});
       entry != configuration.entries_.end() && entry->first.first == kind; ++entry) {
    const auto& record = entry->second.record_;
    if (record == nullptr) continue;
    visit(record->name_, std::get<Spec>(record->spec_));
  }
}

bool IsZoneInService(const Snapshot& snapshot, const std::string& zone) {
  // A zone without a record counts as in service because a target may be recorded before its zone.
  const auto found = snapshot.zones_.find(zone);
  return found == snapshot.zones_.end() || found->second.state_ == records::ZoneState::kIn;
}

// Orders rules by descending length of the prefix. Among rules with prefixes of equal length, those
// for one method precede those for all methods.
bool HasHigherPrecedence(const std::pair<std::string, records::Rule>& left,
                         const std::pair<std::string, records::Rule>& right) {
  const auto key = [](const auto& rule) {
    return std::tuple(-static_cast<std::int64_t>(rule.second.path_prefix_.size()),
                      rule.second.method_.empty(), rule.first);
  };
  return key(left) < key(right);
}

}  // namespace

std::shared_ptr<const Snapshot> BuildSnapshot(const Configuration& configuration) {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->highest_version_ = configuration.highest_version_;
  ForEachRecord<records::Zone>(
      configuration, Kind::kZone,
      [&](const std::string& name, const records::Zone& zone) { snapshot->zones_[name] = zone; });
  ForEachRecord<records::Service>(configuration, Kind::kService,
                                  [&](const std::string& name, const records::Service& service) {
                                    snapshot->services_[name] = {name, service, {}, {}};
                                  });
  ForEachRecord<records::Target>(
      configuration, Kind::kTarget, [&](const std::string& name, const records::Target& target) {
        const auto service = snapshot->services_.find(target.service_);
        if (service == snapshot->services_.end()) return;
        const bool accepts = target.state_ == records::TargetState::kActive &&
                             IsZoneInService(*snapshot, target.zone_);
        service->second.targets_.push_back(
            {name, target.service_, target.zone_, target.address_, accepts});
      });
  ForEachRecord<records::Rule>(configuration, Kind::kRule,
                               [&](const std::string& name, const records::Rule& rule) {
                                 const auto service = snapshot->services_.find(rule.service_);
                                 if (service != snapshot->services_.end())
                                   service->second.rules_.emplace_back(name, rule);
                               });
  for (auto& [name, service] : snapshot->services_) {
    std::sort(service.rules_.begin(), service.rules_.end(), HasHigherPrecedence);
  }
  return snapshot;
}

const records::Rule& FindRule(const ServiceView& service, const std::string& method,
                              const std::string& path) {
  static const records::Rule default_rule;
  for (const auto& [name, rule] : service.rules_) {
    if (!rule.method_.empty() && rule.method_ != method) continue;
    if (path.starts_with(rule.path_prefix_)) return rule;
  }
  for (const auto& [name, rule] : service.rules_) {
    if (name == service.service_.default_rule_) return rule;
  }
  return default_rule;
}

}  // namespace monsoonshelf::configuration
