// SPDX-License-Identifier: Apache-2.0

// Answers of the key-value service that are not of the protocol's form.

#include "kv.adapter/http_kv.h"

#include <asio.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "asio.adapter/asio_executor.h"
#include "doorwood/error.h"
#include "http.adapter/answering_server.h"

namespace doorwood {
namespace {

const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');

struct KvFixture {
  // Makes a call and returns its error.
  template <typename Call>
  std::error_code Await(const std::string& answer, const Call& call) {
    server.set_answer(answer);
    bool answered = false;
    std::error_code result;
    call([&](std::error_code error, const auto&) {
      result = error;
      answered = true;
    });
    RunUntil(context, answered);
    return result;
  }
  std::error_code Read(const std::string& answer) {
    return Await(answer, [this](auto done) { kv.Read("k", done); });
  }
  std::error_code List(const std::string& answer) {
    return Await(answer, [this](auto done) { kv.List("p/", done); });
  }
  std::error_code Watch(const std::string& answer) {
    return Await(answer, [this](auto done) { kv.Watch("p/", 0, done); });
  }
  std::error_code Write(const std::string& answer) {
    return Await(answer, [this](auto done) { kv.Write({.key = "k"}, done); });
  }
  std::error_code GrantLease(const std::string& answer) {
    return Await(answer,
                 [this](auto done) { kv.GrantLease(Millis(1000), done); });
  }

  AnsweringServer server;
  asio::io_context context;
  AsioExecutor executor{context};
  HttpKv kv{{.address = server.address()}, executor};
};

const std::vector<std::string> odd_entries = {
    "7",
    "null",
    "[]",
    deep,
    R"({"key":5,"value":"v","version":1})",
    R"({"key":"p/a","value":null,"version":1})",
    R"({"key":"p/a","value":)" + deep + R"(,"version":1})",
    R"({"key":"p/a","value":"v","version":"1"})",
    R"({"key":"p/a","value":"v","version":-1})",
    R"({"key":"p/a","value":"v","version":0.5})",
    R"({"key":"p/a","value":"v","version":1e300})",
    R"({"key":"p/a","value":"v","version":1e400})",
    R"({"key":"p/a","value":"v","version":18446744073709551615})"};

constexpr char kGood[] = R"({"key":"p/b","value":"v","version":2})";

// Guards against an exception on the control thread, which ends the process.
BOOST_FIXTURE_TEST_CASE(List_OddEntryAmongGood_IsUnavailableUntilItIsGone,
                        KvFixture) {
  for (const std::string& odd : odd_entries) {
    BOOST_TEST_CONTEXT(odd.substr(0, 100)) {
      const std::string answer =
          R"({"entries":[)" + std::string(kGood) + "," + odd + "]}";
      BOOST_TEST(List(answer) == make_error_code(KvErrc::kUnavailable));
      BOOST_TEST(Watch(answer) == make_error_code(KvErrc::kUnavailable));
      BOOST_TEST(!List(R"({"entries":[)" + std::string(kGood) + "]}"));
    }
  }
  BOOST_TEST(List(R"({"entries":7})") == make_error_code(KvErrc::kUnavailable));
}

BOOST_FIXTURE_TEST_CASE(Calls_OddAnswer_FailAsWithoutAnswer, KvFixture) {
  for (const std::string& odd : odd_entries) {
    BOOST_TEST_CONTEXT(odd.substr(0, 100)) {
      BOOST_TEST(Read(odd) == make_error_code(KvErrc::kUnavailable));
    }
  }
  for (const std::string& number :
       {std::string("\"1\""), std::string("-1"), std::string("0.5"),
        std::string("1e300"), std::string("1e400"), std::string("null"),
        std::string("18446744073709551615"), deep}) {
    BOOST_TEST_CONTEXT(number.substr(0, 100)) {
      BOOST_TEST(Write(R"({"version":)" + number + "}") ==
                 make_error_code(KvErrc::kUnknown));
      BOOST_TEST(GrantLease(R"({"lease":)" + number + "}") ==
                 make_error_code(KvErrc::kUnknown));
    }
  }
  BOOST_TEST(!Read(kGood));
  BOOST_TEST(!Write(R"({"version":3})"));
  BOOST_TEST(!GrantLease(R"({"lease":3})"));
}

}  // namespace
}  // namespace doorwood
