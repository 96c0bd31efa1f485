#pragma once

#include <boost/program_options.hpp>
#include <iosfwd>
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
  boost::program_options::options_description (*options_)();  // Null: it has none.
};

std::span<const Command> Commands();

// Prints the forms and options of a command. False if there is no such command.
bool PrintCommandHelp(std::ostream& out, std::string_view name);

}  // namespace monsoonshelf::app
