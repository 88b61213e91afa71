// SPDX-License-Identifier: Apache-2.0

// Entries of other writers in the platform's list of instances, read over HTTP.

#include "directory.adapter/http_directory.h"

#include <asio.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "asio.adapter/asio_executor.h"
#include "doorwood/event_log.h"
#include "http.adapter/answering_server.h"

namespace doorwood {
namespace {

constexpr char kGoodBefore[] =
    R"({"id":"a-good","role":"worker","data_centre":"plaka",)"
    R"("address":"127.0.0.1:8001"})";
constexpr char kGoodAfter[] =
    R"({"id":"z-good","role":"backend","data_centre":"plaka",)"
    R"("address":"127.0.0.1:8002","service":"s","worker":"a-good",)"
    R"("slots":4,"connections":8})";

class CountingLog : public EventLog {
 public:
  bool IsEnabled(std::string_view) const override { return true; }
  void Write(std::string_view,
             std::string_view,
             std::string_view,
             const Json&) override {
    ++lines;
  }

  int lines = 0;
};

struct DirectoryFixture {
  // Lets the platform list these entries, and fetches the list.
  void Fetch(const std::vector<std::string>& entries) {
    std::string answer =
        R"({"version":)" + std::to_string(++version) + R"(,"instances":[)";
    for (size_t i = 0; i < entries.size(); ++i) {
      answer += (i > 0 ? "," : "") + entries[i];
    }
    server.set_answer(answer + "]}");
    bool answered = false;
    directory.Fetch([this, &answered](std::error_code result,
                                      std::vector<InstanceInfo> listed) {
      error = result;
      list = std::move(listed);
      answered = true;
    });
    RunUntil(context, answered);
  }
  const InstanceInfo* Find(const std::string& id) const {
    for (const InstanceInfo& info : list) {
      if (info.id == id) {
        return &info;
      }
    }
    return nullptr;
  }

  std::error_code error;
  std::vector<InstanceInfo> list;
  CountingLog log;
  int version = 0;
  AnsweringServer server;
  asio::io_context context;
  AsioExecutor executor{context};
  HttpDirectory directory{server.address(), "plaka", executor, log};
};

std::string Nested(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string EntryWith(const std::string& field, const std::string& value) {
  std::string entry = R"({"id":"odd","role":"worker","data_centre":"plaka",)";
  if (field != "address") {
    entry += R"("address":"127.0.0.1:8003",)";
  }
  return entry + "\"" + field + "\":" + value + "}";
}

std::vector<std::string> OddEntries() {
  return {"7",
          "null",
          "[]",
          "{}",
          R"("text")",
          Nested(65),
          Nested(100000),
          R"({"address":"127.0.0.1:8003"})",
          R"({"id":5,"address":"127.0.0.1:8003"})",
          R"({"id":"","address":"127.0.0.1:8003"})",
          R"({"id":"a b\u0000","address":"127.0.0.1:8003"})",
          R"({"id":"\ud800","address":"127.0.0.1:8003"})",
          EntryWith("labels", Nested(100000)),
          EntryWith("labels", "[1]"),
          EntryWith("role", "7"),
          EntryWith("leaving", "\"yes\""),
          EntryWith("slots", "1e300"),
          EntryWith("slots", "1e400"),
          EntryWith("slots", "-1e999"),
          EntryWith("slots", "-1"),
          EntryWith("slots", "0.5"),
          EntryWith("slots", "\"8\""),
          EntryWith("slots", "99999999999"),
          EntryWith("slots", "18446744073709551616"),
          EntryWith("connections", std::string(400, '9')),
          EntryWith("connections", "2147483648"),
          EntryWith("address", "8080"),
          EntryWith("address", "\"\""),
          EntryWith("address", "\"127.0.0.1\""),
          EntryWith("address", "\"127.0.0.1:0\""),
          EntryWith("address", "\"127.0.0.1:65536\""),
          EntryWith("address", "\"127.0.0.1:-1\""),
          EntryWith("address", "\"127.0.0.1:8080x\""),
          EntryWith("address", "\"127.0.0.1:99999999999\"")};
}

// Guards against one odd entry that makes the whole list unreadable.
BOOST_FIXTURE_TEST_CASE(Fetch_OddEntryAmongGood_GoodAreListed,
                        DirectoryFixture) {
  for (const std::string& odd : OddEntries()) {
    BOOST_TEST_CONTEXT(odd.substr(0, 100)) {
      Fetch({kGoodBefore, odd, kGoodAfter});
      BOOST_TEST(!error);
      BOOST_TEST(list.size() == 2U);
      BOOST_TEST((Find("a-good") != nullptr));
      const InstanceInfo* after = Find("z-good");
      BOOST_TEST((after != nullptr && after->slots == 4));
      BOOST_TEST((after != nullptr && after->connections == 8));
    }
  }
}

// Guards against a list that is followed no longer while an odd entry is in it.
BOOST_FIXTURE_TEST_CASE(Fetch_OddEntryStays_LaterChangesAreListed,
                        DirectoryFixture) {
  for (const std::string& odd : OddEntries()) {
    BOOST_TEST_CONTEXT(odd.substr(0, 100)) {
      Fetch({kGoodBefore, odd});
      Fetch({kGoodBefore, odd, kGoodAfter});
      BOOST_TEST((Find("z-good") != nullptr));
      Fetch({odd, kGoodAfter});
      BOOST_TEST(!error);
      BOOST_TEST((Find("a-good") == nullptr));
    }
  }
}

// Guards against an instance that counts as gone because its entry was
// overwritten.
BOOST_FIXTURE_TEST_CASE(Fetch_EntryOverwritten_InstanceIsListedAsBefore,
                        DirectoryFixture) {
  const std::string good = EntryWith("rack", R"("r1")");
  for (const std::string& value : {std::string("1e400"), std::string("-1"),
                                   std::string("null"), Nested(100000)}) {
    Fetch({kGoodBefore, good});
    Fetch({kGoodBefore, EntryWith("slots", value)});
    BOOST_TEST((Find("odd") != nullptr && Find("odd")->rack == "r1"));
    Fetch({kGoodBefore, EntryWith("slots", value)});
    BOOST_TEST((Find("odd") != nullptr));
    Fetch({kGoodBefore});
    BOOST_TEST((Find("odd") == nullptr));
  }
}

BOOST_FIXTURE_TEST_CASE(Fetch_OddEntryReadRepeatedly_IsLoggedOnce,
                        DirectoryFixture) {
  for (int n = 0; n < 10; ++n) {
    Fetch({kGoodBefore, EntryWith("slots", "-1")});
  }
  BOOST_TEST(log.lines == 1);
}

}  // namespace
}  // namespace doorwood
