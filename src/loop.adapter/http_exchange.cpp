// SPDX-License-Identifier: Apache-2.0

#include "loop.adapter/http_exchange.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>

#include "loop.adapter/http_open_calls.h"

namespace doorwood {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Bounds the wait for a connection: a machine that a network partition makes
// unreachable does not refuse the connection, it does not reply at all.
constexpr Millis kConnectTimeout{500};
// The body is read in pieces of this size; the loop handles everything else
// that is due between two of them.
constexpr size_t kMaxReadBuffer = HttpConnection::kMaxReadBuffer;
// Room that an idle connection keeps, at most.
constexpr size_t kMaxIdleBuffer = 4096;
// A response that arrived before the loop handled the deadline is still read:
// pause between the checks for unread data, and for how long it may take.
constexpr Millis kLateReadPause{20};
constexpr Millis kMaxLateReading{400};
// Pause between the checks whether a long response still arrives.
constexpr Millis kReceivingCheckPause{50};

std::optional<asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  const int port = std::atoi(address.c_str() + colon + 1);
  constexpr int kHighestPort = 65535;
  if (error || port <= 0 || port > kHighestPort) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(ip, static_cast<uint16_t>(port));
}

}  // namespace

HttpExchange::HttpExchange(std::shared_ptr<HttpOpenCalls> calls,
                           HttpCall call,
                           HttpClient::Callback done)
    : calls_(std::move(calls)),
      call_(std::move(call)),
      done_(std::move(done)),
      deadline_timer_(calls_->context) {
  end_ = BootClock::now() + MaxDuration();
}

void HttpExchange::Begin() {
  calls_->Add(this);
  connection_ = calls_->pool.Take(call_.address, call_.group);
  if (connection_) {
    reused_ = true;
    Write();
    return;
  }
  Connect();
}

bool HttpExchange::ResendIfOlderThan(const std::string& address, Instant time) {
  const bool may_resend =
      call_.repeatable && call_.first_byte_timeout > Millis(0);
  const bool waits = !completed_ &&
                     connection_->last_response_at != Instant{} &&
                     !got_piece_ && !abandoned_;
  if (!may_resend || !waits || call_.address != address ||
      connection_->last_response_at >= time) {
    return false;
  }
  end_ = BootClock::now() + MaxDuration();
  Abandon();
  return true;
}

void HttpExchange::Connect() {
  const auto endpoint = ParseEndpoint(call_.address);
  if (!endpoint) {
    asio::post(calls_->context, [self = shared_from_this()] {
      self->Finish("invalid address");
    });
    return;
  }
  reused_ = false;
  ++calls_->connects;
  connection_ = std::make_shared<HttpConnection>(calls_->context);
  connection_->stream.expires_after(
      std::min<Instant::duration>(RemainingTime(), kConnectTimeout));
  connection_->stream.async_connect(
      *endpoint, [self = shared_from_this()](const error_code& error) {
        if (error) {
          self->refused_ = error == asio::error::connection_refused;
          self->Finish("connecting: " + error.message());
          return;
        }
        error_code ignored;
        self->connection_->stream.socket().set_option(
            asio::ip::tcp::no_delay(true), ignored);
        // The check of an idle connection peeks at the socket and must not
        // block.
        self->connection_->stream.socket().non_blocking(true, ignored);
        self->connection_->last_response_at = BootClock::now();
        self->in_preliminary_ = self->call_.preliminary.has_value();
        self->Write();
      });
}

Instant::duration HttpExchange::MaxDuration() const {
  return std::max(call_.timeout, call_.max_duration);
}

void HttpExchange::Abandon() {
  abandoned_ = true;
  connection_->Reset();
}

