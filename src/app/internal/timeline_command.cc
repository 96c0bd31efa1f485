#include "app/internal/timeline_command.h"

#include <filesystem>
#include <fstream>
#include <iostream>

#include "app/internal/command_line.h"
#include "timeline/timeline.h"

namespace monsoonshelf::app {

namespace {

namespace options = boost::program_options;

constexpr std::size_t kMaxLogs = 10'000;

Result<void> ReadLogFile(const std::string& file, timeline::Timeline& timeline) {
  std::ifstream log(file, std::ios::binary);
  if (!log || std::filesystem::is_directory(file)) {
    return Fail(ResultCode::kFileUnreadable, "log " + file + " cannot be read");
  }
  timeline::ReadLog(log, std::filesystem::path(file).filename().string(), timeline);
  if (log.bad()) return Fail(ResultCode::kFileUnreadable, "log " + file + " cannot be read");
  return {};
}

Result<int> RunTimeline(const Arguments& arguments) {
  BOOST_LEAF_AUTO(values, ParseCommandLine(TimelineOptions(), arguments, 1, kMaxLogs));
  timeline::Timeline timeline;
  for (const std::string& file : PositionalArguments(values)) {
    BOOST_LEAF_CHECK(ReadLogFile(file, timeline));
  }
  timeline::FinishTimeline(timeline);
  if (values.count("call") > 0) {
    timeline = timeline::FilterByCall(timeline, values["call"].as<std::string>());
  }
  if (values.count("html") == 0) {
    timeline::WriteText(timeline, std::cout);
    return kExitOk;
  }
  const std::string page = values["html"].as<std::string>();
  std::ofstream out(page, std::ios::binary);
  timeline::WriteHtml(timeline, out);
  out.close();
  if (!out) return Fail(ResultCode::kFileUnreadable, "HTML page " + page + " cannot be written");
  std::cout << "page=" << page << " events=" << timeline.events_.size()
            << " lines=" << timeline.line_count_
            << " malformed_lines=" << timeline.malformed_line_count_ << "\n";
  return kExitOk;
}

}  // namespace

options::options_description TimelineOptions() {
  options::options_description description("Options");
  description.add_options()("html", options::value<std::string>(),
                            "write an HTML page to this file instead of text to standard output")(
      "call", options::value<std::string>(),
      "include only events of the call with this identifier");
  return description;
}

int TimelineCommand(const Arguments& arguments) {
  return RunAndReportError("timeline", [&] { return RunTimeline(arguments); });
}

}  // namespace monsoonshelf::app
