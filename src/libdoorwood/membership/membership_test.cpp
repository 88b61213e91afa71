// SPDX-License-Identifier: Apache-2.0

// Membership, hashing, the call budget and the configuration's keeper.

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

Heartbeat Beat(const std::string& id, const std::string& dc = "plaka") {
  Heartbeat beat;
  beat.instance = id;
  beat.incarnation = 1;
  beat.data_centre = dc;
  return beat;
}

struct Members {
  Members() {
    InstanceInfo self;
    self.id = "a";
    self.data_centre = "plaka";
    members.emplace(MembershipOptions(), self, start);
  }

  Instant start = Instant(Millis(100000));
  std::optional<Membership> members;
};

BOOST_AUTO_TEST_SUITE(membership)

BOOST_AUTO_TEST_CASE(rendezvous_with_one_candidate_less_moves_only_its_keys) {
  const std::vector<std::string> all = {"a", "b", "c", "d"};
  const std::vector<std::string> fewer = {"a", "b", "d"};
  int moved = 0;
  constexpr int kKeys = 1000;
  for (int n = 0; n < kKeys; ++n) {
    const std::string key = "w" + std::to_string(n);
    const std::string before = Rendezvous(key, all);
    const std::string after = Rendezvous(key, fewer);
    if (before != "c") {
      BOOST_TEST(before == after);
    }
    moved += before != after ? 1 : 0;
  }
  BOOST_TEST(moved > kKeys / 8);
  BOOST_TEST(moved < kKeys / 2);
}

BOOST_AUTO_TEST_CASE(peer_counts_once_settled_and_until_silent_or_leaving) {
  Members it;
  const Millis settle = MembershipOptions().settle;
  const Instant now = it.start + 10 * settle;
  it.members->OnHeartbeat(Beat("b"), now);
  BOOST_TEST(it.members->Candidates(now).size() == 1u);
  it.members->OnHeartbeat(Beat("b"), now + settle);
  BOOST_TEST(it.members->Candidates(now + settle).size() == 2u);
  Heartbeat leaving = Beat("b");
  leaving.leaving = true;
  it.members->OnHeartbeat(leaving, now + settle);
  BOOST_TEST(it.members->Candidates(now + settle).size() == 1u);
  it.members->Expire(now + settle + Millis(2001));
  BOOST_TEST(it.members->peers().empty());
  BOOST_TEST((it.members->last_departure() == now + settle + Millis(2001)));
}

BOOST_AUTO_TEST_CASE(restarted_peer_has_to_settle_again) {
  Members it;
  const Instant now = it.start + Millis(20000);
  it.members->OnHeartbeat(Beat("b"), now);
  Heartbeat restarted = Beat("b");
  restarted.incarnation = 2;
  it.members->OnHeartbeat(restarted, now + Millis(1500));
  BOOST_TEST(it.members->Candidates(now + Millis(1500)).size() == 1u);
}

BOOST_AUTO_TEST_CASE(peer_of_another_data_centre_is_no_candidate) {
  Members it;
  it.members->OnHeartbeat(Beat("k", "kerameikos"), it.start);
  BOOST_TEST(it.members->Candidates(it.start + Millis(9000)).size() == 1u);
}

BOOST_AUTO_TEST_CASE(worker_told_as_leaving_by_a_peer_is_leaving) {
  Members it;
  InstanceInfo worker;
  worker.id = "w1";
  worker.data_centre = "plaka";
  it.members->OnList({worker}, it.start);
  Heartbeat beat = Beat("b");
  beat.leaving_workers = {"w1"};
  it.members->OnHeartbeat(beat, it.start + Millis(9000));
  const auto wanted = it.members->WantedWorkers(it.start + Millis(9000));
  BOOST_REQUIRE(wanted.size() == 1u);
  BOOST_TEST(wanted[0].leaving);
}

BOOST_AUTO_TEST_SUITE_END()

