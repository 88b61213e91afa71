// SPDX-License-Identifier: Apache-2.0

// doorwood-crowd: a bounded number of clients that don't keep to the limits of
// HTTP messages, or servers whose answers don't, for tests only. Prints
// "settled" once nothing more can be sent and then holds its connections until
// SIGTERM.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <iostream>
#include <string>
#include <tuple>
#include <vector>

namespace doorwood::crowd {
namespace {

using Clock = std::chrono::steady_clock;

constexpr size_t kFillerBytes = 64UL * 1024;
constexpr std::chrono::milliseconds kPollTime{20};
constexpr std::chrono::milliseconds kReconnectPause{100};
constexpr std::chrono::milliseconds kSlowPause{200};
constexpr std::chrono::seconds kQuietTime{2};
constexpr std::chrono::seconds kMaxSendTime{60};
constexpr int kMaxReconnects = 20;
constexpr int kBacklog = 128;

struct Options {
  std::string address;
  std::string listen;
  std::string part;
  std::string target = "/jobs/00000000000000f0";
  int clients = 24;
  int connections = 1;
  int64_t bytes = 32LL * 1024 * 1024;
  int64_t body = 1024LL * 1024;
};

// What is sent on one connection: `start` once, then `filler` again and again,
// up to `length` bytes of it.
struct Message {
  std::string start;
  std::string filler;
  int64_t length = 0;
  bool slow = false;
  bool reads = true;
};

std::string Repeat(const std::string& unit, size_t bytes) {
  std::string text;
  while (text.size() < bytes) {
    text += unit;
  }
  return text;
}

// Returns false if there is no such part.
bool MakeMessage(const Options& options, Message* message) {
  const bool answers = !options.listen.empty();
  const std::string first =
      answers ? "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
              : "POST " + options.target +
                    " HTTP/1.1\r\nHost: queue.example\r\n"
                    "Content-Type: application/json\r\n";
  const std::string chunked = first + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string letters(kFillerBytes, 'a');
  message->length = options.bytes;
  message->filler = letters;
  const std::string& part = options.part;
  if (part == "start-line") {
    message->start = answers ? "HTTP/1.1 200 " : "GET /";
  } else if (part == "header-line") {
    message->start = first + "X-Filler: ";
  } else if (part == "header-block") {
    message->start = first;
    message->filler =
        Repeat("X-Filler: " + std::string(50, 'a') + "\r\n", kFillerBytes);
  } else if (part == "chunk-size") {
    message->start = chunked;
    message->filler = std::string(kFillerBytes, '0');
  } else if (part == "chunk-extension") {
    message->start = chunked + "2;x=";
  } else if (part == "trailer-line") {
    message->start = chunked + "2\r\n{}\r\n0\r\nX-Filler: ";
  } else if (part == "trailers") {
    message->start = chunked + "2\r\n{}\r\n0\r\n";
    message->filler =
        Repeat("X-Filler: " + std::string(50, 'a') + "\r\n", kFillerBytes);
  } else if (part == "chunked-body") {
    message->start = chunked;
    message->filler =
        Repeat("1000\r\n" + std::string(4096, 'a') + "\r\n", kFillerBytes);
  } else if (part == "declared-body") {
    message->start = first + "Content-Length: 1099511627776\r\n\r\n";
  } else if (part == "held-body") {
    message->start =
        first + "Content-Length: " + std::to_string(options.body) + "\r\n\r\n";
    message->length = options.body - 1;
  } else if (part == "idle") {
    message->length = 0;
  } else if (part == "slow-header") {
    message->start = "GET " + options.target + " HTTP/1.1\r\nX-Filler: ";
    message->slow = true;
  } else if (part == "pipelined") {
    message->filler = Repeat(
        "GET " + options.target + " HTTP/1.1\r\nHost: queue.example\r\n\r\n",
        kFillerBytes);
    message->reads = false;
  } else {
    return false;
  }
  return true;
}

bool ParseAddress(const std::string& address, sockaddr_in* out) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  *out = {};
  out->sin_family = AF_INET;
  out->sin_port =
      htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
  return inet_pton(AF_INET, address.substr(0, colon).c_str(), &out->sin_addr) ==
         1;
}

class Connection {
 public:
  Connection(const Message& message, int64_t bytes)
      : message_(&message), left_(bytes) {}

