#pragma once

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>

namespace monsoonshelf::logging {

// Writes lines to a descriptor without ever blocking on it. What doesn't fit into a bounded buffer,
// or comes faster than a bounded rate, is dropped and counted; the count is logged once there is
// room again. A part of the rate and of the buffer is kept for warnings and errors.
class BoundedAppender : public log4cplus::Appender {
 public:
  explicit BoundedAppender(int descriptor) : descriptor_(descriptor) {}
  ~BoundedAppender() override;

  void close() override;  // NOLINT(readability-identifier-naming): named by the library.
  // Writes what the descriptor takes now.
  void Flush();
  std::uint64_t Dropped() const { return dropped_; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event)
      override;  // NOLINT(readability-identifier-naming): named by the library.

 private:
  bool TakeToken(std::int64_t now, bool is_important);
  void ReportDropped(std::int64_t now, const std::string& next_line);

  int descriptor_;
  std::string buffer_;
  double tokens_ = -1;  // Not started.
  std::int64_t filled_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_ = 0;
  std::int64_t next_report_ = 0;  // Microseconds, as filled_.
};

}  // namespace monsoonshelf::logging
