#include "logging/internal/bounded_appender.h"

#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "base/clock.h"

namespace monsoonshelf::logging {

namespace {

// Lines of about three seconds at the highest rate.
constexpr std::size_t kMaxBufferedBytes = std::size_t{256} * 1024;
// An entry host answers some tens of requests a second; a log that grows faster tells nothing new.
constexpr double kMaxLinesPerSecond = 300;
constexpr double kMaxBurstLines = 600;
// Kept for warnings and errors: a list of some thousand targets that changes at once must not push
// out the lines of requests that fail meanwhile.
constexpr double kReservedLines = 200;
constexpr std::size_t kReservedBytes = kMaxBufferedBytes / 4;
constexpr std::int64_t kReportIntervalUs = 1'000'000;
// A pipe that is ready to write takes this many bytes without blocking (PIPE_BUF).
constexpr std::size_t kWriteBytes = 4096;
// Lines are written together, unless this much has gathered.
constexpr std::size_t kFlushBytes = std::size_t{16} * 1024;
// Time that closing may wait for a slow reader, in milliseconds.
constexpr int kCloseWaitMs = 200;

bool IsWritable(int descriptor, int wait_ms) {
  pollfd entry = {descriptor, POLLOUT, 0};
  return poll(&entry, 1, wait_ms) > 0 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

BoundedAppender::~BoundedAppender() { destructorImpl(); }

void BoundedAppender::close() {
  while (!buffer_.empty() && IsWritable(descriptor_, kCloseWaitMs)) {
    const std::size_t before = buffer_.size();
    Flush();
    if (buffer_.size() == before) break;
  }
  buffer_.clear();
  closed = true;
}

bool BoundedAppender::TakeToken(std::int64_t now, bool is_important) {
  if (tokens_ < 0) {
    tokens_ = kMaxBurstLines;
  } else {
    const double seconds = static_cast<double>(now - filled_) / 1e6;
    tokens_ = std::min(kMaxBurstLines, tokens_ + seconds * kMaxLinesPerSecond);
  }
  filled_ = now;
  if (tokens_ < 1 + (is_important ? 0 : kReservedLines)) return false;
  tokens_ -= 1;
  return true;
}

void BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  const std::string& line = event.getMessage();
  const std::int64_t now = Now().time_since_epoch().count();
  const bool is_important = event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL;
  const std::size_t room = kMaxBufferedBytes - (is_important ? 0 : kReservedBytes);
  if (buffer_.size() + line.size() + 1 > room || !TakeToken(now, is_important)) {
    ++dropped_;
    return;
  }
  ReportDropped(now, line);
  buffer_.append(line).push_back('\n');
  if (buffer_.size() >= kFlushBytes) Flush();
}

void BoundedAppender::ReportDropped(std::int64_t now, const std::string& next_line) {
  if (dropped_ == reported_ || now < next_report_) return;
  next_report_ = now + kReportIntervalUs;
  // The time and the host are those of the next line.
  const auto level = next_line.find("level=");
  if (level != std::string::npos) buffer_.append(next_line, 0, level);
  buffer_.append("level=warning event=log_lines_dropped count=")
      .append(std::to_string(dropped_ - reported_))
      .append(" total=")
      .append(std::to_string(dropped_))
      .push_back('\n');
  reported_ = dropped_;
}

void BoundedAppender::Flush() {
  std::size_t written = 0;
  while (written < buffer_.size() && IsWritable(descriptor_, 0)) {
    const ssize_t count = write(descriptor_, buffer_.data() + written,
                                std::min(kWriteBytes, buffer_.size() - written));
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) break;  // Nobody reads any more; the lines are dropped when the buffer is full.
    written += static_cast<std::size_t>(count);
  }
  buffer_.erase(0, written);
}

}  // namespace monsoonshelf::logging
