// SPDX-License-Identifier: Apache-2.0

// A worker is still unresponsive after its leader has declared its runs ended.
// A successor delays no task because of this worker, since nothing can run
// there.

#include <boost/test/unit_test.hpp>
#include <string>

#include "libdoorwood/cell/cell_world_util.h"
#include "libdoorwood/cell/leader_succession_fixture.h"

namespace doorwood {
namespace {

using fakes::CellWorld;
using fakes::WorkerRunning;
using fakes::WorldInstance;

constexpr char kJob[] = "00112233aabbccdd";
constexpr char kWaitingJob[] = "00112233aabbccee";
// There is no leader for 3 s at most, and a leader that waits for no worker
// starts tasks within another 1.5 s.
constexpr Millis kStartBound{4500};

// Guards against a full wait for an unresponsive worker whose runs were
// declared ended.
BOOST_AUTO_TEST_CASE(
    UnresponsiveWorker_RunsDeclaredEnded_SuccessorDoesNotWait) {
  for (int unresponsive_ms = 8000; unresponsive_ms <= 20'000;
       unresponsive_ms += 1000) {
    for (uint64_t seed = 1; seed <= 4; ++seed) {
      CellWorld world(seed);
      world.SetTable({fakes::MakeQueue("queue", 4)});
      world.AddWorker("silent", 4000);
      for (const char* name : {"a1", "b1", "c1"}) {
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
      BOOST_REQUIRE(world.workers().at("silent")->model.running_count() == 1U);
      fakes::PartitionAllFrom(world, "silent");
      world.Run(Millis(unresponsive_ms));
      BOOST_TEST(WorkerRunning(world, std::string(kJob) + ".0.0.0") == "heard");
      world.Kill(first->name);
      world.AddWorker("large", 16'000);
      world.Run(kStartBound);
      BOOST_TEST_CONTEXT("unresponsive for " << unresponsive_ms << ", seed "
                                             << seed) {
        BOOST_TEST(WorkerRunning(world, std::string(kWaitingJob) + ".0.0.0") ==
                   "large");
        BOOST_TEST(world.violations().empty());
      }
    }
  }
}

}  // namespace
}  // namespace doorwood
