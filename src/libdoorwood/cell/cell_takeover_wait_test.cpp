// SPDX-License-Identifier: Apache-2.0

// Guards against an unreachable worker that delays tasks after a takeover
// although they cannot run there:
// - all tasks, if no leader has ever contacted the listed worker;
// - all tasks, if an earlier leader has waited for the worker in full;
// - tasks that have failed, if the worker's record names other tasks only.
// With such a worker, 11.9 s passed from the loss of a leader until a waiting
// task was started; without one, 2.1 s.

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <string>

#include "libdoorwood/cell/cell_world_util.h"

namespace doorwood {
namespace {

using fakes::CellWorld;
using fakes::PartitionAllFrom;
using fakes::WorkerRunning;

constexpr char kJob[] = "00112233aabbccdd";
constexpr char kTask[] = "00112233aabbccdd.0.0.0";
// A waiting long-running task must be started within this time (ms) after the
// loss of the leader.
constexpr int kWaitBoundMs = 6000;

JobPlan LongRunningPlan(const std::string& id, int64_t cpu) {
  JobPlan plan = fakes::MakePlan(id, 1, 1, "");
  plan.steps[0].long_running = true;
  plan.steps[0].size.cpu_millis = cpu;
  return plan;
}

// Returns the time in ms from the loss of a leader until a waiting task is
// started, at the last of `takeovers` takeovers; 30,000 if it is not started by
// then. If `far_listed`, there is a worker "far", which is unreachable from the
// beginning or, if `far_contacted`, after the first leader has contacted it.
int MeasureWaitAfterLeaderLoss(bool far_listed,
                               bool far_contacted,
                               int takeovers) {
  CellWorld world(5);
  world.SetTable({fakes::MakeQueue("queue", 4)});
  world.AddWorker("w1", 8000);
  for (const char* name : {"a1", "b1", "c1", "d1"}) {
    world.AddInstance(name, "plaka");
  }
  if (far_listed) {
    world.AddWorker("far", 8000);
    if (!far_contacted) {
      PartitionAllFrom(world, "far");
    }
  }
  world.WaitForLeader();
  world.Run(Millis(3000));
  PartitionAllFrom(world, "far");
  world.Run(Millis(20'000));
  Millis waited{0};
  for (int i = 1; i <= takeovers; ++i) {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", 100 + i);
    JobPlan plan = LongRunningPlan(id, 1000);
    // The job is accepted, and its leader is lost before the task is started.
    world.workers().at("w1")->incarnation.draining = true;
    world.Run(Millis(1000));
    BOOST_REQUIRE(world.Submit(plan));
    world.Run(Millis(300));
    world.workers().at("w1")->incarnation.draining = false;
    world.Kill(world.Leader()->name);
    waited = Millis(0);
    while (WorkerRunning(world, std::string(id) + ".0.0.0").empty() &&
           waited < Millis(30'000)) {
      world.Run(Millis(50));
      waited += Millis(50);
    }
    world.Run(Millis(20'000));
  }
  BOOST_TEST(world.violations().empty());
  return static_cast<int>(waited.count());
}

BOOST_AUTO_TEST_CASE(Wait_WorkerListedNeverContacted_IsShort) {
  BOOST_TEST(MeasureWaitAfterLeaderLoss(true, false, 1) <= kWaitBoundMs);
}

BOOST_AUTO_TEST_CASE(Wait_WorkerNotContactedInWholeTakeover_IsNotRepeated) {
  BOOST_TEST(MeasureWaitAfterLeaderLoss(true, true, 2) <= kWaitBoundMs);
  BOOST_TEST(MeasureWaitAfterLeaderLoss(true, true, 3) <= kWaitBoundMs);
}

// A task fails after the second takeover. A draining worker is gone, and its
// record names only another task.
BOOST_AUTO_TEST_CASE(Retry_RecordOfLostWorkerNamesAnotherTask_IsNotDelayed) {
  CellWorld world(5);
  world.SetTable({fakes::MakeQueue("queue", 4)});
  world.AddWorker("leaves", 8000);
  for (const char* name : {"a1", "b1", "c1", "d1"}) {
    world.AddInstance(name, "plaka");
  }
  world.WaitForLeader();
  world.Run(Millis(2000));
  BOOST_REQUIRE(
      world.Submit(fakes::MakePlan("00112233aabbccee", 1, 1, "ms=100000")));
  world.Run(Millis(500));
  world.workers().at("leaves")->incarnation.draining = true;
  world.Run(Millis(1000));
  BOOST_REQUIRE(world.Submit(fakes::MakePlan(kJob, 1, 1, "ms=6000 fails=17")));
  world.Run(Millis(300));
  // The first leader is lost before the task is started, the next one after the
  // start.
  world.Kill(world.Leader()->name);
  world.AddWorker("stays", 8000);
  for (int i = 0; i < 200 && WorkerRunning(world, kTask).empty(); ++i) {
    world.Run(Millis(50));
  }
  BOOST_REQUIRE(WorkerRunning(world, kTask) == "stays");
  world.Run(Millis(1500));
  world.Kill(world.Leader()->name);
  world.ShutDownWorker("leaves");
  for (int i = 0; i < 200 && !WorkerRunning(world, kTask).empty(); ++i) {
    world.Run(Millis(50));
  }
  int waited = 0;
  for (; waited < 20'000 && WorkerRunning(world, kTask).empty(); waited += 50) {
    world.Run(Millis(50));
  }
  BOOST_TEST(waited <= 1000);
  BOOST_TEST(world.violations().empty());
}

}  // namespace
}  // namespace doorwood
