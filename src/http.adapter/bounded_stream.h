// SPDX-License-Identifier: Apache-2.0

/// \file
/// Bounds what the HTTP library reads of a request. The library reads lines of
/// any length, any number of them, and chunked bodies without a limit.

#ifndef DOORWOOD_HTTP_ADAPTER_BOUNDED_STREAM_H_
#define DOORWOOD_HTTP_ADAPTER_BOUNDED_STREAM_H_

#include <httplib.h>
#include <sys/types.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace doorwood {

struct RequestLimits {
  /// All lines of a request before its body, between two pieces of it, and
  /// after it, each time: start line, header, chunk-size lines, trailers.
  size_t line_bytes = 64UL * 1024;
  size_t body_bytes = 8UL * 1024 * 1024;
  /// Bodies of all requests. Above it, a request that uses more than an equal
  /// share of it is given up.
  size_t total_body_bytes = 32UL * 1024 * 1024;
  size_t max_connections = 96;
  std::chrono::milliseconds timeout{10'000};
};

/// Bytes of the bodies that all connections hold.
using HeldBodies = std::atomic<size_t>;

class BoundedStream;

/// The connections that wait for bytes from their client, the longest waiting
/// one first, counted from when the server was ready for the request. Called on
/// all threads of the server.
class WaitingStreams {
 public:
  void Add(BoundedStream* stream);
  void Remove(BoundedStream* stream);
  /// Ends the longest wait; its connection is then closed. Returns false if
  /// none waits.
  bool EndLongest();

 private:
  using Instant = std::chrono::steady_clock::time_point;

  std::mutex mutex_;
  std::set<std::pair<Instant, BoundedStream*>> waits_;
};

/// A connection. Reading fails once a request exceeds a limit, upon which the
/// library closes the connection.
class BoundedStream : public httplib::Stream {
 public:
  BoundedStream(socket_t socket,
                const RequestLimits& limits,
                HeldBodies* held_bodies,
                WaitingStreams* waiting);
  ~BoundedStream() override;
  BoundedStream(const BoundedStream&) = delete;
  BoundedStream& operator=(const BoundedStream&) = delete;

  /// The server is ready for the next request.
  void BeginRequest();
  std::chrono::steady_clock::time_point began_at() const { return began_at_; }
  bool HasUnreadData() const { return begin_ < end_; }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* data, size_t size) override;
  ssize_t write(const char* data, size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return socket_; }

 private:
  bool Await(short events) const;
  bool AwaitInput();
  /// Counts bytes that were read; returns false if a limit is exceeded.
  bool Count(size_t requested, size_t bytes);

  const socket_t socket_;
  const RequestLimits& limits_;
  HeldBodies* held_bodies_;
  WaitingStreams* waiting_;
  std::chrono::steady_clock::time_point began_at_;
  std::array<char, 4096> buffer_{};
  size_t begin_ = 0;
  size_t end_ = 0;
  /// Bytes of lines since the last piece of a body.
  size_t line_bytes_ = 0;
  size_t body_bytes_ = 0;
};

/// HTTP server whose connections are bounded streams.
class BoundedServer : public httplib::Server {
 public:
  /// Before listening.
  void set_limits(const RequestLimits& limits) { limits_ = limits; }
  /// Closes the connection that has waited longest for its client. Returns
  /// false if the requests of all are being handled.
  bool CloseLongestWaiting() { return waiting_.EndLongest(); }

 private:
  bool process_and_close_socket(socket_t socket) override;
  /// Returns false if no request comes in time or the server stops.
  bool AwaitRequest(BoundedStream* stream);

  RequestLimits limits_;
  HeldBodies held_bodies_ = 0;
  WaitingStreams waiting_;
};

}  // namespace doorwood

#endif  // DOORWOOD_HTTP_ADAPTER_BOUNDED_STREAM_H_
