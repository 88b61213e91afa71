// SPDX-License-Identifier: Apache-2.0

// How an instance that forwards a call to a leader interprets the leader's
// response if the call was sent once, and if it was sent twice.

#include "loop.adapter/http_peers.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fakes/cell_world.h"
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
  HttpCellPeers peers{client};
  CellLead lead;
};

struct ResponseCase {
  const char* status;
  std::error_code sent_once;
  std::error_code sent_twice;
};

const ResponseCase response_cases[] = {
    {"200 OK", {}, {}},
    {"400 B", CoreErrc::kInvalid, PeerErrc::kNoAnswer},
    {"404 N", CoreErrc::kNotFound, PeerErrc::kNoAnswer},
    {"409 C", CoreErrc::kNoOwner, PeerErrc::kNoAnswer},
    {"429 T", CoreErrc::kNoCapacity, PeerErrc::kNoAnswer},
    {"503 S", CoreErrc::kStoreUnavailable, PeerErrc::kNoAnswer},
    {"504 G", CoreErrc::kOutcomeUnknown, PeerErrc::kNoAnswer},
};

BOOST_AUTO_TEST_CASE(Call_SentOnce_ReportsTheResponse) {
  for (const ResponseCase& response_case : response_cases) {
    PeersFixture fixture([&response_case](int) {
      return ScriptedServer::Answer(response_case.status, "");
    });
    BOOST_TEST_CONTEXT(response_case.status) {
      BOOST_TEST(fixture.Submit() == response_case.sent_once);
      BOOST_TEST(fixture.Cancel() == response_case.sent_once);
    }
  }
}

// The leader received the first request before the connection was closed, so it
// may have accepted or cancelled the job. Reporting the refusal of the second
// request as the outcome would be wrong.
BOOST_AUTO_TEST_CASE(Call_SentTwice_RefusalIsReportedAsNoAnswer) {
  for (const ResponseCase& response_case : response_cases) {
    const auto script =
        [&response_case](int number) -> std::optional<std::string> {
      switch (number) {
        case 1:
          return ScriptedServer::Answer("200 OK", "");
        case 2:
          return std::nullopt;
        default:
          return ScriptedServer::Answer(response_case.status, "");
      }
    };
    BOOST_TEST_CONTEXT(response_case.status) {
      PeersFixture submit_fixture(script);
      BOOST_TEST(submit_fixture.Submit() == std::error_code());
      BOOST_TEST(submit_fixture.Submit() == response_case.sent_twice);
      BOOST_TEST(submit_fixture.server.requests().size() == 3U);
      PeersFixture cancel_fixture(script);
      BOOST_TEST(cancel_fixture.Cancel() == std::error_code());
      BOOST_TEST(cancel_fixture.Cancel() == response_case.sent_twice);
    }
  }
}

// A successor that reads its records and the calls that wait for the end of it.
struct ReadingLeaderFixture {
  ReadingLeaderFixture() : world(5) {
    world.SetTable({fakes::MakeQueue("queue", 3)});
    instance = &world.AddInstance("a1", "plaka");
    instance->store_faults.answer_delay = Millis(600);
    for (int step = 0; step < 200 && !instance->cell->reading(); ++step) {
      world.Run(Millis(50));
    }
    service = std::make_unique<CellPeerService>(
        *instance->executor, std::vector<CellLeader*>{instance->cell.get()});
  }

  void Ask(const std::string& query) {
    status = 0;
    HttpRequest request;
    request.method = "GET";
    request.path = "/cell/all";
    request.query = query;
    service->Handle(request, [this](const HttpResponse& response) {
      status = response.status;
      body = response.body;
    });
  }

  fakes::CellWorld world;
  fakes::WorldInstance* instance = nullptr;
  std::unique_ptr<CellPeerService> service;
  int status = 0;
  std::string body;
};