void HttpExchange::Write() {
  const auto verb = http::string_to_verb(call_.method);
  request_ = {};
  request_.method(verb);
  request_.target(in_preliminary_ ? call_.preliminary->target : call_.target);
  request_.version(11);
  request_.set(http::field::host, call_.address);
  for (const auto& [name, value] : call_.headers) {
    request_.set(name, value);
  }
  const bool is_first = !reused_ && call_.first_body;
  const std::string& body = is_first ? *call_.first_body : call_.body;
  request_.body() = in_preliminary_ ? call_.preliminary->body : body;
  if (!request_.body().empty()) {
    request_.set(http::field::content_type, "application/json");
  }
  request_.prepare_payload();
  connection_->stream.expires_never();
  got_piece_ = false;
  last_progress_ = BootClock::now();
  AwaitDeadline(Deadline() - last_progress_);
  sent_ = sent_ || !in_preliminary_;
  http::async_write(
      connection_->stream, request_,
      [self = shared_from_this()](const error_code& error, size_t) {
        if (error) {
          self->OnConnectionError("sending: " + error.message());
          return;
        }
        self->Read();
      });
}

// Not the stream's own timeout, which closes the connection even if the
// response has arrived: after a delay, the loop may handle expired timers
// before it has fetched all ready sockets.
void HttpExchange::AwaitDeadline(Instant::duration delay) {
  deadline_timer_.expires_after(
      std::chrono::duration_cast<std::chrono::nanoseconds>(delay));
  deadline_timer_.async_wait(
      [self = shared_from_this()](const error_code& error) {
        if (!error && !self->completed_) {
          self->OnDeadline();
        }
      });
}

bool HttpExchange::LimitsFirstByte() const {
  return reused_ && call_.repeatable && call_.first_byte_timeout > Millis(0) &&
         !got_piece_;
}

Instant HttpExchange::Deadline() const {
  const Millis limit = LimitsFirstByte()
                           ? std::min(call_.first_byte_timeout, call_.timeout)
                           : call_.timeout;
  return std::min(end_, last_progress_ + limit);
}

void HttpExchange::OnDeadline() {
  error_code error;
  const bool has_unread_data =
      connection_->stream.socket().available(error) > 0 && !error;
  const Instant now = BootClock::now();
  if (now < Deadline()) {
    AwaitDeadline(Deadline() - now);  // A piece has arrived since.
    return;
  }
  late_since_ = late_since_.value_or(now);
  if (has_unread_data && now - *late_since_ < kMaxLateReading) {
    AwaitDeadline(kLateReadPause);
    return;
  }
  const bool may_resend =
      LimitsFirstByte() && now < end_ && now - last_progress_ < call_.timeout;
  if (may_resend && calls_->IsReceiving({}, {})) {
    AwaitDeadline(kReceivingCheckPause);
    return;
  }
  if (reused_ && !got_piece_) {
    calls_->OnSilence(call_.address, last_progress_);
  }
  if (may_resend) {
    Abandon();
    return;
  }
  timed_out_ = true;
  connection_->Reset();  // Ends the pending operation.
}

void HttpExchange::OnPiece() {
  got_piece_ = true;
  last_progress_ = BootClock::now();
  late_since_.reset();
}

void HttpExchange::Read() {
  parser_.emplace();
  parser_->body_limit(kMaxResponseBytes);
  http::async_read_header(
      connection_->stream, connection_->buffer, *parser_,
      [self = shared_from_this()](const error_code& error, size_t) {
        if (error) {
          self->OnConnectionError(self->ReadProgress() + error.message());
          return;
        }
        self->OnPiece();
        self->ReadBody();
      });
}

void HttpExchange::ReadBody() {
  error_code error;
  ParseBuffered(&error);
  if (error) {
    OnConnectionError(ReadProgress() + error.message());
    return;
  }
  if (parser_->is_done()) {
    OnReply();
    return;
  }
  calls_->SetReceiving(this, true);
  CountBody(parser_->get().body().capacity());
  if (!calls_->HasRoom(body_bytes_)) {
    ++calls_->oversized;
    connection_->stream.close();
    Finish("the responses are too large");
    return;
  }
  const uint64_t length =
      parser_->content_length_remaining().value_or(kMaxReadBuffer);
  // Without room, the body is read in pieces of 512 bytes.
  connection_->buffer.reserve(
      std::min<uint64_t>(length + connection_->buffer.size(), kMaxReadBuffer));
  http::async_read_some(
      connection_->stream, connection_->buffer, *parser_,
      [self = shared_from_this()](const error_code& error, size_t) {
        if (error) {
          self->OnConnectionError(self->ReadProgress() + error.message());
          return;
        }
        self->OnPiece();
        self->ReadBody();
      });
}

