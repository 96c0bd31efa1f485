#pragma once

#include <boost/program_options.hpp>
#include <functional>
#include <string>

#include "app/internal/command.h"
#include "base/result.h"

namespace monsoonshelf::app {

// Reads the options and positional arguments of one command; the latter are in `arguments`, of
// which there must be `least` to `most`. Error: kUsage.
Result<boost::program_options::variables_map> ReadCommandLine(
    const boost::program_options::options_description& description, const Arguments& arguments,
    std::size_t least, std::size_t most);

// Positional arguments of a result of ReadCommandLine.
Arguments Positional(const boost::program_options::variables_map& values);

// Whole text of a file of at most `max_bytes`. Error: kFileUnreadable.
Result<std::string> ReadFile(const std::string& file, std::size_t max_bytes);

// Runs a command body and prints its error after the name of the command.
int RunReporting(const std::string& command, const std::function<Result<int>()>& body);

}  // namespace monsoonshelf::app
