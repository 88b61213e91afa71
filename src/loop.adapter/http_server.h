// SPDX-License-Identifier: Apache-2.0

/// \file
/// HTTP/1.1 server on the process's one loop.

#ifndef DOORWOOD_LOOP_ADAPTER_HTTP_SERVER_H_
#define DOORWOOD_LOOP_ADAPTER_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "doorwood/types.h"

namespace doorwood {

struct HttpRequest {
  std::string method;
  /// Path without query.
  std::string path;
  std::string query;
  /// Value of the Host header, without port.
  std::string host;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  /// When the caller may come back; zero: not told.
  Millis retry_after{0};
};

/// Bounds on connections; slow or large senders are cut off.
struct HttpServerLimits {
  size_t header_bytes = 16 * 1024;
  size_t body_bytes = 1024 * 1024;
  Millis header_timeout{5000};
  Millis idle_timeout{30000};
  size_t connections = 1500;
};

class HttpServer {
 public:
  using Respond = std::function<void(HttpResponse)>;
  using Handler = std::function<void(HttpRequest, Respond)>;

  HttpServer(boost::asio::io_context& context, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// `address`: IP number and port. Throws boost::system::system_error.
  void Listen(const std::string& address);
  void SetLimits(const HttpServerLimits& limits);
  /// Answers close their connections from now on.
  void Drain();
  void Close();

  size_t open_requests() const;
  size_t connections() const;

 private:
  struct Shared;
  class Session;

  void Accept();

  std::shared_ptr<Shared> shared_;
};

}  // namespace doorwood

#endif  // DOORWOOD_LOOP_ADAPTER_HTTP_SERVER_H_
