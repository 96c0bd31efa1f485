#pragma once

#include <boost/program_options.hpp>
#include <iostream>
#include <string>
#include <vector>

namespace monsoonshelf::standins {

// Parses the arguments of a subcommand into the variables bound to `description`. On an error,
// prints the reason and the available options to stderr and returns false.
inline bool ParseOptions(const std::vector<std::string>& args,
                         const boost::program_options::options_description& description) {
  namespace po = boost::program_options;
  try {
    po::variables_map values;
    po::store(po::command_line_parser(args).options(description).run(), values);
    po::notify(values);
    return true;
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << description;
    return false;
  }
}

}  // namespace monsoonshelf::standins
