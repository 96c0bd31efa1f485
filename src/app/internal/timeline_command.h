#pragma once

#include "app/internal/command.h"

namespace monsoonshelf::app {

int TimelineCommand(const Arguments& arguments);
boost::program_options::options_description TimelineOptions();

}  // namespace monsoonshelf::app
