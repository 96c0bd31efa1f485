#include "logging/internal/bounded_appender.h"

#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "base/clock.h"

namespace monsoonshelf::logging {

namespace {

// Holds the lines of about three seconds at the maximum rate.
constexpr std::size_t kMaxBufferedBytes = std::size_t{256} * 1024;
// An entry host serves a few dozen requests per second; a higher rate of lines adds no information.
constexpr double kMaxLinesPerSecond = 300;
constexpr double kMaxBurstLines = 600;
// Reserved for warnings and errors: when several thousand targets change at once, their lines must
// not displace those of requests that fail at the same time.
constexpr double kReservedLines = 200;
constexpr std::size_t kReservedBytes = kMaxBufferedBytes / 4;
constexpr std::int64_t kReportIntervalUs = 1'000'000;
// A pipe that poll() reports as writable accepts this many bytes without blocking (PIPE_BUF).
constexpr std::size_t kMaxWriteBytes = 4096;
// The buffer is written to the descriptor at this size, even before the next call of Flush().
constexpr std::size_t kFlushBytes = std::size_t{16} * 1024;
// Maximum time for which close() waits for a slow reader before each flush.
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

bool BoundedAppender::ConsumeToken(std::int64_t now_us, bool is_important) {
  if (tokens_ < 0) {
    tokens_ = kMaxBurstLines;
  } else {
    const double seconds = static_cast<double>(now_us - last_refill_us_) / 1e6;
    tokens_ = std::min(kMaxBurstLines, tokens_ + seconds * kMaxLinesPerSecond);
  }
  last_refill_us_ = now_us;
  if (tokens_ < 1 + (is_important ? 0 : kReservedLines)) return false;
  tokens_ -= 1;
  return true;
}

void BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  const std::string& line = event.getMessage();
  const std::int64_t now_us = Now().time_since_epoch().count();
  const bool is_important = event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL;
  const std::size_t room = kMaxBufferedBytes - (is_important ? 0 : kReservedBytes);
  if (buffer_.size() + line.size() + 1 > room || !ConsumeToken(now_us, is_important)) {
    ++dropped_lines_;
    return;
  }
  ReportDroppedLines(now_us, line);
  buffer_.append(line).push_back('\n');
  if (buffer_.size() >= kFlushBytes) Flush();
}

void BoundedAppender::ReportDroppedLines(std::int64_t now_us, const std::string& next_line) {
  if (dropped_lines_ == reported_dropped_lines_ || now_us < next_report_us_) return;
  next_report_us_ = now_us + kReportIntervalUs;
  // Copies the time and the host from the line that follows.
  const auto level = next_line.find("level=");
  if (level != std::string::npos) buffer_.append(next_line, 0, level);
  buffer_.append("level=warning event=log_lines_dropped count=")
      .append(std::to_string(dropped_lines_ - reported_dropped_lines_))
      .append(" total=")
      .append(std::to_string(dropped_lines_))
      .push_back('\n');
  reported_dropped_lines_ = dropped_lines_;
}

void BoundedAppender::Flush() {
  std::size_t written = 0;
  while (written < buffer_.size() && IsWritable(descriptor_, 0)) {
    const ssize_t count = write(descriptor_, buffer_.data() + written,
                                std::min(kMaxWriteBytes, buffer_.size() - written));
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) break;  // No reader: further lines are dropped once the buffer is full.
    written += static_cast<std::size_t>(count);
  }
  buffer_.erase(0, written);
}

}  // namespace monsoonshelf::logging
