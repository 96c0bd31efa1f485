#pragma once

#include <boost/program_options.hpp>
#include <functional>
#include <string>

#include "app/internal/command.h"
#include "base/result.h"

namespace monsoonshelf::app {

// Parses the options and positional arguments of a command. The number of positional arguments must
// be between `min_count` and `max_count`. Error: kUsage.
Result<boost::program_options::variables_map> ParseCommandLine(
    const boost::program_options::options_description& description, const Arguments& arguments,
    std::size_t min_count, std::size_t max_count);

// Returns the positional arguments in a result of ParseCommandLine.
Arguments PositionalArguments(const boost::program_options::variables_map& values);

// Returns the content of a file. Error: kFileUnreadable, also if it is larger than `max_bytes`.
Result<std::string> ReadFile(const std::string& file, std::size_t max_bytes);

// Runs `body` and returns its exit code. Prints an error, prefixed with the command name, to
// standard error and returns kExitUsage for ResultCode::kUsage and kExitFailed otherwise.
int RunAndReportError(const std::string& command, const std::function<Result<int>()>& body);

}  // namespace monsoonshelf::app
