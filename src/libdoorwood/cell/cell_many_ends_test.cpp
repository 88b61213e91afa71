// SPDX-License-Identifier: Apache-2.0

// A worker has fewer, as many, or more ended runs than one report can list
// (500) when a new leader contacts it for the first time. A run that the first
// report does not name may have ended nevertheless.

#include <boost/test/unit_test.hpp>
#include <string>

#include "libdoorwood/cell/leader_succession_fixture.h"

namespace doorwood {
namespace {

using fakes::CellWorld;
using fakes::WorldInstance;

constexpr char kJob[] = "00112233aabbccdd";

// All tasks end while the store does not answer the leader, which is then
// killed.
BOOST_AUTO_TEST_CASE(
    Successor_EndsSpreadOverSeveralReports_NoCompletedTaskStartsAgain) {
  for (const int tasks : {300, 499, 500, 501, 700, 1600}) {
    CellWorld world(3);
    world.SetTable({fakes::MakeQueue("queue", 4)});
    world.AddWorker("large", 1'000'000);
    for (const char* name : {"a1", "b1", "c1"}) {
      world.AddInstance(name, fakes::LeaderSuccession::DataCentreOf(name));
    }
    WorldInstance* old_leader = world.WaitForLeader();
    world.Run(Millis(1000));
    JobPlan plan = fakes::MakePlan(kJob, 1, tasks, "ms=1500");
    plan.steps[0].size = {100, 10, 0};
    BOOST_REQUIRE(world.Submit(plan));
    world.Run(Millis(1000));
    BOOST_REQUIRE(world.workers().at("large")->model.running_count() ==
                  static_cast<size_t>(tasks));
    old_leader->store_faults.unresponsive = true;
    world.Run(Millis(1000));
    BOOST_REQUIRE(world.workers().at("large")->model.running_count() == 0U);
    world.Kill(old_leader->name);
    world.Run(Millis(12'000));
    BOOST_TEST_CONTEXT(tasks << " tasks") {
      BOOST_TEST(world.completed_task_starts().size() == 0U);
      BOOST_TEST(world.violations().empty());
      const auto state = world.StateOf(kJob);
      BOOST_TEST((state ? ToString(*state) : "not known") == "completed");
    }
  }
}

}  // namespace
}  // namespace doorwood
