// SPDX-License-Identifier: Apache-2.0

#include "loop.adapter/http_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <list>
#include <optional>
#include <utility>

namespace doorwood {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr int kBacklog = 512;
constexpr int kBadRequest = 400;
constexpr int kServiceUnavailable = 503;
constexpr Millis kRetryAfterRefusal{1000};
constexpr Millis kAcceptRetryDelay{100};
// Room in the read buffer beside a part of `header_bytes`: the end of a chunk
// and the last chunk-size line.
constexpr size_t kChunkHeaderRoom = 1024;
// Read buffer that a connection keeps while its request is handled, at most.
constexpr size_t kMaxIdleBuffer = 4096;

std::string_view ToView(beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

struct HttpServer::ServerState {
  ServerState(asio::io_context& io, Handler request_handler)
      : acceptor(io),
        accept_retry_timer(io),
        handler(std::move(request_handler)) {}

  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer accept_retry_timer;
  Handler handler;
  HttpServerLimits limits;
  bool draining = false;
  size_t open_requests = 0;
  size_t connections = 0;
  size_t held_bytes = 0;
  HttpServerCounters counters;
  // Connections that wait for their client, the longest waiting one first.
  std::list<Session*> waiting;

  // Memory of one connection if all have the same.
  size_t EqualShare() const {
    return limits.total_bytes / std::max<size_t>(limits.max_connections, 1);
  }
  // Returns false if all connections are being handled.
  bool CloseLongestWaiting();
};

std::string_view HttpRequest::header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (beast::iequals(key, beast::string_view(name.data(), name.size()))) {
      return value;
    }
  }
  return {};
}