struct Budgeted {
  Budgeted()
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

BOOST_AUTO_TEST_CASE(calls_past_the_rate_wait_in_order_of_importance) {
  Budgeted it;
  std::vector<std::string> order;
  const auto write = [&](const std::string& key, KvPriority priority) {
    it.budget.Write(
        {.key = key, .priority = priority},
        [&order, key](std::error_code, int64_t) { order.push_back(key); });
  };
  write("1", KvPriority::kSnapshot);
  write("2", KvPriority::kSnapshot);
  write("snapshot", KvPriority::kSnapshot);
  write("append", KvPriority::kAppend);
  write("lease", KvPriority::kLease);
  it.time.Run(Millis(1000));
  const std::vector<std::string> expected = {"1", "2", "lease", "append",
                                             "snapshot"};
  BOOST_TEST(order == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(calls_past_the_queue_are_refused_but_leases_never) {
  Budgeted it;
  int refused = 0;
  int leases = 0;
  for (int n = 0; n < 10; ++n) {
    it.budget.Read("k", [&](std::error_code error, const KvEntry&) {
      refused += error == make_error_code(KvErrc::kOverBudget) ? 1 : 0;
    });
  }
  for (int n = 0; n < 10; ++n) {
    it.budget.RenewLease(1, [&](std::error_code error, int64_t) {
      leases += error == make_error_code(KvErrc::kOverBudget) ? 0 : 1;
    });
  }
  it.time.Run(Millis(5000));
  BOOST_TEST(refused == 5);
  BOOST_TEST(leases == 10);
}

BOOST_AUTO_TEST_CASE(rate_holds_over_a_long_time) {
  Budgeted it;
  int answered = 0;
  std::function<void()> again = [&]() {
    it.budget.Read("k", [&](std::error_code, const KvEntry&) {
      ++answered;
      again();
    });
  };
  again();
  again();
  it.time.Run(Millis(10000));
  BOOST_TEST(answered <= 102);
  BOOST_TEST(answered >= 95);
}

BOOST_AUTO_TEST_SUITE_END()

struct Keeping {
  explicit Keeping(VirtualTime& t, standin::KvModel& model)
      : executor(t, 1), kv(t, executor, model) {
    keeper = std::make_shared<ConfigKeeper>(ConfigKeeperOptions(), executor, kv,
                                            [this]() { ++changes; });
  }
  ~Keeping() { keeper->Stop(); }

  FakeExecutor executor;
  FakeKv kv;
  std::shared_ptr<ConfigKeeper> keeper;
  int changes = 0;
};

struct TwoKeepers {
  TwoKeepers() : first(time, model), second(time, model) {
    first.keeper->Start();
    second.keeper->Start();
  }

  ConfigOutcome Apply(Keeping& at, const ConfigChange& change) {
    std::optional<ConfigOutcome> outcome;
    at.keeper->Apply(change, [&](const ConfigOutcome& o) { outcome = o; });
    time.Run(Millis(15000));
    BOOST_REQUIRE(outcome.has_value());
    return *outcome;
  }

  static ConfigChange Change(const std::string& name) {
    return {.text = "services: [{name: " + name + "}]", .operation = name};
  }

  VirtualTime time;
  standin::KvModel model;
  Keeping first;
  Keeping second;
};

BOOST_AUTO_TEST_SUITE(config_keeper)

BOOST_AUTO_TEST_CASE(change_applied_at_one_comes_into_force_at_the_other) {
  TwoKeepers it;
  BOOST_TEST(it.Apply(it.first, it.Change("a")).revision == 1u);
  BOOST_TEST(it.second.keeper->revision() == 1u);
  BOOST_TEST(it.second.keeper->configuration().services[0].name == "a");
}

BOOST_AUTO_TEST_CASE(two_changes_on_one_base_have_one_winner) {
  TwoKeepers it;
  it.Apply(it.first, it.Change("a"));
  int won = 0;
  for (Keeping* at : {&it.first, &it.second}) {
    ConfigChange change = it.Change(at == &it.first ? "b" : "c");
    change.base = 1;
    at->keeper->Apply(change, [&](const ConfigOutcome& outcome) {
      won += outcome.error ? 0 : 1;
    });
  }
  it.time.Run(Millis(5000));
  BOOST_TEST(won == 1);
  BOOST_TEST(it.first.keeper->revision() == 2u);
  BOOST_TEST(it.first.keeper->text() == it.second.keeper->text());
}

BOOST_AUTO_TEST_CASE(change_under_a_fault_is_made_once_when_asked_again) {
  for (const Fault fault :
       {Fault::kDown, Fault::kAnswerLost, Fault::kRequestLost, Fault::kLate}) {
    for (const int writes : {1, -1}) {
      BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault) << ", writes "
                                  << writes) {
        TwoKeepers it;
        it.Apply(it.first, it.Change("a"));
        it.first.kv.set_fault_writes(writes);
        it.first.kv.set_fault(fault);
        it.Apply(it.first, it.Change("b"));
        it.first.kv.set_fault(Fault::kNone);
        const ConfigOutcome again = it.Apply(it.first, it.Change("b"));
        BOOST_TEST(!again.error);
        BOOST_TEST(again.revision == 2u);
        BOOST_TEST(it.second.keeper->revision() == 2u);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(older_or_malformed_values_never_come_into_force) {
  TwoKeepers it;
  it.Apply(it.first, it.Change("a"));
  const std::string old = it.first.keeper->value();
  it.Apply(it.first, it.Change("b"));
  const int changes = it.second.changes;
  for (const std::string& value :
       {old, std::string("{}"), std::string("nonsense"),
        std::string(R"({"revision": 9, "text": "services: 3"})")}) {
    it.second.keeper->Take(value);
  }
  BOOST_TEST(it.second.keeper->revision() == 2u);
  BOOST_TEST(it.second.changes == changes);
}

BOOST_AUTO_TEST_CASE(store_that_went_back_is_not_built_upon) {
  TwoKeepers it;
  it.Apply(it.first, it.Change("a"));
  it.Apply(it.first, it.Change("b"));
  it.model = standin::KvModel();
  BOOST_TEST(it.Apply(it.first, it.Change("c")).error ==
             make_error_code(CoreErrc::kConflict));
  BOOST_TEST(it.first.keeper->revision() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace doorwood
