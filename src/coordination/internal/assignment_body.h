#pragma once

#include <map>
#include <optional>
#include <string>

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

// Body of the platform object assignments/<zone>: one entry per service.
std::string FormatAssignments(const std::map<std::string, AssignmentEntry>& entries);
// Nothing for a body that is not an assignment object.
std::optional<std::map<std::string, AssignmentEntry>> ParseAssignments(const std::string& text);

}  // namespace monsoonshelf::coordination::internal
