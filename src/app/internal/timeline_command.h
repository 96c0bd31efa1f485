#pragma once

#include "app/internal/command.h"

namespace monsoonshelf::app {

int TimelineCommand(const Arguments& arguments);

}  // namespace monsoonshelf::app
