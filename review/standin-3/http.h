// SPDX-License-Identifier: Apache-2.0

/// \file
/// HTTP/1.1 for the stand-ins of this folder: a server with a thread for each
/// connection, and a client that sends one request.

#ifndef REVIEW_STANDIN_3_HTTP_H_
#define REVIEW_STANDIN_3_HTTP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>

namespace review {

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

struct Response {
  int status = 200;
  std::string body;
  /// Never answer; the connection stays open and says nothing further.
  bool silent = false;
  /// Close the connection without an answer.
  bool drop = false;
};

using Handler = std::function<Response(const Request&)>;

inline std::string Lower(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

inline std::string Unescape(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

/// Serves `handler` at 127.0.0.1:`port` on threads of its own, for as long as
/// the process lives.
inline void Serve(int port, Handler handler) {
  namespace asio = boost::asio;
  namespace http = boost::beast::http;
  using tcp = asio::ip::tcp;
  auto context = std::make_shared<asio::io_context>();
  auto acceptor = std::make_shared<tcp::acceptor>(
      *context, tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                              static_cast<uint16_t>(port)));
  std::thread([context, acceptor, handler = std::move(handler)] {
    for (;;) {
      auto socket = std::make_shared<tcp::socket>(*context);
      boost::system::error_code error;
      acceptor->accept(*socket, error);
      if (error) {
        continue;
      }
      socket->set_option(tcp::no_delay(true), error);
      std::thread([context, socket, handler] {
        boost::beast::flat_buffer buffer;
        for (;;) {
          http::request<http::string_body> message;
          boost::system::error_code failed;
          http::read(*socket, buffer, message, failed);
          if (failed) {
            return;
          }
          Request request;
          request.method = std::string(message.method_string());
          const std::string target(message.target());
          const size_t mark = target.find('?');
          request.path = target.substr(0, mark);
          std::string rest =
              mark == std::string::npos ? "" : target.substr(mark + 1);
          while (!rest.empty()) {
            const size_t end = rest.find('&');
            const std::string field = rest.substr(0, end);
            const size_t equals = field.find('=');
            if (equals != std::string::npos) {
              request.query[field.substr(0, equals)] =
                  Unescape(field.substr(equals + 1));
            }
            rest = end == std::string::npos ? "" : rest.substr(end + 1);
          }
          for (const auto& field : message) {
            request.headers[Lower(std::string(field.name_string()))] =
                std::string(field.value());
          }
          request.body = std::move(message.body());
          const Response answer = handler(request);
          if (answer.drop) {
            return;
          }
          if (answer.silent) {
            // Waits until the other side closes the connection.
            char byte = 0;
            while (socket->read_some(asio::buffer(&byte, 1), failed) > 0 &&
                   !failed) {
            }
            return;
          }
          http::response<http::string_body> response;
          response.version(11);
          response.result(static_cast<unsigned>(answer.status));
          response.set(http::field::content_type, "application/json");
          response.body() = answer.body;
          response.keep_alive(true);
          response.prepare_payload();
          http::write(*socket, response, failed);
          if (failed) {
            return;
          }
        }
      }).detach();
    }
  }).detach();
}

struct Answer {
  int status = 0;  // 0: none
  std::string body;
};

/// Sends one request on a connection of its own; status 0 if no answer came
/// within `timeout`.
inline Answer Call(int port,
                   const std::string& method,
                   const std::string& host,
                   const std::string& path,
                   const std::string& body,
                   std::chrono::milliseconds timeout) {
  namespace asio = boost::asio;
  namespace http = boost::beast::http;
  asio::io_context context;
  boost::beast::tcp_stream stream(context);
  Answer answer;
  bool done = false;
  http::request<http::string_body> request(http::string_to_verb(method), path,
                                           11);
  request.set(http::field::host, host);
  request.set("Deadline-Ms", std::to_string(timeout.count()));
  if (!body.empty()) {
    request.set(http::field::content_type, "application/json");
    request.body() = body;
  }
  request.prepare_payload();
  http::response<http::string_body> response;
  boost::beast::flat_buffer buffer;
  stream.expires_after(timeout);
  stream.async_connect(
      asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                              static_cast<uint16_t>(port)),
      [&](boost::system::error_code failed) {
        if (failed) {
          return;
        }
        http::async_write(
            stream, request, [&](boost::system::error_code error, size_t) {
              if (error) {
                return;
              }
              http::async_read(
                  stream, buffer, response,
                  [&](boost::system::error_code bad, size_t) { done = !bad; });
            });
      });
  context.run();
  if (done) {
    answer.status = static_cast<int>(response.result_int());
    answer.body = response.body();
  }
  return answer;
}

}  // namespace review

#endif  // REVIEW_STANDIN_3_HTTP_H_
