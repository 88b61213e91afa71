// SPDX-License-Identifier: Apache-2.0

// Three leaders in a row, in virtual time. For a worker that is not yet
// contacted, the third leader deducts from its wait what the second has waited.
// Despite the shorter wait, it must not overlook runs that the second leader
// started on a worker that only the second could reach, or on one that joined
// while the second led. A failure that no leader recorded must count as an
// attempt if the worker reports it to the third leader before the worker's
// lease expires.

#include <boost/test/unit_test.hpp>
#include <string>

#include "libdoorwood/cell/cell_world_util.h"
#include "libdoorwood/cell/leader_succession_fixture.h"

namespace doorwood {
namespace {

using fakes::CellWorld;
using fakes::CountFailuresAtLeaseExpiry;
using fakes::LeaderSuccession;
using fakes::PartitionAllFrom;
using fakes::ViolationReport;
using fakes::WorkerRunning;
using fakes::WorldInstance;

constexpr char kJobOfSecond[] = "00112233aabbccee";
constexpr Millis kSettleTime{16'000};

WorldInstance* KillAndWaitForNextLeader(CellWorld& world,
                                        WorldInstance* before) {
  world.Kill(before->name);
  WorldInstance* next = world.WaitForLeader();
  BOOST_REQUIRE(next != nullptr);
  return next;
}

// 0.5 to 11 s after it took the lead, the second leader begins to reach the
// worker "old_only" and loses contact with all others. The second leader may
// adopt the runs on "old_only" and start more. It is lost 0.15 to 2.1 s later.
// The third leader never reaches "old_only".
BOOST_AUTO_TEST_CASE(ThirdLeader_OnlySecondReachedWorker_NothingRunsTwice) {
  ViolationReport violation_report;
  for (int not_contacted_ms = 500; not_contacted_ms <= 11'000;
       not_contacted_ms += 500) {
    for (int contacted_ms = 50; contacted_ms <= 2000; contacted_ms += 150) {
      LeaderSuccession scenario({"a2", "b2"});
      CellWorld& world = scenario.world;
      WorldInstance* second =
          KillAndWaitForNextLeader(world, scenario.old_leader);
      world.Run(Millis(not_contacted_ms));
      second->unreachable_workers = {"new_only", "both"};
      world.Submit(LeaderSuccession::Plan(kJobOfSecond, 2));
      world.Run(Millis(contacted_ms));
      PartitionAllFrom(world, "old_only");
      KillAndWaitForNextLeader(world, second);
      world.Run(kSettleTime);
      violation_report.Add("not contacted " + std::to_string(not_contacted_ms) +
                               " contacted " + std::to_string(contacted_ms),
                           world);
    }
  }
}

// A worker joins under the second leader, which alone can reach it. The store
// becomes unresponsive to that leader 0 to 1.5 s later, and the leader is lost
// 0.2 to 4 s after that. The directory may no longer list the worker by then.
BOOST_AUTO_TEST_CASE(ThirdLeader_WorkerJoinedUnderSecond_NothingRunsTwice) {
  ViolationReport violation_report;
  int runs_on_joined_worker = 0;
  for (const bool listed : {true, false}) {
    for (int store_unresponsive_after = 0; store_unresponsive_after <= 1500;
         store_unresponsive_after += 50) {
      for (const int lost_after : {200, 1000, 2500, 4000}) {
        LeaderSuccession scenario({"a2", "b2"});
        CellWorld& world = scenario.world;
        WorldInstance* second =
            KillAndWaitForNextLeader(world, scenario.old_leader);
        world.Run(Millis(10'500));
        PartitionAllFrom(world, "late");
        second->unreachable_workers = {"new_only", "both", "old_only"};
        // Larger than the free capacity of the other workers.
        JobPlan plan = fakes::MakePlan(kJobOfSecond, 1, 1, "ms=100000");
        plan.steps[0].size.cpu_millis = 9000;
        BOOST_REQUIRE(world.Submit(plan));
        world.AddWorker("late", 16'000);
        world.Run(Millis(store_unresponsive_after));
        second->store_faults.unresponsive = true;
        world.Run(Millis(lost_after));
        runs_on_joined_worker +=
            static_cast<int>(world.workers().at("late")->model.running_count());
        world.workers().at("late")->listed = listed;
        KillAndWaitForNextLeader(world, second);
        world.Run(kSettleTime);
        violation_report.Add("store unresponsive after " +
                                 std::to_string(store_unresponsive_after) +
                                 " lost after " + std::to_string(lost_after) +
                                 (listed ? "" : " not listed"),
                             world);
      }
    }
  }
  BOOST_TEST(runs_on_joined_worker > 0);
}

struct AttemptsRow {
  int recorded;
  int partitioned_run;
  int second_leads_ms;
  bool third_reaches;
};

// A leader waits until runs on a worker that is not yet contacted must have
// ended; the third leader deducts what the second has waited. With
// `within_wait`, returns the cases in which the third leader reaches the worker
// before that wait is over. Otherwise, returns those in which it reaches the
// worker after the wait, and those in which it can reach the worker only
// kSettleTime after it took the lead.
std::vector<AttemptsRow> MakeAttemptsRows(bool within_wait) {
  std::vector<AttemptsRow> rows;
  for (int second_leads_ms = 500; second_leads_ms <= 11'000;
       second_leads_ms += 500) {
    for (const int recorded : {0, 1}) {
      for (const int partitioned_run : {1, 2}) {
        // Of the lease of 6 s, up to 0.4 s have passed at the loss of the first
        // leader, 2 s are allowed for the time without a leader, and 1 s for
        // the third leader to take over and to get answers.
        const bool is_within_wait = second_leads_ms <= 2500;
        if (is_within_wait == within_wait) {
          rows.push_back({recorded, partitioned_run, second_leads_ms, true});
        }
        if (!within_wait) {
          rows.push_back({recorded, partitioned_run, second_leads_ms, false});
        }
      }
    }
  }
  return rows;
}

// Two runs of a task fail under the first leader, and the store records the
// failure of the first run or of neither. The second leader cannot reach the
// worker of one of the two runs; the third can, at once or after kSettleTime.
// The task is allowed four attempts.
void RunAttemptsRows(bool within_wait) {
  const std::string task = std::string(fakes::kSuccessionJob) + ".0.0.0";
  for (const AttemptsRow& row : MakeAttemptsRows(within_wait)) {
    CellWorld world(3);
    world.SetTable({fakes::MakeQueue("queue", 4)});
    for (const char* id : {"w1", "w2", "w3", "w4", "w5", "w6"}) {
      world.AddWorker(id, 8000);
    }
    for (const char* name : {"a1", "b1", "c1", "a2", "b2"}) {
      world.AddInstance(name, LeaderSuccession::DataCentreOf(name));
    }
    WorldInstance* old = world.WaitForLeader();
    world.Run(Millis(1000));
    BOOST_REQUIRE(world.Submit(
        fakes::MakePlan(fakes::kSuccessionJob, 1, 1, "ms=1200 fails=999999")));
    std::string partitioned_worker;
    const auto run_until = [&](int starts) {
      for (int i = 0; i < 100 && world.starts(task) < starts; ++i) {
        world.Run(Millis(50));
      }
    };
    for (int run = 1; run <= 2; ++run) {
      run_until(run);
      world.Run(Millis(300));
      partitioned_worker = run == row.partitioned_run
                               ? WorkerRunning(world, task)
                               : partitioned_worker;
      for (const auto& [name, instance] : world.instances()) {
        instance->store_faults.unavailable = run > row.recorded;
      }
    }
    run_until(3);
    world.Run(Millis(100));
    old->partitioned_from_peers = true;
    for (const auto& [name, instance] : world.instances()) {
      instance->store_faults.unavailable = instance == old;
    }
    PartitionAllFrom(world, partitioned_worker);
    WorldInstance* second = KillAndWaitForNextLeader(world, old);
    world.Run(Millis(row.second_leads_ms));
    WorldInstance* third = KillAndWaitForNextLeader(world, second);
    if (row.third_reaches) {
      third->unreachable_workers.clear();
    }
    world.Run(kSettleTime);
    for (const auto& [name, instance] : world.instances()) {
      instance->unreachable_workers.clear();
    }
    world.Run(kSettleTime);
    BOOST_TEST_CONTEXT("recorded " << row.recorded << ", partitioned run "
                                   << row.partitioned_run << ", second leads "
                                   << row.second_leads_ms
                                   << ", third reaches it "
                                   << row.third_reaches) {
      const int uncounted =
          within_wait ? 0 : CountFailuresAtLeaseExpiry(world, task);
      BOOST_TEST(world.starts(task) <= 4 + uncounted);
      BOOST_TEST(world.violations().empty());
      const auto state = world.StateOf(fakes::kSuccessionJob);
      BOOST_TEST((state ? ToString(*state) : "not known") == "failed");
    }
  }
}

BOOST_AUTO_TEST_CASE(ThirdLeader_FailureReportedWithinWait_AtMostFourAttempts) {
  RunAttemptsRows(/*within_wait=*/true);
}

// Failures that are acknowledged after the wait, and so after the worker's
// lease expired, do not count as attempts, so each allows one more start.
BOOST_AUTO_TEST_CASE(ThirdLeader_FailureReportedAfterWait_AtMostFourCount) {
  RunAttemptsRows(/*within_wait=*/false);
}

}  // namespace
}  // namespace doorwood
