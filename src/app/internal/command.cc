#include "app/internal/command.h"

#include <array>

#include "app/internal/record_commands.h"
#include "app/internal/run_command.h"
#include "app/internal/serve_command.h"
#include "app/internal/settings_commands.h"
#include "app/internal/timeline_command.h"

namespace monsoonshelf::app {

namespace {

constexpr auto kCommands = std::to_array<Command>({
    {"run", "SETTINGS", "run an entry host", RunCommand},
    {"serve", "[--metrics-port PORT] [--check]", "run an entry host on the users' platform",
     ServeCommand},
    {"check-settings", "SETTINGS", "validate a settings file", CheckSettingsCommand},
    {"records", "validate FILE...", "check record files", RecordsCommand},
    {"records", "get KIND NAME", "print a record with its version", RecordsCommand},
    {"records", "list [KIND...]", "list records, versions and faults", RecordsCommand},
    {"records", "apply FILE...", "write records; a conflict changes nothing", RecordsCommand},
    {"records", "delete KIND NAME", "delete a record", RecordsCommand},
    {"records", "watch", "print changes of records", RecordsCommand},
    {"zone", "out NAME", "take an availability zone out of service", ZoneCommand},
    {"zone", "in NAME", "take it back into service", ZoneCommand},
    {"timeline", "FILE... [--html OUT] [--call ID]", "merge event logs", TimelineCommand},
    {"version", "", "print the version", VersionCommand},
});

}  // namespace

std::span<const Command> Commands() { return kCommands; }

}  // namespace monsoonshelf::app
