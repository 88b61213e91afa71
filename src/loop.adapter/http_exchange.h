// SPDX-License-Identifier: Apache-2.0

/// \file
/// One call of an HTTP client, on a pooled or a new connection.

#ifndef DOORWOOD_LOOP_ADAPTER_HTTP_EXCHANGE_H_
#define DOORWOOD_LOOP_ADAPTER_HTTP_EXCHANGE_H_

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

#include "doorwood/types.h"
#include "loop.adapter/http_client.h"
#include "loop.adapter/http_connection_pool.h"

namespace doorwood {

class HttpOpenCalls;

/// Its pending asynchronous operations keep the object alive.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  HttpExchange(std::shared_ptr<HttpOpenCalls> calls,
               HttpCall call,
               HttpClient::Callback done);

  void Begin();
  /// Sends the call again if no part of its response has arrived and the last
  /// response on its connection came before `time`. Returns whether it does.
  bool ResendIfOlderThan(const std::string& address, Instant time);

  const HttpCall& call() const { return call_; }
  Instant last_piece_at() const { return last_progress_; }

 private:
  void Connect();
  Instant::duration MaxDuration() const;
  /// Ends the pending operation; OnConnectionError sends the call again.
  void Abandon();
  /// Sends the preliminary request or the call.
  void Write();
  void AwaitDeadline(Instant::duration delay);
  /// Whether the call is to be sent again, on a new connection, if nothing
  /// arrives on this one within `HttpCall::first_byte_timeout`.
  bool LimitsFirstByte() const;
  Instant Deadline() const;
  void OnDeadline();
  void OnPiece();
  void Read();
  void ReadBody();
  void ParseBuffered(boost::system::error_code* error);
  void OnConnectionError(std::string problem);
  /// How much of the response arrived before the connection failed.
  std::string ReadProgress() const;
  /// Of the preliminary request or the call.
  void OnReply();
  void OnPreliminaryReply(HttpReply reply);
  /// Counts `bytes` of body for this call, in place of what it counted before.
  void CountBody(size_t bytes);
  /// Whether the connection stays open after the response.
  bool keeps_connection() const;
  /// Error of a call that got no answer: whether it may have been sent.
  std::error_code FailureError() const;
  Instant::duration RemainingTime() const;
  /// Adds what went wrong on the earlier connection.
  std::string WithFirstProblem(const std::string& problem) const;
  /// Completes a call that got no answer.
  void Finish(const std::string& problem);
  void Complete(std::error_code error, HttpReply reply);

  std::shared_ptr<HttpOpenCalls> calls_;
  HttpCall call_;
  HttpClient::Callback done_;
  /// End of the call, however much of the response arrives.
  Instant end_;
  boost::asio::steady_timer deadline_timer_;
  /// When the call was sent on this connection or, if later, a piece of the
  /// response arrived.
  Instant last_progress_{};
  /// A piece of the response has arrived on this connection.
  bool got_piece_ = false;
  /// The connection was closed because it is taken for silent; the call is to
  /// be sent again.
  bool abandoned_ = false;
  /// When the deadline was first handled after the last piece.
  std::optional<Instant> late_since_;
  /// The connection was closed at the deadline.
  bool timed_out_ = false;
  bool completed_ = false;
  std::shared_ptr<HttpConnection> connection_;
  bool reused_ = false;
  /// The preliminary request is the one that is open on this connection.
  bool in_preliminary_ = false;
  /// Part of the call may have been sent, on this connection or an earlier one.
  bool sent_ = false;
  /// The whole call may have arrived on an earlier connection.
  bool sent_before_ = false;
  bool refused_ = false;
  /// What went wrong on the earlier connection.
  std::string first_problem_;
  boost::beast::http::request<boost::beast::http::string_body> request_;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser_;
  /// What this call adds to `HttpOpenCalls::response_bytes`.
  size_t body_bytes_ = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_LOOP_ADAPTER_HTTP_EXCHANGE_H_
