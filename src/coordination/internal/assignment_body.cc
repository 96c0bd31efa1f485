#include "coordination/internal/assignment_body.h"

#include <nlohmann/json.hpp>

namespace monsoonshelf::coordination::internal {

using nlohmann::json;

std::string FormatAssignments(const std::map<std::string, AssignmentEntry>& entries) {
  json shards = json::object();
  for (const auto& [service, entry] : entries) {
    shards[service] = {{"host", entry.host_}, {"session", entry.session_}, {"epoch", entry.epoch_}};
  }
  return json{{"shards", std::move(shards)}}.dump();
}

std::optional<std::map<std::string, AssignmentEntry>> ParseAssignments(const std::string& text) {
  const json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object()) return std::nullopt;
  const auto shards = parsed.find("shards");
  if (shards == parsed.end() || !shards->is_object()) return std::nullopt;
  std::map<std::string, AssignmentEntry> entries;
  for (const auto& [service, value] : shards->items()) {
    if (!value.is_object()) return std::nullopt;
    const auto host = value.find("host");
    const auto session = value.find("session");
    const auto epoch = value.find("epoch");
    if (host == value.end() || !host->is_string() || session == value.end() ||
        !session->is_string() || epoch == value.end() || !epoch->is_number_unsigned()) {
      return std::nullopt;
    }
    entries[service] = {host->get<std::string>(), session->get<std::string>(),
                        epoch->get<std::uint64_t>()};
  }
  return entries;
}

}  // namespace monsoonshelf::coordination::internal
