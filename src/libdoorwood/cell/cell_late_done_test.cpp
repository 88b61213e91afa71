// SPDX-License-Identifier: Apache-2.0

// A worker completes a task while its leader cannot reach it, and the run's
// lease of 6 s expires. The leader counts the run as lost and queues the task
// again. Guards against a leader that then ignores the worker's report: the
// task ran again, and the next step waited. In an overload with repeated
// partitions, jobs ended 14 s after the last request although all tasks of
// their first step were done. All tests run in virtual time.

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "fakes/cell_world.h"
#include "libdoorwood/cell/cell_fixture.h"
#include "libdoorwood/cell/cell_world_util.h"

namespace doorwood {
namespace {

using fakes::CellWorld;
using fakes::kFixtureJob;
using fakes::PartitionAllFrom;
using fakes::WorkerRunning;
using fakes::WorldInstance;

// Time from `RestoreContact` until the worker is listed and called again, and
// its report is processed.
constexpr Millis kReportDelay{1100};
// The platform allows a task whose turn has come to wait for 3 s. After the
// loss of a leader, another instance leads within 2.5 s.
constexpr Millis kLeadLossBound{5500};
constexpr Millis kStep{10};
constexpr char kRunLost[] = "run ended without a report from the worker";

std::string TaskOf(int step, int index) {
  return std::string(kFixtureJob) + ".0." + std::to_string(step) + "." +
         std::to_string(index);
}

// Partitions the worker from all instances, and removes its directory entry.
void LoseContact(CellWorld& world, const std::string& worker) {
  PartitionAllFrom(world, worker);
  world.workers().at(worker)->listed = false;
}

// Ends the partitions of all workers, and restores this worker's directory
// entry.
void RestoreContact(CellWorld& world, const std::string& worker) {
  for (const auto& [name, instance] : world.instances()) {
    instance->unreachable_workers.clear();
  }
  world.workers().at(worker)->listed = true;
}

/// A cell whose only worker completes the first step while no instance reaches
/// it.
struct LateCompletionFixture {
  explicit LateCompletionFixture(int tasks, bool gang) : world(7) {
    world.SetTable({fakes::MakeQueue("queue", 3)});
    world.AddWorker("w1", 8000);
    for (const char* name : {"a1", "b1", "c1"}) {
      world.AddInstance(name, name);
    }
    world.WaitForLeader();
    world.Run(Millis(1000));
    plan = fakes::MakePlan(kFixtureJob, 2, tasks, "ms=2000");
    plan.steps[0].gang = gang;
    BOOST_REQUIRE(world.Submit(plan));
    world.Run(Millis(500));
    BOOST_REQUIRE(WorkerRunning(world, TaskOf(0, 0)) == "w1");
    LoseContact(world, "w1");
  }
  ~LateCompletionFixture() {
    for (const std::string& rule : world.violations()) {
      BOOST_ERROR(rule);
    }
  }
  LateCompletionFixture(const LateCompletionFixture&) = delete;
  LateCompletionFixture& operator=(const LateCompletionFixture&) = delete;

  /// Adds another worker, and runs the world until the first step is started
  /// again there.
  void WaitForSecondRun() {
    world.AddWorker("w2", 8000);
    for (int i = 0; i < 300 && world.starts(TaskOf(0, 0)) == 1; ++i) {
      world.Run(Millis(50));
    }
    BOOST_REQUIRE(WorkerRunning(world, TaskOf(0, 0)) == "w2");
  }
  void ExpectCompleted() {
    BOOST_TEST((world.StateOf(kFixtureJob) == JobPhase::kCompleted));
  }

