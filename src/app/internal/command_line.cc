#include "app/internal/command_line.h"

#include <fstream>
#include <iostream>

namespace monsoonshelf::app {

namespace options = boost::program_options;

namespace {

constexpr const char* kArguments = "arguments";

}  // namespace

Result<options::variables_map> ReadCommandLine(const options::options_description& description,
                                               const Arguments& arguments, std::size_t least,
                                               std::size_t most) {
  options::options_description all;
  all.add(description).add_options()(kArguments, options::value<Arguments>());
  options::positional_options_description positional;
  positional.add(kArguments, -1);
  options::variables_map values;
  try {
    options::store(
        options::command_line_parser(arguments).options(all).positional(positional).run(), values);
    options::notify(values);
  } catch (const options::error& error) {
    return Fail(ResultCode::kUsage, error.what());
  }
  const std::size_t count = Positional(values).size();
  if (count < least || count > most) {
    return Fail(ResultCode::kUsage,
                "found " + std::to_string(count) + " arguments, expected " +
                    (least == most ? std::to_string(least) : "at least " + std::to_string(least)));
  }
  return values;
}

Arguments Positional(const options::variables_map& values) {
  return values.count(kArguments) == 0 ? Arguments{} : values[kArguments].as<Arguments>();
}

Result<std::string> ReadFile(const std::string& file, std::size_t max_bytes) {
  std::ifstream stream(file, std::ios::binary);
  std::string text;
  std::string part(65'536, '\0');
  while (stream && text.size() <= max_bytes) {
    stream.read(part.data(), static_cast<std::streamsize>(part.size()));
    text.append(part, 0, static_cast<std::size_t>(stream.gcount()));
  }
  // A folder opens without an error and fails at the first read, without reaching the end.
  if (!stream.is_open() || stream.bad() || (!stream && !stream.eof())) {
    return Fail(ResultCode::kFileUnreadable, "file " + file + " cannot be read");
  }
  if (text.size() > max_bytes) {
    return Fail(ResultCode::kFileUnreadable,
                "file " + file + " has more than " + std::to_string(max_bytes) + " bytes");
  }
  return text;
}

int RunReporting(const std::string& command, const std::function<Result<int>()>& body) {
  return Recover(body, [&command](const Error& error) -> int {
    std::cerr << "monsoonshelf " << command << ": " << error.message_ << " ("
              << ResultCodeName(error.code_) << ")\n";
    return error.code_ == ResultCode::kUsage ? kExitUsage : kExitFailed;
  });
}

}  // namespace monsoonshelf::app
