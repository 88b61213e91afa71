// SPDX-License-Identifier: Apache-2.0

#include "soak/link.h"

#include <array>
#include <boost/asio/write.hpp>
#include <utility>

namespace doorwood::soak {

namespace asio = boost::asio;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr size_t kPieceBytes = 16 * 1024;
constexpr int kBacklog = 512;

void BreakOff(tcp::socket* socket) {
  error_code ignored;
  socket->set_option(asio::socket_base::linger(true, 0), ignored);
  socket->close(ignored);
}

}  // namespace

tcp::endpoint ParseEndpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))};
}

// A caller's connection and the one behind it.
struct Link::Pair {
  explicit Pair(asio::io_context& context) : caller(context), server(context) {}

  void Break() {
    BreakOff(&caller);
    BreakOff(&server);
  }

  Socket caller;
  Socket server;
  /// Bytes move from then on.
  Instant resumes{};
};

Link::Link(asio::io_context& context,
           const std::string& listen,
           const std::string& target)
    : context_(context),
      acceptor_(context, ParseEndpoint(listen)),
      target_(ParseEndpoint(target)),
      changed_(context, Instant::max()) {
  Spawn(context_, Accept());
}

void Link::Cut(Way way) {
  if (!IsCut()) {
    acceptor_.cancel();
    FillQueue();
  }
  cuts_there_ += way == Way::kBack ? 0 : 1;
  cuts_back_ += way == Way::kThere ? 0 : 1;
}

void Link::Heal(Way way, Millis old_after) {
  cuts_there_ -= way == Way::kBack ? 0 : 1;
  cuts_back_ -= way == Way::kThere ? 0 : 1;
  const Instant resumes = std::chrono::steady_clock::now() + old_after;
  for (const auto& weak : pairs_) {
    if (const auto pair = weak.lock()) {
      pair->resumes = std::max(pair->resumes, resumes);
    }
  }
  if (!IsCut()) {
    filler_.reset();
    acceptor_.listen(kBacklog);
  }
  WakeAll();
}

// A queue for no connection takes one; its place is taken here.
void Link::FillQueue() {
  acceptor_.listen(0);
  filler_.emplace(context_, tcp::v4());
  error_code ignored;
  filler_->non_blocking(true, ignored);
  filler_->connect(acceptor_.local_endpoint(), ignored);
}

void Link::Reset() {
  for (const auto& weak : pairs_) {
    if (const auto pair = weak.lock()) {
      pair->Break();
    }
  }
  WakeAll();
}

void Link::WakeAll() {
  changed_.cancel();
}

Task<> Link::Accept() {
  for (;;) {
    auto pair = std::make_shared<Pair>(context_);
    error_code error;
    while (IsCut()) {
      co_await changed_.async_wait(redirect_error(use_awaitable, error));
    }
    co_await acceptor_.async_accept(pair->caller,
                                    redirect_error(use_awaitable, error));
    if (error) {
      continue;
    }
    if (refuse_) {
      pair->Break();
      continue;
    }
    std::erase_if(pairs_, [](const auto& weak) { return weak.expired(); });
    pairs_.push_back(pair);
    Spawn(context_, Connect(pair));
  }
}

Task<> Link::Connect(std::shared_ptr<Pair> pair) {
  co_await Passable(pair, cuts_there_);
  co_await Passable(pair, cuts_back_);
  error_code error;
  co_await pair->server.async_connect(target_,
                                      redirect_error(use_awaitable, error));
  if (error || !pair->caller.is_open()) {
    pair->Break();
    co_return;
  }
  error_code ignored;
  pair->caller.set_option(tcp::no_delay(true), ignored);
  pair->server.set_option(tcp::no_delay(true), ignored);
  Spawn(context_, Pump(pair, pair->caller, pair->server, cuts_there_));
  Spawn(context_, Pump(pair, pair->server, pair->caller, cuts_back_));
}

Task<> Link::Pump(std::shared_ptr<Pair> pair,
                  Socket& from,
                  Socket& to,
                  const int& cuts) {
  std::array<char, kPieceBytes> piece{};
  for (;;) {
    co_await Passable(pair, cuts);
    error_code error;
    const size_t size = co_await from.async_read_some(
        asio::buffer(piece), redirect_error(use_awaitable, error));
    co_await Passable(pair, cuts);
    if (error == asio::error::eof) {
      error_code ignored;
      to.shutdown(tcp::socket::shutdown_send, ignored);
      co_return;
    }
    if (error) {
      pair->Break();
      co_return;
    }
    if (delay_ > Millis(0)) {
      co_await Sleep(context_, delay_);
    }
    co_await asio::async_write(to, asio::buffer(piece.data(), size),
                               redirect_error(use_awaitable, error));
    if (error) {
      pair->Break();
      co_return;
    }
  }
}

Task<> Link::Passable(std::shared_ptr<Pair> pair, const int& cuts) {
  while (pair->caller.is_open()) {
    error_code ignored;
    if (cuts > 0) {
      co_await changed_.async_wait(redirect_error(use_awaitable, ignored));
      continue;
    }
    if (std::chrono::steady_clock::now() >= pair->resumes) {
      co_return;
    }
    asio::steady_timer timer(context_, pair->resumes);
    co_await timer.async_wait(redirect_error(use_awaitable, ignored));
  }
}

}  // namespace doorwood::soak
