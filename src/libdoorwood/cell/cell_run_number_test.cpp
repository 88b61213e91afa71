// SPDX-License-Identifier: Apache-2.0

// The second and the third leader of a cell take over from the same records, so
// both give their first run of a task the same number. The second leader's run
// has ended, but its end is reported late. The report must not be taken for the
// end of the third leader's run. All tests run in virtual time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "fakes/cell_world.h"
#include "libdoorwood/cell/cell_world_util.h"

namespace doorwood {
namespace {

using fakes::CellWorld;
using fakes::PartitionAllFrom;
using fakes::WorkerRunning;
using fakes::WorldInstance;

constexpr char kJob[] = "00112233aabbccdd";

BOOST_AUTO_TEST_CASE(ThirdLeader_ReceivesExpiredRunOfSameNumber_NoThirdStart) {
  const std::string task = std::string(kJob) + ".0.0.0";
  int rounds = 0;
  for (int reachable_after_ms = 200; reachable_after_ms <= 3000;
       reachable_after_ms += 400) {
    CellWorld world(5);
    world.SetTable({fakes::MakeQueue("queue", 4)});
    world.AddWorker("w1", 8000);
    for (const char* name : {"a1", "b1", "c1"}) {
      world.AddInstance(name, name);
    }
    WorldInstance* first = world.WaitForLeader();
    world.Run(Millis(1000));
    // The first leader can't start anything: its job waits for free capacity.
    JobPlan plan = fakes::MakePlan(kJob, 1, 1, "ms=9000");
    plan.steps[0].size.cpu_millis = 9000;
    BOOST_REQUIRE(world.Submit(plan));
    world.Run(Millis(300));
    world.Kill(first->name);
    WorldInstance* second = world.WaitForLeader();
    BOOST_REQUIRE(second != nullptr);
    world.AddWorker("w2", 16'000);
    for (int i = 0; i < 100 && world.starts(task) == 0; ++i) {
      world.Run(Millis(50));
    }
    const std::string lost_worker = WorkerRunning(world, task);
    BOOST_REQUIRE(lost_worker == "w2");
    world.Kill(second->name);
    PartitionAllFrom(world, lost_worker);
    world.AddWorker("w3", 16'000);
    for (int i = 0; i < 600 && world.starts(task) == 1; ++i) {
      world.Run(Millis(50));
    }
    BOOST_REQUIRE(world.starts(task) == 2);
    world.Run(Millis(reachable_after_ms));
    for (const auto& [name, instance] : world.instances()) {
      instance->unreachable_workers.clear();
    }
    world.Run(Millis(24'000));
    ++rounds;
    BOOST_TEST(world.starts(task) == 2,
               "reachable after " << reachable_after_ms);
  }
  BOOST_TEST(rounds > 0);
}

// The fourth leader reaches both workers. One reports a run that ended because
// its lease expired, before the other reports an active run of the same number.
// Guards against a leader that orders the active run to stop, and starts the
// task again before the run has ended. The stop order is executed late.
BOOST_AUTO_TEST_CASE(
    FourthLeader_ReceivesBothRunsOfOneNumber_NothingRunsTwice) {
  const std::string task = std::string(kJob) + ".0.0.0";
  CellWorld world(5);
  world.SetTable({fakes::MakeQueue("queue", 4)});
  world.AddWorker("w1", 8000);
  for (const char* name : {"a1", "b1", "c1", "d1"}) {
    world.AddInstance(name, name);
  }
  WorldInstance* first = world.WaitForLeader();
  world.Run(Millis(1000));
  // The job waits for free capacity, so that no start of it is recorded.
  JobPlan plan = fakes::MakePlan(kJob, 1, 1, "ms=100000");
  plan.steps[0].size.cpu_millis = 9000;
  BOOST_REQUIRE(world.Submit(plan));
  world.Run(Millis(300));
  world.Kill(first->name);
  WorldInstance* second = world.WaitForLeader();
  BOOST_REQUIRE(second != nullptr);
  world.AddWorker("w2", 16'000);
  for (int i = 0; i < 100 && world.starts(task) == 0; ++i) {
    world.Run(Millis(50));
  }
  BOOST_REQUIRE(WorkerRunning(world, task) == "w2");
  world.Kill(second->name);
  PartitionAllFrom(world, "w2");
  world.AddWorker("w3", 16'000);
  for (int i = 0; i < 600 && world.starts(task) == 1; ++i) {
    world.Run(Millis(50));
  }
  BOOST_REQUIRE(WorkerRunning(world, task) == "w3");
  WorldInstance* third = world.Leader();
  BOOST_REQUIRE(third != nullptr);
  world.Kill(third->name);
  for (const auto& [name, instance] : world.instances()) {
    instance->unreachable_workers.clear();
    instance->delayed_order_share = 1.0;
  }
  BOOST_REQUIRE(world.WaitForLeader() != nullptr);
  world.Run(Millis(1000));
  for (const auto& [name, instance] : world.instances()) {
    instance->delayed_order_share = 0;
  }
  world.Run(Millis(8000));
  for (const std::string& rule : world.violations()) {
    BOOST_ERROR(rule);
  }
}

}  // namespace
}  // namespace doorwood
