// SPDX-License-Identifier: Apache-2.0

// Tasks with a backup copy: two runs of one task that the leader knows. All
// tests run in virtual time. Each guards against losing the task, or against
// running it again, when one of the two runs ends in some way.

#include <boost/test/unit_test.hpp>
#include <string>

#include "fakes/cell_world.h"
#include "libdoorwood/cell/cell_fixture.h"
#include "libdoorwood/cell/cell_world_util.h"

namespace doorwood {
namespace {

using fakes::CellWorld;
using fakes::kFixtureJob;
using fakes::WorkerRunning;

constexpr Millis kStep{10};
constexpr int kSlowdown = 40;

std::string TaskOf(int index) {
  return std::string(kFixtureJob) + ".0.0." + std::to_string(index);
}

/// A cell whose worker `w1` runs tasks far more slowly than the others.
struct BackupFixture {
  explicit BackupFixture(double free_share = 0.3) : world(5) {
    world.options().policy.backups.free_share = free_share;
    world.SetTable({fakes::MakeQueue("queue", 3)});
    for (const char* id : {"w1", "w2", "w3"}) {
      world.AddWorker(id, 8000);
    }
    world.workers().at("w1")->model.SetSlowdown(kSlowdown);
    world.AddInstance("a1", "plaka");
    world.AddInstance("b1", "kerameikos");
    world.WaitForLeader();
    world.Run(Millis(1000));
  }
  ~BackupFixture() {
    for (const std::string& rule : world.violations()) {
      BOOST_ERROR(rule);
    }
    BOOST_TEST(world.completed_task_starts().empty());
  }
  BackupFixture(const BackupFixture&) = delete;
  BackupFixture& operator=(const BackupFixture&) = delete;

  bool Submit(bool allows_copies = true,
              const std::string& payload = "ms=400") {
    JobPlan plan = fakes::MakePlan(kFixtureJob, 1, kTasks, payload);
    plan.steps[0].duplicates = allows_copies;
    plan.steps[0].max_per_worker = 3;  // So that some are on each worker.
    return world.Submit(plan);
  }
  const CellCounters& counters() { return world.Leader()->cell->counters(); }
  std::string State() {
    const auto state = world.StateOf(kFixtureJob);
    return state ? std::string(ToString(*state)) : "not known";
  }
  /// A task with two runs; empty: there is none.
  std::string TaskWithCopy() {
    for (int index = 0; index < kTasks; ++index) {
      if (world.CountRuns(TaskOf(index)) > 1) {
        return TaskOf(index);
      }
    }
    return "";
  }
  /// Advances time until a task has two runs.
  std::string WaitForCopy() {
    for (int i = 0; i < 500 && TaskWithCopy().empty(); ++i) {
      world.RunExactly(kStep);
    }
    BOOST_REQUIRE(!TaskWithCopy().empty());
    return TaskWithCopy();
  }
  /// The worker of the copy, which is not `w1`.
  std::string WorkerOfCopy(const std::string& task) {
    for (const auto& [id, worker] : world.workers()) {
      if (id != "w1" && worker->model.IsRunning(task)) {
        return id;
      }
    }
    return "";
  }
  void ExpectNothingRuns() {
    for (const auto& [id, worker] : world.workers()) {
      BOOST_TEST(worker->model.running_count() == 0U, id);
    }
  }

