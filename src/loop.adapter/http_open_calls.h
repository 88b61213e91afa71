// SPDX-License-Identifier: Apache-2.0

/// \file
/// The open calls of an HTTP client, its idle connections, and what is known of
/// silent ones.

#ifndef DOORWOOD_LOOP_ADAPTER_HTTP_OPEN_CALLS_H_
#define DOORWOOD_LOOP_ADAPTER_HTTP_OPEN_CALLS_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "doorwood/types.h"
#include "loop.adapter/http_client.h"
#include "loop.adapter/http_connection_pool.h"

namespace doorwood {

class HttpExchange;

/// Largest body of a response, and by default of all that are being received.
inline constexpr size_t kMaxResponseBytes = 64UL * 1024 * 1024;

class HttpOpenCalls {
 public:
  explicit HttpOpenCalls(boost::asio::io_context& context) : context(context) {}

  void Add(HttpExchange* exchange);
  void Remove(HttpExchange* exchange);
  /// A part of the response to the call has arrived and the rest has not.
  void SetReceiving(HttpExchange* exchange, bool receiving);
  /// Whether a response with a body of `bytes` may go on. While all of them
  /// together exceed `max_response_bytes`, one above an equal share may not.
  bool HasRoom(size_t bytes) const;
  /// Of a call to `address` whose target contains `in_target`; empty: any.
  bool IsReceiving(std::string_view address, std::string_view in_target) const;
  /// A call that was sent at `sent` got no part of a response on a pooled
  /// connection.
  void OnSilence(const std::string& address, Instant sent);
  /// A new connection to the address was answered.
  void OnNewConnectionAnswered(const std::string& address);

  boost::asio::io_context& context;
  HttpConnectionPool pool;
  uint64_t connects = 0;
  /// Of the bodies that are being received.
  size_t response_bytes = 0;
  size_t max_response_bytes = kMaxResponseBytes;
  uint64_t oversized = 0;
  SilentConnectionCounters silent;
  HttpClient::SilenceHandler on_silence;

 private:
  std::set<HttpExchange*> open_;
  /// Those of `open_` of whose response a part has arrived.
  std::set<HttpExchange*> receiving_;
  /// By address: when the newest call was sent that got no part of a response
  /// on a pooled connection, until a new connection is answered.
  std::map<std::string, Instant> suspect_since_;
};

}  // namespace doorwood

#endif  // DOORWOOD_LOOP_ADAPTER_HTTP_OPEN_CALLS_H_
