// SPDX-License-Identifier: Apache-2.0

// Two leaders in a row take over from the same records, so both number their
// first runs alike. The second one's run is over and was not heard of; its late
// end must not be taken for that of the third leader's run of the same number.
// All in virtual time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "fakes/cell_world.h"
#include "libdoorwood/cell/cell_world_steps.h"

namespace doorwood {
namespace {

using fakes::CellWorld;
using fakes::CutAllFrom;
using fakes::RunnerOf;
using fakes::WorldInstance;

constexpr char kJob[] = "00112233aabbccdd";

BOOST_AUTO_TEST_CASE(ThirdLeader_HearsLapsedRunOfSameNumber_TaskRunsOnce) {
  const std::string task = std::string(kJob) + ".0.0.0";
  int played = 0;
  for (int heard_after = 200; heard_after <= 3000; heard_after += 400) {
    CellWorld world(5);
    world.SetTable({fakes::MakeQueue("queue", 4)});
    world.AddWorker("w1", 8000);
    for (const char* name : {"a1", "b1", "c1"}) {
      world.AddInstance(name, name);
    }
    WorldInstance* first = world.WaitForLeader();
    world.Run(Millis(1000));
    // Nothing may start at the first leader: its job waits for room.
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
    const std::string lost = RunnerOf(world, task);
    BOOST_REQUIRE(lost == "w2");
    world.Kill(second->name);
    CutAllFrom(world, lost);
    world.AddWorker("w3", 16'000);
    for (int i = 0; i < 600 && world.starts(task) == 1; ++i) {
      world.Run(Millis(50));
    }
    BOOST_REQUIRE(world.starts(task) == 2);
    world.Run(Millis(heard_after));
    for (const auto& [name, instance] : world.instances()) {
      instance->cut_from.clear();
    }
    world.Run(Millis(24'000));
    ++played;
    BOOST_TEST(world.starts(task) == 2, "heard after " << heard_after);
  }
  BOOST_TEST(played > 0);
}

// The fourth leader hears both workers, and the lapsed end of one before what
// the other runs under the same number. It has that one stopped, which takes a
// while, and may not start the task meanwhile.
BOOST_AUTO_TEST_CASE(FourthLeader_HearsBothRunsOfOneNumber_NothingRunsTwice) {
  const std::string task = std::string(kJob) + ".0.0.0";
  CellWorld world(5);
  world.SetTable({fakes::MakeQueue("queue", 4)});
  world.AddWorker("w1", 8000);
  for (const char* name : {"a1", "b1", "c1", "d1"}) {
    world.AddInstance(name, name);
  }
  WorldInstance* first = world.WaitForLeader();
  world.Run(Millis(1000));
  // Waits for room, so that nothing is recorded of its starts.
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
  BOOST_REQUIRE(RunnerOf(world, task) == "w2");
  world.Kill(second->name);
  CutAllFrom(world, "w2");
  world.AddWorker("w3", 16'000);
  for (int i = 0; i < 600 && world.starts(task) == 1; ++i) {
    world.Run(Millis(50));
  }
  BOOST_REQUIRE(RunnerOf(world, task) == "w3");
  WorldInstance* third = world.Leader();
  BOOST_REQUIRE(third != nullptr);
  world.Kill(third->name);
  for (const auto& [name, instance] : world.instances()) {
    instance->cut_from.clear();
    instance->late_orders = 1.0;
  }
  BOOST_REQUIRE(world.WaitForLeader() != nullptr);
  world.Run(Millis(1000));
  for (const auto& [name, instance] : world.instances()) {
    instance->late_orders = 0;
  }
  world.Run(Millis(8000));
  for (const std::string& rule : world.broken()) {
    BOOST_ERROR(rule);
  }
}

}  // namespace
}  // namespace doorwood
