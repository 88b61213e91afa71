// SPDX-License-Identifier: Apache-2.0

// Open connections that go silent for good, without a reset, while new ones
// work.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <optional>

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

  std::error_code Send(Millis timeout) {
    std::optional<std::error_code> result;
    client.Send(MakeCall(timeout), [&](std::error_code error,
                                       const HttpReply&) { result = error; });
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

}  // namespace
}  // namespace doorwood
