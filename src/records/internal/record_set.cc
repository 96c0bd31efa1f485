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

std::string LabelOf(Kind kind, const std::string& name) {
  return std::string(NameOf(kKindNames, kind)) + "/" + name;
}

class SetCheck {
 public:
  explicit SetCheck(const std::vector<Record>& records) {
    std::map<Kind, std::size_t> counts;
    for (const Record& record : records) {
      ++counts[record.kind_];
      if (!by_key_.emplace(std::pair(record.kind_, record.name_), &record).second) {
        Add(record, "occurs more than once");
      }
    }
    for (const auto& [kind, limit] : kLimits) {
      if (counts[kind] > limit) {
        faults_.push_back("kind " + std::string(NameOf(kKindNames, kind)) + " has " +
                          std::to_string(counts[kind]) + " records, allowed are at most " +
                          std::to_string(limit));
      }
    }
  }

  void Check(const Record& record, const Service& service) {
    if (service.default_rule_.empty()) return;
    const Record* found = Find(record, "default_rule", Kind::kRule, service.default_rule_);
    if (found != nullptr && std::get<Rule>(found->spec_).service_ != record.name_) {
      Add(record, "field spec.default_rule names " + LabelOf(Kind::kRule, service.default_rule_) +
                      ", which belongs to service \"" + std::get<Rule>(found->spec_).service_ +
                      "\"");
    }
  }
  void Check(const Record& record, const Target& target) {
    Find(record, "service", Kind::kService, target.service_);
    Find(record, "zone", Kind::kZone, target.zone_);
    const auto [other, added] = addresses_.emplace(target.address_, record.name_);
    if (!added && other->second != record.name_) {
      Add(record, "field spec.address is \"" + target.address_ + "\", which target/" +
                      other->second + " has as well");
    }
  }
  void Check(const Record& /*record*/, const Zone& /*zone*/) {}
  void Check(const Record& record, const Rule& rule) {
    Find(record, "service", Kind::kService, rule.service_);
  }

  std::vector<std::string> TakeFaults() { return std::move(faults_); }

 private:
  void Add(const Record& record, const std::string& text) {
    faults_.push_back("record " + LabelOf(record.kind_, record.name_) + ": " + text);
  }

  const Record* Find(const Record& record, const char* field, Kind kind, const std::string& name) {
    const auto found = by_key_.find({kind, name});
    if (found != by_key_.end()) return found->second;
    Add(record, "field spec." + std::string(field) + " names " + LabelOf(kind, name) +
                    ", which does not exist");
    return nullptr;
  }

  std::map<std::pair<Kind, std::string>, const Record*> by_key_;
  std::map<std::string, std::string> addresses_;
  std::vector<std::string> faults_;
};

}  // namespace

std::vector<std::string> CheckRecordSet(const std::vector<Record>& records) {
  SetCheck check(records);
  for (const Record& record : records) {
    std::visit([&](const auto& spec) { check.Check(record, spec); }, record.spec_);
  }
  return check.TakeFaults();
}

}  // namespace monsoonshelf::records