// One connection. Its pending asynchronous operations and the responses that
// are still outstanding keep the object alive.
class HttpServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<ServerState> shared, asio::ip::tcp::socket socket)
      : shared_(std::move(shared)), stream_(std::move(socket)) {
    ++shared_->connections;
  }
  ~Session() { Release(); }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Read() {
    parser_.emplace();
    parser_->header_limit(static_cast<uint32_t>(shared_->limits.header_bytes));
    parser_->body_limit(shared_->limits.body_bytes);
    // The parser's own limits leave out chunk-size lines and trailers.
    buffer_.max_size(std::max(shared_->limits.header_bytes + kChunkHeaderRoom,
                              buffer_.size()));
    CountMemory();
    AwaitClient();
    stream_.expires_after(first_request_ ? shared_->limits.header_timeout
                                         : shared_->limits.idle_timeout);
    http::async_read_header(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](const error_code& error, size_t) {
          self->OnHeader(error);
        });
  }

  // Ends the pending operation, with which the object goes.
  void Close() {
    Release();
    stream_.close();
  }

 private:
  void OnHeader(const error_code& error) {
    if (closed_) {
      return;
    }
    if (error) {
      OnReadError(error);
      return;
    }
    first_request_ = false;
    stream_.expires_after(shared_->limits.header_timeout);
    parser_->eager(true);
    AwaitClient();
    ReadBody();
  }

  void ReadBody() {
    CountMemory();
    if (!MakeRoom()) {
      Refuse();
      return;
    }
    if (parser_->is_done()) {
      Handle();
      return;
    }
    http::async_read_some(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](const error_code& error, size_t) {
          if (self->closed_) {
            return;
          }
          if (error) {
            self->OnReadError(error);
            return;
          }
          self->ReadBody();
        });
  }

  // --- Limits on all connections together ---

  // The wait for the client begins; it counts as the latest one.
  void AwaitClient() {
    StopWaiting();
    place_ = shared_->waiting.insert(shared_->waiting.end(), this);
  }

  void StopWaiting() {
    if (place_) {
      shared_->waiting.erase(*place_);
      place_.reset();
    }
  }

  void CountMemory() {
    const size_t body = parser_ ? parser_->get().body().capacity() : 0;
    const size_t bytes = buffer_.capacity() + body + message_bytes_;
    shared_->held_bytes -= counted_bytes_;
    shared_->held_bytes += bytes;
    counted_bytes_ = bytes;
  }

  // Closes other connections until the memory of all is within the limit.
  // Returns false if this request must be refused instead.
  bool MakeRoom() {
    const size_t share = shared_->EqualShare();
    auto next = shared_->waiting.begin();
    while (shared_->held_bytes > shared_->limits.total_bytes) {
      next = std::find_if(next, shared_->waiting.end(), [&](Session* other) {
        return other != this && other->counted_bytes_ > share;
      });
      if (next == shared_->waiting.end()) {
        return counted_bytes_ <= share;
      }
      Session* other = *next++;
      ++shared_->counters.closed_for_memory;
      other->Close();
    }
    return true;
  }

  void Refuse() {
    ++shared_->counters.refused_for_memory;
    close_after_ = true;
    HttpResponse response;
    response.status = kServiceUnavailable;
    response.retry_after = kRetryAfterRefusal;
    response.body = R"({"error":"too many large requests"})";
    Write(std::move(response));
  }

  void Release() {
    if (closed_) {
      return;
    }
    closed_ = true;
    StopWaiting();
    shared_->held_bytes -= counted_bytes_;
    --shared_->connections;
  }

  void OnReadError(const error_code& error) {
    const bool disconnected =
        error == http::error::end_of_stream || error == beast::error::timeout ||
        error.category() == asio::error::get_system_category() ||
        error == asio::error::eof;
    if (disconnected) {
      return;  // The client disconnected or was too slow.
    }
    ++shared_->counters.unreadable;
    close_after_ = true;
    HttpResponse response;
    response.status = kBadRequest;
    response.body =
        R"({"error":"the request can't be read: )" + error.message() + R"("})";
    Write(std::move(response));
  }

  void Handle() {
    const auto& message = parser_->get();
    HttpRequest request;
    request.method = std::string(ToView(message.method_string()));
    const std::string_view target = ToView(message.target());
    const size_t query_mark = target.find('?');
    request.path = std::string(target.substr(0, query_mark));
    if (query_mark != std::string_view::npos) {
      request.query = std::string(target.substr(query_mark + 1));
    }
    const std::string_view host = ToView(message[http::field::host]);
    request.host = std::string(host.substr(0, host.find(':')));
    for (const auto& field : message) {
      request.headers.emplace_back(ToView(field.name_string()),
                                   ToView(field.value()));
    }
    request.is_client_gone = [self = shared_from_this()] {
      return self->IsClientGone();
    };
    close_after_ = !message.keep_alive();
    request.body = std::move(parser_->get().body());
    parser_.reset();
    message_bytes_ = request.body.capacity();
    if (buffer_.capacity() > kMaxIdleBuffer) {
      buffer_.shrink_to_fit();
    }
    CountMemory();
    StopWaiting();
    stream_.expires_never();
    ++shared_->open_requests;
    auto answered = std::make_shared<bool>(false);
    shared_->handler(std::move(request), [self = shared_from_this(),
                                          answered](HttpResponse response) {
      if (*answered) {
        return;
      }
      *answered = true;
      --self->shared_->open_requests;
      self->Write(std::move(response));
    });
  }

  // Nothing is read while a request is handled, so the end of the connection
  // is found by looking at the next byte.
  bool IsClientGone() {
    char next = 0;
    const ssize_t count = ::recv(stream_.socket().native_handle(), &next,
                                 sizeof(next), MSG_PEEK | MSG_DONTWAIT);
    const bool no_data_yet = count < 0 && (errno == EAGAIN || errno == EINTR);
    return count <= 0 && !no_data_yet;
  }

  void Write(HttpResponse response) {
    parser_.reset();
    response_ = {};
    response_.version(11);
    response_.result(static_cast<unsigned>(response.status));
    response_.set(http::field::content_type, response.content_type);
    if (response.retry_after > Millis(0)) {
      constexpr int64_t kMillisPerSecond = 1000;
      const int64_t seconds =
          (response.retry_after.count() + kMillisPerSecond - 1) /
          kMillisPerSecond;
      response_.set(http::field::retry_after, std::to_string(seconds));
    }
    response_.body() = std::move(response.body);
    response_.keep_alive(!close_after_ && !shared_->draining);
    response_.prepare_payload();
    message_bytes_ = response_.body().capacity();
    CountMemory();
    AwaitClient();
    stream_.expires_after(shared_->limits.idle_timeout);
    http::async_write(
        stream_, response_,
        [self = shared_from_this()](const error_code& error, size_t) {
          if (error || self->closed_) {
            return;
          }
          if (!self->response_.keep_alive()) {
            error_code ignored;
            self->stream_.socket().shutdown(
                asio::ip::tcp::socket::shutdown_send, ignored);
            return;
          }
          self->response_ = {};
          self->message_bytes_ = 0;
          self->Read();
        });
  }

  std::shared_ptr<ServerState> shared_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  bool first_request_ = true;
  bool close_after_ = false;
  // Of the request that is handled or the response that is written.
  size_t message_bytes_ = 0;
  // What this connection adds to ServerState::held_bytes.
  size_t counted_bytes_ = 0;
  // Set while this connection is in ServerState::waiting.
  std::optional<std::list<Session*>::iterator> place_;
  // No longer counted; the pending operation is being aborted.
  bool closed_ = false;
};