  void Connect(const sockaddr_in& address) {
    Attach(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    // In progress; the outcome comes with POLLOUT or POLLERR.
    std::ignore = ::connect(
        socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    established_ = false;
  }
  void Attach(int socket) {
    socket_ = socket;
    established_ = true;
    start_sent_ = 0;
    filler_sent_ = 0;
  }
  void Close() {
    if (socket_ >= 0) {
      ::close(socket_);
      socket_ = -1;
      closed_at_ = Clock::now();
    }
  }
  bool MayReconnect() {
    return socket_ < 0 && reconnects_ < kMaxReconnects && left_ > 0 &&
           Clock::now() - closed_at_ > kReconnectPause && ++reconnects_ > 0;
  }

  int socket() const { return socket_; }
  bool connecting() const { return socket_ >= 0 && !established_; }
  void SetEstablished() { established_ = true; }
  bool WantsToSend() const {
    const bool slow_wait =
        message_->slow && Clock::now() - last_slow_at_ < kSlowPause;
    return socket_ >= 0 && !slow_wait &&
           (start_sent_ < message_->start.size() ||
            filler_sent_ < std::min(message_->length, left_));
  }
  bool has_bytes_left() const { return left_ > 0; }
  bool reads() const { return message_->reads; }
  bool slow() const { return message_->slow; }

  // Returns the number of bytes that were sent.
  int64_t Send() {
    const bool in_start = start_sent_ < message_->start.size();
    const std::string& text = in_start ? message_->start : message_->filler;
    const size_t offset = in_start
                              ? start_sent_
                              : static_cast<size_t>(filler_sent_) % text.size();
    auto count = static_cast<int64_t>(text.size() - offset);
    if (!in_start) {
      count = std::min(count, std::min(message_->length, left_) - filler_sent_);
      count = message_->slow ? 1 : count;
    }
    const ssize_t sent = ::send(socket_, text.data() + offset,
                                static_cast<size_t>(count), MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno != EAGAIN) {
        End();
      }
      return 0;
    }
    if (in_start) {
      start_sent_ += static_cast<size_t>(sent);
    } else {
      filler_sent_ += sent;
      last_slow_at_ = Clock::now();
    }
    return sent;
  }

  // Reads and drops what has arrived.
  void Drop() {
    static std::string room(kFillerBytes, '\0');
    const ssize_t count = ::recv(socket_, room.data(), room.size(), 0);
    if (count == 0 || (count < 0 && errno != EAGAIN)) {
      End();
    }
  }

  void End() {
    left_ -= filler_sent_;
    Close();
  }

 private:
  const Message* message_;
  // Of the filler, over all connections of this place in the crowd.
  int64_t left_;
  int socket_ = -1;
  bool established_ = false;
  size_t start_sent_ = 0;
  int64_t filler_sent_ = 0;
  int reconnects_ = 0;
  Clock::time_point closed_at_{};
  Clock::time_point last_slow_at_{};
};

volatile std::sig_atomic_t stopped = 0;

class Crowd {
 public:
  Crowd(const Options& options, const Message& message)
      : options_(options), message_(message) {}

  bool Start() {
    if (options_.listen.empty()) {
      connections_.assign(
          static_cast<size_t>(options_.clients) * options_.connections,
          Connection(message_, std::max<int64_t>(options_.bytes, 1)));
      return ParseAddress(options_.address, &address_);
    }
    if (!ParseAddress(options_.listen, &address_)) {
      return false;
    }
    for (int n = 0; n < options_.clients; ++n) {
      const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      const int on = 1;
      ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
      sockaddr_in own = address_;
      // Each server has a loopback address of its own: 127.0.0.2 and so on.
      own.sin_addr.s_addr =
          htonl(ntohl(address_.sin_addr.s_addr) + static_cast<uint32_t>(n));
      if (::bind(listener, reinterpret_cast<sockaddr*>(&own), sizeof own) !=
              0 ||
          ::listen(listener, kBacklog) != 0) {
        return false;
      }
      listeners_.push_back(listener);
    }
    // A server has one connection at a time and sends `bytes` in all.
    connections_.assign(listeners_.size(),
                        Connection(message_, options_.bytes));
    return true;
  }

