// SPDX-License-Identifier: Apache-2.0

// What a leader's answer means to the instance that passed a call on, where
// the call was sent twice.

#include "loop.adapter/http_peers.h"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "loop.adapter/scripted_server.h"

namespace doorwood {
namespace {

struct PeersFixture {
  explicit PeersFixture(ScriptedServer::Script script)
      : server(context, std::move(script)) {
    lead.cell = "cell";
    lead.address = server.address();
  }

  std::error_code Submit() {
    JobPlan plan;
    plan.id = "00112233aabbccdd";
    std::optional<std::error_code> result;
    peers.Submit(lead, plan,
                 [&](std::error_code error, AcceptOutcome) { result = error; });
    return WaitFor(context, result);
  }
  std::error_code Cancel() {
    std::optional<std::error_code> result;
    peers.Cancel(lead, "00112233aabbccdd",
                 [&](std::error_code error) { result = error; });
    return WaitFor(context, result);
  }

  boost::asio::io_context context;
  ScriptedServer server;
  HttpClient client{context};
  HttpPeers peers{client};
  CellLead lead;
};

struct AnswerRow {
  const char* status;
  std::error_code alone;
  std::error_code after_another;
};

const AnswerRow answers[] = {
    {"200 OK", {}, {}},
    {"400 B", CoreErrc::kInvalid, PeerErrc::kNoAnswer},
    {"404 N", CoreErrc::kNotFound, PeerErrc::kNoAnswer},
    {"409 C", CoreErrc::kNoOwner, PeerErrc::kNoAnswer},
    {"429 T", CoreErrc::kNoRoom, PeerErrc::kNoAnswer},
    {"503 S", CoreErrc::kStoreUnavailable, PeerErrc::kNoAnswer},
    {"504 G", CoreErrc::kOutcomeUnknown, PeerErrc::kNoAnswer},
};

BOOST_AUTO_TEST_CASE(Call_SentOnce_IsToldAsAnswered) {
  for (const AnswerRow& row : answers) {
    PeersFixture fixture(
        [&row](int) { return ScriptedServer::Answer(row.status, ""); });
    BOOST_TEST_CONTEXT(row.status) {
      BOOST_TEST(fixture.Submit() == row.alone);
      BOOST_TEST(fixture.Cancel() == row.alone);
    }
  }
}

// The leader took the first sending, and its connection broke: the job may be
// accepted there, or be cancelled, so "not taken" would be untrue.
BOOST_AUTO_TEST_CASE(Call_SentTwice_RefusalIsToldAsUnknown) {
  for (const AnswerRow& row : answers) {
    const auto script = [&row](int number) -> std::optional<std::string> {
      switch (number) {
        case 1:
          return ScriptedServer::Answer("200 OK", "");
        case 2:
          return std::nullopt;
        default:
          return ScriptedServer::Answer(row.status, "");
      }
    };
    BOOST_TEST_CONTEXT(row.status) {
      PeersFixture submits(script);
      BOOST_TEST(submits.Submit() == std::error_code());
      BOOST_TEST(submits.Submit() == row.after_another);
      BOOST_TEST(submits.server.requests().size() == 3U);
      PeersFixture cancels(script);
      BOOST_TEST(cancels.Cancel() == std::error_code());
      BOOST_TEST(cancels.Cancel() == row.after_another);
    }
  }
}

}  // namespace
}  // namespace doorwood
