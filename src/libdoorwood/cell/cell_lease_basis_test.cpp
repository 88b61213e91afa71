// SPDX-License-Identifier: Apache-2.0

// Guards against a successor that ends its wait for a worker while a lease
// there lasts that an earlier leader granted: by statements that the store is
// away, before its first batch, after a record that excludes it, or as an
// earlier version grants leases. The worker runs on with the slowest clock, and
// no successor reaches it.

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <string>

#include "libdoorwood/cell/lost_leaders_fixture.h"

namespace doorwood {
namespace {

using fakes::kLostLeadersTask;
using fakes::Loss;
using fakes::LostLeadersFixture;
using fakes::ViolationReport;
using fakes::WorkerRunning;
using fakes::WorldInstance;

void ExpectMoved(LostLeadersFixture* fixture) {
  fixture->world.Run(Millis(25'000));
  BOOST_TEST(WorkerRunning(fixture->world, kLostLeadersTask) != "");
}

// During an outage of the store, the leader goes on extending leases because no
// other instance reaches the store either. It is lost when the outage ends.
BOOST_AUTO_TEST_CASE(
    LongRunningTask_LeaderExtendedLeasesInOutage_NeverRunsTwice) {
  ViolationReport report;
  for (int outage_ms = 1000; outage_ms <= 9000; outage_ms += 500) {
    for (const int leads_on_ms : {0, 100, 1500}) {
      LostLeadersFixture fixture(static_cast<uint64_t>(outage_ms),
                                 /*slow_clock=*/true);
      WorldInstance* leader = fixture.world.Leader();
      fixture.CutOffWorker(/*also_from_leader=*/false);
      fixture.SetStoreDown(true);
      fixture.world.Run(Millis(outage_ms));
      // The leader still has no path to the store and to the others.
      fixture.SetStoreDown(false);
      leader->store_faults.unresponsive = true;
      leader->partitioned_from_peers = true;
      fixture.world.Run(Millis(leads_on_ms));
      fixture.world.Kill(leader->name);
      ExpectMoved(&fixture);
      report.Add("outage of " + std::to_string(outage_ms) + " ms, leads on " +
                     std::to_string(leads_on_ms) + " ms",
                 fixture.world);
    }
  }
}

// As above, after a record that says that no lease is extended there: the
// leader had lost contact with the worker for a moment.
BOOST_AUTO_TEST_CASE(
    LongRunningTask_RecordedWorkerAnswersInOutage_NeverRunsTwice) {
  ViolationReport report;
  int extended = 0;
  for (int outage_ms = 2000; outage_ms <= 9000; outage_ms += 500) {
    for (const int unreachable_ms : {1100, 2000, 3000}) {
      LostLeadersFixture fixture(static_cast<uint64_t>(outage_ms),
                                 /*slow_clock=*/true);
      WorldInstance* leader = fixture.world.Leader();
      fixture.CutOffWorker(/*also_from_leader=*/true);
      fixture.world.Run(Millis(unreachable_ms));
      fixture.SetStoreDown(true);
      fixture.world.Run(Millis(100));
      leader->unreachable_workers.clear();
      const int64_t lease_before =
          fixture.world.workers().at("lost")->model.lease_until();
      fixture.world.Run(Millis(outage_ms));
      extended +=
          fixture.world.workers().at("lost")->model.lease_until() > lease_before
              ? 1
              : 0;
      fixture.SetStoreDown(false);
      fixture.world.Kill(leader->name);
      ExpectMoved(&fixture);
      report.Add("unreachable for " + std::to_string(unreachable_ms) +
                     " ms, outage of " + std::to_string(outage_ms) + " ms",
                 fixture.world);
    }
  }
  BOOST_TEST(extended > 0);
}

// The leader extends leases in an outage, loses its lead as its store lease
// ends, takes the lead again after the outage, and no longer reaches the
// worker.
BOOST_AUTO_TEST_CASE(
    LongRunningTask_LeaderSucceedsItselfAfterOutage_NeverRunsTwice) {
  ViolationReport report;
  int led_again = 0;
  for (int leads_ms = 0; leads_ms <= 600; leads_ms += 20) {
    LostLeadersFixture fixture(/*seed=*/3, /*slow_clock=*/true);
    const WorldInstance* leader = fixture.world.Leader();
    fixture.world.RunExactly(Millis(leads_ms));
    fixture.CutOffWorker(/*also_from_leader=*/false);
    // A change of the directory, by which the leader knows when the store had
    // reached the revision of its newest batch.
    StoreTransaction change;
    change.puts.push_back({DeductibleWaitsKey("all"), "1", 0});
    StoreCommit changed;
    BOOST_REQUIRE(!fixture.world.store().Commit(change, &changed));
    fixture.world.RunExactly(Millis(50));
    fixture.SetStoreDown(true);
    fixture.world.Run(Millis(5000));
    fixture.SetStoreDown(false);
    fixture.CutOffWorker(/*also_from_leader=*/true);
    fixture.world.Run(Millis(3000));
    led_again += fixture.world.Leader() == leader &&
                         leader->cell->counters().takeovers > 1
                     ? 1
                     : 0;
    ExpectMoved(&fixture);
    report.Add("led for " + std::to_string(leads_ms) + " ms", fixture.world);
  }
  BOOST_TEST(led_again > 0);
}

// The second leader reaches the worker, and loses the store 0 to 400 ms after
// it has taken the lead. It must extend no lease before its first batch is
// stored, since the third leader counts from the newest batch.
BOOST_AUTO_TEST_CASE(LongRunningTask_SecondLeaderStoresNothing_NeverRunsTwice) {
  ViolationReport report;
  for (int reads_ms = 0; reads_ms <= 400; reads_ms += 5) {
    LostLeadersFixture fixture(static_cast<uint64_t>(reads_ms + 1),
                               /*slow_clock=*/true);
    fixture.LoseLeader(Loss::kKilled);
    WorldInstance* second = fixture.AwaitNextCampaign();
    for (const auto& [name, instance] : fixture.world.instances()) {
      if (instance != second) {
        instance->unreachable_workers.insert("lost");
      }
    }
    fixture.cut_off_worker = true;
    fixture.world.RunExactly(Millis(reads_ms));
    second->store_faults.unresponsive = true;
    second->partitioned_from_peers = true;
    ExpectMoved(&fixture);
    report.Add("loses the store after " + std::to_string(reads_ms) + " ms",
               fixture.world);
  }
}

// The leader has lost contact with the worker, as its record says, and reaches
// it again shortly before it loses the store.
BOOST_AUTO_TEST_CASE(
    LongRunningTask_RecordedWorkerAnswersAsStoreIsLost_NeverRunsTwice) {
  ViolationReport report;
  for (const int unreachable_ms : {1100, 2000, 3500, 5000}) {
    for (int reached_ms = 0; reached_ms <= 400; reached_ms += 10) {
      LostLeadersFixture fixture(
          static_cast<uint64_t>(unreachable_ms + reached_ms),
          /*slow_clock=*/true);
      WorldInstance* leader = fixture.world.Leader();
      fixture.CutOffWorker(/*also_from_leader=*/true);
      fixture.world.RunExactly(Millis(unreachable_ms));
      leader->unreachable_workers.clear();
      fixture.world.RunExactly(Millis(reached_ms));
      leader->store_faults.unresponsive = true;
      leader->partitioned_from_peers = true;
      ExpectMoved(&fixture);
      report.Add("unreachable for " + std::to_string(unreachable_ms) +
                     " ms, reached " + std::to_string(reached_ms) +
                     " ms before the store is lost",
                 fixture.world);
    }
  }
}

// The process of the leader stands still in the middle of what it does, and
// goes on once it has been succeeded.
BOOST_AUTO_TEST_CASE(LongRunningTask_LeaderPausedInItsOrders_NeverRunsTwice) {
  ViolationReport report;
  for (const int pause_ms : {500, 2500, 5000, 9000}) {
    for (int call = 1; call <= 120; call += 3) {
      LostLeadersFixture fixture(static_cast<uint64_t>(pause_ms + call),
                                 /*slow_clock=*/true);
      WorldInstance* leader = fixture.world.Leader();
      fixture.CutOffWorker(/*also_from_leader=*/false);
      leader->executor->PauseInNowCall(call, Millis(pause_ms));
      ExpectMoved(&fixture);
      report.Add("paused for " + std::to_string(pause_ms) + " ms in call " +
                     std::to_string(call),
                 fixture.world);
    }
  }
}

// A leader of an earlier version has led since the newest batch. It may have
// given orders without a batch, with leases that count from each order.
BOOST_AUTO_TEST_CASE(LongRunningTask_EarlierVersionLedInBetween_WaitsInFull) {
  LostLeadersFixture fixture(1);
  fixture.LoseWorker(/*refuses_calls=*/true);
  fixture.LoseLeader(Loss::kRevoked);
  StoreTransaction take;
  take.expected.push_back({LeadKey("all"), 0});
  take.puts.push_back(
      {LeadKey("all"),
       R"({"instance":"z","address":"z","nonce":1,"predecessors":[]})",
       fixture.world.store().GrantLease(100)});
  StoreCommit taken;
  for (int i = 0; i < 50 && fixture.world.store().Commit(take, &taken); ++i) {
    fixture.world.RunExactly(Millis(1));
  }
  BOOST_REQUIRE(taken.revision > 0);
  while (WorkerRunning(fixture.world, kLostLeadersTask).empty() &&
         fixture.world.time().now() < fixture.lost_at + Millis(30'000)) {
    fixture.world.RunExactly(Millis(10));
  }
  const Millis earlier_lease =
      fixture.world.options().sessions.earlier_run_lease;
  BOOST_TEST((fixture.world.time().now() - fixture.lost_at >=
              earlier_lease + CellOptions{}.order_grace));
}

}  // namespace
}  // namespace doorwood
