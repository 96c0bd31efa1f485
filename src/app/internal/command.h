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
  kExitConflict = 3,  // The platform has another version of a record than expected.
};

struct Command {
  std::string_view name_;
  std::string_view usage_;  // Arguments that follow the command name.
  std::string_view summary_;
  int (*run_)(const Arguments& arguments);                    // Returns the exit code.
  boost::program_options::options_description (*options_)();  // Null if there are no options.
};

// All commands. A command with subcommands has one element per subcommand.
std::span<const Command> Commands();

// Prints the usage lines and options of a command. Returns false if the command does not exist.
bool PrintCommandHelp(std::ostream& out, std::string_view name);

}  // namespace monsoonshelf::app
