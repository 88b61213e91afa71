// SPDX-License-Identifier: Apache-2.0

#include "soak/http_door.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "soak/link.h"

namespace doorwood::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::redirect_error;
using asio::use_awaitable;
using boost::system::error_code;

namespace {

using Message = http::request<http::string_body>;

std::string ToText(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

DoorRequest Decode(Message message, const std::string& life_header) {
  DoorRequest decoded;
  HttpRequest& request = decoded.request;
  request.method = ToText(message.method_string());
  const std::string target = ToText(message.target());
  const size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark != std::string::npos) {
    request.query = target.substr(mark + 1);
  }
  decoded.expected_life = ToText(message[life_header]);
  request.body = std::move(message.body());
  return decoded;
}

}  // namespace

HttpDoor::HttpDoor(asio::io_context& context,
                   const std::string& address,
                   std::string life_header,
                   Handler handler)
    : context_(context),
      acceptor_(context, ParseEndpoint(address)),
      life_header_(std::move(life_header)),
      handler_(std::move(handler)) {
  Spawn(context_, Accept());
}

Task<> HttpDoor::Accept() {
  for (;;) {
    asio::ip::tcp::socket socket(context_);
    error_code error;
    co_await acceptor_.async_accept(socket,
                                    redirect_error(use_awaitable, error));
    if (!error) {
      Spawn(context_, Serve(std::move(socket)));
    }
  }
}

Task<> HttpDoor::Serve(asio::ip::tcp::socket socket) {
  error_code error;
  socket.set_option(asio::ip::tcp::no_delay(true), error);
  boost::beast::flat_buffer buffer;
  for (;;) {
    Message message;
    co_await http::async_read(socket, buffer, message,
                              redirect_error(use_awaitable, error));
    if (error) {
      co_return;
    }
    DoorRequest request = Decode(std::move(message), life_header_);
    std::optional<HttpResponse> answer = co_await handler_(std::move(request));
    if (!answer) {
      socket.set_option(asio::socket_base::linger(true, 0), error);
      co_return;
    }
    http::response<http::string_body> response;
    response.version(11);
    response.result(static_cast<unsigned>(answer->status));
    response.set(http::field::content_type, answer->content_type);
    response.body() = std::move(answer->body);
    response.keep_alive(true);
    response.prepare_payload();
    co_await http::async_write(socket, response,
                               redirect_error(use_awaitable, error));
    if (error) {
      co_return;
    }
  }
}

}  // namespace doorwood::soak
