// SPDX-License-Identifier: Apache-2.0

#include "loop.adapter/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace doorwood {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

// A server on a loopback address, and clients with blocking calls while the
// server's loop runs on another thread.
class ServerFixture {
 public:
  ServerFixture()
      : server_(
            context_,
            [this](HttpRequest request, const HttpServer::Respond& respond) {
              if (request.path == "/hold") {
                held_.push_back(respond);
                is_held_.set_value();
              } else {
                respond(
                    {200, std::move(request.body), "text/plain", Millis(0)});
              }
            }) {}
  ~ServerFixture() { Stop(); }
  ServerFixture(const ServerFixture&) = delete;
  ServerFixture& operator=(const ServerFixture&) = delete;

  void Start(const HttpServerLimits& limits) {
    tcp::acceptor finder(context_, {asio::ip::make_address("127.0.0.1"), 0});
    port_ = finder.local_endpoint().port();
    finder.close();
    server_.SetLimits(limits);
    server_.Listen("127.0.0.1:" + std::to_string(port_));
    thread_ = std::thread([this] { context_.run(); });
  }

  // Counters may be read once the loop has stopped.
  void Stop() {
    context_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  tcp::socket Connect(std::string_view text = "") {
    tcp::socket socket(client_context_);
    socket.connect({asio::ip::make_address("127.0.0.1"), port_});
    asio::write(socket, asio::buffer(text));
    return socket;
  }

  // Sends a request that stays unanswered, and waits until it is handled.
  tcp::socket ConnectAndHold(
      std::string_view request = "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n") {
    tcp::socket socket = Connect(request);
    is_held_.get_future().wait();
    return socket;
  }

  // Waits until the server holds so many bytes.
  void AwaitHeldBytes(size_t bytes) {
    size_t held = 0;
    while (held < bytes) {
      std::promise<size_t> promise;
      asio::post(context_, [&] { promise.set_value(server_.held_bytes()); });
      held = promise.get_future().get();
    }
  }

  // Returns what the server sends first; empty if it closes the connection.
  static std::string ReadSome(tcp::socket* socket) {
    std::string text(1024, '\0');
    boost::system::error_code error;
    text.resize(socket->read_some(asio::buffer(text), error));
    return text;
  }

  const HttpServer& server() const { return server_; }

 private:
  asio::io_context context_{1};
  asio::io_context client_context_;
  std::vector<HttpServer::Respond> held_;
  std::promise<void> is_held_;
  HttpServer server_;
  std::thread thread_;
  uint16_t port_ = 0;
};

// Guards against a crowd of open connections that leaves no place for others.
BOOST_FIXTURE_TEST_CASE(HttpServer_MoreConnections_LongestWaitingIsClosed,
                        ServerFixture) {
  HttpServerLimits limits;
  limits.max_connections = 3;
  Start(limits);
  const tcp::socket handled = ConnectAndHold();
  tcp::socket oldest = Connect("GET / HT");
  tcp::socket answered = Connect(kRequest);
  BOOST_TEST(ReadSome(&answered).starts_with("HTTP/1.1 200"));
  tcp::socket newest = Connect(kRequest);
  BOOST_TEST(ReadSome(&newest).starts_with("HTTP/1.1 200"));
  BOOST_TEST(ReadSome(&oldest).empty());
  asio::write(answered, asio::buffer(kRequest));
  BOOST_TEST(ReadSome(&answered).starts_with("HTTP/1.1 200"));
  Stop();
  BOOST_TEST(server().connections() == 3U);
  BOOST_TEST(server().open_requests() == 1U);
  BOOST_TEST(server().counters().closed_for_connections == 1U);
}

// Guards against closing a connection whose request is being handled.
BOOST_FIXTURE_TEST_CASE(HttpServer_AllConnectionsHandled_NewOneIsClosed,
                        ServerFixture) {
  HttpServerLimits limits;
  limits.max_connections = 1;
  Start(limits);
  const tcp::socket handled = ConnectAndHold();
  tcp::socket next = Connect();
  BOOST_TEST(ReadSome(&next).empty());
  Stop();
  BOOST_TEST(server().open_requests() == 1U);
  BOOST_TEST(server().counters().closed_for_connections == 0U);
}

// Guards against bodies that together take more than the process's memory.
BOOST_FIXTURE_TEST_CASE(HttpServer_BodiesAboveTotal_LongestWaitingIsClosed,
                        ServerFixture) {
  constexpr size_t kBody = 100'000;
  HttpServerLimits limits;
  limits.max_connections = 100;
  limits.total_bytes = 250'000;
  Start(limits);
  const std::string start =
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(kBody) +
      "\r\n\r\n";
  tcp::socket idle = Connect(kRequest);
  BOOST_TEST(ReadSome(&idle).starts_with("HTTP/1.1 200"));
  tcp::socket oldest = Connect(start + std::string(kBody - 1, 'a'));
  // The order of the waits is that in which their headers are read.
  AwaitHeldBytes(kBody);
  tcp::socket second = Connect(start + std::string(kBody - 1, 'a'));
  AwaitHeldBytes(2 * kBody);
  tcp::socket whole = Connect(start + std::string(kBody, 'a'));
  BOOST_TEST(ReadSome(&whole).starts_with("HTTP/1.1 200"));
  BOOST_TEST(ReadSome(&oldest).empty());
  asio::write(second, asio::buffer("a", 1));
  BOOST_TEST(ReadSome(&second).starts_with("HTTP/1.1 200"));
  asio::write(idle, asio::buffer(kRequest));
  BOOST_TEST(ReadSome(&idle).starts_with("HTTP/1.1 200"));
  Stop();
  BOOST_TEST(server().counters().closed_for_memory == 1U);
  BOOST_TEST(server().counters().refused_for_memory == 0U);
}

// Guards against requests that are being handled and together take more than
// the process's memory.
BOOST_FIXTURE_TEST_CASE(HttpServer_AllBodiesHandled_LargeRequestIsRefused,
                        ServerFixture) {
  constexpr size_t kBody = 100'000;
  HttpServerLimits limits;
  limits.max_connections = 100;
  limits.total_bytes = 150'000;
  Start(limits);
  const std::string length =
      "Host: a\r\nContent-Length: " + std::to_string(kBody) + "\r\n\r\n";
  const tcp::socket handled = ConnectAndHold("POST /hold HTTP/1.1\r\n" +
                                             length + std::string(kBody, 'a'));
  tcp::socket large = Connect("POST / HTTP/1.1\r\n" + length);
  asio::write(large, asio::buffer("a", 1));
  BOOST_TEST(ReadSome(&large).starts_with("HTTP/1.1 503"));
  tcp::socket ordinary = Connect(kRequest);
  BOOST_TEST(ReadSome(&ordinary).starts_with("HTTP/1.1 200"));
  Stop();
  BOOST_TEST(server().counters().refused_for_memory == 1U);
}

// Guards against trailers without an end in the read buffer.
BOOST_FIXTURE_TEST_CASE(HttpServer_TrailersAboveHeaderLimit_RequestIsRefused,
                        ServerFixture) {
  HttpServerLimits limits;
  limits.header_bytes = 1024;
  Start(limits);
  tcp::socket client = Connect(
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\n{}\r\n0\r\nX: " +
      std::string(2048, 'a'));
  BOOST_TEST(ReadSome(&client).starts_with("HTTP/1.1 400"));
  Stop();
  BOOST_TEST(server().counters().unreadable == 1U);
}

}  // namespace
}  // namespace doorwood
