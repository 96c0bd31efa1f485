#include "app/internal/command.h"

#include <array>
#include <ostream>

#include "app/internal/record_commands.h"
#include "app/internal/run_command.h"
#include "app/internal/serve_command.h"
#include "app/internal/settings_commands.h"
#include "app/internal/timeline_command.h"

namespace monsoonshelf::app {

namespace {

constexpr auto kCommands = std::to_array<Command>({
    {"run", "SETTINGS", "run an entry host", RunCommand, nullptr},
    {"serve", "[--metrics-port PORT] [--log-level LEVEL] [--max-hedge-share SHARE] [--check]",
     "run an entry host with the settings file of the users' platform", ServeCommand, ServeOptions},
    {"check-settings", "SETTINGS", "validate a settings file", CheckSettingsCommand, nullptr},
    {"records", "validate FILE...", "check record files", RecordsCommand, RecordsOptions},
    {"records", "get KIND NAME", "print a record with its version", RecordsCommand, RecordsOptions},
    {"records", "list [KIND...]", "list records with their versions and validation errors",
     RecordsCommand, RecordsOptions},
    {"records", "apply FILE...", "write records; skip a record that has a version conflict",
     RecordsCommand, RecordsOptions},
    {"records", "delete KIND NAME", "delete a record", RecordsCommand, RecordsOptions},
    {"records", "watch", "print record changes as they occur", RecordsCommand, RecordsOptions},
    {"zone", "out NAME", "take an availability zone out of service", ZoneCommand, PlatformOptions},
    {"zone", "in NAME", "put an availability zone back into service", ZoneCommand, PlatformOptions},
    {"timeline", "FILE... [--html OUT] [--call ID]", "merge event logs into one timeline",
     TimelineCommand, TimelineOptions},
    {"version", "", "print the version", VersionCommand, nullptr},
});

}  // namespace

std::span<const Command> Commands() { return kCommands; }

bool PrintCommandHelp(std::ostream& out, std::string_view name) {
  const Command* found = nullptr;
  for (const Command& command : kCommands) {
    if (command.name_ != name) continue;
    out << (found == nullptr ? "Usage: " : "       ") << "monsoonshelf " << command.name_ << " "
        << command.usage_ << "\n         " << command.summary_ << "\n";
    found = &command;
  }
  if (found != nullptr && found->options_ != nullptr) out << "\n" << found->options_();
  return found != nullptr;
}

}  // namespace monsoonshelf::app
