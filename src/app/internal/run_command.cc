#include "app/internal/run_command.h"

#include <iostream>

#include "app/internal/command.h"

namespace monsoonshelf::app {

int RunCommand(const std::vector<std::string>& /*arguments*/) {
  std::cerr << "monsoonshelf run: this build has no entry host\n";
  return kExitFailed;
}

}  // namespace monsoonshelf::app
