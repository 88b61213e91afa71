// SPDX-License-Identifier: Apache-2.0

/// \file
/// HTTP/1.1 client on the event loop of the process, with a pool of persistent
/// connections.
///
/// An open connection may go silent for good, without a reset, while new ones
/// work. A call that gets no answer on a pooled connection therefore makes the
/// older connections to its address suspect. Idle ones are closed; once a new
/// connection is answered, the calls that wait on such connections are sent
/// again.
///
/// A connection that is closed while a request on it is unanswered is reset, so
/// that the system doesn't deliver the request later, when a network partition
/// ends.

#ifndef DOORWOOD_LOOP_ADAPTER_HTTP_CLIENT_H_
#define DOORWOOD_LOOP_ADAPTER_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "doorwood/error.h"
#include "doorwood/types.h"

namespace doorwood {

struct HttpReply {
  int status = 0;
  std::string body;
  /// The call was sent once before, on a pooled connection that failed. The
  /// server may have processed that first request or may still do so, so a
  /// refusal of the second one does not show the outcome of the first.
  bool sent_before = false;
  /// On failure: the preliminary request was declined, and `status` and `body`
  /// are those of its answer. The call was not sent on that connection.
  bool declined = false;
  /// On failure: the machine refused the connection that was tried last, so no
  /// process listens at the address.
  bool refused = false;
  /// On failure: what went wrong on the connection, and before that on the
  /// pooled connection if the call was sent there first. Only for logs.
  std::string problem;
};

/// Request that shows whether a new connection may be used for a call. It has
/// the method and the headers of the call.
struct HttpPreliminary {
  std::string target;
  std::string body;
  /// Whether the call may be sent on the connection that gave this reply.
  std::function<bool(const HttpReply&)> accepts;
};

struct HttpCall {
  /// IP address and port.
  std::string address;
  std::string method = "GET";
  std::string target = "/";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Sent instead of `body` on a new connection, also if the call is sent a
  /// second time.
  std::optional<std::string> first_body;
  /// Sent first on a new connection, also if the call is sent a second time,
  /// and within the call's time limit. Only if it is accepted is the call
  /// itself sent there; otherwise the connection is closed and the call fails.
  std::optional<HttpPreliminary> preliminary;
  /// Calls share pooled connections only with calls of the same group. If one
  /// has a preliminary request, all of its group should have the same.
  std::string group;
  /// If set, the connection is pooled only if this returns true for the reply.
  std::function<bool(const HttpReply&)> accepts_reply;
  /// Longest time for the call or, if `max_duration` is larger, until the
  /// response begins and between two pieces of it.
  Millis timeout{1000};
  /// Longest time for a call whose response keeps arriving.
  Millis max_duration{0};
  /// If not zero: a repeatable call that got no part of the response on a
  /// pooled connection within this time is sent again on a new one. The time is
  /// extended while a long response is arriving, since that fills the network
  /// link.
  Millis first_byte_timeout{0};
  /// The call may be sent a second time if a pooled connection fails.
  bool repeatable = true;
};

struct SilentConnectionCounters {
  /// Calls that got no part of a response on a pooled connection in time.
  uint64_t unanswered = 0;
  /// How often a new connection to the address of such a call was answered.
  uint64_t confirmed = 0;
  /// Idle connections that were closed, and calls that were sent again, because
  /// another connection to their address was silent.
  uint64_t closed = 0;
  uint64_t resent = 0;
};

/// Connections to `address` were silent while a new one was answered.
struct SilentConnections {
  std::string address;
  /// From the sending of the first unanswered call to the answer.
  Millis duration{0};
  /// Calls that were sent again.
  size_t resent = 0;
};

class HttpOpenCalls;

class HttpClient {
 public:
  /// Called exactly once. The error is PeerErrc::kNotSent if nothing of the
  /// call was sent, because no connection could be opened or its preliminary
  /// request was not accepted, and PeerErrc::kNoAnswer if the request may have
  /// arrived but no complete response was received. The reply of a failed call
  /// has only the fields that say "on failure".
  using Callback = std::function<void(std::error_code, HttpReply)>;
  using SilenceHandler = std::function<void(const SilentConnections&)>;

  explicit HttpClient(boost::asio::io_context& context);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Send(HttpCall call, Callback done);
  /// Called whenever silent connections are confirmed.
  void set_on_silence(SilenceHandler handler);
  /// Bounds the bodies of all responses that are being received, 64 MB by
  /// default. Above it, a response that is larger than an equal share of it is
  /// given up; its call fails as one that got no complete response.
  void set_max_response_bytes(size_t bytes);
  /// Responses that were given up because of it.
  uint64_t oversized_responses() const;
  /// Number of attempts to open a connection so far.
  uint64_t connect_attempts() const;
  const SilentConnectionCounters& silent_connections() const;
  /// Whether a part of a long response has just arrived and the rest has not,
  /// of a call to `address` whose target contains `in_target`.
  bool IsReceiving(std::string_view address, std::string_view in_target) const;

 private:
  std::shared_ptr<HttpOpenCalls> calls_;
};

}  // namespace doorwood

#endif  // DOORWOOD_LOOP_ADAPTER_HTTP_CLIENT_H_
