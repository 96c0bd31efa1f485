#pragma once

#include <cstdint>
#include <string_view>

#include "records/records_types.h"

namespace monsoonshelf::records {

// Whether a field may be absent from a record.
enum class Presence { kRequired, kOptional };

// Each VisitFields lists the fields of one record kind, with their allowed values, for FieldReader
// and FieldWriter.

template <typename Visitor>
void VisitFields(Visitor& visitor, Service& service, int /*schema*/) {
  visitor.Name("default_rule", service.default_rule_, Presence::kOptional);
  visitor.Integer("slots", service.slots_, 1, 1000);
  visitor.Integer("cold_limit", service.cold_limit_, 0, 1000);
  visitor.Integer("connections", service.max_connections_, 1, 100'000);
  visitor.Number("probes_per_second", service.probes_per_second_, 0, 100);
}

template <typename Visitor>
void VisitFields(Visitor& visitor, Target& target, int /*schema*/) {
  visitor.Name("service", target.service_, Presence::kRequired);
  visitor.Name("zone", target.zone_, Presence::kRequired);
  visitor.AddressText("address", target.address_);
  visitor.Choice("state", target.state_, kTargetStateNames);
}

template <typename Visitor>
void VisitFields(Visitor& visitor, Zone& zone, int /*schema*/) {
  visitor.Name("region", zone.region_, Presence::kRequired);
  visitor.Choice("state", zone.state_, kZoneStateNames);
}

template <typename Visitor>
void VisitFields(Visitor& visitor, Rule& rule, int schema) {
  visitor.Name("service", rule.service_, Presence::kRequired);
  visitor.Method("method", rule.method_);
  visitor.PathPrefix("path_prefix", rule.path_prefix_);
  visitor.Choice("class", rule.class_, kCallClassNames);
  // A call must end before its outcome expires, which is after 10 minutes by default.
  visitor.Milliseconds("deadline_ms", rule.deadline_, 1, 300'000);
  visitor.Boolean("idempotent", rule.idempotent_);
  visitor.Integer("attempts", rule.max_attempts_, 1, 10);
  visitor.Choice("zone_preference", rule.zone_preference_, kZonePreferenceNames);
  visitor.Integer("priority", rule.priority_, 0, 100);
  visitor.Integer("max_request_body_bytes", rule.max_request_body_, std::int64_t{0},
                  std::int64_t{1} << 40);
  if (schema < 2) return;
  visitor.Integer("shards_per_zone", rule.shards_per_zone_, 1, 16);
  visitor.Number("hedge_percent", rule.hedge_percent_, 0, 20);
}

}  // namespace monsoonshelf::records
