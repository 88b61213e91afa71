// SPDX-License-Identifier: Apache-2.0

// Guards against logs and metrics that do not say for which worker a task waits
// after a takeover, since when, for how much longer, and why.

#include "doorwood/held_tasks.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "fakes/cell_world.h"

namespace doorwood {
namespace {

constexpr char kJob[] = "00112233aabbccdd";
constexpr size_t kMaxRows = 3;

/// Four tasks of one job that were restored at a takeover.
struct HeldTasksFixture {
  explicit HeldTasksFixture(bool long_running) {
    JobPlan plan = fakes::MakePlan(kJob, 1, 4, "");
    plan.steps[0].long_running = long_running;
    jobs.Add(plan);
    ForEachTask(jobs.Find(kJob), [this](Task* task) {
      task->may_still_run = true;
      tasks.push_back(task);
    });
  }

  JobTable jobs;
  std::vector<Task*> tasks;
  UnaccountedWorkers unaccounted;
};

WorkerWait NotContacted(int waited_ms, int left_ms) {
  return {WorkerWaitReason::kNotContacted, Millis(waited_ms), Millis(left_ms)};
}

BOOST_AUTO_TEST_CASE(LongRunningTask_PlacedOnLostWorker_NamesThatWorker) {
  HeldTasksFixture fixture(/*long_running=*/true);
  fixture.tasks[0]->assigned_worker = "w1";
  fixture.tasks[1]->assigned_worker = "contacted";
  fixture.unaccounted.Add("w1", NotContacted(3000, 5000), WorkerGroup{0});
  fixture.unaccounted.Add("w2", NotContacted(1000, 7000), WorkerGroup{0});
  const HeldTasks held = CollectHeldTasks(fixture.jobs, fixture.unaccounted,
                                          /*placements_valid=*/true, kMaxRows);
  BOOST_TEST(held.counts.recorded_placement == 1U);
  BOOST_TEST(held.counts.long_running == 1U);
  BOOST_TEST(held.counts.longest_left.count() == 5000);
  BOOST_REQUIRE(held.rows.size() == 1U);
  BOOST_TEST(held.rows[0].at("task") == std::string(kJob) + ".0.0.0");
  BOOST_TEST(held.rows[0].at("worker") == "w1");
  BOOST_TEST(held.rows[0].at("waited_ms") == 3000);
  BOOST_TEST(held.rows[0].at("left_ms") == 5000);
  BOOST_TEST(held.rows[0].at("worker_state") == "not contacted");
  BOOST_TEST(held.rows[0].at("reason") == "recorded placement");
}

BOOST_AUTO_TEST_CASE(LongRunningTask_PlacementsNotValid_NamesTheLongestWait) {
  HeldTasksFixture fixture(/*long_running=*/true);
  fixture.tasks[0]->assigned_worker = "w1";
  fixture.unaccounted.Add("w1", NotContacted(3000, 5000), WorkerGroup{0});
  fixture.unaccounted.Add("w2", NotContacted(1000, 7000), WorkerGroup{0});
  const HeldTasks held = CollectHeldTasks(fixture.jobs, fixture.unaccounted,
                                          /*placements_valid=*/false, kMaxRows);
  BOOST_TEST(held.counts.any_task == 4U);
  BOOST_REQUIRE(held.rows.size() == kMaxRows);
  BOOST_TEST(held.rows[0].at("worker") == "w2");
  BOOST_TEST(held.rows[0].at("reason") == "any task may run there");
}

BOOST_AUTO_TEST_CASE(Task_ListedInTheWorkersRecord_NamesThatWorker) {
  HeldTasksFixture fixture(/*long_running=*/false);
  const std::vector<std::string> listed = {fixture.tasks[2]->name()};
  fixture.unaccounted.Add("w1", NotContacted(3000, 5000), listed);
  fixture.unaccounted.Add(
      "w2", {WorkerWaitReason::kEndsNotListed, Millis(20), Millis(6000)},
      listed);
  const HeldTasks held = CollectHeldTasks(fixture.jobs, fixture.unaccounted,
                                          /*placements_valid=*/true, kMaxRows);
  BOOST_TEST(held.counts.recorded_task == 1U);
  BOOST_TEST(held.counts.all() == 1U);
  BOOST_REQUIRE(held.rows.size() == 1U);
  BOOST_TEST(held.rows[0].at("worker") == "w2");
  BOOST_TEST(held.rows[0].at("worker_state") == "ends not listed");
  BOOST_TEST(held.rows[0].at("reason") == "recorded task list");
}

BOOST_AUTO_TEST_CASE(Workers_MoreThanRows_LongestWaitsAreDescribed) {
  UnaccountedWorkers unaccounted;
  for (int i = 0; i < 10; ++i) {
    unaccounted.Add("w" + std::to_string(i), NotContacted(0, 100 * i),
                    WorkerGroup{0});
  }
  const Json rows = DescribeWorkerWaits(unaccounted, kMaxRows);
  BOOST_REQUIRE(rows.size() == kMaxRows);
  BOOST_TEST(rows[0].at("worker") == "w9");
  BOOST_TEST(rows[2].at("left_ms") == 700);
}

}  // namespace
}  // namespace doorwood
