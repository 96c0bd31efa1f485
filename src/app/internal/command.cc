#include "app/internal/command.h"

#include <array>

#include "app/internal/run_command.h"
#include "app/internal/settings_commands.h"

namespace monsoonshelf::app {

namespace {

constexpr auto kCommands = std::to_array<Command>({
    {"run", "SETTINGS", "run an entry host", RunCommand},
    {"check-settings", "SETTINGS", "validate a settings file", CheckSettingsCommand},
    {"version", "", "print the version", VersionCommand},
});

}  // namespace

std::span<const Command> Commands() { return kCommands; }

}  // namespace monsoonshelf::app
