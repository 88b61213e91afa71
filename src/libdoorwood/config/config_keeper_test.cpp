// SPDX-License-Identifier: Apache-2.0

// Values that other programs left in the keys of the configuration.

#include "doorwood/config_keeper.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fakes/fakes.h"

namespace doorwood {
namespace {

constexpr char kCurrent[] = "config/current";
constexpr char kDrained[] = "config/drained";

std::string Nested(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

// A stored value of another form than instances write.
std::vector<std::string> OddValues() {
  return {"",
          "7",
          "null",
          "[]",
          "[1]",
          "[\"w1\",7]",
          "{\"w1\":7}",
          "\"text\"",
          "\xff",
          "{\"revision\":",
          Nested(65),
          Nested(100'000),
          R"({"revision":"9","text":""})",
          R"({"revision":null,"text":""})",
          R"({"revision":-1,"text":""})",
          R"({"revision":1e300,"text":""})",
          R"({"revision":1e400,"text":""})",
          R"({"revision":18446744073709551615,"text":"{}"})",
          R"({"revision":9.5,"text":"{}"})",
          R"({"revision":9,"text":7})",
          R"({"revision":9,"text":null})",
          R"({"revision":9,"text":"a: ["})",
          R"({"revision":9,"text":")" + Nested(30'000) + R"("})",
          R"({"revision":9,"text":"{}","operation":7})",
          R"({"revision":9,"text":"{}","history":7})",
          R"({"revision":9,"text":"{}","history":{"a":1}})",
          R"({"revision":9,"text":"{}","history":[7]})",
          R"({"revision":9,"text":"{}","history":[{"operation":7}]})",
          R"({"revision":9,"text":"{}","history":[{"revision":"x"}]})"};
}

struct KeeperFixture {
  KeeperFixture() : keeper(MakeKeeper()) { keeper->Start(); }
  ~KeeperFixture() {
    keeper->Stop();
    time.Run(Millis(5000));
  }

  std::shared_ptr<ConfigKeeper> MakeKeeper() {
    return std::make_shared<ConfigKeeper>(ConfigKeeperOptions{}, executor, kv,
                                          [] {});
  }
  void Put(const std::string& key, const std::string& value) {
    KvEntry before;
    model.Read(key, 0, &before);
    int64_t version = 0;
    BOOST_TEST(!model.Write(
        {.key = key, .value = value, .expected_version = before.version}, 0,
        &version));
    time.Run(Millis(5000));
  }
  // Restores a valid value with a newer revision.
  void PutValid(uint64_t revision) {
    Put(kCurrent, R"({"revision":)" + std::to_string(revision) +
                      R"(,"operation":"o","author":"a","text":"{}"})");
  }

  fakes::VirtualTime time;
  fakes::FakeExecutor executor{time, 1};
  standin::KvModel model;
  fakes::FakeKv kv{time, executor, model};
  std::shared_ptr<ConfigKeeper> keeper;
};

// Guards against an exception that ends the process, and a watch that ends.
BOOST_AUTO_TEST_CASE(Watch_OddValue_LaterChangesAreFollowed) {
  for (const std::string& odd : OddValues()) {
    BOOST_TEST_CONTEXT(odd.substr(0, 80)) {
      KeeperFixture fixture;
      fixture.PutValid(1);
      fixture.Put(kDrained, R"(["w1"])");
      BOOST_TEST(fixture.keeper->revision() == 1U);
      BOOST_CHECK_NO_THROW(fixture.Put(kCurrent, odd));
      BOOST_CHECK_NO_THROW(fixture.Put(kDrained, odd));
      BOOST_TEST(fixture.keeper->revision() == 1U);
      BOOST_CHECK_NO_THROW(fixture.keeper->RevisionHistory());
      fixture.PutValid(10);
      BOOST_TEST(fixture.keeper->revision() == 10U);
      fixture.Put(kDrained, R"(["w2"])");
      BOOST_TEST(fixture.keeper->drained().contains("w2"));
    }
  }
}

// Guards against a process that ends again at each start.
BOOST_AUTO_TEST_CASE(Start_OddValueStored_ProcessStarts) {
  for (const std::string& odd : OddValues()) {
    BOOST_TEST_CONTEXT(odd.substr(0, 80)) {
      KeeperFixture fixture;
      BOOST_CHECK_NO_THROW(fixture.Put(kCurrent, odd));
      BOOST_CHECK_NO_THROW(fixture.Put(kDrained, odd));
      const auto second = fixture.MakeKeeper();
      second->Start();
      BOOST_CHECK_NO_THROW(fixture.time.Run(Millis(5000)));
      BOOST_TEST(second->revision() == 0U);
      second->Stop();
    }
  }
}

BOOST_AUTO_TEST_CASE(Apply_OddValueStored_IsAnswered) {
  for (const std::string& odd : OddValues()) {
    BOOST_TEST_CONTEXT(odd.substr(0, 80)) {
      KeeperFixture fixture;
      BOOST_CHECK_NO_THROW(fixture.Put(kCurrent, odd));
      BOOST_CHECK_NO_THROW(fixture.Put(kDrained, odd));
      std::optional<ConfigOutcome> outcome;
      fixture.keeper->Apply({"{}", {}, "o", "a"},
                            [&](const ConfigOutcome& o) { outcome = o; });
      BOOST_CHECK_NO_THROW(fixture.time.Run(Millis(5000)));
      BOOST_TEST(outcome.has_value());
      std::optional<std::error_code> drained;
      fixture.keeper->SetDrained(
          "w3", true, [&](std::error_code error) { drained = error; });
      BOOST_CHECK_NO_THROW(fixture.time.Run(Millis(5000)));
      BOOST_REQUIRE(drained.has_value());
      BOOST_TEST(!*drained);
      BOOST_TEST(fixture.keeper->drained().contains("w3"));
    }
  }
}

// Guards against workers that take work again because the list of drained ones
// was overwritten.
BOOST_FIXTURE_TEST_CASE(SetDrained_OddValueStored_OthersStayDrained,
                        KeeperFixture) {
  Put(kDrained, R"(["w1","w2"])");
  Put(kDrained, "[1]");
  BOOST_TEST(keeper->drained().size() == 2U);
  keeper->SetDrained("w3", true, [](std::error_code) {});
  time.Run(Millis(5000));
  BOOST_TEST(keeper->drained().size() == 3U);
}

}  // namespace
}  // namespace doorwood