  void Run() {
    std::cout << "started" << std::endl;
    const auto begin = Clock::now();
    auto last_progress = begin;
    bool settled = false;
    while (stopped == 0) {
      const uint64_t progress = progress_;
      const int64_t sent = Step();
      sent_ += sent;
      const auto now = Clock::now();
      const bool connecting =
          std::any_of(connections_.begin(), connections_.end(),
                      [](const Connection& one) { return one.connecting(); });
      if (connecting || progress_ > progress || (sent > 0 && !message_.slow)) {
        last_progress = now;
      }
      const bool called = options_.listen.empty() || sent_ > 0;
      const bool quiet = called && now - last_progress > kQuietTime;
      if (!settled && (quiet || now - begin > kMaxSendTime)) {
        settled = true;
        const auto open = std::count_if(
            connections_.begin(), connections_.end(),
            [](const Connection& one) { return one.socket() >= 0; });
        std::cout << "settled: " << open << " connections open, " << sent_
                  << " bytes sent" << std::endl;
      }
    }
  }

 private:
  int64_t Step() {
    std::vector<pollfd> polled;
    std::vector<size_t> indexes;
    for (size_t n = 0; n < connections_.size(); ++n) {
      Connection& one = connections_[n];
      if (options_.listen.empty() && (!connected_ || one.MayReconnect())) {
        one.Connect(address_);
      }
      if (one.socket() < 0) {
        continue;
      }
      const auto events = static_cast<short>(
          (one.connecting() || one.WantsToSend() ? POLLOUT : 0) |
          (one.reads() ? POLLIN : 0));
      polled.push_back({one.socket(), events, 0});
      indexes.push_back(n);
    }
    connected_ = true;
    const size_t first_listener = polled.size();
    for (const int listener : listeners_) {
      polled.push_back({listener, POLLIN, 0});
    }
    ::poll(polled.data(), polled.size(), static_cast<int>(kPollTime.count()));
    int64_t sent = 0;
    for (size_t n = 0; n < first_listener; ++n) {
      Connection& one = connections_[indexes[n]];
      const int events = polled[n].revents;
      if (one.connecting() && (events & (POLLERR | POLLHUP)) == 0 &&
          (events & POLLOUT) != 0) {
        one.SetEstablished();
        ++progress_;
      }
      if ((events & POLLOUT) != 0 && one.WantsToSend()) {
        sent += one.Send();
      }
      if (one.socket() >= 0 && (events & POLLIN) != 0) {
        one.Drop();
      } else if (one.socket() >= 0 && (events & (POLLERR | POLLHUP)) != 0) {
        one.End();
      }
    }
    for (size_t n = first_listener; n < polled.size(); ++n) {
      if ((polled[n].revents & POLLIN) != 0) {
        Accept(n - first_listener);
      }
    }
    return sent;
  }

  // An answer begins as soon as the connection is open.
  void Accept(size_t server) {
    const int socket =
        ::accept4(listeners_[server], nullptr, nullptr, SOCK_NONBLOCK);
    if (socket < 0) {
      return;
    }
    Connection& one = connections_[server];
    if (one.socket() >= 0 || !one.has_bytes_left()) {
      ::close(socket);
      return;
    }
    one.Attach(socket);
  }

  const Options& options_;
  const Message& message_;
  sockaddr_in address_{};
  std::vector<Connection> connections_;
  std::vector<int> listeners_;
  bool connected_ = false;
  int64_t sent_ = 0;
  uint64_t progress_ = 0;
};

}  // namespace
}  // namespace doorwood::crowd

int main(int argc, char** argv) {
  namespace crowd = doorwood::crowd;
  crowd::Options options;
  CLI::App app{"doorwood-crowd: clients and servers beyond the limits of HTTP"};
  app.add_option("--address", options.address, "IP address and port to call");
  app.add_option("--listen", options.listen,
                 "instead: first IP address and port of the servers");
  app.add_option("--part", options.part, "what has no end")->required();
  app.add_option("--target", options.target, "path of the requests");
  app.add_option("--clients", options.clients, "clients or servers");
  app.add_option("--connections", options.connections, "of each client");
  app.add_option("--bytes", options.bytes, "for each connection");
  app.add_option("--body", options.body, "declared length of a held body");
  CLI11_PARSE(app, argc, argv);
  crowd::Message message;
  if (!crowd::MakeMessage(options, &message)) {
    std::cerr << "no such part: " << options.part << "\n";
    return 2;
  }
  std::signal(SIGTERM, [](int) { crowd::stopped = 1; });
  crowd::Crowd all(options, message);
  if (!all.Start()) {
    std::cerr << "cannot use the address\n";
    return 2;
  }
  all.Run();
  return 0;
}