  static constexpr int kTasks = 6;
  CellWorld world;
};

BOOST_FIXTURE_TEST_CASE(Copy_IsDoneFirst_FirstRunIsStoppedAndJobCompletes,
                        BackupFixture) {
  BOOST_REQUIRE(Submit());
  WaitForCopy();
  world.Run(Millis(4000));
  BOOST_TEST(State() == "completed");
  BOOST_TEST(counters().copies_started >= 1U);
  BOOST_TEST(counters().copies_won == counters().copies_started);
  ExpectNothingRuns();
}

BOOST_FIXTURE_TEST_CASE(Run_IsDoneFirst_CopyIsStopped, BackupFixture) {
  // The copies are slower still.
  world.workers().at("w1")->model.SetSlowdown(10);
  BOOST_REQUIRE(Submit());
  world.Run(Millis(300));
  for (const char* id : {"w2", "w3"}) {
    world.workers().at(id)->model.SetSlowdown(100);
  }
  WaitForCopy();
  world.Run(Millis(6000));
  BOOST_TEST(State() == "completed");
  BOOST_TEST(counters().copies_stopped == counters().copies_started);
  ExpectNothingRuns();
}

BOOST_FIXTURE_TEST_CASE(Step_WithoutTheWord_NeverGetsACopy, BackupFixture) {
  BOOST_REQUIRE(Submit(/*allows_copies=*/false));
  world.Run(Millis(20'000));
  BOOST_TEST(State() == "completed");
  BOOST_TEST(counters().copies_started == 0U);
  for (int index = 0; index < kTasks; ++index) {
    BOOST_TEST(world.starts(TaskOf(index)) == 1);
  }
}

// Guards against a slow task that gets no copy since the other workers of its
// step's rack have no room, though another rack has.
BOOST_FIXTURE_TEST_CASE(Copy_RackOfStepIsFull_IsStartedInAnotherRack,
                        BackupFixture) {
  world.workers().at("w1")->incarnation.labels = {"a", "r2"};
  world.workers().at("w1")->model.SetSlowdown(1);
  world.workers().at("w2")->model.SetSlowdown(kSlowdown);
  world.Run(Millis(1000));
  JobPlan plan = fakes::MakePlan(kFixtureJob, 1, kTasks, "ms=400");
  plan.steps[0].duplicates = true;
  plan.steps[0].max_per_worker = 3;
  plan.steps[0].same_rack = true;  // Takes w2 and w3 whole.
  plan.steps[0].size.cpu_millis = 2600;
  BOOST_REQUIRE(world.Submit(plan));
  for (int index = 0; index < kTasks; ++index) {
    BOOST_TEST(!world.workers().at("w1")->model.IsRunning(TaskOf(index)));
  }
  world.Run(Millis(6000));
  BOOST_TEST(counters().copies_started >= 1U);
  BOOST_TEST(State() == "completed");
}

BOOST_AUTO_TEST_CASE(Copies_SwitchedOff_NoneIsStarted) {
  BackupFixture fixture(/*free_share=*/0);
  BOOST_REQUIRE(fixture.Submit());
  fixture.world.Run(Millis(20'000));
  BOOST_TEST(fixture.State() == "completed");
  BOOST_TEST(fixture.counters().copies_started == 0U);
}

// Peak: other work of the service waits for room.
BOOST_FIXTURE_TEST_CASE(Copies_StepsWaitForRoom_NoneIsStarted, BackupFixture) {
  BOOST_REQUIRE(Submit());
  JobPlan waiting = fakes::MakePlan("00112233aabbccde", 1, 40, "ms=30000");
  BOOST_REQUIRE(world.Submit(waiting));
  world.Run(Millis(8000));
  BOOST_TEST(counters().copies_started == 0U);
}

BOOST_FIXTURE_TEST_CASE(Copy_Fails_FirstRunGoesOnAndCompletes, BackupFixture) {
  world.workers().at("w1")->model.SetSlowdown(10);
  BOOST_REQUIRE(Submit());
  world.Run(Millis(300));
  for (const char* id : {"w2", "w3"}) {
    world.workers().at(id)->model.FailOneRunOf(1);
  }
  const std::string task = WaitForCopy();
  world.Run(Millis(900));
  BOOST_TEST(world.CountRuns(task) == 1);
  BOOST_TEST(WorkerRunning(world, task) == "w1");
  world.Run(Millis(5000));
  BOOST_TEST(State() == "completed");
  BOOST_TEST(world.starts(task) == 2);
}

BOOST_FIXTURE_TEST_CASE(Copy_WorkerOfFirstRunIsLost_CopyGoesOnAndCompletes,
                        BackupFixture) {
  BOOST_REQUIRE(Submit());
  const std::string task = WaitForCopy();
  world.CrashWorker("w1");
  world.Run(Millis(15'000));
  BOOST_TEST(State() == "completed");
  BOOST_TEST(world.starts(task) == 2);
}

BOOST_FIXTURE_TEST_CASE(Copy_ItsWorkerIsLost_TaskStillCompletes,
                        BackupFixture) {
  BOOST_REQUIRE(Submit());
  const std::string task = WaitForCopy();
  world.CrashWorker(WorkerOfCopy(task));
  world.Run(Millis(20'000));
  BOOST_TEST(State() == "completed");
}

// All runs fail, the copies among them: each failure counts once, and no start
// follows the last of three.
BOOST_FIXTURE_TEST_CASE(Copy_AllRunsFail_JobFailsAfterMaxAttempts,
                        BackupFixture) {
  world.workers().at("w1")->model.SetSlowdown(5);
  BOOST_REQUIRE(Submit());
  world.Run(Millis(300));
  for (const auto& [id, worker] : world.workers()) {
    worker->model.FailOneRunOf(1);
  }
  const std::string task = WaitForCopy();
  world.Run(Millis(1000));
  // The first run, which began before, completes unless it is lost.
  world.CrashWorker("w1");
  world.Run(Millis(20'000));
  BOOST_TEST(State() == "failed");
  // The first run was lost, and three failed.
  BOOST_TEST(world.starts(task) <= 4);
  ExpectNothingRuns();
}

BOOST_FIXTURE_TEST_CASE(Job_CancelledWithTwoRuns_BothStop, BackupFixture) {
  BOOST_REQUIRE(Submit());
  WaitForCopy();
  world.Leader()->cell->Cancel(kFixtureJob, [](std::error_code) {});
  world.Run(Millis(1500));
  BOOST_TEST(State() == "cancelled");
  ExpectNothingRuns();
}

// The successor adopts both runs: it neither starts the task again nor loses
// it, whatever the moment.
BOOST_AUTO_TEST_CASE(Leader_EndsWithTwoRunsAtWork_SuccessorStartsNoThird) {
  for (int after_ms = 0; after_ms <= 400; after_ms += 50) {
    BOOST_TEST_CONTEXT("leader ends " << after_ms << " ms after the copy") {
      BackupFixture fixture;
      BOOST_REQUIRE(fixture.Submit());
      const std::string task = fixture.WaitForCopy();
      fixture.world.RunExactly(Millis(after_ms));
      fixture.world.Kill(fixture.world.Leader()->name);
      fixture.world.Run(Millis(15'000));
      BOOST_TEST(fixture.State() == "completed");
      BOOST_TEST(fixture.world.starts(task) == 2);
      fixture.ExpectNothingRuns();
    }
  }
}

// The order to start the copy is carried out but not answered, or is carried
// out after six seconds.
BOOST_AUTO_TEST_CASE(Copy_StartUnanswered_TaskCompletesOnce) {
  for (const bool executed : {true, false}) {
    BOOST_TEST_CONTEXT("executed " << (executed ? "at once" : "late")) {
      BackupFixture fixture;
      BOOST_REQUIRE(fixture.Submit());
      fixture.world.Run(Millis(500));
      auto* leader = fixture.world.Leader();
      (executed ? leader->lost_order_reply_share
                : leader->delayed_order_share) = 1.0;
      for (int i = 0; i < 500 && leader->cell->counters().copies_started == 0;
           ++i) {
        fixture.world.RunExactly(kStep);
      }
      BOOST_TEST(leader->cell->counters().copies_started > 0U);
      fixture.world.Run(Millis(300));
      leader->lost_order_reply_share = 0;
      leader->delayed_order_share = 0;
      fixture.world.Run(Millis(25'000));
      BOOST_TEST(fixture.State() == "completed");
      fixture.ExpectNothingRuns();
    }
  }
}

// The workers of the copies have seen higher run numbers of the tasks.
BOOST_FIXTURE_TEST_CASE(Copy_StartRefusedAsStale_FirstRunGoesOnAndCompletes,
                        BackupFixture) {
  constexpr uint32_t kHigherRun = 1000;
  world.workers().at("w1")->model.SetSlowdown(10);
  BOOST_REQUIRE(Submit());
  world.Run(Millis(300));
  const auto token = static_cast<uint64_t>(world.Leader()->cell->epoch());
  for (const char* id : {"w2", "w3"}) {
    for (int index = 0; index < kTasks; ++index) {
      world.workers().at(id)->model.Stop({token, TaskOf(index), kHigherRun});
    }
  }
  world.Run(Millis(1500));
  BOOST_TEST(counters().copies_started > 0U);
  world.Run(Millis(8000));
  BOOST_TEST(State() == "completed");
  ExpectNothingRuns();
}

// A worker falls silent before the ends of its runs are heard: their tasks need
// not wait until its lease of 6 s has expired.
BOOST_FIXTURE_TEST_CASE(Run_WorkerIsSilent_CopyCompletesTaskSooner,
                        BackupFixture) {
  world.workers().at("w1")->model.SetSlowdown(1);
  BOOST_REQUIRE(Submit(/*allows_copies=*/true, "ms=3000"));
  world.Run(Millis(2500));
  fakes::PartitionAllFrom(world, "w1");
  world.Run(Millis(6000));
  BOOST_TEST(State() == "completed");
  BOOST_TEST(counters().copies_won >= 1U);
}

}  // namespace
}  // namespace doorwood
