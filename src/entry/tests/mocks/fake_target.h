#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace monsoonshelf::entry {

// One end of a TCP connection, with blocking reads of HTTP messages.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  Connection(Connection&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)), buffer_(std::move(other.buffer_)) {}
  Connection& operator=(Connection&&) = delete;
  ~Connection() { Close(); }

  // `receive_buffer` is the size of the receive buffer in bytes; 0: chosen by the kernel.
  static Connection ConnectTo(const std::string& address, int receive_buffer = 0) {
    const std::size_t colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    if (receive_buffer > 0) {
      setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
      close(descriptor);
      return Connection(-1);
    }
    return Connection(descriptor);
  }

  bool IsOpen() const { return descriptor_ >= 0; }
  void Close() {
    const std::lock_guard lock(*mutex_);
    if (descriptor_ >= 0) close(std::exchange(descriptor_, -1));
  }
  // Unblocks a read. The only function that another thread may call.
  void Shutdown() {
    const std::lock_guard lock(*mutex_);
    if (descriptor_ >= 0) shutdown(descriptor_, SHUT_RDWR);
  }
  void ShutdownWrite() { shutdown(descriptor_, SHUT_WR); }
  void Reset() {
    const linger reset{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    Close();
  }
  bool Write(const std::string& text) {
    std::size_t done = 0;
    while (done < text.size()) {
      const auto count = send(descriptor_, text.data() + done, text.size() - done, MSG_NOSIGNAL);
      if (count <= 0) return false;
      done += static_cast<std::size_t>(count);
    }
    return true;
  }
  // Reads the start line and the headers, including the empty line. Returns an empty string if the
  // connection ends first.
  std::string ReadHead() {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Receive()) return "";
    }
    std::string head = buffer_.substr(0, end + 4);
    buffer_.erase(0, end + 4);
    return head;
  }
  // Reads `size` bytes, or fewer if the connection ends first.
  std::string ReadBody(std::size_t size) {
    while (buffer_.size() < size && Receive()) {
    }
    std::string body = buffer_.substr(0, size);
    buffer_.erase(0, body.size());
    return body;
  }
  // Discards data until the peer closes the connection.
  void ReadToEnd() {
    while (Receive()) buffer_.clear();
  }

 private:
  bool Receive() {
    char bytes[65536];
    const auto count = recv(descriptor_, bytes, sizeof bytes, 0);
    if (count <= 0) return false;
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  int descriptor_;
  std::string buffer_;
  std::unique_ptr<std::mutex> mutex_ = std::make_unique<std::mutex>();
};

inline std::string HeaderOf(const std::string& head, const std::string& name) {
  const std::size_t start = head.find("\r\n" + name + ": ");
  if (start == std::string::npos) return "";
  const std::size_t value = start + name.size() + 4;
  return head.substr(value, head.find("\r\n", value) - value);
}

// A port that refuses connections while the object exists: it is bound, so that no other program
// can take it, but nothing listens there.
class ClosedPort {
 public:
  ClosedPort() : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address);
    socklen_t size = sizeof address;
    getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  ~ClosedPort() { close(socket_); }
  ClosedPort(const ClosedPort&) = delete;
  ClosedPort& operator=(const ClosedPort&) = delete;
  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  int socket_;
  int port_ = 0;
};

// A server that runs a handler on a thread per connection.
class FakeTarget {
 public:
  using Handler = std::function<void(Connection&)>;

  explicit FakeTarget(Handler handler) : handler_(std::move(handler)) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address);
    listen(listener_, 64);
    socklen_t size = sizeof address;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    acceptor_ = std::thread([this] { AcceptConnections(); });
  }
  ~FakeTarget() {
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    close(listener_);
    for (auto& connection : accepted_) connection->Shutdown();
    for (auto& thread : threads_) thread.join();
  }

  const std::string& Address() const { return address_; }
  int ConnectionCount() const { return connection_count_; }

 private:
  void AcceptConnections() {
    for (;;) {
      const int descriptor = accept(listener_, nullptr, nullptr);
      if (descriptor < 0) return;
      ++connection_count_;
      accepted_.push_back(std::make_shared<Connection>(descriptor));
      threads_.emplace_back([this, connection = accepted_.back()] {
        handler_(*connection);
        connection->Close();
      });
    }
  }

  Handler handler_;
  int listener_;
  std::string address_;
  std::atomic<int> connection_count_{0};
  std::vector<std::shared_ptr<Connection>> accepted_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// Returns a response as a target sends it: with the call identifier echoed and a load report.
inline std::string Response(const std::string& request_head, const std::string& body,
                            const std::string& status = "200 OK", const std::string& extra = "") {
  return "HTTP/1.1 " + status +
         "\r\nMonsoonshelf-Call-Id: " + HeaderOf(request_head, "Monsoonshelf-Call-Id") +
         "\r\nMonsoonshelf-Load: in_flight=1;slots=2;state=ready;epoch=1\r\n" + extra +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace monsoonshelf::entry