void HttpExchange::CountBody(size_t bytes) {
  calls_->response_bytes -= body_bytes_;
  calls_->response_bytes += bytes;
  body_bytes_ = bytes;
}

// A short body has usually come with the header; it is not worth another turn
// of the loop.
void HttpExchange::ParseBuffered(error_code* error) {
  parser_->eager(true);
  if (parser_->is_done() || connection_->buffer.size() == 0) {
    return;
  }
  connection_->buffer.consume(parser_->put(connection_->buffer.data(), *error));
  if (*error == http::error::need_more) {
    *error = {};
  }
}

// The server may have closed a pooled connection before this call was sent
// on it, so a repeatable call is sent once more on a new connection.
void HttpExchange::OnConnectionError(std::string problem) {
  const bool in_time =
      !timed_out_ && RemainingTime() > Instant::duration::zero();
  calls_->SetReceiving(this, false);
  CountBody(0);
  parser_.reset();
  if ((reused_ || abandoned_) && call_.repeatable && in_time) {
    sent_before_ = sent_;
    first_problem_ = abandoned_ ? "silent connection" : std::move(problem);
    abandoned_ = false;
    Connect();
    return;
  }
  Finish(problem);
}

std::string HttpExchange::ReadProgress() const {
  if (parser_->is_header_done()) {
    return "reading the body: ";
  }
  return parser_->got_some() || connection_->buffer.size() > 0
             ? "reading the header: "
             : "awaiting the response: ";
}

void HttpExchange::OnReply() {
  connection_->last_response_at = BootClock::now();
  if (!reused_) {
    calls_->OnNewConnectionAnswered(call_.address);
  }
  HttpReply reply;
  reply.status = static_cast<int>(parser_->get().result_int());
  reply.body = std::move(parser_->get().body());
  reply.sent_before = sent_before_;
  if (in_preliminary_) {
    OnPreliminaryReply(std::move(reply));
    return;
  }
  const bool accepted = !call_.accepts_reply || call_.accepts_reply(reply);
  if (accepted && keeps_connection()) {
    if (connection_->buffer.capacity() > kMaxIdleBuffer) {
      connection_->buffer.shrink_to_fit();
    }
    calls_->pool.Return(call_.address, call_.group, std::move(connection_));
  }
  Complete({}, std::move(reply));
}

void HttpExchange::OnPreliminaryReply(HttpReply reply) {
  calls_->SetReceiving(this, false);
  CountBody(0);
  if (!call_.preliminary->accepts(reply)) {
    reply.declined = true;
    reply.problem =
        WithFirstProblem("declined, status " + std::to_string(reply.status));
    Complete(FailureError(), std::move(reply));
    return;
  }
  if (!keeps_connection() || !connection_->IsQuiet()) {
    Finish("closed after the preliminary request");
    return;
  }
  if (RemainingTime() <= Instant::duration::zero()) {
    timed_out_ = true;
    Finish("after the preliminary request");
    return;
  }
  in_preliminary_ = false;
  Write();
}

bool HttpExchange::keeps_connection() const {
  return parser_->get().keep_alive() && !timed_out_;
}

// An earlier attempt on a pooled connection may have reached the server, too.
std::error_code HttpExchange::FailureError() const {
  return sent_ ? PeerErrc::kNoAnswer : PeerErrc::kNotSent;
}

// Uses the time since boot: the stream's timer does not advance while the
// machine is suspended.
Instant::duration HttpExchange::RemainingTime() const {
  return end_ - BootClock::now();
}

std::string HttpExchange::WithFirstProblem(const std::string& problem) const {
  return first_problem_.empty() ? problem
                                : first_problem_ + ", then " + problem;
}

void HttpExchange::Finish(const std::string& problem) {
  HttpReply reply;
  reply.problem = WithFirstProblem(problem);
  if (timed_out_) {
    reply.problem +=
        reused_ ? " (timed out on a pooled connection)" : " (timed out)";
  }
  reply.refused = refused_;
  Complete(FailureError(), std::move(reply));
}

void HttpExchange::Complete(std::error_code error, HttpReply reply) {
  completed_ = true;
  calls_->Remove(this);
  CountBody(0);
  deadline_timer_.cancel();
  done_(error, std::move(reply));
}

}  // namespace doorwood
