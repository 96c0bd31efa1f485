#pragma once

#include "app/internal/command.h"

namespace monsoonshelf::app {

// Runs an entry host with the settings file of the users' platform until it is stopped. Returns the
// exit code.
int ServeCommand(const Arguments& arguments);
boost::program_options::options_description ServeOptions();

}  // namespace monsoonshelf::app
