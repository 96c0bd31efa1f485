#include "app/internal/settings_commands.h"

#include <iostream>

#include "settings/settings.h"

namespace monsoonshelf::app {

int CheckSettingsCommand(const Arguments& arguments) {
  if (arguments.size() != 1) {
    std::cerr << "monsoonshelf check-settings: expected one settings file\n";
    return kExitUsage;
  }
  return Recover(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(settings, settings::LoadSettings(arguments[0]));
        std::cout << arguments[0] << ": settings of entry host " << settings.name_ << " in zone "
                  << settings.zone_ << " are valid\n";
        return kExitOk;
      },
      [](const Error& error) -> int {
        std::cerr << error.message_ << "\n";
        return kExitFailed;
      });
}

int VersionCommand(const Arguments& /*arguments*/) {
  std::cout << "monsoonshelf " MONSOONSHELF_VERSION "\n";
  return kExitOk;
}

}  // namespace monsoonshelf::app
