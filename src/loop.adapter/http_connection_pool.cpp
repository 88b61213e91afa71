// SPDX-License-Identifier: Apache-2.0

#include "loop.adapter/http_connection_pool.h"

#include <iterator>

namespace doorwood {
namespace {

using boost::system::error_code;

// Maximum number of idle connections for one address and group.
constexpr size_t kMaxIdlePerAddress = 8;
// Connections that were idle for longer are not reused, because the server may
// be about to close them.
constexpr std::chrono::seconds kIdleLifetime{8};
// Interval at which these are closed. To thousands of servers they would
// otherwise use up the descriptors of the process.
constexpr std::chrono::seconds kIdleCheckInterval{1};

}  // namespace

bool HttpConnection::IsQuiet() {
  if (buffer.size() > 0) {
    return false;
  }
  char byte = 0;
  error_code error;
  stream.socket().receive(boost::asio::buffer(&byte, sizeof byte),
                          boost::asio::socket_base::message_peek, error);
  return error == boost::asio::error::would_block;
}

void HttpConnection::Reset() {
  error_code ignored;
  stream.socket().set_option(boost::asio::socket_base::linger(true, 0),
                             ignored);
  stream.close();
}

std::shared_ptr<HttpConnection> HttpConnectionPool::Take(
    const std::string& address,
    const std::string& group) {
  auto& idle = idle_[{address, group}];
  const Instant now = BootClock::now();
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (now - connection->last_response_at < kIdleLifetime &&
        connection->IsQuiet()) {
      return connection;
    }
  }
  return nullptr;
}

void HttpConnectionPool::Return(const std::string& address,
                                const std::string& group,
                                std::shared_ptr<HttpConnection> connection) {
  auto& idle = idle_[{address, group}];
  if (idle.size() < kMaxIdlePerAddress) {
    idle.push_back(std::move(connection));
  }
  CloseUnused();
}

size_t HttpConnectionPool::CloseOlderThan(std::string_view address,
                                          Instant time) {
  size_t closed = 0;
  for (auto& [key, connections] : idle_) {
    if (key.first == address) {
      closed += std::erase_if(connections, [time](const auto& connection) {
        return connection->last_response_at < time;
      });
    }
  }
  return closed;
}

void HttpConnectionPool::CloseUnused() {
  const Instant now = BootClock::now();
  if (now - closed_unused_at_ < kIdleCheckInterval) {
    return;
  }
  closed_unused_at_ = now;
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [now](const auto& connection) {
      return now - connection->last_response_at >= kIdleLifetime;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace doorwood
