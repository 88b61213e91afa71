// SPDX-License-Identifier: Apache-2.0

/// \file
/// Test server on a loopback socket. For each request it either sends a
/// scripted response or closes the connection without one.

#ifndef DOORWOOD_LOOP_ADAPTER_SCRIPTED_SERVER_H_
#define DOORWOOD_LOOP_ADAPTER_SCRIPTED_SERVER_H_

#include <algorithm>
#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace doorwood {

class ScriptedServer {
 public:
  /// Returns the bytes to send for the request with this number, counted from
  /// 1, or nothing to close the connection without a response.
  using Script = std::function<std::optional<std::string>(int number)>;

  ScriptedServer(boost::asio::io_context& context, Script script)
      : shared_(std::make_shared<Shared>(context, std::move(script))) {
    Accept(shared_);
  }

  static std::string Answer(const std::string& status,
                            const std::string& body) {
    return "HTTP/1.1 " + status +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  std::string address() const {
    return "127.0.0.1:" +
           std::to_string(shared_->acceptor.local_endpoint().port());
  }
  /// Request lines of the requests received so far.
  const std::vector<std::string>& requests() const { return shared_->requests; }
  /// Their bodies.
  const std::vector<std::string>& bodies() const { return shared_->bodies; }
  /// Closes the open connections; new ones are still accepted.
  void CloseConnections() {
    for (const auto& open : shared_->sockets) {
      boost::system::error_code ignored;
      open->close(ignored);
    }
    shared_->sockets.clear();
  }
  /// Sends bytes that answer no request on all open connections.
  void SendUnsolicited(const std::string& bytes) {
    for (const auto& open : shared_->sockets) {
      boost::system::error_code ignored;
      boost::asio::write(*open, boost::asio::buffer(bytes), ignored);
    }
  }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Shared {
    Shared(boost::asio::io_context& context, Script response_script)
        : acceptor(context,
                   {boost::asio::ip::address_v4::loopback(), /*port=*/0}),
          script(std::move(response_script)) {}

    boost::asio::ip::tcp::acceptor acceptor;
    Script script;
    std::vector<std::shared_ptr<Socket>> sockets;
    std::vector<std::string> requests;
    std::vector<std::string> bodies;
  };

  static void Accept(const std::shared_ptr<Shared>& shared) {
    auto socket = std::make_shared<Socket>(shared->acceptor.get_executor());
    shared->acceptor.async_accept(*socket, [shared, socket](const auto& error) {
      if (error) {
        return;
      }
      shared->sockets.push_back(socket);
      Read(shared, socket, std::make_shared<boost::asio::streambuf>());
      Accept(shared);
    });
  }

  static void Read(const std::shared_ptr<Shared>& shared,
                   const std::shared_ptr<Socket>& socket,
                   const std::shared_ptr<boost::asio::streambuf>& buffer) {
    boost::asio::async_read_until(
        *socket, *buffer, "\r\n\r\n",
        [shared, socket, buffer](const auto& error, size_t size) {
          if (error) {
            return;
          }
          const auto begin = boost::asio::buffers_begin(buffer->data());
          const std::string head(begin, begin + static_cast<ptrdiff_t>(size));
          buffer->consume(size);
          const size_t missing =
              ContentLengthOf(head) -
              std::min(ContentLengthOf(head), buffer->size());
          boost::asio::async_read(
              *socket, *buffer, boost::asio::transfer_exactly(missing),
              [shared, socket, buffer, head](const auto& failed, size_t) {
                if (!failed) {
                  const auto body = boost::asio::buffers_begin(buffer->data());
                  const size_t length = ContentLengthOf(head);
                  shared->bodies.emplace_back(
                      body, body + static_cast<ptrdiff_t>(length));
                  buffer->consume(length);
                  Respond(shared, socket, buffer, head);
                }
              });
        });
  }

  static size_t ContentLengthOf(const std::string& head) {
    constexpr std::string_view kLength = "Content-Length: ";
    const size_t at = head.find(kLength);
    return at == std::string::npos
               ? 0
               : std::strtoul(head.c_str() + at + kLength.size(), nullptr, 10);
  }

  static void Respond(const std::shared_ptr<Shared>& shared,
                      const std::shared_ptr<Socket>& socket,
                      const std::shared_ptr<boost::asio::streambuf>& buffer,
                      const std::string& head) {
    shared->requests.push_back(head.substr(0, head.find("\r\n")));
    const auto answer =
        shared->script(static_cast<int>(shared->requests.size()));
    if (!answer) {
      boost::system::error_code ignored;
      socket->close(ignored);
      return;
    }
    auto bytes = std::make_shared<std::string>(*answer);
    boost::asio::async_write(
        *socket, boost::asio::buffer(*bytes),
        [shared, socket, buffer, bytes](const auto& error, size_t) {
          if (!error) {
            Read(shared, socket, buffer);
          }
        });
  }

  std::shared_ptr<Shared> shared_;
};

/// Runs the context until the result of a call is available.
inline std::error_code WaitFor(boost::asio::io_context& context,
                               const std::optional<std::error_code>& result) {
  while (!result) {
    context.run_one();
  }
  return *result;
}

}  // namespace doorwood

#endif  // DOORWOOD_LOOP_ADAPTER_SCRIPTED_SERVER_H_
