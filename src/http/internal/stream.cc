#include "http/stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "http/socket_address.h"

namespace monsoonshelf::http {

namespace {

constexpr std::size_t kReadBufferBytes = std::size_t{64} * 1024;
// Maximum number of reads per main loop iteration, so that a connection with a large body does not
// delay the others.
constexpr int kMaxReadsPerDispatch = 4;
// Sent bytes are erased from the front of the output buffer once there are more than this.
constexpr std::size_t kOutputCompactBytes = std::size_t{256} * 1024;
// An output buffer larger than this is released when its bytes are sent. Idle connections would
// otherwise keep the memory of the largest message that they have carried.
constexpr std::size_t kMaxKeptOutputBytes = std::size_t{4} * 1024;
constexpr int kKeepAliveProbes = 2;

void SetOption(int descriptor, int level, int name, int value) {
  // Errors are ignored, because the connection also works without these options.
  (void)setsockopt(descriptor, level, name, &value, sizeof(value));
}

}  // namespace

struct Stream::StreamSource {
  GSource base_;
  Stream* stream_;
};

Stream::Stream(int descriptor, IStreamHandler& handler)
    : descriptor_(descriptor), handler_(handler) {}

std::unique_ptr<Stream> Stream::Connect(const Address& address, IStreamHandler& handler,
                                        const StreamOptions& options) {
  const SocketAddress target = ToSocketAddress(address);
  const int descriptor =
      socket(target.Family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
  std::unique_ptr<Stream> stream(new Stream(descriptor, handler));
  if (descriptor < 0) {
    stream->connect_error_ = errno;
  } else {
    stream->ApplySocketOptions(options);
    if (connect(descriptor, target.Get(), target.length_) != 0 && errno != EINPROGRESS) {
      stream->connect_error_ = errno;
    }
  }
  stream->Attach();
  return stream;
}

std::unique_ptr<Stream> Stream::Adopt(int descriptor, IStreamHandler& handler,
                                      const StreamOptions& options) {
  std::unique_ptr<Stream> stream(new Stream(descriptor, handler));
  stream->connected_ = true;
  stream->ApplySocketOptions(options);
  stream->Attach();
  return stream;
}

Stream::~Stream() {
  *alive_ = false;
  if (source_ != nullptr) {
    g_source_destroy(source_);
    g_source_unref(source_);
  }
  if (descriptor_ >= 0) close(descriptor_);
}

void Stream::ApplySocketOptions(const StreamOptions& options) {
  SetOption(descriptor_, IPPROTO_TCP, TCP_NODELAY, 1);
  if (options.keep_alive_idle_.count() > 0) {
    const auto seconds = std::max<std::int64_t>(
        1, std::chrono::duration_cast<std::chrono::seconds>(options.keep_alive_idle_).count());
    SetOption(descriptor_, SOL_SOCKET, SO_KEEPALIVE, 1);
    SetOption(descriptor_, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(seconds));
    SetOption(descriptor_, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    SetOption(descriptor_, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  }
  if (options.user_timeout_.count() > 0) {
    SetOption(descriptor_, IPPROTO_TCP, TCP_USER_TIMEOUT,
              static_cast<int>(options.user_timeout_.count() / 1000));
  }
}

void Stream::Attach() {
  static GSourceFuncs functions = {nullptr, nullptr, &Stream::Dispatch, nullptr, nullptr, nullptr};
  source_ = g_source_new(&functions, sizeof(StreamSource));
  reinterpret_cast<StreamSource*>(source_)->stream_ = this;
  if (connect_error_ != 0) {
    g_source_set_ready_time(source_, 0);  // Reports the error in the next iteration.
  } else {
    fd_tag_ = g_source_add_unix_fd(source_, descriptor_, connected_ ? G_IO_IN : G_IO_OUT);
  }
  g_source_attach(source_, g_main_context_get_thread_default());
}

void Stream::UpdatePolledEvents() {
  if (fd_tag_ == nullptr || closed_) return;
  int events = 0;
  if (!connected_) {
    events = G_IO_OUT;
  } else {
    if (!reading_paused_) events |= G_IO_IN;
    if (UnsentBytes() > 0) events |= G_IO_OUT;
  }
  g_source_modify_unix_fd(source_, fd_tag_, static_cast<GIOCondition>(events));
}

gboolean Stream::Dispatch(GSource* source, GSourceFunc, gpointer) {
  Stream* stream = reinterpret_cast<StreamSource*>(source)->stream_;
  if (stream->connect_error_ != 0) {
    stream->ReportClosed(Failure::kConnect);
    return G_SOURCE_REMOVE;
  }
  const GIOCondition condition = g_source_query_unix_fd(source, stream->fd_tag_);
  if (!stream->connected_) {
    if (!stream->FinishConnect()) return G_SOURCE_CONTINUE;
  }
  if ((condition & G_IO_OUT) != 0 && stream->UnsentBytes() > 0 && !stream->FlushOutput()) {
    return G_SOURCE_CONTINUE;
  }
  if ((condition & (G_IO_IN | G_IO_HUP | G_IO_ERR)) != 0) stream->ReadAvailable();
  return G_SOURCE_CONTINUE;
}

bool Stream::FinishConnect() {
  int error = 0;
  socklen_t length = sizeof(error);
  if (getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &length) != 0) error = errno;
  if (error != 0) {
    ReportClosed(Failure::kConnect);
    return false;
  }
  connected_ = true;
  const auto alive = alive_;
  handler_.OnConnected();
  if (!*alive) return false;
  if (UnsentBytes() > 0 && !FlushOutput()) return false;
  UpdatePolledEvents();
  return true;
}

bool Stream::ReadAvailable() {
  static thread_local std::array<char, kReadBufferBytes> buffer;
  bool got_bytes = false;
  Failure failure = Failure::kNone;
  for (int i = 0; i < kMaxReadsPerDispatch; ++i) {
    const ssize_t count = recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (count > 0) {
      if (!shutdown_requested_) input_.append(buffer.data(), static_cast<std::size_t>(count));
      got_bytes = true;
      if (static_cast<std::size_t>(count) < buffer.size()) break;
      continue;
    }
    if (count == 0) {
      // send() takes the error of a reset connection from the socket, and recv() then reports an
      // orderly end.
      failure = send_failed_ ? Failure::kReset : Failure::kClosed;
    } else if (errno != EAGAIN && errno != EINTR) {
      failure = Failure::kReset;
    }
    break;
  }
  const auto alive = alive_;
  if (got_bytes && !shutdown_requested_) {
    handler_.OnDataReceived();
    if (!*alive) return false;
  }
  if (failure != Failure::kNone) {
    ReportClosed(failure);
    return false;
  }
  return true;
}

void Stream::ReceiveNow() {
  if (connected_ && !closed_) ReadAvailable();
}

void Stream::Write(std::string_view bytes) {
  if (closed_ || write_closed_) return;
  output_.append(bytes);
  // A send error is reported by the next read, never from within Write.
  if (connected_ && FlushOutput()) UpdatePolledEvents();
}

void Stream::WriteOwned(std::string bytes) {
  if (closed_ || write_closed_) return;
  if (UnsentBytes() > 0) return Write(bytes);
  output_ = std::move(bytes);
  output_begin_ = 0;
  if (connected_ && FlushOutput()) UpdatePolledEvents();
}

bool Stream::FlushOutput() {
  while (UnsentBytes() > 0) {
    const ssize_t count =
        send(descriptor_, output_.data() + output_begin_, UnsentBytes(), MSG_NOSIGNAL);
    if (count < 0) {
      if (errno == EINTR) continue;
      if (errno != EAGAIN) {
        // ReadAvailable reports the error in the next main loop iteration.
        output_.clear();
        output_begin_ = 0;
        write_closed_ = true;
        send_failed_ = true;
      }
      break;
    }
    bytes_sent_ += static_cast<std::uint64_t>(count);
    output_begin_ += static_cast<std::size_t>(count);
  }
  if (UnsentBytes() > 0) {
    if (output_begin_ > kOutputCompactBytes) {
      output_.erase(0, output_begin_);
      output_begin_ = 0;
    }
    return true;
  }
  if (output_.capacity() > kMaxKeptOutputBytes) {
    std::string().swap(output_);
  } else {
    output_.clear();
  }
  output_begin_ = 0;
  if (shutdown_requested_ && !write_closed_) {
    write_closed_ = true;
    ::shutdown(descriptor_, SHUT_WR);
  }
  UpdatePolledEvents();
  const auto alive = alive_;
  handler_.OnOutputFlushed();
  return *alive;
}

void Stream::PauseReading(bool paused) {
  if (reading_paused_ == paused) return;
  reading_paused_ = paused;
  UpdatePolledEvents();
}

void Stream::ShutDown() {
  if (shutdown_requested_ || closed_) return;
  shutdown_requested_ = true;
  input_.clear();
  PauseReading(false);
  if (UnsentBytes() == 0 && !write_closed_) {
    write_closed_ = true;
    ::shutdown(descriptor_, SHUT_WR);
  }
}

void Stream::ReportClosed(Failure failure) {
  closed_ = true;
  g_source_destroy(source_);
  handler_.OnClosed(failure);
}

}  // namespace monsoonshelf::http
