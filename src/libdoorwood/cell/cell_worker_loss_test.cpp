// SPDX-License-Identifier: Apache-2.0

// Workers that leave, fall silent or lose their entry: when what runs there is
// started elsewhere, and when it is not. All in virtual time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "fakes/cell_world.h"
#include "libdoorwood/cell/cell_fixture.h"

namespace doorwood {
namespace {

using fakes::CellFixture;

constexpr auto& kJob = fakes::kCellJob;

BOOST_FIXTURE_TEST_CASE(Worker_SilentAtTakeover_ItsWorkWaitsForProof,
                        CellFixture) {
  JobPlan plan = fakes::MakePlan(kJob, 1, 1, "");
  plan.steps[0].lasting = true;
  world.Submit(plan);
  world.Run(Millis(500));
  std::string home;
  for (const auto& [id, worker] : world.workers()) {
    if (worker->model.running() > 0) {
      home = id;
    }
  }
  for (const auto& [name, instance] : world.instances()) {
    instance->cut_from.insert(home);
  }
  world.Kill(world.Leader()->name);
  BOOST_REQUIRE(world.WaitForLeader() != nullptr);
  world.Run(Millis(12'000));
  // Started once more, and never beside the first run (checked by the world).
  BOOST_TEST(world.starts(std::string(kJob) + ".0.0.0") == 2);
}

BOOST_FIXTURE_TEST_CASE(Worker_Draining_LastingWorkMovesAway, CellFixture) {
  JobPlan plan = fakes::MakePlan(kJob, 1, 1, "");
  plan.steps[0].lasting = true;
  world.Submit(plan);
  world.Run(Millis(500));
  std::string home;
  for (auto& [id, worker] : world.workers()) {
    if (worker->model.running() > 0) {
      home = id;
      worker->life.draining = true;
    }
  }
  world.Run(Millis(2500));
  BOOST_TEST(world.workers().at(home)->model.running() == 0U);
  BOOST_TEST(world.starts(std::string(kJob) + ".0.0.0") == 2);
}

// Some workers leave without a word: their entry goes and they serve on for a
// while, so what lasts is moved before they end.
BOOST_FIXTURE_TEST_CASE(Worker_EntryGoesWithoutAWord_LastingWorkMovesInTime,
                        CellFixture) {
  JobPlan plan = fakes::MakePlan(kJob, 1, 1, "");
  plan.steps[0].lasting = true;
  world.Submit(plan);
  world.Run(Millis(500));
  const std::string task = std::string(kJob) + ".0.0.0";
  const auto runner = [&] {
    for (const auto& [id, worker] : world.workers()) {
      if (worker->model.Runs(task)) {
        return id;
      }
    }
    return std::string();
  };
  const std::string first = runner();
  BOOST_REQUIRE(!first.empty());
  world.workers().at(first)->listed = false;
  world.Run(Millis(1500));
  BOOST_TEST(runner() == first);  // it may only have lapsed for a moment
  world.Run(Millis(2500));
  BOOST_TEST(runner() != first);
  BOOST_TEST(!runner().empty());
}

BOOST_FIXTURE_TEST_CASE(Worker_EntryComesBack_NothingMoves, CellFixture) {
  JobPlan plan = fakes::MakePlan(kJob, 1, 1, "");
  plan.steps[0].lasting = true;
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

// What runs in a data centre that is cut off for most of a run's lease is heard
// and prolonged before that is over.
BOOST_FIXTURE_TEST_CASE(Worker_CutOffForMostOfItsLease_ItsRunsGoOn,
                        CellFixture) {
  JobPlan plan = fakes::MakePlan(kJob, 1, 6, "");
  plan.steps[0].lasting = true;
  BOOST_REQUIRE(world.Submit(plan));
  world.Run(Millis(3000));
  CutAllWorkers();
  world.Run(Millis(4000));
  HealAllWorkers();
  world.Run(Millis(4000));
  ExpectStartedOnce(6);
}

// A data centre is cut off for 4 s: its workers' entries lapse and are back 1.5
// s after its end, while the leader reaches the workers at once.
BOOST_FIXTURE_TEST_CASE(Worker_CutOffAndEntryBackLater_NothingMoves,
                        CellFixture) {
  JobPlan plan = fakes::MakePlan(kJob, 1, 6, "");
  plan.steps[0].lasting = true;
  BOOST_REQUIRE(world.Submit(plan));
  world.Run(Millis(500));
  CutAllWorkers();
  world.Run(Millis(1500));
  for (const auto& [id, worker] : world.workers()) {
    worker->listed = false;
  }
  world.Run(Millis(2500));
  HealAllWorkers();
  world.Run(Millis(1500));
  for (const auto& [id, worker] : world.workers()) {
    worker->listed = true;
  }
  world.Run(Millis(3000));
  ExpectStartedOnce(6);
}

}  // namespace
}  // namespace doorwood
