// SPDX-License-Identifier: Apache-2.0

/// \file
/// A small HTTP server whose handlers get the value of one header and may reset
/// the connection instead of answering.

#ifndef DOORWOOD_SOAK_HTTP_TEST_SERVER_H_
#define DOORWOOD_SOAK_HTTP_TEST_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

#include "loop.adapter/http_server.h"

namespace doorwood::soak {

struct HttpTestRequest {
  HttpRequest request;
  /// The worker incarnation that the caller expects; empty: any.
  std::string expected_incarnation;
};

class HttpTestServer {
 public:
  /// Without a response, the connection is reset.
  using Respond = std::function<void(std::optional<HttpResponse>)>;
  using Handler = std::function<void(HttpTestRequest, Respond)>;

  /// `incarnation_header` is the name of the header for `expected_incarnation`.
  HttpTestServer(boost::asio::io_context& context,
                 const std::string& address,
                 std::string incarnation_header,
                 Handler handler);
  HttpTestServer(const HttpTestServer&) = delete;
  HttpTestServer& operator=(const HttpTestServer&) = delete;

 private:
  class Session;

  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  const std::string incarnation_header_;
  const Handler handler_;
};

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_HTTP_TEST_SERVER_H_
