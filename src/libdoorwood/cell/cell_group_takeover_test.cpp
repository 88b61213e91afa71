// SPDX-License-Identifier: Apache-2.0

// Takeovers in a cell whose jobs are confined to groups of workers. Guards
// against a wait that grows with the number of workers: every task that might
// have been started was held back until all workers of the cell had answered.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <set>
#include <string>
#include <vector>

#include "fakes/cell_world.h"

namespace doorwood {
namespace {

using fakes::CellWorld;

constexpr char kDataCentres[][8] = {"dc-a", "dc-b", "dc-c", "dc-d"};

std::string JobId(int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", 0x1000 + number);
  return id;
}

struct GroupFixture {
  explicit GroupFixture(uint64_t seed = 5) : world(seed) {
    world.SetTable({fakes::MakeQueue("queue", 4)});
    world.options().groups.min_workers = 20;
    world.options().groups.group_size = 10;
    world.options().groups.min_groups_in_use = 4;
  }

  void AddWorkers(int count) {
    for (int i = 0; i < count; ++i) {
      char id[16];
      std::snprintf(id, sizeof(id), "w%05d", i);
      world.AddWorker(id, 32'000).incarnation.data_centre = kDataCentres[i % 4];
    }
  }
  void Begin() {
    world.AddInstance("a1", "dc-a");
    world.AddInstance("b1", "dc-b");
    BOOST_REQUIRE(world.WaitForLeader() != nullptr);
    world.Run(Millis(2000));
  }
  void Submit(int number, int count, const std::string& payload) {
    BOOST_REQUIRE(
        world.Submit(fakes::MakePlan(JobId(number), 2, count, payload)));
  }
  // Kills the leader and waits for the next one.
  fakes::WorldInstance* ReplaceLeader() {
    world.Kill(world.Leader()->name);
    return world.WaitForLeader();
  }
  // The data centres of the workers that have started a run.
  std::set<std::string> CentresWithRuns() {
    std::set<std::string> centres;
    for (const auto& [id, worker] : world.workers()) {
      if (worker->runs_started > 0) {
        centres.insert(worker->incarnation.data_centre);
      }
    }
    return centres;
  }
  bool AreAllDone(const std::vector<int>& jobs) {
    return std::all_of(jobs.begin(), jobs.end(), [this](int job) {
      return world.StateOf(JobId(job)) == JobPhase::kCompleted;
    });
  }

  CellWorld world;
};

BOOST_AUTO_TEST_CASE(Job_InCellWithGroups_RunsInOneDataCentre) {
  GroupFixture fixture;
  fixture.AddWorkers(80);
  fixture.Begin();
  fixture.Submit(0, 20, "ms=300");
  fixture.world.Run(Millis(2000));
  BOOST_TEST(fixture.AreAllDone({0}));
  BOOST_TEST(fixture.CentresWithRuns().size() == 1U);
}

BOOST_AUTO_TEST_CASE(Job_LargerThanItsGroup_IsOpenedToAllWorkers) {
  GroupFixture fixture;
  fixture.AddWorkers(80);
  fixture.Begin();
  JobPlan plan = fakes::MakePlan(JobId(0), 1, 30, "ms=1000");
  plan.steps[0].size.cpu_millis = 4000;
  BOOST_REQUIRE(fixture.world.Submit(plan));
  // The group of the job loses most of its room before all tasks are placed.
  int kept = 0;
  for (const auto& [id, worker] : fixture.world.workers()) {
    worker->incarnation.draining = worker->runs_started > 0 && ++kept % 4 != 0;
  }
  plan.id = JobId(1);
  for (int number = 1; number <= 8; ++number) {
    plan.id = JobId(number);
    BOOST_REQUIRE(fixture.world.Submit(plan));
  }
  fixture.world.Run(Millis(6000));
  BOOST_TEST(fixture.AreAllDone({0, 1, 2, 3, 4, 5, 6, 7, 8}));
  BOOST_TEST(fixture.world.violations().empty());
}

// One data centre does not answer the next leader: only the jobs of its groups
// wait, not the others.
BOOST_AUTO_TEST_CASE(Takeover_OneDataCentreDark_OtherJobsGoOnAtOnce) {
  GroupFixture fixture;
  CellWorld& world = fixture.world;
  fixture.AddWorkers(80);
  fixture.Begin();
  for (int job = 0; job < 12; ++job) {
    fixture.Submit(job, 10, "ms=1500");
  }
  world.Run(Millis(200));
  std::vector<int> elsewhere;
  std::vector<int> dark;
  for (int job = 0; job < 12; ++job) {
    bool is_dark = false;
    for (const auto& [id, worker] : world.workers()) {
      for (const std::string& task : worker->model.running_tasks()) {
        is_dark |= worker->incarnation.data_centre == "dc-d" &&
                   task.starts_with(JobId(job));
      }
    }
    (is_dark ? dark : elsewhere).push_back(job);
  }
  BOOST_REQUIRE(!dark.empty());
  BOOST_REQUIRE(!elsewhere.empty());
  for (const auto& [name, instance] : world.instances()) {
    for (const auto& [id, worker] : world.workers()) {
      if (worker->incarnation.data_centre == "dc-d") {
        instance->unreachable_workers.insert(id);
      }
    }
  }
  BOOST_REQUIRE(fixture.ReplaceLeader() != nullptr);
  world.Run(Millis(4500));
  BOOST_TEST(fixture.AreAllDone(elsewhere));
  BOOST_TEST(!fixture.AreAllDone(dark));
  world.Run(Millis(20'000));
  BOOST_TEST(fixture.AreAllDone(dark));
  BOOST_TEST(world.violations().empty());
  BOOST_TEST(world.completed_task_starts().empty());
}

// Time in ms from the lead of the next leader until every task that is not at
// work may be started. The number of jobs does not depend on `workers`.
int MeasureTimeUntilAllAreReleased(int workers) {
  GroupFixture fixture;
  CellWorld& world = fixture.world;
  world.options().groups.group_size = 64;
  world.options().contacts.max_contacts = 16;
  fixture.AddWorkers(workers);
  fixture.Begin();
  for (int job = 0; job < 12; ++job) {
    fixture.Submit(job, 10, "ms=5000");
  }
  BOOST_REQUIRE(fixture.ReplaceLeader() != nullptr);
  // Jobs of which the old leader may have started tasks and did not.
  int passed = 0;
  const auto is_held = [&](int job) {
    const auto* leader = world.Leader();
    return leader == nullptr || leader->cell->IsHeldBack(JobId(job));
  };
  const auto any_held = [&] {
    for (int job = 0; job < 12; ++job) {
      if (is_held(job)) {
        return true;
      }
    }
    return false;
  };
  while (any_held() && passed < 20'000) {
    world.RunExactly(Millis(10));
    passed += 10;
  }
  BOOST_TEST(world.violations().empty());
  return passed;
}

BOOST_AUTO_TEST_CASE(Takeover_TwiceTheWorkers_TasksAreReleasedAsSoon) {
  const int at_1200 = MeasureTimeUntilAllAreReleased(1200);
  const int at_2400 = MeasureTimeUntilAllAreReleased(2400);
  BOOST_TEST_MESSAGE("released after " << at_1200 << " and " << at_2400
                                       << " ms");
  // The tick at which tasks are released comes every 100 ms.
  BOOST_TEST(at_1200 <= 300);
  BOOST_TEST(at_2400 <= at_1200 + 100);
}

// Leaders lost one after the other, with data centres that do not answer the
// next one and workers that restart: nothing runs twice, all jobs finish.
BOOST_AUTO_TEST_CASE(Takeovers_Random_NothingRunsTwice) {
  for (uint64_t seed = 1; seed <= 25; ++seed) {
    GroupFixture fixture(seed);
    CellWorld& world = fixture.world;
    fixture.AddWorkers(40);
    fixture.Begin();
    int jobs = 0;
    for (int term = 0; term < 4; ++term) {
      for (int i = 0; i < 6; ++i) {
        world.Submit(fakes::MakePlan(JobId(jobs++), 2, 6, "ms=900"));
      }
      const std::string dark = kDataCentres[world.random()() % 4];
      world.Run(Millis(static_cast<int>(world.random()() % 1500)));
      const std::string killed = world.Leader()->name;
      for (const auto& [name, instance] : world.instances()) {
        for (const auto& [id, worker] : world.workers()) {
          const bool cut = worker->incarnation.data_centre == dark;
          cut ? (void)instance->unreachable_workers.insert(id)
              : (void)instance->unreachable_workers.erase(id);
        }
      }
      world.Kill(killed);
      world.AddInstance(killed, killed == "a1" ? "dc-a" : "dc-b");
      BOOST_REQUIRE(world.WaitForLeader() != nullptr);
      world.Run(Millis(500 + static_cast<int>(world.random()() % 3000)));
    }
    for (const auto& [name, instance] : world.instances()) {
      instance->unreachable_workers.clear();
    }
    world.Run(Millis(25'000));
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(world.violations().empty());
      BOOST_TEST(world.completed_task_starts().empty());
      for (int job = 0; job < jobs; ++job) {
        const auto state = world.StateOf(JobId(job));
        BOOST_TEST((!state || state == JobPhase::kCompleted));
      }
    }
  }
}

}  // namespace
}  // namespace doorwood
