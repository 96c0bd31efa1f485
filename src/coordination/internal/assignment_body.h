#pragma once

#include <map>
#include <optional>
#include <string>

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

// Body of the platform object assignments/<zone>: one entry per service.
std::string FormatAssignments(const std::map<std::string, AssignmentEntry>& entries);
// Returns std::nullopt if the text is not a valid assignment object.
std::optional<std::map<std::string, AssignmentEntry>> ParseAssignments(const std::string& text);

}  // namespace monsoonshelf::coordination::internal
