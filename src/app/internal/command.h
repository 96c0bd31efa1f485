#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonshelf::app {

using Arguments = std::vector<std::string>;

// Exit codes of every command.
enum ExitCode : int {
  kExitOk = 0,
  kExitFailed = 1,
  kExitUsage = 2,
  kExitConflict = 3,  // A record was changed by someone else.
};

struct Command {
  std::string_view name_;
  std::string_view usage_;  // Arguments after the name.
  std::string_view summary_;
  int (*run_)(const Arguments& arguments);
};

std::span<const Command> Commands();

}  // namespace monsoonshelf::app
