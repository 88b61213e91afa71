// SPDX-License-Identifier: Apache-2.0

// Stand-in for a network link: a TCP proxy that can simulate a partition.
// Fault: `cut` (closes all connections and accepts no new ones).

#include <array>
#include <asio.hpp>
#include <atomic>
#include <memory>
#include <set>
#include <thread>

#include "http.adapter/http_call.h"
#include "standin/standin.h"

namespace doorwood::standin {
namespace {

using asio::ip::tcp;

tcp::endpoint EndpointOf(const std::string& address) {
  const HostPort target = ParseHostPort(address);
  return {asio::ip::make_address(target.host),
          static_cast<uint16_t>(target.port)};
}

// An accepted connection and its connection to the target. Pending reads and
// writes keep the session alive.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket client, const std::atomic<bool>& cut)
      : client_(std::move(client)),
        upstream_(client_.get_executor()),
        cut_(cut) {}

  void Start(const tcp::endpoint& target) {
    upstream_.async_connect(
        target, [self = shared_from_this()](const asio::error_code& error) {
          if (error) {
            self->Close();
            return;
          }
          self->Relay(self->client_, self->upstream_, self->to_upstream_);
          self->Relay(self->upstream_, self->client_, self->to_client_);
        });
  }

  void Close() {
    asio::error_code ignored;
    client_.close(ignored);
    upstream_.close(ignored);
  }

 private:
  using Buffer = std::array<char, 16384>;

  void Relay(tcp::socket& from, tcp::socket& to, Buffer& buffer) {
    from.async_read_some(
        asio::buffer(buffer),
        [self = shared_from_this(), &from, &to, &buffer](
            const asio::error_code& error, size_t length) {
          if (error || self->cut_) {
            self->Close();
            return;
          }
          asio::async_write(to, asio::buffer(buffer, length),
                            [self, &from, &to, &buffer](
                                const asio::error_code& write_error, size_t) {
                              if (write_error) {
                                self->Close();
                                return;
                              }
                              self->Relay(from, to, buffer);
                            });
        });
  }

  tcp::socket client_;
  tcp::socket upstream_;
  const std::atomic<bool>& cut_;
  Buffer to_upstream_{};
  Buffer to_client_{};
};

// Accepts connections and tracks their sessions, so that a partition can close
// them.
class Link {
 public:
  Link(asio::io_context& context,
       const tcp::endpoint& listen,
       const tcp::endpoint& target)
      : context_(context),
        listen_(listen),
        acceptor_(context, listen),
        target_(target) {
    Accept();
  }

  void SetPartitioned(bool cut) {
    asio::post(context_, [this, cut]() {
      if (cut_ == cut) {
        return;
      }
      cut_ = cut;
      if (cut) {
        CloseAll();
      } else {
        acceptor_ = tcp::acceptor(context_, listen_);
        Accept();
      }
    });
  }

 private:
  using WeakSession = std::weak_ptr<Session>;

  void CloseAll() {
    acceptor_.close();
    for (const auto& weak : sessions_) {
      if (const auto session = weak.lock()) {
        session->Close();
      }
    }
    sessions_.clear();
  }

  void Accept() {
    acceptor_.async_accept(
        [this](const asio::error_code& error, tcp::socket socket) {
          if (error) {
            return;
          }
          auto session = std::make_shared<Session>(std::move(socket), cut_);
          sessions_.insert(session);
          session->Start(target_);
          std::erase_if(sessions_,
                        [](const WeakSession& weak) { return weak.expired(); });
          Accept();
        });
  }

  asio::io_context& context_;
  tcp::endpoint listen_;
  tcp::acceptor acceptor_;
  tcp::endpoint target_;
  std::atomic<bool> cut_ = false;
  std::set<WeakSession, std::owner_less<WeakSession>> sessions_;
};

}  // namespace

int RunLink(const LinkRole& role) {
  asio::io_context context;
  Link link(context, EndpointOf(role.server.listen), EndpointOf(role.target));
  std::thread thread([&context]() { context.run(); });
  ServerOptions control = role.server;
  control.listen = role.control;
  Server server(control);
  server.AddCall("/fault", [&link](const Json& body) {
    link.SetPartitioned(body.value("cut", false));
    return Reply();
  });
  const int code = server.Run();
  context.stop();
  thread.join();
  return code;
}

}  // namespace doorwood::standin
