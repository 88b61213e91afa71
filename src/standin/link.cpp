// SPDX-License-Identifier: Apache-2.0

// Stand-in for the wire between two places: passes bytes on, until it is cut.
// Fault: cut (breaks connections and takes no new ones).

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

// One connection and the one that it leads to. It lives as long as bytes are
// on their way.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket near_end, const std::atomic<bool>& cut)
      : near_(std::move(near_end)), far_(near_.get_executor()), cut_(cut) {}

  void Start(const tcp::endpoint& target) {
    far_.async_connect(
        target, [self = shared_from_this()](const asio::error_code& error) {
          if (error) {
            self->Close();
            return;
          }
          self->Pass(self->near_, self->far_, self->out_);
          self->Pass(self->far_, self->near_, self->in_);
        });
  }

  void Close() {
    asio::error_code ignored;
    near_.close(ignored);
    far_.close(ignored);
  }

 private:
  using Buffer = std::array<char, 16384>;

  void Pass(tcp::socket& from, tcp::socket& to, Buffer& buffer) {
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
                              self->Pass(from, to, buffer);
                            });
        });
  }

  tcp::socket near_;
  tcp::socket far_;
  const std::atomic<bool>& cut_;
  Buffer out_{};
  Buffer in_{};
};

// Takes connections and remembers them, to break them when cut.
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

  void SetCut(bool cut) {
    asio::post(context_, [this, cut]() {
      if (cut_ == cut) {
        return;
      }
      cut_ = cut;
      if (cut) {
        Break();
      } else {
        acceptor_ = tcp::acceptor(context_, listen_);
        Accept();
      }
    });
  }

 private:
  using WeakSession = std::weak_ptr<Session>;

  void Break() {
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
    link.SetCut(body.value("cut", false));
    return Reply();
  });
  const int code = server.Run();
  context.stop();
  thread.join();
  return code;
}

}  // namespace doorwood::standin
