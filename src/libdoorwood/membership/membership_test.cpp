// SPDX-License-Identifier: Apache-2.0

// Tests of membership, rendezvous hashing, the key-value store's call budget
// and the ConfigKeeper.

#include "doorwood/membership.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "doorwood/config_keeper.h"
#include "doorwood/error.h"
#include "doorwood/kv_budget.h"
#include "fakes/fakes.h"

namespace doorwood {
namespace {

using fakes::FakeExecutor;
using fakes::FakeKv;
using fakes::Fault;
using fakes::VirtualTime;

Heartbeat MakeHeartbeat(const std::string& id,
                        const std::string& dc = "plaka") {
  Heartbeat heartbeat;
  heartbeat.instance = id;
  heartbeat.incarnation = 1;
  heartbeat.data_centre = dc;
  return heartbeat;
}

struct MembershipFixture {
  MembershipFixture() {
    InstanceInfo self;
    self.id = "a";
    self.data_centre = "plaka";
    members.emplace(MembershipOptions(), self, start);
  }

  Instant start = Instant(Millis(100000));
  std::optional<Membership> members;
};

BOOST_AUTO_TEST_SUITE(membership)

BOOST_AUTO_TEST_CASE(ChooseByRendezvousHash_CandidateRemoved_MovesOnlyItsKeys) {
  const std::vector<std::string> all = {"a", "b", "c", "d"};
  const std::vector<std::string> fewer = {"a", "b", "d"};
  int moved = 0;
  constexpr int kKeys = 1000;
  for (int n = 0; n < kKeys; ++n) {
    const std::string key = "w" + std::to_string(n);
    const std::string before = ChooseByRendezvousHash(key, all);
    const std::string after = ChooseByRendezvousHash(key, fewer);
    if (before != "c") {
      BOOST_TEST(before == after);
    }
    moved += before != after ? 1 : 0;
  }
  BOOST_TEST(moved > kKeys / 8);
  BOOST_TEST(moved < kKeys / 2);
}

BOOST_AUTO_TEST_CASE(Peer_SettlesLeavesAndTimesOut_IsCandidateThenRemoved) {
  MembershipFixture fixture;
  const Millis settle = MembershipOptions().settle_time;
  const Instant now = fixture.start + 10 * settle;
  fixture.members->OnHeartbeat(MakeHeartbeat("b"), now);
  BOOST_TEST(fixture.members->Candidates(now).size() == 1u);
  fixture.members->OnHeartbeat(MakeHeartbeat("b"), now + settle);
  BOOST_TEST(fixture.members->Candidates(now + settle).size() == 2u);
  Heartbeat leaving = MakeHeartbeat("b");
  leaving.leaving = true;
  fixture.members->OnHeartbeat(leaving, now + settle);
  BOOST_TEST(fixture.members->Candidates(now + settle).size() == 1u);
  fixture.members->Expire(now + settle + Millis(2001));
  BOOST_TEST(fixture.members->peers().empty());
  BOOST_TEST(
      (fixture.members->last_departure() == now + settle + Millis(2001)));
}

BOOST_AUTO_TEST_CASE(Peer_Restarted_IsNoCandidateBeforeSettling) {
  MembershipFixture fixture;
  const Instant now = fixture.start + Millis(20000);
  fixture.members->OnHeartbeat(MakeHeartbeat("b"), now);
  Heartbeat restarted = MakeHeartbeat("b");
  restarted.incarnation = 2;
  fixture.members->OnHeartbeat(restarted, now + Millis(1500));
  BOOST_TEST(fixture.members->Candidates(now + Millis(1500)).size() == 1u);
}

BOOST_AUTO_TEST_CASE(Peer_OtherDataCentre_IsNoCandidate) {
  MembershipFixture fixture;
  fixture.members->OnHeartbeat(MakeHeartbeat("k", "kerameikos"), fixture.start);
  BOOST_TEST(fixture.members->Candidates(fixture.start + Millis(9000)).size() ==
             1u);
}

BOOST_AUTO_TEST_CASE(AssignedWorkers_PeerReportsWorkerLeaving_IsMarkedLeaving) {
  MembershipFixture fixture;
  InstanceInfo worker;
  worker.id = "w1";
  worker.data_centre = "plaka";
  fixture.members->OnPlatformList({worker}, fixture.start);
  Heartbeat heartbeat = MakeHeartbeat("b");
  heartbeat.leaving_workers = {"w1"};
  fixture.members->OnHeartbeat(heartbeat, fixture.start + Millis(9000));
  const auto wanted =
      fixture.members->AssignedWorkers(fixture.start + Millis(9000));
  BOOST_REQUIRE(wanted.size() == 1u);
  BOOST_TEST(wanted[0].leaving);
}

BOOST_AUTO_TEST_SUITE_END()

struct BudgetFixture {
  BudgetFixture()
      : executor(time, 1),
        below(time, executor, model),
        budget({.rate = 10, .burst = 2, .queue_limit = 3}, executor, below) {}

