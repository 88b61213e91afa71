// SPDX-License-Identifier: Apache-2.0

// Workers that leave, become unresponsive or lose their directory entry: when
// their tasks are started elsewhere, and when they are not. All tests run in
// virtual time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "fakes/cell_world.h"
#include "libdoorwood/cell/cell_fixture.h"

namespace doorwood {
namespace {

using fakes::CellFixture;

constexpr auto& kJob = fakes::kFixtureJob;

BOOST_FIXTURE_TEST_CASE(
    Worker_UnresponsiveAtTakeover_ItsTaskRestartsOnceWithoutOverlap,
    CellFixture) {
  JobPlan plan = fakes::MakePlan(kJob, 1, 1, "");
  plan.steps[0].long_running = true;
  world.Submit(plan);
  world.Run(Millis(500));
  std::string running_worker;
  for (const auto& [id, worker] : world.workers()) {
    if (worker->model.running_count() > 0) {
      running_worker = id;
    }
  }
  for (const auto& [name, instance] : world.instances()) {
    instance->unreachable_workers.insert(running_worker);
  }
  world.Kill(world.Leader()->name);
  BOOST_REQUIRE(world.WaitForLeader() != nullptr);
  world.Run(Millis(12'000));
  // The task is started once more. The world checks that it never runs at the
  // same time as the first run.
  BOOST_TEST(world.starts(std::string(kJob) + ".0.0.0") == 2);
}

BOOST_FIXTURE_TEST_CASE(Worker_Draining_LongRunningTaskMovesAway, CellFixture) {
  JobPlan plan = fakes::MakePlan(kJob, 1, 1, "");
  plan.steps[0].long_running = true;
  world.Submit(plan);
  world.Run(Millis(500));
  std::string running_worker;
  for (auto& [id, worker] : world.workers()) {
    if (worker->model.running_count() > 0) {
      running_worker = id;
      worker->incarnation.draining = true;
    }
  }
  world.Run(Millis(2500));
  BOOST_TEST(world.workers().at(running_worker)->model.running_count() == 0U);
  BOOST_TEST(world.starts(std::string(kJob) + ".0.0.0") == 2);
}

// Some workers leave without announcing it: their entry is removed, and they
// continue to run for a while. Their long-running tasks must be moved before
// the workers end.
BOOST_FIXTURE_TEST_CASE(
    Worker_EntryRemovedWithoutNotice_LongRunningTaskMovesInTime,
    CellFixture) {
  JobPlan plan = fakes::MakePlan(kJob, 1, 1, "");
  plan.steps[0].long_running = true;
  world.Submit(plan);
  world.Run(Millis(500));
  const std::string task = std::string(kJob) + ".0.0.0";
  const auto find_running_worker = [&] {
    for (const auto& [id, worker] : world.workers()) {
      if (worker->model.IsRunning(task)) {
        return id;
      }
    }
    return std::string();
  };
  const std::string first = find_running_worker();
  BOOST_REQUIRE(!first.empty());
  world.workers().at(first)->listed = false;
  world.Run(Millis(1500));
  // Nothing moves for 2.2 s, since the entry may come back.
  BOOST_TEST(find_running_worker() == first);
  world.Run(Millis(2500));
  BOOST_TEST(find_running_worker() != first);
  BOOST_TEST(!find_running_worker().empty());
}

BOOST_FIXTURE_TEST_CASE(Worker_EntryComesBack_NothingMoves, CellFixture) {
  JobPlan plan = fakes::MakePlan(kJob, 1, 1, "");
  plan.steps[0].long_running = true;
  world.Submit(plan);
  world.Run(Millis(500));
  for (const auto& [id, worker] : world.workers()) {
    worker->listed = false;
  }
  world.Run(Millis(1800));
  for (const auto& [id, worker] : world.workers()) {
    worker->listed = true;
  }
  world.Run(Millis(3000));
  BOOST_TEST(world.starts(std::string(kJob) + ".0.0.0") == 1);
}

// All workers are partitioned from all instances for 4 s, most of a run's
// lease. The leader reaches them again, and extends the leases, before they
// expire.
BOOST_FIXTURE_TEST_CASE(Worker_PartitionedForMostOfItsLease_ItsRunsContinue,
                        CellFixture) {
  JobPlan plan = fakes::MakePlan(kJob, 1, 6, "");
  plan.steps[0].long_running = true;
  BOOST_REQUIRE(world.Submit(plan));
  world.Run(Millis(3000));
  PartitionAllWorkers();
  world.Run(Millis(4000));
  ReconnectAllWorkers();
  world.Run(Millis(4000));
  ExpectStartedOnce(6);
}

// All workers are partitioned from all instances for 4 s. Their entries vanish
// during the partition and are back 1.5 s after its end, while the leader
// reaches the workers again at once.
BOOST_FIXTURE_TEST_CASE(Worker_PartitionedAndEntryBackLater_NothingMoves,
                        CellFixture) {
  JobPlan plan = fakes::MakePlan(kJob, 1, 6, "");
  plan.steps[0].long_running = true;
  BOOST_REQUIRE(world.Submit(plan));
  world.Run(Millis(500));
  PartitionAllWorkers();
  world.Run(Millis(1500));
  for (const auto& [id, worker] : world.workers()) {
    worker->listed = false;
  }
  world.Run(Millis(2500));
  ReconnectAllWorkers();
  world.Run(Millis(1500));
  for (const auto& [id, worker] : world.workers()) {
    worker->listed = true;
  }
  world.Run(Millis(3000));
  ExpectStartedOnce(6);
}

}  // namespace
}  // namespace doorwood
