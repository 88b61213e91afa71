// SPDX-License-Identifier: Apache-2.0

/// \file
/// HTTP/1.1 server on the event loop of the process.

#ifndef DOORWOOD_LOOP_ADAPTER_HTTP_SERVER_H_
#define DOORWOOD_LOOP_ADAPTER_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
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
/// slow, and those above `max_connections`, are closed; requests that are too
/// large are answered with status 400.
struct HttpServerLimits {
  /// Start line and header; also each chunk-size line with its extensions, and
  /// all trailers together.
  size_t header_bytes = 16 * 1024;
  size_t body_bytes = 1024 * 1024;
  Millis header_timeout{5000};
  Millis idle_timeout{30000};
  size_t max_connections = 1500;
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

 private:
  struct ServerState;
  class Session;

  void Accept();

  std::shared_ptr<ServerState> shared_;
};

}  // namespace doorwood

#endif  // DOORWOOD_LOOP_ADAPTER_HTTP_SERVER_H_
