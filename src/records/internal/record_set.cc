#include "records/record_set.h"

#include <array>
#include <map>
#include <utility>

#include "records/records.h"

namespace monsoonshelf::records {

namespace {

constexpr std::array<std::pair<Kind, std::size_t>, 4> kLimits = {{
    {Kind::kService, kMaxServices},
    {Kind::kTarget, kMaxTargets},
    {Kind::kZone, kMaxZones},
    {Kind::kRule, kMaxRules},
}};

std::string RecordLabel(Kind kind, const std::string& name) {
  return std::string(NameOf(kKindNames, kind)) + "/" + name;
}

class RecordSetChecker {
 public:
  explicit RecordSetChecker(const std::vector<Record>& records) {
    std::map<Kind, std::size_t> counts;
    for (const Record& record : records) {
      ++counts[record.kind_];
      if (!by_key_.emplace(std::pair(record.kind_, record.name_), &record).second) {
        AddError(record, "occurs more than once");
      }
    }
    for (const auto& [kind, limit] : kLimits) {
      if (counts[kind] > limit) {
        errors_.push_back("kind " + std::string(NameOf(kKindNames, kind)) + " has " +
                          std::to_string(counts[kind]) + " records, allowed are at most " +
                          std::to_string(limit));
      }
    }
  }

  void CheckSpec(const Record& record, const Service& service) {
    if (service.default_rule_.empty()) return;
    const Record* found =
        FindReferenced(record, "default_rule", Kind::kRule, service.default_rule_);
    if (found != nullptr && std::get<Rule>(found->spec_).service_ != record.name_) {
      AddError(record,
               "field spec.default_rule names " + RecordLabel(Kind::kRule, service.default_rule_) +
                   ", which belongs to service \"" + std::get<Rule>(found->spec_).service_ + "\"");
    }
  }
  void CheckSpec(const Record& record, const Target& target) {
    FindReferenced(record, "service", Kind::kService, target.service_);
    FindReferenced(record, "zone", Kind::kZone, target.zone_);
    const auto [other, added] = addresses_.emplace(target.address_, record.name_);
    if (!added && other->second != record.name_) {
      AddError(record, "field spec.address is \"" + target.address_ + "\", which target/" +
                           other->second + " has as well");
    }
  }
  void CheckSpec(const Record& /*record*/, const Zone& /*zone*/) {}
  void CheckSpec(const Record& record, const Rule& rule) {
    FindReferenced(record, "service", Kind::kService, rule.service_);
  }

  std::vector<std::string> TakeErrors() { return std::move(errors_); }

 private:
  void AddError(const Record& record, const std::string& text) {
    errors_.push_back("record " + RecordLabel(record.kind_, record.name_) + ": " + text);
  }

  // Returns the record that a field refers to. If it does not exist, adds an error and returns
  // nullptr.
  const Record* FindReferenced(const Record& record, const char* field, Kind kind,
                               const std::string& name) {
    const auto found = by_key_.find({kind, name});
    if (found != by_key_.end()) return found->second;
    AddError(record, "field spec." + std::string(field) + " names " + RecordLabel(kind, name) +
                         ", which does not exist");
    return nullptr;
  }

  std::map<std::pair<Kind, std::string>, const Record*> by_key_;
  std::map<std::string, std::string> addresses_;
  std::vector<std::string> errors_;
};

}  // namespace

std::vector<std::string> CheckRecordSet(const std::vector<Record>& records) {
  RecordSetChecker checker(records);
  for (const Record& record : records) {
    std::visit([&](const auto& spec) { checker.CheckSpec(record, spec); }, record.spec_);
  }
  return checker.TakeErrors();
}

}  // namespace monsoonshelf::records