// Instances that hold submissions must learn the end of reading by one call.
BOOST_FIXTURE_TEST_CASE(Wait_LeaderReads_IsAnsweredOnceItAccepts,
                        ReadingLeaderFixture) {
  BOOST_REQUIRE(instance->cell->reading());
  Ask("");
  BOOST_TEST(status == 409);
  Ask("wait_ms=5000");
  BOOST_TEST(status == 0);
  for (int step = 0; step < 80 && !instance->cell->leading(); ++step) {
    BOOST_TEST(status == 0);
    world.Run(Millis(50));
  }
  world.Run(Millis(50));
  BOOST_TEST(status == 200);
  BOOST_TEST(body.find("\"cell\":\"all\"") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(Wait_ReadingLastsLonger_IsRefusedAfterTheWait,
                        ReadingLeaderFixture) {
  BOOST_REQUIRE(instance->cell->reading());
  Ask("wait_ms=100");
  BOOST_TEST(status == 0);
  world.Run(Millis(150));
  BOOST_TEST(instance->cell->reading());
  BOOST_TEST(status == 409);
}

// A value that cannot be read must not keep a call waiting.
BOOST_FIXTURE_TEST_CASE(Wait_InvalidValue_IsRefusedSoon, ReadingLeaderFixture) {
  for (const char* query : {"wait_ms=", "wait_ms=-1", "wait_ms=x"}) {
    Ask(query);
    world.Run(Millis(50));
    BOOST_TEST(status == 409, query);
  }
}

// Guards against a machine that says nothing, and is taken for one on which
// the leader's process has ended.
BOOST_AUTO_TEST_CASE(Summary_NoProcessListens_FailsAsRefused) {
  PeersFixture fixture(
      [](int) { return ScriptedServer::Answer("200 OK", "{}"); });
  const auto fetch = [&fixture] {
    std::optional<std::error_code> result;
    fixture.peers.FetchCellSummary(
        fixture.lead,
        [&](std::error_code error, const CellSummary&) { result = error; });
    return WaitFor(fixture.context, result);
  };
  BOOST_TEST(fetch() == std::error_code());
  {
    // A port that was just free; binding it without listening keeps it so.
    boost::asio::ip::tcp::socket socket(fixture.context);
    socket.open(boost::asio::ip::tcp::v4());
    socket.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    fixture.lead.address =
        "127.0.0.1:" + std::to_string(socket.local_endpoint().port());
    BOOST_TEST(fetch() == make_error_code(PeerErrc::kRefused));
    BOOST_TEST(fixture.Submit() == make_error_code(PeerErrc::kNotSent));
  }
  fixture.lead.address = "no address";
  BOOST_TEST(fetch() == make_error_code(PeerErrc::kNotSent));
}

struct LeaderWithNewerTable : ReadingLeaderFixture {
  LeaderWithNewerTable() {
    for (int step = 0; step < 80 && !instance->cell->leading(); ++step) {
      world.Run(Millis(50));
    }
    service = std::make_unique<CellPeerService>(
        *instance->executor, std::vector<CellLeader*>{instance->cell.get()},
        [this] { return table; });
  }

  void Send(const std::string& method,
            const std::string& path,
            const std::string& version) {
    JobPlan plan;
    plan.id = "00112233aabbccdd";
    plan.queue = "dropped";
    plan.steps.emplace_back();
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = Json(plan).dump();
    request.headers = {{"Queue-Table-Version", version}};
    status = 0;
    service->Handle(request, [this](const HttpResponse& response) {
      status = response.status;
      body = response.body;
    });
    world.Run(Millis(3000));
  }

  std::shared_ptr<const QueueTable> table =
      std::make_shared<const QueueTable>(7,
                                         std::vector<Queue>(),
                                         HttpLimits{},
                                         std::vector<std::string>(),
                                         "the text");
};

// Guards against a job that an instance with an older table takes for a queue
// of which the leader knows that it was dropped.
BOOST_FIXTURE_TEST_CASE(Submit_QueueIsDroppedInNewerTable_IsNotFound,
                        LeaderWithNewerTable) {
  BOOST_REQUIRE(instance->cell->leading());
  Send("POST", "/cell/all/00112233aabbccdd", "6");
  BOOST_TEST(status == 404);
  // The caller's instance knows the queue from a newer table than the leader.
  Send("POST", "/cell/all/00112233aabbccdd", "8");
  BOOST_TEST(status == 200);
  // Of an earlier version of this program, which states none.
  Send("POST", "/cell/all/00112233aabbccdd", "");
  BOOST_TEST(status == 200);
}

BOOST_FIXTURE_TEST_CASE(QueueTable_IsRead_AnswersItsText,
                        LeaderWithNewerTable) {
  Send("GET", "/queue-table", "");
  BOOST_TEST(status == 200);
  BOOST_TEST(body == "the text");
}

}  // namespace
}  // namespace doorwood
