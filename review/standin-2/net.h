// SPDX-License-Identifier: Apache-2.0

/// \file
/// HTTP/1.1 for the stand-ins of this review: a server whose connections can be
/// reset, and a client for coroutines. One thread.

#ifndef REVIEW_STANDIN_2_NET_H_
#define REVIEW_STANDIN_2_NET_H_

#include <utility>

#include <boost/asio.hpp>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

namespace review {

namespace asio = boost::asio;
using asio::ip::tcp;
using Json = nlohmann::json;

/// Milliseconds on a steady clock that starts well above zero.
inline int64_t NowMs() {
  static const auto begin = std::chrono::steady_clock::now();
  return 1'000'000 + std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::steady_clock::now() - begin)
                         .count();
}

inline int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline tcp::endpoint ParseAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<uint16_t>(std::atoi(address.c_str() + colon + 1))};
}

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

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
      out += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

/// Parses the head of a message: the first line and the headers.
inline std::string ParseHead(const std::string& head,
                             std::map<std::string, std::string>* headers) {
  const size_t line_end = head.find("\r\n");
  size_t at = line_end + 2;
  while (at < head.size()) {
    const size_t end = head.find("\r\n", at);
    if (end == std::string::npos || end == at) {
      break;
    }
    const std::string line = head.substr(at, end - at);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const size_t begin = line.find_first_not_of(' ', colon + 1);
      (*headers)[Lower(line.substr(0, colon))] =
          begin == std::string::npos ? "" : line.substr(begin);
    }
    at = end + 2;
  }
  return head.substr(0, line_end);
}

using Respond = std::function<void(int status, const Json& body)>;
using Handler = std::function<void(const Request&, Respond)>;

class Server {
 public:
  Server(asio::io_context& io, Handler handler)
      : io_(io), handler_(std::move(handler)) {}
  ~Server() { Close(); }

  void Listen(const std::string& address) {
    acceptor_ = std::make_shared<tcp::acceptor>(io_);
    const auto endpoint = ParseAddress(address);
    acceptor_->open(endpoint.protocol());
    acceptor_->set_option(tcp::acceptor::reuse_address(true));
    acceptor_->bind(endpoint);
    acceptor_->listen();
    Accept(acceptor_);
  }

  /// As when the process is killed: no listener, all connections reset.
  void Close() {
    boost::system::error_code ignored;
    if (acceptor_) {
      acceptor_->close(ignored);
      acceptor_.reset();
    }
    for (const auto& weak : connections_) {
      if (const auto connection = weak.lock()) {
        connection->closed = true;
        connection->socket.set_option(asio::socket_base::linger(true, 0),
                                      ignored);
        connection->socket.close(ignored);
      }
    }
    connections_.clear();
  }

 private:
  struct Connection {
    explicit Connection(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    asio::streambuf buffer;
    bool closed = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept(const std::shared_ptr<tcp::acceptor>& acceptor) {
    acceptor->async_accept([this, acceptor](const auto& error,
                                            tcp::socket socket) {
      if (error || !acceptor->is_open() || acceptor != acceptor_) {
        return;
      }
      boost::system::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      const auto connection = std::make_shared<Connection>(std::move(socket));
      std::erase_if(connections_,
                    [](const auto& weak) { return weak.expired(); });
      connections_.push_back(connection);
      Read(connection);
      Accept(acceptor);
    });
  }

  void Read(const ConnectionPtr& connection) {
    asio::async_read_until(
        connection->socket, connection->buffer, "\r\n\r\n",
        [this, connection](const auto& error, size_t size) {
          if (error || connection->closed) {
            return;
          }
          const auto data = connection->buffer.data();
          const std::string head(
              asio::buffers_begin(data),
              asio::buffers_begin(data) + static_cast<std::ptrdiff_t>(size));
          connection->buffer.consume(size);
          Request request;
          const std::string line = ParseHead(head, &request.headers);
          ParseLine(line, &request);
          const size_t length = static_cast<size_t>(
              std::atoll(request.headers["content-length"].c_str()));
          ReadBody(connection, std::move(request), length);
        });
  }

  static void ParseLine(const std::string& line, Request* request) {
    const size_t first = line.find(' ');
    const size_t second = line.find(' ', first + 1);
    request->method = line.substr(0, first);
    const std::string target = line.substr(first + 1, second - first - 1);
    const size_t mark = target.find('?');
    request->path = target.substr(0, mark);
    std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
      const size_t end = std::min(rest.find('&'), rest.size());
      const std::string pair = rest.substr(0, end);
      rest = end < rest.size() ? rest.substr(end + 1) : "";
      const size_t equals = pair.find('=');
      if (equals != std::string::npos) {
        request->query[pair.substr(0, equals)] =
            Unescape(pair.substr(equals + 1));
      }
    }
  }

