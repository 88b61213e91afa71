// SPDX-License-Identifier: Apache-2.0

/// \file
/// A small HTTP server whose handlers see a header and may break a connection
/// off instead of answering.

#ifndef DOORWOOD_SOAK_HTTP_DOOR_H_
#define DOORWOOD_SOAK_HTTP_DOOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

#include "loop.adapter/http_server.h"

namespace doorwood::soak {

struct DoorRequest {
  HttpRequest request;
  /// The life of a worker that the caller means; empty: any.
  std::string expected_life;
};

class HttpDoor {
 public:
  /// No response: the connection breaks off.
  using Respond = std::function<void(std::optional<HttpResponse>)>;
  using Handler = std::function<void(DoorRequest, Respond)>;

  /// `life_header` names the header behind `expected_life`.
  HttpDoor(boost::asio::io_context& context,
           const std::string& address,
           std::string life_header,
           Handler handler);
  HttpDoor(const HttpDoor&) = delete;
  HttpDoor& operator=(const HttpDoor&) = delete;

 private:
  class Session;

  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  const std::string life_header_;
  const Handler handler_;
};

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_HTTP_DOOR_H_
