#include "app/internal/command_line.h"

#include <fstream>
#include <iostream>

namespace monsoonshelf::app {

namespace options = boost::program_options;

namespace {

constexpr const char* kArguments = "arguments";

}  // namespace

Result<options::variables_map> ParseCommandLine(const options::options_description& description,
                                                const Arguments& arguments, std::size_t min_count,
                                                std::size_t max_count) {
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
  const std::size_t count = PositionalArguments(values).size();
  if (count < min_count || count > max_count) {
    return Fail(ResultCode::kUsage,
                "found " + std::to_string(count) + " positional arguments, expected " +
                    (min_count == max_count ? std::to_string(min_count)
                                            : "at least " + std::to_string(min_count)));
  }
  return values;
}

Arguments PositionalArguments(const options::variables_map& values) {
  return values.count(kArguments) == 0 ? Arguments{} : values[kArguments].as<Arguments>();
}

Result<std::string> ReadFile(const std::string& file, std::size_t max_bytes) {
  std::ifstream stream(file, std::ios::binary);
  std::string text;
  std::string chunk(65'536, '\0');
  while (stream && text.size() <= max_bytes) {
    stream.read(chunk.data(), static_cast<std::streamsize>(chunk.size()));
    text.append(chunk, 0, static_cast<std::size_t>(stream.gcount()));
  }
  // Opening a directory succeeds, but the first read fails and does not set the end-of-file flag.
  if (!stream.is_open() || stream.bad() || (!stream && !stream.eof())) {
    return Fail(ResultCode::kFileUnreadable, "file " + file + " cannot be read");
  }
  if (text.size() > max_bytes) {
    return Fail(ResultCode::kFileUnreadable, "file " + file + " is larger than the maximum of " +
                                                 std::to_string(max_bytes) + " bytes");
  }
  return text;
}

int RunAndReportError(const std::string& command, const std::function<Result<int>()>& body) {
  return Recover(body, [&command](const Error& error) -> int {
    std::cerr << "monsoonshelf " << command << ": " << error.message_ << " ("
              << ResultCodeName(error.code_) << ")\n";
    return error.code_ == ResultCode::kUsage ? kExitUsage : kExitFailed;
  });
}

}  // namespace monsoonshelf::app
