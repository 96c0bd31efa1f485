#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "tests/standins/subcommands.h"

int main(int argc, char** argv) {
  using Subcommand = int (*)(const std::vector<std::string>&);
  const std::map<std::string, Subcommand> subcommands = {
      {"caller", &monsoonshelf::standins::RunCaller},
      {"check", &monsoonshelf::standins::RunCheck},
      {"platform", &monsoonshelf::standins::RunPlatform},
      {"target", &monsoonshelf::standins::RunTarget},
  };
  std::vector<std::string> args(argv + 1, argv + argc);
  const auto found = args.empty() ? subcommands.end() : subcommands.find(args.front());
  if (found == subcommands.end()) {
    std::cerr << "usage: monsoonshelf_standins";
    for (const auto& [name, function] : subcommands) std::cerr << " | " << name;
    std::cerr << "\n";
    return 2;
  }
  args.erase(args.begin());
  return found->second(args);
}
