// SPDX-License-Identifier: Apache-2.0

// Guards against starts on a worker that is still unresponsive when the lease
// of its runs has expired. The leader then correctly takes the runs to have
// ended, so the worker is idle, and idle workers are not polled regularly. If
// every idle worker counted as responsive, the tasks would be ordered on this
// worker again at once, and elsewhere only 6.5 s later, although other workers
// have free capacity.

#include <boost/test/unit_test.hpp>
#include <string>

#include "fakes/cell_world.h"
#include "libdoorwood/cell/cell_fixture.h"
#include "libdoorwood/cell/cell_world_util.h"

namespace doorwood {
namespace {

using fakes::CellWorld;
using fakes::kFixtureJob;
using fakes::PartitionAllFrom;
using fakes::WorkerRunning;

constexpr int kTasks = 3;
// The lease of 6 s has expired at most 6.6 s after the last answered poll.
constexpr Millis kLeaseExpiry{7000};

/// One worker that is listed, runs a job, and becomes unresponsive.
struct UnresponsiveWorkerFixture {
  UnresponsiveWorkerFixture() : world(3) {
    world.SetTable({fakes::MakeQueue("queue", 3)});
    world.AddWorker("w1", 8000);
    world.AddInstance("a1", "plaka");
    world.WaitForLeader();
    world.Run(Millis(1000));
    BOOST_REQUIRE(
        world.Submit(fakes::MakePlan(kFixtureJob, 1, kTasks, "ms=60000")));
    world.Run(Millis(500));
    BOOST_REQUIRE(WorkerRunning(world, task) == "w1");
    PartitionAllFrom(world, "w1");
  }
  ~UnresponsiveWorkerFixture() {
    for (const std::string& rule : world.violations()) {
      BOOST_ERROR(rule);
    }
  }
  UnresponsiveWorkerFixture(const UnresponsiveWorkerFixture&) = delete;
  UnresponsiveWorkerFixture& operator=(const UnresponsiveWorkerFixture&) =
      delete;

  void Heal() {
    for (const auto& [name, instance] : world.instances()) {
      instance->unreachable_workers.clear();
    }
  }

  CellWorld world;
  const std::string task = std::string(kFixtureJob) + ".0.0.0";
};

// In each of six test runs with partitioned workers, "start ordered" was logged
// 116 to 814 times for a worker after "the run lease of an unresponsive worker
// has expired" and before "worker responds again".
BOOST_AUTO_TEST_CASE(UnresponsiveWorker_LeaseExpired_GetsNothingNew) {
  UnresponsiveWorkerFixture fixture;
  fixture.world.Run(kLeaseExpiry);
  BOOST_REQUIRE(fixture.world.log_count(
                    "the run lease of an unresponsive worker has expired") ==
                1);
  fixture.world.Run(Millis(10'000));
  BOOST_TEST(fixture.world.log_count("start ordered") == kTasks);
}

BOOST_AUTO_TEST_CASE(UnresponsiveWorker_AnotherJoins_GetsATaskIn800Ms) {
  UnresponsiveWorkerFixture fixture;
  fixture.world.Run(kLeaseExpiry);
  fixture.world.AddWorker("w2", 8000);
  // Long enough for "w2" to be listed, recorded and contacted.
  fixture.world.Run(Millis(800));
  BOOST_TEST(WorkerRunning(fixture.world, fixture.task) == "w2");
}

BOOST_AUTO_TEST_CASE(UnresponsiveWorker_AnswersAgain_GetsATaskInASecond) {
  UnresponsiveWorkerFixture fixture;
  fixture.world.Run(kLeaseExpiry + Millis(3000));
  fixture.Heal();
  // Long enough for the next poll: a poll fails after 0.7 s, and the next one
  // is sent 0.15 s later.
  fixture.world.Run(Millis(1000));
  BOOST_TEST(WorkerRunning(fixture.world, fixture.task) == "w1");
}

// While a start is unanswered, two polls may be in flight. If one fails and the
// other is answered, the worker must not be closed to new tasks permanently.
BOOST_AUTO_TEST_CASE(UnresponsiveWorker_AnswersWithinTheLease_StaysOpen) {
  for (int unresponsive_ms = 100; unresponsive_ms <= 3000;
       unresponsive_ms += 100) {
    UnresponsiveWorkerFixture fixture;
    fixture.world.Run(Millis(unresponsive_ms));
    fixture.Heal();
    fixture.world.Run(Millis(3000));
    JobPlan plan = fakes::MakePlan("00112233aabbccd0", 1, 1, "ms=60000");
    BOOST_REQUIRE(fixture.world.Submit(plan));
    fixture.world.Run(Millis(300));
    BOOST_TEST(WorkerRunning(fixture.world, "00112233aabbccd0.0.0.0") == "w1",
               "unresponsive for " << unresponsive_ms << " ms");
  }
}

// Guards against starts that go on for 2.7 s on a worker that has just gone
// silent: each holds its task back until its lease has expired.
BOOST_AUTO_TEST_CASE(Starts_WorkerFallsSilent_GetsNoneAfterUnansweredOnes) {
  CellWorld world(3);
  world.SetTable({fakes::MakeQueue("queue", 3)});
  world.AddWorker("w1", 64'000);
  world.AddWorker("w2", 64'000);
  world.AddInstance("a1", "plaka");
  BOOST_REQUIRE(world.WaitForLeader() != nullptr);
  world.Run(Millis(1000));
  PartitionAllFrom(world, "w1");
  constexpr int kJobs = 25;
  for (int i = 0; i < kJobs; ++i) {
    BOOST_REQUIRE(world.Submit(fakes::MakePlan(
        "00112233aabbcc" + std::to_string(10 + i), 1, 1, "ms=200")));
  }
  world.Run(Millis(1000));
  // One job is handed in every 100 ms, so that three come within
  // `WorkerSessionOptions::slow_start_answer`.
  BOOST_TEST(world.log_count("start order got no usable answer") <= 4);
  BOOST_TEST(world.violations().empty());
}

}  // namespace
}  // namespace doorwood
