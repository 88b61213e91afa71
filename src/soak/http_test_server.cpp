// SPDX-License-Identifier: Apache-2.0

#include "soak/http_test_server.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <utility>

#include "soak/link.h"

namespace doorwood::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

using Message = http::request<http::string_body>;

std::string ToStdString(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

HttpTestRequest Decode(Message* message,
                       const std::string& incarnation_header) {
  HttpTestRequest decoded;
  HttpRequest& request = decoded.request;
  request.method = ToStdString(message->method_string());
  const std::string target = ToStdString(message->target());
  const size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark != std::string::npos) {
    request.query = target.substr(mark + 1);
  }
  decoded.expected_incarnation = ToStdString((*message)[incarnation_header]);
  request.body = std::move(message->body());
  return decoded;
}

}  // namespace

// One connection. Its outstanding operations and the pending responses own it.
class HttpTestServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(const HttpTestServer& server, asio::ip::tcp::socket socket)
      : server_(server), socket_(std::move(socket)) {
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  }

  void Read() {
    message_ = {};
    http::async_read(
        socket_, buffer_, message_,
        [self = shared_from_this()](const error_code& error, size_t) {
          if (!error) {
            self->Handle();
          }
        });
  }

 private:
  void Handle() {
    server_.handler_(
        Decode(&message_, server_.incarnation_header_),
        [self = shared_from_this()](std::optional<HttpResponse> response) {
          if (response) {
            self->Write(std::move(*response));
          } else {
            ResetConnection(&self->socket_);
          }
        });
  }

  void Write(HttpResponse response) {
    response_ = {};
    response_.version(11);
    response_.result(static_cast<unsigned>(response.status));
    response_.set(http::field::content_type, response.content_type);
    response_.body() = std::move(response.body);
    response_.keep_alive(true);
    response_.prepare_payload();
    http::async_write(
        socket_, response_,
        [self = shared_from_this()](const error_code& error, size_t) {
          if (!error) {
            self->Read();
          }
        });
  }

  const HttpTestServer& server_;
  asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  Message message_;
  http::response<http::string_body> response_;
};

HttpTestServer::HttpTestServer(asio::io_context& context,
                               const std::string& address,
                               std::string incarnation_header,
                               Handler handler)
    : acceptor_(context, ParseEndpoint(address)),
      incarnation_header_(std::move(incarnation_header)),
      handler_(std::move(handler)) {
  Accept();
}

void HttpTestServer::Accept() {
  acceptor_.async_accept(
      [this](const error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          std::make_shared<Session>(*this, std::move(socket))->Read();
        }
        Accept();
      });
}

}  // namespace doorwood::soak
