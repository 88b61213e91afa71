// SPDX-License-Identifier: Apache-2.0

// Calls between instances over real sockets, and the message codec.

#include "peer.adapter/peer_network.h"

#include <capnp/serialize.h>

#include <asio.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "asio.adapter/asio_executor.h"
#include "doorwood/error.h"
#include "peer.adapter/peer_codec.h"

namespace doorwood {
namespace {

// Replies to operator calls with their body and to other calls with a
// placement, or does not reply at all.
class EchoService : public PeerService {
 public:
  void Handle(const PeerRequest& request, Reply reply) override {
    ++calls;
    if (withhold_replies) {
      withheld_replies.push_back(std::move(reply));
      return;
    }
    if (const auto* call = std::get_if<OperatorCall>(&request)) {
      reply(OperatorReply{200, call->body});
      return;
    }
    reply(PlaceReply{true, "w1", ""});
  }

  int calls = 0;
  bool withhold_replies = false;
  std::vector<Reply> withheld_replies;
};

struct NetworkFixture {
  NetworkFixture()
      : server({.listen = "127.0.0.1:0", .token = "same token"}, executor),
        client({.listen = "127.0.0.1:0", .token = "same token"}, executor) {
    server.set_service(&service);
  }
  ~NetworkFixture() { server.set_service(nullptr); }

  std::error_code Call(RpcPeerNetwork& from,
                       int port,
                       PeerRequest request,
                       PeerReply* out) {
    std::optional<std::error_code> result;
    from.Call("127.0.0.1:" + std::to_string(port), std::move(request),
              Millis(400), [&](std::error_code error, PeerReply reply) {
                result = error;
                *out = std::move(reply);
              });
    const Instant end = BootClock::now() + Millis(20000);
    while (!result && BootClock::now() < end) {
      context.restart();
      context.run_for(Millis(5));
    }
    BOOST_REQUIRE(result.has_value());
    return *result;
  }

  asio::io_context context;
  AsioExecutor executor{context};
  EchoService service;
  RpcPeerNetwork server;
  RpcPeerNetwork client;
};

BOOST_AUTO_TEST_SUITE(peer_network)

BOOST_AUTO_TEST_CASE(PeerNetwork_CallToServingPeer_IsAnsweredAndCounted) {
  NetworkFixture fixture;
  PeerReply reply;
  const std::string body(100'000, 'x');
  BOOST_TEST(!fixture.Call(fixture.client, fixture.server.port(),
                           OperatorCall{"m", body}, &reply));
  BOOST_TEST(std::get<OperatorReply>(reply).body == body);
  const auto traffic = fixture.client.traffic();
  BOOST_TEST(traffic.at("operate").calls == 1u);
  BOOST_TEST(traffic.at("operate").bytes > 200'000u);
}

BOOST_AUTO_TEST_CASE(PeerNetwork_CallToClosedPort_IsReportedAsNotSent) {
  NetworkFixture fixture;
  PeerReply reply;
  // The port of a listener that was just closed.
  int port = 0;
  {
    RpcPeerNetwork closed({.listen = "127.0.0.1:0", .token = "t"},
                          fixture.executor);
    port = closed.port();
  }
  BOOST_TEST(fixture.Call(fixture.client, port, Heartbeat(), &reply) ==
             make_error_code(PeerErrc::kNotSent));
}

BOOST_AUTO_TEST_CASE(PeerNetwork_PeerDoesNotReply_CallIsUnanswered) {
  NetworkFixture fixture;
  PeerReply reply;
  fixture.service.withhold_replies = true;
  BOOST_TEST(fixture.Call(fixture.client, fixture.server.port(), Heartbeat(),
                          &reply) == make_error_code(PeerErrc::kNoAnswer));
  // A new connection works once the peer replies again.
  fixture.service.withhold_replies = false;
  BOOST_TEST(!fixture.Call(fixture.client, fixture.server.port(), Heartbeat(),
                           &reply));
}

BOOST_AUTO_TEST_CASE(PeerNetwork_WrongToken_CallIsRejectedBeforeService) {
  NetworkFixture fixture;
  RpcPeerNetwork unauthorized({.listen = "127.0.0.1:0", .token = "other token"},
                              fixture.executor);
  PeerReply reply;
  BOOST_TEST(fixture.Call(unauthorized, fixture.server.port(), Heartbeat(),
                          &reply) == make_error_code(PeerErrc::kUnauthorized));
  BOOST_TEST(fixture.service.calls == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(peer_codec)

std::string Bytes(const PeerRequest& request) {
  capnp::MallocMessageBuilder message;
  EncodeMessage(request, message.initRoot<wire::Request>());
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::vector<PeerRequest> SampleRequests() {
  Heartbeat heartbeat;
  heartbeat.instance = "a";
  heartbeat.shards = {{{"plaka", 3}, 7}};
  heartbeat.open_services = {"stream"};
  heartbeat.leaving_workers = {"w1"};
  PlaceRequest place{.shard = {"plaka", 1},
                     .attempt = {4, 9},
                     .task = {"j", "t"},
                     .checkpoint = "ck"};
  place.spec = {.name = "t",
                .work_class = WorkClass::kService,
                .size = {1, 2, 3},
                .labels = {{"a", "b"}},
                .beside = "x",
                .on = "y",
                .yields = 3,
                .repeatable = false,
                .max_attempts = 2,
                .payload = "p"};
  const AttemptReport report{{1, 2},           {"j", "t"},           "w",
                             RunState::kEnded, AttemptEnd::kStopped, "ck"};
  return {heartbeat,
          place,
          StopRequest{{"plaka", 1}, {1, 2}, true},
          CensusRequest{{"plaka", 1}, {3, 4}},
          EndReport{{"plaka", 1}, {report, report}},
          OperatorCall{"m", "b", 2},
          ConfigFetch{5}};
}

BOOST_AUTO_TEST_CASE(PeerCodec_EachSampleRequest_SurvivesEncodingAndDecoding) {
  for (const PeerRequest& request : SampleRequests()) {
    capnp::MallocMessageBuilder message;
    EncodeMessage(request, message.initRoot<wire::Request>());
    const PeerRequest parsed =
        DecodeMessage(message.getRoot<wire::Request>().asReader());
    BOOST_TEST(parsed.index() == request.index());
    BOOST_TEST((Bytes(parsed) == Bytes(request)));
  }
}

BOOST_AUTO_TEST_CASE(PeerCodec_CorruptedBytes_AreParsedOrRejected) {
  std::mt19937_64 random(5);
  const std::vector<PeerRequest> corpus = SampleRequests();
  constexpr int kRounds = 20000;
  int parsed = 0;
  for (int round = 0; round < kRounds; ++round) {
    const std::string bytes = Bytes(corpus[random() % corpus.size()]);
    kj::Array<capnp::word> words =
        kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::copy(bytes.begin(), bytes.end(),
              reinterpret_cast<char*>(words.asBytes().begin()));
    for (int n = 0; n < 4; ++n) {
      words.asBytes()[random() % words.asBytes().size()] =
          static_cast<kj::byte>(random());
    }
    try {
      capnp::FlatArrayMessageReader reader(words);
      DecodeMessage(reader.getRoot<wire::Request>());
      ++parsed;
    } catch (const kj::Exception&) {
      // Rejected; the connection that delivered it would be closed.
    }
  }
  BOOST_TEST(parsed > 0);
  BOOST_TEST(parsed < kRounds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace doorwood