  void ReadBody(const ConnectionPtr& connection,
                Request request,
                size_t length) {
    const size_t have = connection->buffer.size();
    if (have < length) {
      asio::async_read(connection->socket, connection->buffer,
                       asio::transfer_at_least(length - have),
                       [this, connection, request = std::move(request), length](
                           const auto& error, size_t) mutable {
                         if (!error && !connection->closed) {
                           ReadBody(connection, std::move(request), length);
                         }
                       });
      return;
    }
    const auto data = connection->buffer.data();
    request.body.assign(
        asio::buffers_begin(data),
        asio::buffers_begin(data) + static_cast<std::ptrdiff_t>(length));
    connection->buffer.consume(length);
    handler_(request, [this, connection](int status, const Json& body) {
      Write(connection, status, body);
    });
  }

  void Write(const ConnectionPtr& connection, int status, const Json& body) {
    if (connection->closed) {
      return;
    }
    const std::string text = body.dump();
    const auto message = std::make_shared<std::string>(
        "HTTP/1.1 " + std::to_string(status) +
        " X\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(text.size()) + "\r\n\r\n" + text);
    asio::async_write(connection->socket, asio::buffer(*message),
                      [this, connection, message](const auto& error, size_t) {
                        if (!error && !connection->closed) {
                          Read(connection);
                        }
                      });
  }

  asio::io_context& io_;
  Handler handler_;
  std::shared_ptr<tcp::acceptor> acceptor_;
  std::vector<std::weak_ptr<Connection>> connections_;
};

/// `status` 0: no answer.
struct Reply {
  int status = 0;
  Json body;
};

inline asio::awaitable<void> Sleep(int64_t ms) {
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           std::chrono::milliseconds(ms));
  co_await timer.async_wait(asio::use_awaitable);
}

/// One call on a connection of its own.
inline asio::awaitable<Reply> Call(std::string address,
                                   std::string method,
                                   std::string target,
                                   std::string host,
                                   std::string body,
                                   int64_t limit_ms) {
  const auto executor = co_await asio::this_coro::executor;
  const auto socket = std::make_shared<tcp::socket>(executor);
  asio::steady_timer timer(executor, std::chrono::milliseconds(limit_ms));
  timer.async_wait([socket](const auto& error) {
    if (!error) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
  });
  Reply reply;
  try {
    co_await socket->async_connect(ParseAddress(address), asio::use_awaitable);
    socket->set_option(tcp::no_delay(true));
    const std::string request =
        method + " " + target + " HTTP/1.1\r\nHost: " + host +
        "\r\nDeadline-Ms: " + std::to_string(limit_ms) +
        "\r\nConnection: close\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    co_await asio::async_write(*socket, asio::buffer(request),
                               asio::use_awaitable);
    asio::streambuf buffer;
    const size_t size = co_await asio::async_read_until(
        *socket, buffer, "\r\n\r\n", asio::use_awaitable);
    const std::string head(
        asio::buffers_begin(buffer.data()),
        asio::buffers_begin(buffer.data()) + static_cast<std::ptrdiff_t>(size));
    buffer.consume(size);
    std::map<std::string, std::string> headers;
    const std::string line = ParseHead(head, &headers);
    const auto length =
        static_cast<size_t>(std::atoll(headers["content-length"].c_str()));
    if (buffer.size() < length) {
      co_await asio::async_read(*socket, buffer,
                                asio::transfer_at_least(length - buffer.size()),
                                asio::use_awaitable);
    }
    const std::string text(asio::buffers_begin(buffer.data()),
                           asio::buffers_begin(buffer.data()) +
                               static_cast<std::ptrdiff_t>(length));
    reply.status = std::atoi(line.substr(line.find(' ') + 1).c_str());
    reply.body = Json::parse(text, nullptr, false);
  } catch (const std::exception&) {
    reply.status = 0;
  }
  timer.cancel();
  co_return reply;
}

}  // namespace review

#endif  // REVIEW_STANDIN_2_NET_H_
