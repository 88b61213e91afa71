// SPDX-License-Identifier: Apache-2.0

// A cell with so many workers that its leader can neither contact all of them
// at once nor compare all of them for each step.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <string>

#include "fakes/cell_world.h"

namespace doorwood {
namespace {

using fakes::CellWorld;

constexpr char kJob[] = "00112233aabbccdd";

struct ManyWorkersFixture {
  ManyWorkersFixture() { world.SetTable({fakes::MakeQueue("queue", 4)}); }

  void AddWorkers(int count, int64_t cpu_millis) {
    for (int i = 0; i < count; ++i) {
      char id[16];
      std::snprintf(id, sizeof(id), "w%05d", i);
      world.AddWorker(id, cpu_millis);
    }
  }
  int CountContacted() {
    return static_cast<int>(std::count_if(
        world.workers().begin(), world.workers().end(),
        [](const auto& entry) { return entry.second->calls_received > 0; }));
  }

  CellWorld world{7};
};

BOOST_FIXTURE_TEST_SUITE(many_workers, ManyWorkersFixture)

// Guards against a leader that contacts all workers at once: it handles the
// connections of thousands only after their time-outs, and begins again.
BOOST_AUTO_TEST_CASE(Workers_NoneAnswers_FewAreContactedAtATime) {
  AddWorkers(600, 8000);
  fakes::WorldInstance& leader = world.AddInstance("a1", "plaka");
  for (const auto& [id, worker] : world.workers()) {
    leader.unreachable_workers.insert(id);
  }
  BOOST_REQUIRE(world.WaitForLeader() != nullptr);
  const auto failed = [this] { return world.log_count("poll failed"); };
  while (failed() == 0 && world.time().now_ms() < 1'010'000) {
    world.RunExactly(Millis(10));
  }
  BOOST_TEST(failed() > 0);
  BOOST_TEST(failed() <= 128);
  world.Run(Millis(1500));
  BOOST_TEST(failed() == 600);
}

BOOST_AUTO_TEST_CASE(Workers_AllAnswer_AreContactedWithin300Ms) {
  AddWorkers(1000, 8000);
  world.AddInstance("a1", "plaka");
  while (CountContacted() == 0 && world.time().now_ms() < 1'010'000) {
    world.RunExactly(Millis(10));
  }
  world.RunExactly(Millis(300));
  BOOST_TEST(CountContacted() == 1000);
}

// Guards against a scan that ends before it has reached the only worker with
// enough room.
BOOST_AUTO_TEST_CASE(Step_FitsOnLastOf800WorkersOnly_IsPlacedThere) {
  AddWorkers(800, 1000);
  world.AddWorker("z-large", 64'000);
  world.AddInstance("a1", "plaka");
  BOOST_REQUIRE(world.WaitForLeader() != nullptr);
  world.Run(Millis(2000));
  JobPlan plan = fakes::MakePlan(kJob, 1, 3, "ms=200");
  plan.steps[0].size.cpu_millis = 8000;
  BOOST_REQUIRE(world.Submit(plan));
  world.Run(Millis(1500));
  BOOST_TEST(world.workers().at("z-large")->runs_started == 3);
}

// Guards against a scan that finds no place once the workers that it always
// visits first are full.
BOOST_AUTO_TEST_CASE(Steps_FillAllOf1200Workers_AllWorkersGetWork) {
  AddWorkers(1200, 1000);
  world.AddInstance("a1", "plaka");
  BOOST_REQUIRE(world.WaitForLeader() != nullptr);
  world.Run(Millis(2000));
  for (int i = 0; i < 24; ++i) {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", 0x1000 + i);
    JobPlan plan = fakes::MakePlan(id, 1, 50, "ms=8000");
    plan.steps[0].size.cpu_millis = 1000;
    BOOST_REQUIRE(world.Submit(plan));
  }
  world.Run(Millis(3000));
  BOOST_TEST(std::all_of(
      world.workers().begin(), world.workers().end(),
      [](const auto& entry) { return entry.second->runs_started == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace doorwood
