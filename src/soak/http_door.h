// SPDX-License-Identifier: Apache-2.0

/// \file
/// A small HTTP server whose handlers see headers, may wait, and may break a
/// connection off instead of answering.

#ifndef DOORWOOD_SOAK_HTTP_DOOR_H_
#define DOORWOOD_SOAK_HTTP_DOOR_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

#include "loop.adapter/http_server.h"
#include "soak/coroutines.h"

namespace doorwood::soak {

struct DoorRequest {
  HttpRequest request;
  /// The life of a worker that the caller means; empty: any.
  std::string expected_life;
};

class HttpDoor {
 public:
  using Answer = Task<std::optional<HttpResponse>>;
  /// No response: the connection breaks off.
  using Handler = std::function<Answer(DoorRequest)>;

  /// `life_header` names the header behind `expected_life`.
  HttpDoor(boost::asio::io_context& context,
           const std::string& address,
           std::string life_header,
           Handler handler);
  HttpDoor(const HttpDoor&) = delete;
  HttpDoor& operator=(const HttpDoor&) = delete;

 private:
  Task<> Accept();
  Task<> Serve(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const std::string life_header_;
  const Handler handler_;
};

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_HTTP_DOOR_H_
