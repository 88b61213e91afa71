// SPDX-License-Identifier: Apache-2.0

/// \file
/// Idle persistent connections of an HTTP client, by address and group.

#ifndef DOORWOOD_LOOP_ADAPTER_HTTP_CONNECTION_POOL_H_
#define DOORWOOD_LOOP_ADAPTER_HTTP_CONNECTION_POOL_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "doorwood/types.h"

namespace doorwood {

struct HttpConnection {
  /// Bounds each part of a response that is parsed as a whole: its header, a
  /// chunk-size line with its extensions, its trailers.
  static constexpr size_t kMaxReadBuffer = 64UL * 1024;

  explicit HttpConnection(boost::asio::io_context& context)
      : stream(context), buffer(kMaxReadBuffer) {}

  /// Whether neither data nor the end of the stream has arrived since the last
  /// response. Unread data would be taken for the response to the next call.
  bool IsQuiet();
  /// Closes the connection with a reset. What the system has not yet delivered
  /// is discarded; after an orderly close it would be sent until it arrives.
  void Reset();

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  /// When the last response was complete or, before that, when the connection
  /// was established; zero: it is not yet.
  Instant last_response_at{};
};

class HttpConnectionPool {
 public:
  /// Removes and returns a connection on which nothing has arrived since its
  /// last response; null: there is none.
  std::shared_ptr<HttpConnection> Take(const std::string& address,
                                       const std::string& group);
  /// Keeps the connection for reuse, unless there are enough.
  void Return(const std::string& address,
              const std::string& group,
              std::shared_ptr<HttpConnection> connection);
  /// Closes the connections to the address, of all groups, whose last response
  /// came before `time`. Returns their number.
  size_t CloseOlderThan(std::string_view address, Instant time);

 private:
  void CloseUnused();

  Instant closed_unused_at_{};
  /// By address and group.
  std::map<std::pair<std::string, std::string>,
           std::vector<std::shared_ptr<HttpConnection>>>
      idle_;
};

}  // namespace doorwood

#endif  // DOORWOOD_LOOP_ADAPTER_HTTP_CONNECTION_POOL_H_
