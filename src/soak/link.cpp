// SPDX-License-Identifier: Apache-2.0

#include "soak/link.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace doorwood::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr size_t kChunkBytes = 16 * 1024;
constexpr int kBacklog = 512;

Instant Now() {
  return BootClock::now();
}

}  // namespace

tcp::endpoint ParseEndpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))};
}

void ResetConnection(tcp::socket* socket) {
  error_code ignored;
  socket->set_option(asio::socket_base::linger(true, 0), ignored);
  socket->close(ignored);
}

// A caller's connection and the matching one to the server.
struct Link::Relay {
  Relay(asio::io_context& context, Socket accepted)
      : caller(std::move(accepted)), server(context) {}

  void Break() {
    ResetConnection(&caller);
    ResetConnection(&server);
  }

  Socket caller;
  Socket server;
  /// No bytes are transferred before this time.
  Instant resumes_at{};
  /// No bytes are transferred any more.
  bool silent = false;
};

struct Link::Flow {
  std::shared_ptr<Relay> relay;
  Socket& from;
  Socket& to;
  const int& cuts;
  std::array<char, kChunkBytes> chunk{};
};

Link::Link(asio::io_context& context,
           const std::string& listen,
           const std::string& target)
    : context_(context),
      acceptor_(context, ParseEndpoint(listen)),
      target_(ParseEndpoint(target)) {
  Accept();
}

// --- Faults ---

void Link::Cut(Direction direction) {
  if (!IsCut()) {
    acceptor_.cancel();
    FillAcceptQueue();
  }
  cuts_to_server_ += direction == Direction::kToCaller ? 0 : 1;
  cuts_to_caller_ += direction == Direction::kToServer ? 0 : 1;
}

void Link::Heal(Direction direction, Millis resume_delay) {
  cuts_to_server_ -= direction == Direction::kToCaller ? 0 : 1;
  cuts_to_caller_ -= direction == Direction::kToServer ? 0 : 1;
  for (const auto& weak : relays_) {
    if (const auto relay = weak.lock()) {
      relay->resumes_at = std::max(relay->resumes_at, Now() + resume_delay);
    }
  }
  if (!IsCut()) {
    filler_.reset();
    acceptor_.listen(kBacklog);
    Accept();
  }
  ResumeWaiting();
}

// A listening socket with a backlog of 0 still queues one connection. This
// function takes that place unless a caller's connection already has it. In
// that case the library's connect would block, so the non-blocking system call
// is used.
void Link::FillAcceptQueue() {
  acceptor_.listen(0);
  filler_.emplace(context_, tcp::v4());
  error_code ignored;
  filler_->native_non_blocking(true, ignored);
  const tcp::endpoint full = acceptor_.local_endpoint();
  (void)::connect(filler_->native_handle(), full.data(),
                  static_cast<socklen_t>(full.size()));
}

void Link::Reset() {
  for (const auto& weak : relays_) {
    if (const auto relay = weak.lock()) {
      relay->Break();
    }
  }
  ResumeWaiting();
}

void Link::Silence() {
  for (const auto& weak : relays_) {
    const auto relay = weak.lock();
    if (relay && !std::exchange(relay->silent, true)) {
      silent_.push_back(relay);
    }
  }
}

// --- Connections ---

void Link::Accept() {
  if (accepting_ || IsCut()) {
    return;
  }
  accepting_ = true;
  acceptor_.async_accept([this](const error_code& error, Socket socket) {
    accepting_ = false;
    if (!error && refuse_) {
      ResetConnection(&socket);
    } else if (!error) {
      auto relay = std::make_shared<Relay>(context_, std::move(socket));
      std::erase_if(relays_, [](const auto& weak) { return weak.expired(); });
      relays_.push_back(relay);
      Connect(relay);
    }
    Accept();
  });
}

void Link::Connect(const std::shared_ptr<Relay>& relay) {
  WhenOpen(relay, cuts_to_server_, [this, relay] {
    relay->server.async_connect(
        target_, [this, relay](const error_code& error) {
          if (error || !relay->caller.is_open()) {
            relay->Break();
            return;
          }
          error_code ignored;
          relay->caller.set_option(tcp::no_delay(true), ignored);
          relay->server.set_option(tcp::no_delay(true), ignored);
          Read(FlowPtr(
              new Flow{relay, relay->caller, relay->server, cuts_to_server_}));
          Read(FlowPtr(
              new Flow{relay, relay->server, relay->caller, cuts_to_caller_}));
        });
  });
}

void Link::Read(const FlowPtr& flow) {
  WhenOpen(flow->relay, flow->cuts, [this, flow] {
    flow->from.async_read_some(
        asio::buffer(flow->chunk),
        [this, flow](const error_code& error, size_t size) {
          if (flow->relay->silent) {
            return;
          }
          if (error && error != asio::error::eof) {
            flow->relay->Break();
            return;
          }
          Forward(flow, error ? 0 : size);
        });
  });
}

// A size of 0 means that the sender has closed its side.
void Link::Forward(const FlowPtr& flow, size_t size) {
  WhenOpen(flow->relay, flow->cuts, [this, flow, size] {
    if (size == 0) {
      error_code ignored;
      flow->to.shutdown(Socket::shutdown_send, ignored);
    } else if (delay_ > Millis(0)) {
      After(Now() + delay_, [this, flow, size] { Write(flow, size); });
    } else {
      Write(flow, size);
    }
  });
}

void Link::Write(const FlowPtr& flow, size_t size) {
  asio::async_write(flow->to, asio::buffer(flow->chunk.data(), size),
                    [this, flow](const error_code& error, size_t) {
                      if (error) {
                        flow->relay->Break();
                        return;
                      }
                      Read(flow);
                    });
}

// --- Waiting ---

void Link::WhenOpen(const std::shared_ptr<Relay>& relay,
                    const int& cuts,
                    std::function<void()> function) {
  if (!relay->caller.is_open() || relay->silent) {
    return;
  }
  auto retry = [this, relay, &cuts, function] {
    WhenOpen(relay, cuts, function);
  };
  if (cuts > 0) {
    waiting_.push_back(std::move(retry));
  } else if (Now() < relay->resumes_at) {
    After(relay->resumes_at, std::move(retry));
  } else {
    function();
  }
}

void Link::After(Instant time, std::function<void()> function) {
  auto timer = std::make_shared<asio::steady_timer>(context_, time - Now());
  timer->async_wait(
      [timer, function = std::move(function)](const error_code& error) {
        if (!error) {
          function();
        }
      });
}

void Link::ResumeWaiting() {
  const auto waiting = std::exchange(waiting_, {});
  for (const auto& function : waiting) {
    function();
  }
}

}  // namespace doorwood::soak
