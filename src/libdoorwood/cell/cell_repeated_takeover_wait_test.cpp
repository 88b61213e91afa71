// SPDX-License-Identifier: Apache-2.0

// A leader has completed its wait for a worker that it could not contact. The
// next leader must not repeat the wait, even if the earlier one has recorded
// its workers again since the wait.

#include <boost/test/unit_test.hpp>
#include <string>

#include "libdoorwood/cell/cell_world_util.h"
#include "libdoorwood/cell/leader_succession_fixture.h"

namespace doorwood {
namespace {

using fakes::CellWorld;
using fakes::PartitionAllFrom;
using fakes::WorkerRunning;
using fakes::WorldInstance;

constexpr char kJob[] = "00112233aabbccdd";
constexpr char kWaitingJob[] = "00112233aabbccee";
constexpr char kWaitingTask[] = "00112233aabbccee.0.0.0";
// There is no leader for 3 s at most, and a leader that waits for no worker
// starts tasks within another 1.5 s.
constexpr Millis kStartBound{4500};

WorldInstance* ReplaceLeader(CellWorld& world, WorldInstance* before) {
  world.Kill(before->name);
  WorldInstance* next = world.WaitForLeader();
  BOOST_REQUIRE(next != nullptr);
  return next;
}

// The worker "unheard" stays listed, and no instance can reach it. The second
// leader leads for longer than its wait. In half of the cases, 1 s before the
// second leader is lost, a worker joins, so that all workers are recorded
// again. After the loss a worker joins that has capacity for a waiting job.
BOOST_AUTO_TEST_CASE(ThirdLeader_SecondWaitedAndRecorded_DoesNotWaitAgain) {
  for (int second_leads_ms = 11'000; second_leads_ms <= 20'000;
       second_leads_ms += 1000) {
    for (const bool joins : {false, true}) {
      CellWorld world(7);
      world.SetTable({fakes::MakeQueue("queue", 4)});
      world.AddWorker("unheard", 4000);
      for (const char* name : {"a1", "b1", "c1", "a2", "b2"}) {
        world.AddInstance(name, fakes::LeaderSuccession::DataCentreOf(name));
      }
      WorldInstance* first = world.WaitForLeader();
      world.Run(Millis(1000));
      BOOST_REQUIRE(world.Submit(fakes::LeaderSuccession::Plan(kJob, 1)));
      world.AddWorker("heard", 8000);
      JobPlan large = fakes::MakePlan(kWaitingJob, 1, 1, "");
      large.steps[0].size.cpu_millis = 12'000;
      BOOST_REQUIRE(world.Submit(large));
      world.Run(Millis(1000));
      BOOST_REQUIRE(world.workers().at("unheard")->model.running_count() == 1U);
      PartitionAllFrom(world, "unheard");
      WorldInstance* second = ReplaceLeader(world, first);
      world.Run(Millis(second_leads_ms - 1000));
      if (joins) {
        world.AddWorker("joins", 1000);
      }
      world.Run(Millis(1000));
      world.Kill(second->name);
      world.AddWorker("large", 16'000);
      world.Run(kStartBound);
      BOOST_TEST_CONTEXT("second leads " << second_leads_ms
                                         << (joins ? ", a worker joins" : "")) {
        BOOST_TEST(WorkerRunning(world, kWaitingTask) == "large");
        BOOST_TEST(world.violations().empty());
      }
    }
  }
}

}  // namespace
}  // namespace doorwood