  VirtualTime time;
  standin::KvModel model;
  FakeExecutor executor;
  FakeKv below;
  KvBudget budget;
};

BOOST_AUTO_TEST_SUITE(kv_budget)

BOOST_AUTO_TEST_CASE(KvBudget_CallsOverRate_WaitInPriorityOrder) {
  BudgetFixture fixture;
  std::vector<std::string> order;
  const auto write = [&](const std::string& key, KvPriority priority) {
    fixture.budget.Write(
        {.key = key, .priority = priority},
        [&order, key](std::error_code, int64_t) { order.push_back(key); });
  };
  write("1", KvPriority::kSnapshot);
  write("2", KvPriority::kSnapshot);
  write("snapshot", KvPriority::kSnapshot);
  write("append", KvPriority::kAppend);
  write("lease", KvPriority::kLease);
  fixture.time.Run(Millis(1000));
  const std::vector<std::string> expected = {"1", "2", "lease", "append",
                                             "snapshot"};
  BOOST_TEST(order == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(KvBudget_QueueFull_RefusesAllButLeaseCalls) {
  BudgetFixture fixture;
  int refused = 0;
  int leases = 0;
  for (int n = 0; n < 10; ++n) {
    fixture.budget.Read("k", [&](std::error_code error, const KvEntry&) {
      refused += error == make_error_code(KvErrc::kOverBudget) ? 1 : 0;
    });
  }
  for (int n = 0; n < 10; ++n) {
    fixture.budget.RenewLease(1, [&](std::error_code error, int64_t) {
      leases += error == make_error_code(KvErrc::kOverBudget) ? 0 : 1;
    });
  }
  fixture.time.Run(Millis(5000));
  BOOST_TEST(refused == 5);
  BOOST_TEST(leases == 10);
}

BOOST_AUTO_TEST_CASE(KvBudget_CallsFor10Seconds_KeepToRate) {
  BudgetFixture fixture;
  int answered = 0;
  std::function<void()> again = [&]() {
    fixture.budget.Read("k", [&](std::error_code, const KvEntry&) {
      ++answered;
      again();
    });
  };
  again();
  again();
  fixture.time.Run(Millis(10000));
  BOOST_TEST(answered <= 102);
  BOOST_TEST(answered >= 95);
}

BOOST_AUTO_TEST_SUITE_END()

struct KeeperInstance {
  explicit KeeperInstance(VirtualTime& t, standin::KvModel& model)
      : executor(t, 1), kv(t, executor, model) {
    keeper = std::make_shared<ConfigKeeper>(ConfigKeeperOptions(), executor, kv,
                                            [this]() { ++changes; });
  }
  ~KeeperInstance() { keeper->Stop(); }

  FakeExecutor executor;
  FakeKv kv;
  std::shared_ptr<ConfigKeeper> keeper;
  int changes = 0;
};

struct TwoKeepersFixture {
  TwoKeepersFixture() : first(time, model), second(time, model) {
    first.keeper->Start();
    second.keeper->Start();
  }

  ConfigOutcome Apply(KeeperInstance& at, const ConfigChange& change) {
    std::optional<ConfigOutcome> outcome;
    at.keeper->Apply(change, [&](const ConfigOutcome& o) { outcome = o; });
    time.Run(Millis(15000));
    BOOST_REQUIRE(outcome.has_value());
    return *outcome;
  }

  static ConfigChange MakeChange(const std::string& name) {
    return {.text = "services: [{name: " + name + "}]", .operation = name};
  }

  VirtualTime time;
  standin::KvModel model;
  KeeperInstance first;
  KeeperInstance second;
};

BOOST_AUTO_TEST_SUITE(config_keeper)

BOOST_AUTO_TEST_CASE(ConfigKeeper_ChangeAppliedAtOne_TakesEffectAtOther) {
  TwoKeepersFixture fixture;
  BOOST_TEST(fixture.Apply(fixture.first, fixture.MakeChange("a")).revision ==
             1u);
  BOOST_TEST(fixture.second.keeper->revision() == 1u);
  BOOST_TEST(fixture.second.keeper->configuration().services[0].name == "a");
}

BOOST_AUTO_TEST_CASE(ConfigKeeper_TwoChangesOnOneBase_OnlyOneIsApplied) {
  TwoKeepersFixture fixture;
  fixture.Apply(fixture.first, fixture.MakeChange("a"));
  int won = 0;
  for (KeeperInstance* at : {&fixture.first, &fixture.second}) {
    ConfigChange change = fixture.MakeChange(at == &fixture.first ? "b" : "c");
    change.base = 1;
    at->keeper->Apply(change, [&](const ConfigOutcome& outcome) {
      won += outcome.error ? 0 : 1;
    });
  }
  fixture.time.Run(Millis(5000));
  BOOST_TEST(won == 1);
  BOOST_TEST(fixture.first.keeper->revision() == 2u);
  BOOST_TEST(fixture.first.keeper->text() == fixture.second.keeper->text());
}

BOOST_AUTO_TEST_CASE(ConfigKeeper_ChangeRepeatedAfterFault_IsAppliedOnce) {
  for (const Fault fault : {Fault::kRefused, Fault::kAnswerLost,
                            Fault::kRequestLost, Fault::kDelayed}) {
    for (const int writes : {1, -1}) {
      BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault) << ", writes "
                                  << writes) {
        TwoKeepersFixture fixture;
        fixture.Apply(fixture.first, fixture.MakeChange("a"));
        fixture.first.kv.LimitFaultToWrites(writes);
        fixture.first.kv.set_fault(fault);
        fixture.Apply(fixture.first, fixture.MakeChange("b"));
        fixture.first.kv.set_fault(Fault::kNone);
        const ConfigOutcome again =
            fixture.Apply(fixture.first, fixture.MakeChange("b"));
        BOOST_TEST(!again.error);
        BOOST_TEST(again.revision == 2u);
        BOOST_TEST(fixture.second.keeper->revision() == 2u);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(ConfigKeeper_OlderOrMalformedValue_IsIgnored) {
  TwoKeepersFixture fixture;
  fixture.Apply(fixture.first, fixture.MakeChange("a"));
  const std::string old = fixture.first.keeper->stored_value();
  fixture.Apply(fixture.first, fixture.MakeChange("b"));
  const int changes = fixture.second.changes;
  for (const std::string& value :
       {old, std::string("{}"), std::string("nonsense"),
        std::string(R"({"revision": 9, "text": "services: 3"})")}) {
    fixture.second.keeper->AdoptIfNewer(value);
  }
  BOOST_TEST(fixture.second.keeper->revision() == 2u);
  BOOST_TEST(fixture.second.changes == changes);
}

BOOST_AUTO_TEST_CASE(ConfigKeeper_StoreEmptied_RefusesChange) {
  TwoKeepersFixture fixture;
  fixture.Apply(fixture.first, fixture.MakeChange("a"));
  fixture.Apply(fixture.first, fixture.MakeChange("b"));
  fixture.model = standin::KvModel();
  BOOST_TEST(fixture.Apply(fixture.first, fixture.MakeChange("c")).error ==
             make_error_code(CoreErrc::kConflict));
  BOOST_TEST(fixture.first.keeper->revision() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace doorwood
