// SPDX-License-Identifier: Apache-2.0

// Calls with a preliminary request, which shows whether a new connection may be
// used for them.

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "loop.adapter/http_client.h"
#include "loop.adapter/scripted_server.h"

namespace doorwood {
namespace {

constexpr const char* kCheck = "POST /check HTTP/1.1";
constexpr const char* kCall = "POST /call HTTP/1.1";

struct Outcome {
  std::error_code error;
  HttpReply reply;
};

// The calls accept a connection whose preliminary reply has the body "ok".
struct PreliminaryFixture {
  explicit PreliminaryFixture(ScriptedServer::Script script)
      : server(context, std::move(script)) {}

  Outcome Send() {
    HttpCall call;
    call.address = server.address();
    call.method = "POST";
    call.target = "/call";
    call.body = "call";
    call.timeout = timeout;
    call.preliminary = HttpPreliminary{
        "/check", "check",
        [](const HttpReply& reply) { return reply.body == "ok"; }};
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
  Millis timeout{1000};
};

std::string Ok() {
  return ScriptedServer::Answer("200 OK", "ok");
}

// Guards against a call on an unchecked connection, and against a check of one
// that is pooled.
BOOST_AUTO_TEST_CASE(Send_Accepted_ChecksEachConnectionOnce) {
  PreliminaryFixture fixture([](int) { return Ok(); });
  for (int i = 0; i < 2; ++i) {
    const Outcome outcome = fixture.Send();
    BOOST_TEST(outcome.error == std::error_code());
    BOOST_TEST(!outcome.reply.declined);
  }
  fixture.server.CloseConnections();
  BOOST_TEST(fixture.Send().error == std::error_code());
  const std::vector<std::string> expected = {kCheck, kCall, kCall, kCheck,
                                             kCall};
  BOOST_TEST(fixture.server.requests() == expected,
             boost::test_tools::per_element());
  const std::vector<std::string> bodies = {"check", "call", "call", "check",
                                           "call"};
  BOOST_TEST(fixture.server.bodies() == bodies,
             boost::test_tools::per_element());
  BOOST_TEST(fixture.client.connect_attempts() == 2U);
}

// Guards against a call on a connection that was declined, now or from the
// pool.
BOOST_AUTO_TEST_CASE(Send_Declined_IsNotSentAndConnectionIsNotPooled) {
  PreliminaryFixture fixture(
      [](int) { return ScriptedServer::Answer("421 M", "other"); });
  for (int i = 0; i < 2; ++i) {
    const Outcome outcome = fixture.Send();
    BOOST_TEST(outcome.error == make_error_code(PeerErrc::kNotSent));
    BOOST_TEST(outcome.reply.declined);
    BOOST_TEST(outcome.reply.status == 421);
    BOOST_TEST(outcome.reply.body == "other");
    BOOST_TEST(outcome.reply.problem == "declined, status 421");
  }
  const std::vector<std::string> expected = {kCheck, kCheck};
  BOOST_TEST(fixture.server.requests() == expected,
             boost::test_tools::per_element());
  BOOST_TEST(fixture.client.connect_attempts() == 2U);
}

struct SilentRow {
  std::optional<std::string> answer;
  const char* problem;
};

// Guards against taking a check without an answer for a declined one or for a
// call that may have arrived.
BOOST_AUTO_TEST_CASE(Send_CheckGetsNoAnswer_IsNotSent) {
  const SilentRow rows[] = {
      {std::nullopt, "awaiting the response: end of stream"},
      {"", "awaiting the response: Operation canceled (timed out)"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
       "reading the body: Operation canceled (timed out)"},
  };
  for (const SilentRow& row : rows) {
    PreliminaryFixture fixture([&row](int) { return row.answer; });
    fixture.timeout = Millis(200);
    const Instant began = BootClock::now();
    const Outcome outcome = fixture.Send();
    BOOST_TEST_CONTEXT(row.problem) {
      BOOST_TEST(outcome.error == make_error_code(PeerErrc::kNotSent));
      BOOST_TEST(!outcome.reply.declined);
      BOOST_TEST(outcome.reply.problem == row.problem);
      BOOST_TEST(fixture.server.requests().size() == 1U);
      BOOST_TEST((BootClock::now() - began < Millis(1200)));
    }
  }
}

// Guards against a call on a connection that cannot take it after the check:
// the server closes it, or has sent what would be taken for the call's answer.
BOOST_AUTO_TEST_CASE(Send_ConnectionIsNotUsableAfterCheck_IsNotSent) {
  for (const std::string& answer :
       {std::string("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                    "Content-Length: 2\r\n\r\nok"),
        Ok() + Ok()}) {
    PreliminaryFixture fixture([&answer](int) { return answer; });
    const Outcome outcome = fixture.Send();
    BOOST_TEST(outcome.error == make_error_code(PeerErrc::kNotSent));
    BOOST_TEST(!outcome.reply.declined);
    BOOST_TEST(fixture.server.requests().size() == 1U);
  }
}

// Guards against reporting a call as not sent that was sent after its check.
BOOST_AUTO_TEST_CASE(Send_CallGetsNoAnswerAfterCheck_IsNotReportedAsUnsent) {
  PreliminaryFixture fixture([](int number) {
    return number == 1 ? std::optional(Ok()) : std::nullopt;
  });
  const Outcome outcome = fixture.Send();
  BOOST_TEST(outcome.error == make_error_code(PeerErrc::kNoAnswer));
  BOOST_TEST(fixture.server.requests().size() == 2U);
}

// Guards against a call that is sent again unchecked after its pooled
// connection broke, and against reporting it as not sent if that is declined.
BOOST_AUTO_TEST_CASE(Send_PooledConnectionBreaks_ChecksBeforeSendingAgain) {
  for (const bool accepted : {true, false}) {
    PreliminaryFixture fixture([accepted](
                                   int number) -> std::optional<std::string> {
      if (number == 3) {
        return std::nullopt;
      }
      return number < 4 || accepted ? Ok()
                                    : ScriptedServer::Answer("200 OK", "other");
    });
    BOOST_TEST(fixture.Send().error == std::error_code());
    const Outcome outcome = fixture.Send();
    BOOST_TEST(outcome.reply.sent_before);
    BOOST_TEST(outcome.reply.declined == !accepted);
    std::vector<std::string> expected = {kCheck, kCall, kCall, kCheck};
    if (accepted) {
      expected.emplace_back(kCall);
      BOOST_TEST(outcome.error == std::error_code());
    } else {
      BOOST_TEST(outcome.error == make_error_code(PeerErrc::kNoAnswer));
      BOOST_TEST(outcome.reply.body == "other");
    }
    BOOST_TEST(fixture.server.requests() == expected,
               boost::test_tools::per_element());
  }
}

}  // namespace
}  // namespace doorwood
