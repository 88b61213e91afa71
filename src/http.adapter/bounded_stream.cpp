// SPDX-License-Identifier: Apache-2.0

#include "http.adapter/bounded_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "http.adapter/bounded_queue.h"

namespace doorwood {
namespace {

// Pause between two checks whether the server stops.
constexpr std::chrono::milliseconds kStopCheckInterval{50};

void Describe(const sockaddr_storage& address, std::string* ip, int* port) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (address.ss_family == AF_INET) {
    sockaddr_in v4{};
    std::memcpy(&v4, &address, sizeof v4);
    inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
    *port = ntohs(v4.sin_port);
  } else if (address.ss_family == AF_INET6) {
    sockaddr_in6 v6{};
    std::memcpy(&v6, &address, sizeof v6);
    inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
    *port = ntohs(v6.sin6_port);
  }
  *ip = text.data();
}

}  // namespace

// --- WaitingStreams ---

void WaitingStreams::Add(BoundedStream* stream) {
  const std::lock_guard<std::mutex> lock(mutex_);
  waits_.emplace(stream->began_at(), stream);
}

void WaitingStreams::Remove(BoundedStream* stream) {
  const std::lock_guard<std::mutex> lock(mutex_);
  waits_.erase({stream->began_at(), stream});
}

bool WaitingStreams::EndLongest() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (waits_.empty()) {
    return false;
  }
  // Its thread closes the socket, after Remove.
  ::shutdown(waits_.begin()->second->socket(), SHUT_RDWR);
  waits_.erase(waits_.begin());
  return true;
}

// --- BoundedStream ---

BoundedStream::BoundedStream(socket_t socket,
                             const RequestLimits& limits,
                             HeldBodies* held_bodies,
                             WaitingStreams* waiting)
    : socket_(socket),
      limits_(limits),
      held_bodies_(held_bodies),
      waiting_(waiting),
      began_at_(std::chrono::steady_clock::now()) {}

BoundedStream::~BoundedStream() {
  BeginRequest();
}

void BoundedStream::BeginRequest() {
  *held_bodies_ -= body_bytes_;
  body_bytes_ = 0;
  line_bytes_ = 0;
  began_at_ = std::chrono::steady_clock::now();
}

bool BoundedStream::Await(short events) const {
  pollfd polled{socket_, events, 0};
  int count = 0;
  do {
    count = ::poll(&polled, 1, static_cast<int>(limits_.timeout.count()));
  } while (count < 0 && errno == EINTR);
  return count > 0;
}

bool BoundedStream::is_readable() const {
  return HasUnreadData() || Await(POLLIN);
}

bool BoundedStream::is_writable() const {
  return Await(POLLOUT);
}

bool BoundedStream::AwaitInput() {
  if (waiting_ != nullptr) {
    waiting_->Add(this);
  }
  const bool arrived = Await(POLLIN);
  if (waiting_ != nullptr) {
    waiting_->Remove(this);
  }
  return arrived;
}

ssize_t BoundedStream::read(char* data, size_t size) {
  if (!HasUnreadData()) {
    const bool arrived = AwaitInput();
    if (!arrived) {
      return -1;
    }
    ssize_t count = 0;
    do {
      count = ::recv(socket_, buffer_.data(), buffer_.size(), 0);
    } while (count < 0 && errno == EINTR);
    if (count <= 0) {
      return count;
    }
    begin_ = 0;
    end_ = static_cast<size_t>(count);
  }
  const size_t bytes = std::min(size, end_ - begin_);
  if (!Count(size, bytes)) {
    return -1;
  }
  std::copy_n(buffer_.data() + begin_, bytes, data);
  begin_ += bytes;
  return static_cast<ssize_t>(bytes);
}

// The library reads lines byte by byte and bodies in pieces, except for the
// last byte of a piece.
bool BoundedStream::Count(size_t requested, size_t bytes) {
  if (requested == 1) {
    line_bytes_ += bytes;
    return line_bytes_ <= limits_.line_bytes;
  }
  line_bytes_ = 0;
  body_bytes_ += bytes;
  const size_t held = *held_bodies_ += bytes;
  const size_t total = std::max(limits_.total_body_bytes, limits_.body_bytes);
  const size_t share = total / std::max<size_t>(limits_.max_connections, 1);
  return body_bytes_ <= limits_.body_bytes &&
         (held <= total || body_bytes_ <= share);
}

ssize_t BoundedStream::write(const char* data, size_t size) {
  if (!Await(POLLOUT)) {
    return -1;
  }
  ssize_t count = 0;
  do {
    count = ::send(socket_, data, size, MSG_NOSIGNAL);
  } while (count < 0 && errno == EINTR);
  return count;
}

void BoundedStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  sockaddr_storage address{};
  socklen_t length = sizeof address;
  if (::getpeername(socket_, reinterpret_cast<sockaddr*>(&address), &length) ==
      0) {
    Describe(address, &ip, &port);
  }
}

void BoundedStream::get_local_ip_and_port(std::string& ip, int& port) const {
  sockaddr_storage address{};
  socklen_t length = sizeof address;
  if (::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length) ==
      0) {
    Describe(address, &ip, &port);
  }
}

// --- BoundedServer
// ------------------------------------------------------------

bool BoundedServer::AwaitRequest(BoundedStream* stream) {
  stream->BeginRequest();
  if (stream->HasUnreadData()) {
    return true;
  }
  const bool refused = BoundedQueue::IsOverloadThread();
  if (!refused) {
    waiting_.Add(stream);
  }
  bool arrived = false;
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::seconds(keep_alive_timeout_sec_);
  while (svr_sock_ != INVALID_SOCKET &&
         std::chrono::steady_clock::now() < end && !arrived) {
    pollfd polled{stream->socket(), POLLIN, 0};
    arrived =
        ::poll(&polled, 1, static_cast<int>(kStopCheckInterval.count())) > 0;
  }
  if (!refused) {
    waiting_.Remove(stream);
  }
  return arrived;
}

bool BoundedServer::process_and_close_socket(socket_t socket) {
  bool succeeded = true;
  {
    // Ending the wait of a connection that is being refused makes no room.
    BoundedStream stream(
        socket, limits_, &held_bodies_,
        BoundedQueue::IsOverloadThread() ? nullptr : &waiting_);
    bool connection_closed = false;
    for (size_t left = keep_alive_max_count_;
         left > 0 && succeeded && !connection_closed && AwaitRequest(&stream);
         --left) {
      succeeded = process_request(stream, left == 1, connection_closed, {});
    }
  }
  ::shutdown(socket, SHUT_RDWR);
  ::close(socket);
  return succeeded;
}

}  // namespace doorwood
