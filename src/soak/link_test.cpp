// SPDX-License-Identifier: Apache-2.0

#include "soak/link.h"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "loop.adapter/http_client.h"
#include "loop.adapter/http_server.h"

namespace doorwood::soak {
namespace {

constexpr char kServer[] = "127.0.9.1:18341";
constexpr char kThroughLink[] = "127.0.9.2:18341";

// A server that counts requests, a link to it, and a client with a persistent
// connection.
struct Fixture {
  Fixture()
      : server(context,
               [this](const HttpRequest&, const HttpServer::Respond& respond) {
                 ++arrived;
                 respond(HttpResponse{});
               }) {
    server.Listen(kServer);
    link.emplace(context, kThroughLink, kServer);
  }

  // Returns the status of the answer, or 0 if there is none in time.
  int Call(Millis timeout) {
    HttpCall call;
    call.address = kThroughLink;
    call.timeout = timeout;
    call.repeatable = false;
    std::optional<int> status;
    client.Send(std::move(call),
                [&](std::error_code error, const HttpReply& reply) {
                  status = error ? 0 : reply.status;
                });
    while (!status) {
      context.run_one();
    }
    return *status;
  }

  void Run(Millis time) { context.run_for(time); }

  boost::asio::io_context context{1};
  int arrived = 0;
  HttpServer server;
  std::optional<Link> link;
  HttpClient client{context};
};

constexpr Millis kShort{150};
constexpr Millis kLong{3000};
constexpr int kOk = 200;

BOOST_FIXTURE_TEST_SUITE(LinkSuite, Fixture)

BOOST_AUTO_TEST_CASE(Link_Open_CarriesCalls) {
  BOOST_TEST(Call(kLong) == kOk);
}

BOOST_AUTO_TEST_CASE(Link_Cut_HoldsRequestsUntilHealed) {
  BOOST_TEST(Call(kLong) == kOk);
  link->Cut(Direction::kBoth);
  BOOST_TEST(Call(kShort) == 0);
  BOOST_TEST(arrived == 1);
  link->Heal(Direction::kBoth, Millis(0));
  Run(kShort);
  BOOST_TEST(arrived == 2);
  BOOST_TEST(Call(kLong) == kOk);
}

BOOST_AUTO_TEST_CASE(Link_CutTwice_OpensWithTheSecondHeal) {
  BOOST_TEST(Call(kLong) == kOk);
  link->Cut(Direction::kBoth);
  link->Cut(Direction::kToServer);
  link->Heal(Direction::kBoth, Millis(0));
  BOOST_TEST(Call(kShort) == 0);
  link->Heal(Direction::kToServer, Millis(0));
  BOOST_TEST(Call(kLong) == kOk);
}

BOOST_AUTO_TEST_CASE(Link_CutToCaller_RequestsArriveAndAnswersDoNot) {
  BOOST_TEST(Call(kLong) == kOk);
  link->Cut(Direction::kToCaller);
  BOOST_TEST(Call(kShort) == 0);
  BOOST_TEST(arrived == 2);
}

BOOST_AUTO_TEST_CASE(Link_Cut_NewConnectionsHang) {
  link->Cut(Direction::kBoth);
  BOOST_TEST(Call(kShort) == 0);
  Run(kShort);
  BOOST_TEST(arrived == 0);
}

// Guards against a cut that blocks because a pending connection already fills
// the accept queue.
BOOST_AUTO_TEST_CASE(Link_CutWhileACallerConnects_ReturnsAtOnce) {
  boost::asio::ip::tcp::socket caller(context);
  caller.connect(ParseEndpoint(kThroughLink));
  const Instant began = BootClock::now();
  link->Cut(Direction::kBoth);
  BOOST_TEST((BootClock::now() - began < kLong));
}

BOOST_AUTO_TEST_CASE(Link_OldConnectionsResumeLate_NewOnesAtOnce) {
  BOOST_TEST(Call(kLong) == kOk);
  link->Cut(Direction::kBoth);
  link->Heal(Direction::kBoth, kLong);
  BOOST_TEST(Call(kShort) == 0);
  BOOST_TEST(Call(kShort) == kOk);
}

BOOST_AUTO_TEST_CASE(Link_Refuses_ResetsConnections) {
  link->Refuse(true);
  BOOST_TEST(Call(kLong) == 0);
  link->Refuse(false);
  BOOST_TEST(Call(kLong) == kOk);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace doorwood::soak
