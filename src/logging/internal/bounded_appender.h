#pragma once

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>

namespace monsoonshelf::logging {

// Writes lines to a file descriptor without blocking. Lines that exceed the buffer size or the rate
// limit are dropped and counted; the count is logged before the next accepted line, at most once
// per second. Part of the buffer and of the rate limit is reserved for warnings and errors.
class BoundedAppender : public log4cplus::Appender {
 public:
  explicit BoundedAppender(int descriptor) : descriptor_(descriptor) {}
  ~BoundedAppender() override;

  void close() override;  // NOLINT(readability-identifier-naming): named by the library.
  // Writes as many buffered bytes as the descriptor accepts without blocking.
  void Flush();
  std::uint64_t DroppedLines() const { return dropped_lines_; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event)
      override;  // NOLINT(readability-identifier-naming): named by the library.

 private:
  bool ConsumeToken(std::int64_t now_us, bool is_important);
  void ReportDroppedLines(std::int64_t now_us, const std::string& next_line);

  int descriptor_;
  std::string buffer_;
  double tokens_ = -1;  // Token bucket of the rate limit, in lines; negative before the first line.
  std::int64_t last_refill_us_ = 0;
  std::uint64_t dropped_lines_ = 0;
  std::uint64_t reported_dropped_lines_ = 0;
  std::int64_t next_report_us_ = 0;
};

}  // namespace monsoonshelf::logging
