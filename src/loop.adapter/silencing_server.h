// SPDX-License-Identifier: Apache-2.0

/// \file
/// Test server on a loopback socket that answers each request after a delay.
/// Its open connections can be made silent for good, while new ones work.

#ifndef DOORWOOD_LOOP_ADAPTER_SILENCING_SERVER_H_
#define DOORWOOD_LOOP_ADAPTER_SILENCING_SERVER_H_

#include <boost/asio/ip/tcp.hpp>

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "doorwood/types.h"

namespace doorwood {

class SilencingServer {
 public:
  explicit SilencingServer(boost::asio::io_context& context)
      : acceptor_(context,
                  {boost::asio::ip::address_v4::loopback(), /*port=*/0}) {
    Accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  size_t connections() const { return connections_.size(); }
  size_t requests() const { return requests_; }
  /// Requests that wait for `AnswerWaiting`.
  size_t waiting() const { return waiting_.size(); }
  /// From now on, the connections that are open neither read nor answer.
  void SilenceOpenConnections() {
    for (const auto& connection : connections_) {
      connection->silent = true;
    }
  }
  /// The same for later ones, which are still accepted.
  void SilenceAll() {
    all_silent_ = true;
    SilenceOpenConnections();
  }
  /// Time from a request to its answer; by default 30 ms. Requests for "/wait"
  /// are answered by `AnswerWaiting` instead.
  void set_delay(Millis delay) { delay_ = delay; }
  void AnswerWaiting() {
    for (const auto& connection : std::exchange(waiting_, {})) {
      Answer(connection);
    }
  }

 private:
  struct Connection {
    explicit Connection(boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted)), timer(socket.get_executor()) {}

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    boost::asio::streambuf buffer;
    bool silent = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept() {
    acceptor_.async_accept([this](const auto& error, auto socket) {
      if (error) {
        return;
      }
      connections_.push_back(std::make_shared<Connection>(std::move(socket)));
      connections_.back()->silent = all_silent_;
      Read(connections_.back());
      Accept();
    });
  }

  void Read(const ConnectionPtr& connection) {
    boost::asio::async_read_until(
        connection->socket, connection->buffer, "\r\n\r\n",
        [this, connection](const auto& error, size_t size) {
          if (error || connection->silent) {
            return;
          }
          const std::string head(
              boost::asio::buffers_begin(connection->buffer.data()),
              std::next(boost::asio::buffers_begin(connection->buffer.data()),
                        static_cast<ptrdiff_t>(size)));
          connection->buffer.consume(size);
          ++requests_;
          if (head.starts_with("GET /wait")) {
            waiting_.push_back(connection);
            return;
          }
          connection->timer.expires_after(delay_);
          connection->timer.async_wait(
              [this, connection](const auto&) { Answer(connection); });
        });
  }

  void Answer(const ConnectionPtr& connection) {
    if (connection->silent) {
      return;
    }
    static const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    boost::asio::async_write(connection->socket, boost::asio::buffer(answer),
                             [this, connection](const auto& error, size_t) {
                               if (!error) {
                                 Read(connection);
                               }
                             });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<ConnectionPtr> connections_;
  std::vector<ConnectionPtr> waiting_;
  size_t requests_ = 0;
  bool all_silent_ = false;
  Millis delay_{30};
};

}  // namespace doorwood

#endif  // DOORWOOD_LOOP_ADAPTER_SILENCING_SERVER_H_
