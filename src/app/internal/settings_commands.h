#pragma once

#include "app/internal/command.h"

namespace monsoonshelf::app {

int CheckSettingsCommand(const Arguments& arguments);
int VersionCommand(const Arguments& arguments);

}  // namespace monsoonshelf::app
