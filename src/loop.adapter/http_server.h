// SPDX-License-Identifier: Apache-2.0

/// \file
/// HTTP/1.1 server on the event loop of the process.

#ifndef DOORWOOD_LOOP_ADAPTER_HTTP_SERVER_H_
#define DOORWOOD_LOOP_ADAPTER_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "doorwood/types.h"

namespace doorwood {

struct HttpRequest {
  std::string method;
  /// Path without query.
  std::string path;
  std::string query;
  /// Value of the Host header without the port.
  std::string host;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  /// Returns true once the client has closed the connection; may be called
  /// until the response is passed on. Empty in requests made by tests.
  std::function<bool()> is_client_gone;

  /// Returns the value of the header, whose name has any case; empty if the
  /// request has none.
  std::string_view header(std::string_view name) const;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  /// Value of the Retry-After header, rounded up to seconds; zero omits it.
  Millis retry_after{0};
};

/// Limits on connections and requests. Connections of clients that are too
/// slow are closed; requests that are too large are answered with status 400.
struct HttpServerLimits {
  /// Start line and header; also each chunk-size line with its extensions, and
  /// all trailers together.
  size_t header_bytes = 16 * 1024;
  size_t body_bytes = 1024 * 1024;
  Millis header_timeout{5000};
  Millis idle_timeout{30000};
  /// A connection above these closes the one that has waited longest: for a
  /// request, for the rest of one, or for its client to read the response.
  /// Connections whose request is being handled are not closed; if there are
  /// no others, the new one is.
  size_t max_connections = 1500;
  /// Read buffers, requests and responses of all connections. Above it,
  /// connections that use more than an equal share of it are closed, the
  /// longest waiting one first; if all of these are being handled, a request
  /// that needs more than such a share is refused with status 503.
  size_t total_bytes = 32UL * 1024 * 1024;
};

/// Since the start.
struct HttpServerCounters {
  /// Connections that were closed because of `max_connections` or because the
  /// process was out of file descriptors.
  uint64_t closed_for_connections = 0;
  /// Connections that were closed, and requests that were refused, because of
  /// `total_bytes`.
  uint64_t closed_for_memory = 0;
  uint64_t refused_for_memory = 0;
  /// Requests that were malformed or larger than the limits.
  uint64_t unreadable = 0;

  bool operator==(const HttpServerCounters&) const = default;
};

class HttpServer {
 public:
  using Respond = std::function<void(HttpResponse)>;
  using Handler = std::function<void(HttpRequest, Respond)>;

  HttpServer(boost::asio::io_context& context, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens on `address`, an IP address and port. Throws
  /// boost::system::system_error if the address cannot be used.
  void Listen(const std::string& address);
  void SetLimits(const HttpServerLimits& limits);
  /// After this call, each connection is closed after its next response.
  void Drain();
  /// Closes the listening socket. Open connections continue to be served.
  void StopListening();

  size_t open_requests() const;
  size_t connections() const;
  /// Memory that counts toward HttpServerLimits::total_bytes.
  size_t held_bytes() const;
  const HttpServerCounters& counters() const;

 private:
  struct ServerState;
  class Session;

  void Accept();

  std::shared_ptr<ServerState> shared_;
};

}  // namespace doorwood

#endif  // DOORWOOD_LOOP_ADAPTER_HTTP_SERVER_H_
