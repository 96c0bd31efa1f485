#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

#include "app/internal/command.h"

namespace monsoonshelf::app {
namespace {

namespace options = boost::program_options;

void PrintHelp(std::ostream& out, const options::options_description& description) {
  out << "Usage: monsoonshelf COMMAND [ARGUMENT]...\n\nCommands:\n";
  for (const Command& command : Commands()) {
    std::string usage = std::string(command.name_) + " " + std::string(command.usage_);
    usage.resize(std::max<std::size_t>(usage.size() + 1, 40), ' ');
    out << "  " << usage << command.summary_ << "\n";
  }
  out << "\n" << description << "\nmonsoonshelf COMMAND --help prints the options of a command.\n";
}

bool HasHelpOption(const Arguments& arguments) {
  return std::any_of(arguments.begin(), arguments.end(), [](const std::string& argument) {
    return argument == "--help" || argument == "-h";
  });
}

int RunCommandByName(const std::string& name, const Arguments& arguments) {
  if (HasHelpOption(arguments) && PrintCommandHelp(std::cout, name)) return kExitOk;
  for (const Command& command : Commands()) {
    if (command.name_ == name) return command.run_(arguments);
  }
  std::cerr << "monsoonshelf: unknown command \"" << name
            << "\"; run monsoonshelf --help for the list of commands\n";
  return kExitUsage;
}

int Main(const Arguments& arguments) {
  options::options_description description("Options");
  description.add_options()("help,h", "print this help");
  // Options before the command name belong to the program; those after it belong to the command.
  const auto name = std::find_if(arguments.begin(), arguments.end(),
                                 [](const auto& argument) { return argument[0] != '-'; });
  options::variables_map values;
  try {
    const Arguments program_arguments(arguments.begin(), name);
    options::store(options::command_line_parser(program_arguments).options(description).run(),
                   values);
  } catch (const options::error& error) {
    std::cerr << "monsoonshelf: " << error.what() << "\n";
    return kExitUsage;
  }
  if (values.count("help") > 0) {
    PrintHelp(std::cout, description);
    return kExitOk;
  }
  if (name == arguments.end()) {
    PrintHelp(std::cerr, description);
    return kExitUsage;
  }
  return RunCommandByName(*name, Arguments(name + 1, arguments.end()));
}

// Opens /dev/null in place of closed standard descriptors. Otherwise the first socket would get
// such a number, and log lines would be written to it.
void OpenStandardDescriptors() {
  for (const int descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    // open() returns the lowest free number, which is this one, as the lower ones are open.
    if (fcntl(descriptor, F_GETFD) < 0) open("/dev/null", O_RDWR);
  }
}

// Ends the process without exit handlers and static destructors. Those of log4cplus wait for its
// threads, and a process that had stopped did not end before it was killed.
[[noreturn]] void EndProcess(int code) {
  std::cout.flush();
  std::_Exit(code);
}

}  // namespace
}  // namespace monsoonshelf::app

int main(int argc, char** argv) {
  monsoonshelf::app::OpenStandardDescriptors();
  monsoonshelf::app::EndProcess(monsoonshelf::app::Main({argv + 1, argv + argc}));
}
