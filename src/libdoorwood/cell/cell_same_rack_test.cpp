// SPDX-License-Identifier: Apache-2.0

// Steps whose tasks are slow unless they share a rack: in which racks they run,
// and that each of them runs. All tests run in virtual time.

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libdoorwood/cell/cell_fixture.h"
#include "libdoorwood/cell/cell_world_util.h"

namespace doorwood {
namespace {

constexpr auto& kJob = fakes::kFixtureJob;
constexpr int kWorkersPerRack = 4;
constexpr int64_t kCpu = 8000;

/// Three racks of four workers with eight processors, beside the fixture's
/// workers, which are closed.
struct RackFixture : public fakes::CellFixture {
  RackFixture() {
    for (const char* id : {"w1", "w2", "w3"}) {
      world.ShutDownWorker(id);
    }
    for (int i = 0; i < 3 * kWorkersPerRack; ++i) {
      const std::string id = "v" + std::to_string(100 + i);
      world.AddWorker(id, kCpu).incarnation.labels = {
          "a", "r" + std::to_string(1 + i / kWorkersPerRack)};
    }
    world.Run(Millis(2000));
  }

  static JobPlan MakeRackPlan(int count,
                              int64_t cpu,
                              const std::string& payload = "",
                              const std::string& id = kJob) {
    JobPlan plan = fakes::MakePlan(id, 1, count, payload);
    plan.steps[0].same_rack = true;
    plan.steps[0].size.cpu_millis = cpu;
    plan.steps[0].long_running = payload.empty();
    return plan;
  }
  static std::string TaskOf(int index) {
    return std::string(kJob) + ".0.0." + std::to_string(index);
  }
  std::string RackOf(const std::string& task) {
    const std::string worker = fakes::WorkerRunning(world, task);
    return worker.empty()
               ? ""
               : world.workers().at(worker)->incarnation.labels.back();
  }
  std::set<std::string> Racks(int count) {
    std::set<std::string> racks;
    for (int i = 0; i < count; ++i) {
      racks.insert(RackOf(TaskOf(i)));
    }
    racks.erase("");
    return racks;
  }
  int CountRunning(int count) {
    int running = 0;
    for (int i = 0; i < count; ++i) {
      running += RackOf(TaskOf(i)).empty() ? 0 : 1;
    }
    return running;
  }
  /// Starts tasks that take all but `free` processors of `workers` of
  /// the rack's workers.
  void FillRack(const std::string& rack,
                int64_t free,
                int workers = kWorkersPerRack) {
    int number = 0;
    for (const auto& [id, worker] : world.workers()) {
      if (worker->incarnation.labels.back() == rack && number < workers) {
        char job[17];
        std::snprintf(job, sizeof job, "%s%014x", rack.c_str(), ++number);
        job[0] = 'f';
        JobPlan plan = fakes::MakePlan(job, 1, 1, "ms=90000");
        plan.steps[0].size.cpu_millis = kCpu - free;
        plan.steps[0].required_label = rack;
        plan.steps[0].max_per_worker = 1;
        world.Submit(plan);
      }
    }
    world.Run(Millis(300));
  }
};

// Guards against lasting tasks that never run again after their workers were
// lost, although other racks have room.
BOOST_DATA_TEST_CASE_F(RackFixture,
                       LongRunning_WorkersOfRackAreLost_AllRunAgain,
                       boost::unit_test::data::make({1, 2, 3, 4}),
                       lost) {
  JobPlan plan = MakeRackPlan(kWorkersPerRack, 6000);
  plan.steps[0].max_per_worker = 1;
  world.Submit(plan);
  world.Run(Millis(1000));
  BOOST_TEST(Racks(kWorkersPerRack).size() == 1U);
  for (int i = 0; i < lost; ++i) {
    world.ShutDownWorker(fakes::WorkerRunning(world, TaskOf(i)));
  }
  world.Run(Millis(9000));
  BOOST_TEST(CountRunning(kWorkersPerRack) == kWorkersPerRack);
  BOOST_TEST(Racks(kWorkersPerRack).size() <= 2U);
}

// Guards against lasting tasks that never run since their step is wider than a
// rack.
BOOST_FIXTURE_TEST_CASE(LongRunning_StepIsWiderThanRack_AllRunOnTwoRacks,
                        RackFixture) {
  JobPlan plan = MakeRackPlan(6, 5000);
  world.Submit(plan);
  world.Run(Millis(2000));
  BOOST_TEST(CountRunning(6) == 6);
  BOOST_TEST(Racks(6).size() == 2U);
}

// The same with an adviser, and with a leader that is lost with the worker.
BOOST_DATA_TEST_CASE_F(RackFixture,
                       LongRunning_AdvisedOrLeaderIsLost_AllRunAgain,
                       boost::unit_test::data::make({false, true}),
                       advised) {
  Queue queue = fakes::MakeQueue("queue", 3);
  if (advised) {
    world.adviser().policy = {Millis(100), Millis(20), Millis(1000)};
    queue.advice = world.adviser().policy;
  }
  world.SetTable({queue});
  JobPlan plan = MakeRackPlan(kWorkersPerRack, 6000);
  plan.steps[0].max_per_worker = 1;
  world.Submit(plan);
  world.Run(Millis(2000));
  BOOST_TEST(Racks(kWorkersPerRack).size() == 1U);
  world.ShutDownWorker(fakes::WorkerRunning(world, TaskOf(0)));
  if (!advised) {
    world.Kill(world.Leader()->name);
  }
  world.Run(Millis(advised ? 9000 : 12'000));
  BOOST_TEST(CountRunning(kWorkersPerRack) == kWorkersPerRack);
  BOOST_TEST(Racks(kWorkersPerRack).size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(LongRunning_RackOfStepIsFull_TasksRunElsewhere,
                        RackFixture) {
  FillRack("r1", 2000);
  FillRack("r2", 4000);
  world.Submit(MakeRackPlan(6, 4000));
  world.Run(Millis(1000));
  BOOST_TEST((Racks(6) == std::set<std::string>{"r3"}));
  FillRack("r3", 0, /*workers=*/1);  // The one that the step leaves free.
  world.ShutDownWorker(fakes::WorkerRunning(world, TaskOf(0)));
  world.Run(Millis(9000));
  BOOST_TEST(CountRunning(6) == 6);
  BOOST_TEST((Racks(6) == std::set<std::string>{"r2", "r3"}));
}

BOOST_FIXTURE_TEST_CASE(Batch_RackHasRoomForAll_RunsInOneRack, RackFixture) {
  // The fullest worker, which is preferred otherwise, is in a rack that cannot
  // take the step.
  FillRack("r1", 1000);
  FillRack("r2", 6000);
  world.Submit(MakeRackPlan(8, 3000, "ms=2000"));
  world.Run(Millis(500));
  BOOST_TEST(CountRunning(8) == 8);
  BOOST_TEST(Racks(8).size() == 1U);
}

// Guards against batch work that waits without end for a rack whose workers
// were lost or are held by others.
BOOST_FIXTURE_TEST_CASE(Batch_RackOfStepLosesWorkers_JobCompletes,
                        RackFixture) {
  world.Submit(MakeRackPlan(4, 7000, "ms=20000"));
  world.Run(Millis(1000));
  BOOST_TEST(Racks(4).size() == 1U);
  world.ShutDownWorker(fakes::WorkerRunning(world, TaskOf(0)));
  world.ShutDownWorker(fakes::WorkerRunning(world, TaskOf(1)));
  world.Run(Millis(9000 + 3000));
  BOOST_TEST(CountRunning(4) == 4);
  world.Run(Millis(25'000));
  BOOST_TEST(State() == "completed");
}

BOOST_FIXTURE_TEST_CASE(Batch_RackFreesSoon_WaitsForIt, RackFixture) {
  FillRack("r2", 0, kWorkersPerRack - 1);
  FillRack("r3", 0, kWorkersPerRack - 1);
  JobPlan other = MakeRackPlan(1, 7000, "ms=600", "f000000000000001");
  other.steps[0].required_label = "r1";
  world.Submit(other);
  JobPlan plan = MakeRackPlan(4, 7000, "ms=4000");
  plan.steps[0].estimate = Millis(4000);
  world.Submit(plan);
  BOOST_TEST(CountRunning(4) == 3);
  world.Run(Millis(1500));
  BOOST_TEST(CountRunning(4) == 4);
  BOOST_TEST((Racks(4) == std::set<std::string>{"r1"}));
}

BOOST_FIXTURE_TEST_CASE(Batch_RackDoesNotFreeInTime_LeavesIt, RackFixture) {
  FillRack("r1", 0, 1);
  FillRack("r2", 0, kWorkersPerRack - 1);
  FillRack("r3", 0, kWorkersPerRack - 1);
  JobPlan plan = MakeRackPlan(4, 7000, "ms=9000");
  plan.steps[0].estimate = Millis(9000);
  world.Submit(plan);
  BOOST_TEST(CountRunning(4) == 3);
  world.Run(Millis(2900));
  BOOST_TEST(CountRunning(4) == 4);
  BOOST_TEST(Racks(4).size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(Gang_OneRackCanTakeIt_RunsThere, RackFixture) {
  FillRack("r1", 4000);
  FillRack("r2", 6000);
  JobPlan plan = MakeRackPlan(7, 4000, "ms=1000");
  plan.steps[0].gang = true;
  world.Submit(plan);
  world.Run(Millis(500));
  BOOST_TEST(CountRunning(7) == 7);
  BOOST_TEST((Racks(7) == std::set<std::string>{"r3"}));
}

// Guards against a gang that never starts since no rack can take it.
BOOST_FIXTURE_TEST_CASE(Gang_IsWiderThanRack_RunsOnTwoRacks, RackFixture) {
  JobPlan plan = MakeRackPlan(12, 4000, "ms=1000");
  plan.steps[0].gang = true;
  world.Submit(plan);
  world.Run(Millis(500));
  BOOST_TEST(CountRunning(12) == 12);
  BOOST_TEST(Racks(12).size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(Gang_NoRackFreesInTime_RunsOnSeveralRacks,
                        RackFixture) {
  for (const char* rack : {"r1", "r2", "r3"}) {
    FillRack(rack, 4000);
  }
  JobPlan plan = MakeRackPlan(6, 4000, "ms=1000");
  plan.steps[0].gang = true;
  plan.steps[0].estimate = Millis(1000);
  world.Submit(plan);
  world.Run(Millis(3000));
  BOOST_TEST((CountRunning(6) == 6 || State() == "completed"));
  BOOST_TEST(Racks(6).size() <= 2U);
}

}  // namespace
}  // namespace doorwood