  CellWorld world;
  JobPlan plan;
};

// The lease expires at most 6.5 s after the last call that the worker answered.
// Until the report arrives, the leader correctly counts the run as lost. A
// leader that ignored the report logged "run ended without a report from the
// worker" for run 1. For the same run, it then logged "late end of a run
// neither completes its task nor fails its job" with end "done". Each of five
// simulations had 3,662 to 5,252 such lines.
BOOST_AUTO_TEST_CASE(LateCompletion_TaskWaits_CountsAndTaskDoesNotRunAgain) {
  for (int unreachable_ms = 7000; unreachable_ms <= 12'000;
       unreachable_ms += 1000) {
    BOOST_TEST_CONTEXT("unreachable for " << unreachable_ms << " ms") {
      LateCompletionFixture fixture(3, /*gang=*/false);
      fixture.world.Run(Millis(unreachable_ms));
      RestoreContact(fixture.world, "w1");
      fixture.world.Run(kReportDelay);
      for (int index = 0; index < 3; ++index) {
        BOOST_TEST(fixture.world.starts(TaskOf(0, index)) == 1);
        BOOST_TEST(fixture.world.starts(TaskOf(1, index)) == 1);
      }
      fixture.world.Run(Millis(3000));
      fixture.ExpectCompleted();
    }
  }
}

BOOST_AUTO_TEST_CASE(
    LateCompletion_TaskRunsAgain_SecondRunStopsAndNextStepStarts) {
  for (int delay_ms = 0; delay_ms <= 800; delay_ms += 200) {
    BOOST_TEST_CONTEXT("reachable " << delay_ms
                                    << " ms after the second start") {
      LateCompletionFixture fixture(3, /*gang=*/false);
      fixture.WaitForSecondRun();
      fixture.world.Run(Millis(delay_ms));
      RestoreContact(fixture.world, "w1");
      fixture.world.Run(kReportDelay);
      for (int index = 0; index < 3; ++index) {
        BOOST_TEST(WorkerRunning(fixture.world, TaskOf(0, index)).empty());
        BOOST_TEST(fixture.world.starts(TaskOf(1, index)) == 1);
      }
      fixture.world.Run(Millis(3000));
      fixture.ExpectCompleted();
      BOOST_TEST(fixture.world.starts(TaskOf(0, 0)) == 2);
    }
  }
}

// The completion of one task of a gang completes all tasks of the gang, so all
// of their second runs stop.
BOOST_AUTO_TEST_CASE(LateCompletion_GangRunsAgain_AllMembersStop) {
  for (int delay_ms = 0; delay_ms <= 800; delay_ms += 200) {
    BOOST_TEST_CONTEXT("reachable " << delay_ms
                                    << " ms after the second start") {
      LateCompletionFixture fixture(3, /*gang=*/true);
      fixture.WaitForSecondRun();
      fixture.world.Run(Millis(delay_ms));
      RestoreContact(fixture.world, "w1");
      fixture.world.Run(kReportDelay);
      for (int index = 0; index < 3; ++index) {
        BOOST_TEST(WorkerRunning(fixture.world, TaskOf(0, index)).empty());
        BOOST_TEST(fixture.world.starts(TaskOf(1, index)) == 1);
      }
      fixture.world.Run(Millis(3000));
      fixture.ExpectCompleted();
    }
  }
}

BOOST_AUTO_TEST_CASE(LateCompletion_OneOfAGangIsReported_AllMembersStop) {
  CellWorld world(7);
  world.SetTable({fakes::MakeQueue("queue", 3)});
  world.AddWorker("w0", 1000);
  world.AddWorker("w1", 2000);
  world.AddInstance("a1", "a1");
  world.WaitForLeader();
  world.Run(Millis(1000));
  JobPlan plan = fakes::MakePlan(kFixtureJob, 2, 3, "ms=2000");
  plan.steps[0].gang = true;
  BOOST_REQUIRE(world.Submit(plan));
  world.Run(Millis(500));
  LoseContact(world, "w0");
  LoseContact(world, "w1");
  world.AddWorker("w2", 8000);
  for (int i = 0; i < 300 && world.starts(TaskOf(0, 0)) == 1; ++i) {
    world.Run(Millis(50));
  }
  BOOST_REQUIRE(world.workers().at("w2")->model.running_count() == 3U);
  world.instances().at("a1")->unreachable_workers.erase("w0");
  world.workers().at("w0")->listed = true;
  world.Run(kReportDelay);
  for (int index = 0; index < 3; ++index) {
    BOOST_TEST(WorkerRunning(world, TaskOf(0, index)).empty());
    BOOST_TEST(world.starts(TaskOf(1, index)) == 1);
  }
  for (const std::string& rule : world.violations()) {
    BOOST_ERROR(rule);
  }
}

// The next leader reads in the store that the task is done, or receives the
// worker's report: a worker keeps an end until a leader has recorded it.
BOOST_AUTO_TEST_CASE(LateCompletion_LeaderFailsSoonAfter_TaskDoesNotRunAgain) {
  for (int leader_delay_ms = 0; leader_delay_ms <= 900;
       leader_delay_ms += 100) {
    BOOST_TEST_CONTEXT("leader lost " << leader_delay_ms
                                      << " ms after the worker is back") {
      LateCompletionFixture fixture(3, /*gang=*/false);
      fixture.world.Run(Millis(9000));
      RestoreContact(fixture.world, "w1");
      fixture.world.Run(Millis(leader_delay_ms));
      const WorldInstance* leader = fixture.world.Leader();
      BOOST_REQUIRE(leader != nullptr);
      fixture.world.Kill(leader->name);
      fixture.world.Run(Millis(20'000));
      fixture.ExpectCompleted();
      for (int index = 0; index < 3; ++index) {
        BOOST_TEST(fixture.world.starts(TaskOf(0, index)) == 1);
      }
    }
  }
}

// A long-running task is never done: it is started again whenever it ends, even
// if its end is reported late.
BOOST_AUTO_TEST_CASE(LateCompletion_LongRunningTask_RunsAgain) {
  CellWorld world(7);
  world.SetTable({fakes::MakeQueue("queue", 3)});
  world.AddWorker("w1", 8000);
  world.AddInstance("a1", "a1");
  world.WaitForLeader();
  world.Run(Millis(1000));
  JobPlan plan = fakes::MakePlan(kFixtureJob, 1, 1, "ms=2000");
  plan.steps[0].long_running = true;
  BOOST_REQUIRE(world.Submit(plan));
  world.Run(Millis(500));
  LoseContact(world, "w1");
  world.Run(Millis(9000));
  RestoreContact(world, "w1");
  world.Run(kReportDelay);
  BOOST_TEST(world.starts(TaskOf(0, 0)) == 2);
  BOOST_TEST(WorkerRunning(world, TaskOf(0, 0)) == "w1");
  for (const std::string& rule : world.violations()) {
    BOOST_ERROR(rule);
  }
}

/// Checks after the worker is back that its report counts, whatever the leaders
/// did meanwhile: the next step starts in time, and the job ends.
void ExpectNextStepStarts(LateCompletionFixture& fixture, Millis bound) {
  const auto next_step_started = [&fixture] {
    return fixture.world.starts(TaskOf(1, 0)) > 0 &&
           fixture.world.starts(TaskOf(1, 1)) > 0 &&
           fixture.world.starts(TaskOf(1, 2)) > 0;
  };
  for (Millis passed{0}; passed < bound && !next_step_started();
       passed += kStep) {
    fixture.world.RunExactly(kStep);
  }
  BOOST_TEST(next_step_started());
  fixture.world.Run(Millis(20'000));
  fixture.ExpectCompleted();
  BOOST_TEST(fixture.world.completed_task_starts().empty());
}

// Guards against a leader that ignores a completion because it read records in
// which the task was queued again.
BOOST_AUTO_TEST_CASE(LateCompletion_ReportedToNextLeader_TaskDoesNotRunAgain) {
  for (int back_ms = 0; back_ms <= 16'000; back_ms += 1000) {
    BOOST_TEST_CONTEXT("reachable " << back_ms << " ms after the leader ends") {
      LateCompletionFixture fixture(3, /*gang=*/false);
      fixture.world.Run(Millis(8000));
      fixture.world.Kill(fixture.world.Leader()->name);
      fixture.world.Run(Millis(back_ms));
      RestoreContact(fixture.world, "w1");
      ExpectNextStepStarts(fixture, kLeadLossBound + kReportDelay);
      for (int index = 0; index < 3; ++index) {
        BOOST_TEST(fixture.world.starts(TaskOf(0, index)) == 1);
      }
    }
  }
}

// Guards against a leader that adopts the second run of a task and ignores the
// completion of the first.
BOOST_AUTO_TEST_CASE(
    LateCompletion_ReportedToNextLeaderDuringSecondRun_NextStepStarts) {
  for (int leader_ends_ms = 0; leader_ends_ms <= 600; leader_ends_ms += 200) {
    for (int back_ms = 0; back_ms <= 4500; back_ms += 500) {
      BOOST_TEST_CONTEXT("leader ends " << leader_ends_ms
                                        << " ms after the second start, "
                                           "reachable "
                                        << back_ms << " ms later") {
        LateCompletionFixture fixture(3, /*gang=*/false);
        fixture.WaitForSecondRun();
        fixture.world.Run(Millis(leader_ends_ms));
        fixture.world.Kill(fixture.world.Leader()->name);
        fixture.world.Run(Millis(back_ms));
        RestoreContact(fixture.world, "w1");
        ExpectNextStepStarts(fixture, kLeadLossBound + kReportDelay);
      }
    }
  }
}

// Guards against a completion that is ignored, or a next step that waits, while
// the order of a second run is unanswered or takes effect seconds later.
BOOST_AUTO_TEST_CASE(LateCompletion_SecondStartUnanswered_NextStepStarts) {
  for (const bool executed : {false, true}) {
    for (int back_ms = 0; back_ms <= 3000; back_ms += 250) {
      BOOST_TEST_CONTEXT("start executed " << (executed ? "at once" : "late")
                                           << ", reachable " << back_ms
                                           << " ms after it") {
        LateCompletionFixture fixture(3, /*gang=*/false);
        WorldInstance* leader = fixture.world.Leader();
        (executed ? leader->lost_order_reply_share
                  : leader->delayed_order_share) = 1.0;
        fixture.world.AddWorker("w2", 8000);
        const int lost = fixture.world.log_count(kRunLost);
        for (int i = 0; i < 600 && fixture.world.log_count(kRunLost) == lost;
             ++i) {
          fixture.world.RunExactly(kStep);
        }
        BOOST_REQUIRE(fixture.world.log_count(kRunLost) > lost);
        fixture.world.RunExactly(Millis(back_ms));
        leader->lost_order_reply_share = 0;
        leader->delayed_order_share = 0;
        RestoreContact(fixture.world, "w1");
        ExpectNextStepStarts(fixture, kReportDelay);
      }
    }
  }
}

// Guards against a worker that discards its completion although the batch with
// it was refused, as by a store that has just turned the leader away.
BOOST_AUTO_TEST_CASE(
    LateCompletion_StoreTurnsLeaderAwayAtReport_TaskDoesNotRunAgain) {
  for (const bool keys_lost : {false, true}) {
    for (int turned_away_ms = 0; turned_away_ms <= 1200; turned_away_ms += 50) {
      BOOST_TEST_CONTEXT("turned away " << turned_away_ms
                                        << " ms after the worker is back, keys "
                                        << (keys_lost ? "lost" : "kept")) {
        LateCompletionFixture fixture(3, /*gang=*/false);
        fixture.world.Run(Millis(9000));
        RestoreContact(fixture.world, "w1");
        fixture.world.RunExactly(Millis(turned_away_ms));
        WorldInstance* leader = fixture.world.Leader();
        leader->store_faults.unavailable = true;
        if (keys_lost) {
          fixture.world.store().DropLeaseKeys(*leader->live->lease());
          fixture.world.store().Compact();
        }
        fixture.world.time().RunAt(fixture.world.time().now() + Millis(5000),
                                   [leader, &fixture] {
                                     fixture.world.store().Compact();
                                     leader->store_faults = {};
                                   });
        ExpectNextStepStarts(fixture, kLeadLossBound + kReportDelay);
        for (int index = 0; index < 3; ++index) {
          BOOST_TEST(fixture.world.starts(TaskOf(0, index)) == 1);
        }
      }
    }
  }
}

}  // namespace
}  // namespace doorwood
