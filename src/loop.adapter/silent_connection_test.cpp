// SPDX-License-Identifier: Apache-2.0

// Open connections that go silent for good, without a reset, while new ones
// work.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <vector>

#include "loop.adapter/http_client.h"
#include "loop.adapter/silencing_server.h"

namespace doorwood {
namespace {

struct PooledConnections {
  explicit PooledConnections(int count) {
    int answered = 0;
    for (int i = 0; i < count; ++i) {
      client.Send(MakeCall(Millis(1000)),
                  [&](std::error_code, const HttpReply&) { ++answered; });
    }
    while (answered < count) {
      context.run_one();
    }
  }

  HttpCall MakeCall(Millis timeout) const {
    HttpCall call;
    call.address = server.address();
    call.timeout = timeout;
    return call;
  }

  std::error_code Send(Millis timeout) { return Send(MakeCall(timeout)); }
  std::error_code Send(const HttpCall& call) {
    std::optional<std::error_code> result;
    client.Send(
        call, [&](std::error_code error, const HttpReply&) { result = error; });
    while (!result) {
      context.run_one();
    }
    return *result;
  }

  boost::asio::io_context context;
  SilencingServer server{context};
  HttpClient client{context};
};

// Guards against calls that go out on one silent pooled connection after the
// other, and each wait for their time limit.
BOOST_AUTO_TEST_CASE(Send_PooledConnectionsWentSilent_AtMostOneCallFails) {
  PooledConnections pooled(8);
  BOOST_REQUIRE(pooled.server.connections() == 8U);
  pooled.server.SilenceOpenConnections();
  pooled.Send(Millis(300));
  for (int call = 0; call < 3; ++call) {
    BOOST_TEST(pooled.Send(Millis(300)) == std::error_code());
  }
}

// Guards against a read that fails although the server answers new
// connections.
BOOST_AUTO_TEST_CASE(Send_CallLimitsFirstByte_IsAnsweredOnNewOne) {
  PooledConnections pooled(8);
  pooled.server.SilenceOpenConnections();
  HttpCall call = pooled.MakeCall(Millis(2000));
  call.first_byte_timeout = Millis(100);
  const Instant began = BootClock::now();
  BOOST_TEST(pooled.Send(call) == std::error_code());
  BOOST_TEST((BootClock::now() - began < Millis(600)));
  BOOST_TEST(pooled.client.silent_connections().confirmed == 1U);
  BOOST_TEST(pooled.client.silent_connections().closed == 7U);
}

// Guards against a watch that waits on a silent connection until its time limit
// while other calls have found the connections silent.
BOOST_AUTO_TEST_CASE(Send_OtherCallFindsSilence_WaitingCallIsSentAgain) {
  PooledConnections pooled(2);
  HttpCall waiting = pooled.MakeCall(Millis(20'000));
  waiting.target = "/wait";
  waiting.first_byte_timeout = Millis(15'000);
  std::optional<std::error_code> result;
  pooled.client.Send(waiting, [&](std::error_code error, const HttpReply&) {
    result = error;
  });
  while (pooled.server.waiting() == 0) {
    pooled.context.run_one();
  }
  pooled.server.SilenceOpenConnections();
  HttpCall call = pooled.MakeCall(Millis(2000));
  call.first_byte_timeout = Millis(100);
  const Instant began = BootClock::now();
  BOOST_TEST(pooled.Send(call) == std::error_code());
  while (pooled.server.waiting() < 2) {
    pooled.context.run_one();
  }
  pooled.server.AnswerWaiting();
  while (!result) {
    pooled.context.run_one();
  }
  BOOST_TEST(*result == std::error_code());
  BOOST_TEST((BootClock::now() - began < Millis(1500)));
}

// Guards against a watch that waits on a silent connection although a call that
// is sent only once has timed out, and a later one was answered.
BOOST_AUTO_TEST_CASE(Send_CallTimesOutThenOtherIsAnswered_WaitingCallIsResent) {
  PooledConnections pooled(2);
  HttpCall waiting = pooled.MakeCall(Millis(20'000));
  waiting.target = "/wait";
  waiting.first_byte_timeout = Millis(15'000);
  pooled.client.Send(waiting, [](std::error_code, const HttpReply&) {});
  while (pooled.server.waiting() == 0) {
    pooled.context.run_one();
  }
  pooled.server.SilenceOpenConnections();
  std::vector<SilentConnections> reported;
  pooled.client.set_on_silence(
      [&](const SilentConnections& silent) { reported.push_back(silent); });
  BOOST_TEST(pooled.Send(Millis(200)) == make_error_code(PeerErrc::kNoAnswer));
  BOOST_TEST(reported.empty());
  BOOST_TEST(pooled.Send(Millis(1000)) == std::error_code());
  while (pooled.server.waiting() < 2) {
    pooled.context.run_one();
  }
  BOOST_REQUIRE(reported.size() == 1U);
  BOOST_TEST(reported[0].address == pooled.server.address());
  BOOST_TEST(reported[0].resent == 1U);
}

// The server goes silent for good: new connections are accepted and not
// answered either. Each call ends at its time limit, and is sent twice at most.
BOOST_AUTO_TEST_CASE(Send_NewConnectionIsSilentToo_FailsAtItsTimeLimit) {
  PooledConnections pooled(8);
  pooled.server.SilenceAll();
  HttpCall call = pooled.MakeCall(Millis(400));
  call.first_byte_timeout = Millis(100);
  const Instant began = BootClock::now();
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(pooled.Send(call) == make_error_code(PeerErrc::kNoAnswer));
  }
  BOOST_TEST((BootClock::now() - began < Millis(1800)));
  BOOST_TEST(pooled.server.connections() <= 8U + 3U);
  BOOST_TEST(pooled.client.silent_connections().confirmed == 0U);
}

// A call that changes something is not sent twice; it only costs the other
// connections their trust.
BOOST_AUTO_TEST_CASE(Send_CallMayNotBeRepeated_IsSentOnce) {
  PooledConnections pooled(2);
  pooled.server.SilenceOpenConnections();
  const size_t requests = pooled.server.requests();
  HttpCall call = pooled.MakeCall(Millis(300));
  call.first_byte_timeout = Millis(100);
  call.repeatable = false;
  BOOST_TEST(pooled.Send(call) == make_error_code(PeerErrc::kNoAnswer));
  BOOST_TEST(pooled.server.requests() == requests);
  BOOST_TEST(pooled.Send(call) == std::error_code());
}

}  // namespace
}  // namespace doorwood