bool HttpServer::ServerState::CloseLongestWaiting() {
  if (waiting.empty()) {
    return false;
  }
  ++counters.closed_for_connections;
  waiting.front()->Close();
  return true;
}

HttpServer::HttpServer(asio::io_context& context, Handler handler)
    : shared_(std::make_shared<ServerState>(context, std::move(handler))) {}

HttpServer::~HttpServer() {
  StopListening();
}

void HttpServer::Listen(const std::string& address) {
  const size_t colon = address.rfind(':');
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(address.substr(0, colon)),
      static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
  shared_->acceptor.open(endpoint.protocol());
  shared_->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
  shared_->acceptor.bind(endpoint);
  shared_->acceptor.listen(kBacklog);
  Accept();
}

void HttpServer::Accept() {
  shared_->acceptor.async_accept([this, shared = shared_](
                                     const error_code& error,
                                     asio::ip::tcp::socket socket) {
    if (!shared->acceptor.is_open()) {
      return;
    }
    const bool has_place = shared->connections < shared->limits.max_connections;
    if (!error && (has_place || shared->CloseLongestWaiting())) {
      error_code ignored;
      socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      std::make_shared<Session>(shared, std::move(socket))->Read();
    }
    if (!error) {
      Accept();
      return;
    }
    if (error == asio::error::no_descriptors && shared->CloseLongestWaiting()) {
      Accept();
      return;
    }
    // Most likely the process is out of file descriptors that others use,
    // so the next attempt waits.
    shared->accept_retry_timer.expires_after(kAcceptRetryDelay);
    shared->accept_retry_timer.async_wait(
        [this, shared](const error_code& cancelled) {
          if (!cancelled && shared->acceptor.is_open()) {
            Accept();
          }
        });
  });
}

void HttpServer::SetLimits(const HttpServerLimits& limits) {
  shared_->limits = limits;
}

void HttpServer::Drain() {
  shared_->draining = true;
}

void HttpServer::StopListening() {
  error_code ignored;
  shared_->acceptor.close(ignored);
}

size_t HttpServer::open_requests() const {
  return shared_->open_requests;
}

size_t HttpServer::connections() const {
  return shared_->connections;
}

size_t HttpServer::held_bytes() const {
  return shared_->held_bytes;
}

const HttpServerCounters& HttpServer::counters() const {
  return shared_->counters;
}

}  // namespace doorwood
