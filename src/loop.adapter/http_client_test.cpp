// SPDX-License-Identifier: Apache-2.0

#include "loop.adapter/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "loop.adapter/http_server.h"
#include "loop.adapter/scripted_server.h"

namespace doorwood {
namespace {

using boost::asio::ip::tcp;

// Answers one request, then reads the next, and dies without an answer.
class DyingServer {
 public:
  explicit DyingServer(boost::asio::io_context& context)
      : acceptor_(context,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        socket_(context) {
    acceptor_.async_accept(socket_, [this](const auto& error) {
      if (!error) {
        ReadRequest();
      }
    });
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int requests() const { return requests_; }

 private:
  void ReadRequest() {
    boost::asio::async_read_until(
        socket_, buffer_, "\r\n\r\n", [this](const auto& error, size_t size) {
          if (error) {
            return;
          }
          buffer_.consume(size);
          ++requests_;
          if (requests_ > 1) {
            acceptor_.close();
            socket_.close();
            return;
          }
          static const std::string answer =
              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
          boost::asio::async_write(
              socket_, boost::asio::buffer(answer),
              [this](const auto&, size_t) { ReadRequest(); });
        });
  }

  tcp::acceptor acceptor_;
  tcp::socket socket_;
  boost::asio::streambuf buffer_;
  int requests_ = 0;
};

std::error_code SendAndRun(boost::asio::io_context& context,
                           HttpClient& client,
                           const HttpCall& call) {
  std::optional<std::error_code> result;
  client.Send(call,
              [&](std::error_code error, const HttpReply&) { result = error; });
  while (!result) {
    context.run_one();
  }
  return *result;
}

// kgs scale-2, seed 335002690954: a job that its leader had accepted was
// refused, since the second try could not connect.
BOOST_AUTO_TEST_CASE(Send_KeptConnectionDiesAfterTheRequest_IsNotToldUnsent) {
  boost::asio::io_context context;
  DyingServer server(context);
  HttpClient client(context);
  HttpCall call;
  call.address = server.address();
  BOOST_TEST(SendAndRun(context, client, call) == std::error_code());
  BOOST_TEST(SendAndRun(context, client, call) ==
             make_error_code(PeerErrc::kNoAnswer));
  BOOST_TEST(server.requests() == 2);
  // Nothing listens any more: now it is sure.
  BOOST_TEST(SendAndRun(context, client, call) ==
             make_error_code(PeerErrc::kNotSent));
}

BOOST_AUTO_TEST_CASE(Send_ToOurServer_AnswersAndKeepsTheConnection) {
  boost::asio::io_context context;
  HttpServer server(context, [](const HttpRequest& request,
                                const HttpServer::Respond& respond) {
    HttpResponse response;
    response.body = request.method + request.path + request.body;
    respond(response);
  });
  tcp::acceptor probe(
      context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const std::string address =
      "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
  probe.close();
  server.Listen(address);
  HttpClient client(context);
  HttpCall call;
  call.address = address;
  call.method = "POST";
  call.target = "/x";
  call.body = "{}";
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(SendAndRun(context, client, call) == std::error_code());
  }
  BOOST_TEST(client.connects() == 1U);
}

struct Outcome {
  std::error_code error;
  HttpReply reply;
};

struct ScriptFixture {
  explicit ScriptFixture(ScriptedServer::Script script)
      : server(context, std::move(script)) {}

  Outcome Send() {
    HttpCall call;
    call.address = server.address();
    call.method = "POST";
    call.body = "{}";
    std::optional<Outcome> outcome;
    client.Send(call, [&](std::error_code error, HttpReply reply) {
      outcome = Outcome{error, std::move(reply)};
    });
    while (!outcome) {
      context.run_one();
    }
    return *outcome;
  }

  boost::asio::io_context context;
  ScriptedServer server;
  HttpClient client{context};
};

// The second request arrives, and its connection breaks; whoever gets the
// answer to its second sending must know that.
BOOST_AUTO_TEST_CASE(Send_KeptConnectionDiesAfterTheRequest_TellsOfTheFirst) {
  ScriptFixture fixture([](int number) -> std::optional<std::string> {
    if (number == 2) {
      return std::nullopt;
    }
    return ScriptedServer::Answer(number == 1 ? "200 OK" : "503 Busy", "{}");
  });
  BOOST_TEST(!fixture.Send().reply.sent_before);
  const Outcome second = fixture.Send();
  BOOST_TEST(second.error == std::error_code());
  BOOST_TEST(second.reply.status == 503);
  BOOST_TEST(second.reply.sent_before);
  BOOST_TEST(fixture.server.requests().size() == 3U);
  BOOST_TEST(!fixture.Send().reply.sent_before);
}

// A connection that the other side has closed by then carries no request, so
// nothing is in doubt.
BOOST_AUTO_TEST_CASE(Send_KeptConnectionWasClosed_IsSentOnce) {
  ScriptFixture fixture(
      [](int) { return ScriptedServer::Answer("200 OK", "{}"); });
  fixture.Send();
  fixture.server.CloseConnections();
  const Outcome second = fixture.Send();
  BOOST_TEST(second.reply.status == 200);
  BOOST_TEST(!second.reply.sent_before);
  BOOST_TEST(fixture.server.requests().size() == 2U);
  BOOST_TEST(fixture.client.connects() == 2U);
}

// What comes on an idle connection answers nothing that is sent later.
BOOST_AUTO_TEST_CASE(Send_KeptConnectionHasSpoken_ItsWordsAnswerNothing) {
  const std::string stray =
      ScriptedServer::Answer("408 Request Timeout", "stray");
  ScriptFixture apart(
      [](int) { return ScriptedServer::Answer("200 OK", "{}"); });
  apart.Send();
  apart.server.SendUnasked(stray);
  BOOST_TEST(apart.Send().reply.status == 200);
  ScriptFixture together(
      [&stray](int) { return ScriptedServer::Answer("200 OK", "{}") + stray; });
  together.Send();
  BOOST_TEST(together.Send().reply.status == 200);
}

}  // namespace
}  // namespace doorwood
