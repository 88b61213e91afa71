// SPDX-License-Identifier: Apache-2.0

// Workers that accept every start, and whose capacity shrinks and grows: what
// the leader starts there, and what continues to run. All tests run in virtual
// time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "fakes/cell_world.h"
#include "libdoorwood/cell/cell_fixture.h"

namespace doorwood {
namespace {

using fakes::CellWorld;
using fakes::kFixtureJob;

constexpr char kOtherJob[] = "5555555555555555";
constexpr int64_t kTaskCpu = 1000;
// Time after which starts must respect a changed capacity: the platform's
// limit, less the time that a worker takes to report its capacity.
constexpr Millis kCapacityUpdateDelay{3000};

/// A cell with one worker that has capacity for eight tasks, and three
/// instances.
struct CapacityFixture {
  explicit CapacityFixture(uint64_t seed = 11) : world(seed) {
    world.SetTable({fakes::MakeQueue("queue", 3)});
    worker = &world.AddWorker("w1", 8 * kTaskCpu);
    for (const char* name : {"a1", "b1", "c1"}) {
      world.AddInstance(name, std::string(1, name[0]));
    }
    world.WaitForLeader();
    world.Run(Millis(1000));
  }
  ~CapacityFixture() {
    for (const std::string& rule : world.violations()) {
      BOOST_ERROR(rule);
    }
  }
  CapacityFixture(const CapacityFixture&) = delete;
  CapacityFixture& operator=(const CapacityFixture&) = delete;

  void SubmitLongRunning(const std::string& job, int tasks) {
    JobPlan plan = fakes::MakePlan(job, 1, tasks, "");
    plan.steps[0].long_running = true;
    BOOST_REQUIRE(world.Submit(plan));
  }
  int64_t UsedCpu() const {
    return static_cast<int64_t>(worker->model.running_count()) * kTaskCpu;
  }
  /// Runs the world in steps of 50 ms. Returns the worker's highest processor
  /// use, in thousandths of a processor, at the ends of the steps in which a
  /// run started; 0 if none started.
  int64_t RunAndGetMaxUsageAfterStarts(Millis duration) {
    constexpr Millis kStep{50};
    int64_t max_usage = 0;
    for (Millis passed{0}; passed < duration; passed += kStep) {
      const int started_before = worker->runs_started;
      world.Run(kStep);
      max_usage = worker->runs_started > started_before
                      ? std::max(max_usage, UsedCpu())
                      : max_usage;
    }
    return max_usage;
  }

  CellWorld world;
  fakes::WorldWorker* worker = nullptr;
};

// Guards against starts based on a capacity that has since shrunk.
BOOST_AUTO_TEST_CASE(Capacity_ShrinksBelowUsage_NothingStartsUntilItFits) {
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      CapacityFixture fixture(seed);
      fixture.world.Submit(fakes::MakePlan(kFixtureJob, 1, 200, "ms=500"));
      fixture.world.Run(Millis(2000));
      fixture.worker->incarnation.capacity.cpu_millis = 3 * kTaskCpu;
      fixture.world.Run(Millis(1000));
      BOOST_TEST(fixture.RunAndGetMaxUsageAfterStarts(Millis(5000)) <=
                 3 * kTaskCpu);
      fixture.worker->incarnation.capacity.cpu_millis = 0;
      fixture.world.Run(Millis(1000));
      BOOST_TEST(fixture.RunAndGetMaxUsageAfterStarts(Millis(2000)) == 0);
      fixture.worker->incarnation.capacity.cpu_millis = 6 * kTaskCpu;
      fixture.world.Run(Millis(1000));
      BOOST_TEST(fixture.UsedCpu() == 6 * kTaskCpu);
    }
  }
}

// Guards against stopping runs that exceed a capacity which has shrunk: the
// capacity limits only starts.
BOOST_AUTO_TEST_CASE(Capacity_ShrinksBelowLongRunningTasks_RunsContinue) {
  CapacityFixture fixture;
  fixture.SubmitLongRunning(kOtherJob, 4);
  fixture.world.Run(Millis(1000));
  fixture.worker->incarnation.capacity.cpu_millis = kTaskCpu;
  fixture.world.Run(Millis(10'000));
  BOOST_TEST(fixture.UsedCpu() == 4 * kTaskCpu);
  BOOST_TEST(fixture.world.starts(std::string(kOtherJob) + ".0.0.0") == 1);
}

// Guards against a successor that uses the earlier capacity, or that assumes
// that nothing runs on a worker which it has not yet contacted.
BOOST_AUTO_TEST_CASE(Capacity_ShrinksWhileLeadersChange_SuccessorRespectsIt) {
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      CapacityFixture fixture(seed);
      fixture.SubmitLongRunning(kOtherJob, 3);
      fixture.world.Submit(fakes::MakePlan(kFixtureJob, 1, 200, "ms=500"));
      fixture.world.Run(Millis(1000));
      fixture.worker->incarnation.capacity.cpu_millis = 4 * kTaskCpu;
      fixture.world.Kill(fixture.world.WaitForLeader()->name);
      fixture.world.Run(kCapacityUpdateDelay);
      BOOST_TEST(fixture.RunAndGetMaxUsageAfterStarts(Millis(5000)) <=
                 4 * kTaskCpu);
    }
  }
}

// A job is cancelled while its leader cannot reach the worker, so a successor
// has to stop the runs. Guards against starts that ignore these runs: a run
// that is being stopped uses capacity until it has ended.
BOOST_AUTO_TEST_CASE(Runs_StoppedBySuccessor_UseCapacityUntilTheyHaveEnded) {
  constexpr Millis kStopDuration{900};
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      CapacityFixture fixture(seed);
      fixture.worker->model.SetStopDuration(kStopDuration);
      fixture.SubmitLongRunning(kOtherJob, 4);
      fixture.world.Run(Millis(1000));
      fakes::WorldInstance* leader = fixture.world.WaitForLeader();
      leader->unreachable_workers.insert("w1");
      leader->cell->Cancel(kOtherJob, [](std::error_code) {});
      fixture.world.Run(Millis(100));
      fixture.world.Kill(leader->name);
      BOOST_REQUIRE(fixture.world.WaitForLeader() != nullptr);
      fixture.world.Submit(fakes::MakePlan(kFixtureJob, 1, 40, "ms=300"));
      BOOST_TEST(fixture.RunAndGetMaxUsageAfterStarts(Millis(5000)) <=
                 8 * kTaskCpu);
      fixture.world.Run(Millis(10'000));
      const auto state = fixture.world.StateOf(kFixtureJob);
      BOOST_REQUIRE(state.has_value());
      BOOST_TEST(ToString(*state) == "completed");
    }
  }
}

// Guards against using the capacity of a directory entry that can't be read.
BOOST_AUTO_TEST_CASE(Capacity_EntryCantBeRead_NothingNewStartsThere) {
  CapacityFixture fixture;
  fixture.worker->incarnation.is_valid = false;
  fixture.worker->incarnation.capacity = {100 * kTaskCpu, 1'000'000, 0};
  fixture.world.Run(Millis(1000));
  fixture.world.Submit(fakes::MakePlan(kFixtureJob, 1, 20, "ms=500"));
  BOOST_TEST(fixture.RunAndGetMaxUsageAfterStarts(Millis(2000)) == 0);
  fixture.worker->incarnation.is_valid = true;
  fixture.worker->incarnation.capacity.cpu_millis = 2 * kTaskCpu;
  BOOST_TEST(fixture.RunAndGetMaxUsageAfterStarts(Millis(3000)) ==
             2 * kTaskCpu);
}

}  // namespace
}  // namespace doorwood
