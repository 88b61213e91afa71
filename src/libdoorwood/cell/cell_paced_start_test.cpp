// SPDX-License-Identifier: Apache-2.0

// Best-effort work in a cell whose workers all have serving tasks. All tests
// run in virtual time.

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "libdoorwood/cell/cell_fixture.h"
#include "libdoorwood/cell/cell_world_util.h"

namespace doorwood {
namespace {

constexpr auto& kJob = fakes::kFixtureJob;
constexpr int kWorkers = 3;
// The platform counts a job as lost that runs nowhere for this long.
constexpr Millis kLongestWait{3000};

/// Why no worker takes the best-effort work at full speed.
struct Busy {
  const char* why;
  int64_t worker_cpu;
  int64_t best_effort_cpu;

  friend std::ostream& operator<<(std::ostream& out, const Busy& busy) {
    return out << busy.why;
  }
};

constexpr Busy kReasons[] = {
    {"serving tasks use the processors", 8000, 7900},
    {"it would disturb serving tasks", 64'000, 16'000},
    {"it asks for more processors than any worker has", 8000, 12'000},
};

/// One serving task on each of three workers.
struct BusyFixture : public fakes::CellFixture {
  void Occupy(const Busy& busy) {
    for (const char* id : {"w1", "w2", "w3"}) {
      world.ShutDownWorker(id);
    }
    for (int i = 0; i < kWorkers; ++i) {
      world.AddWorker(WorkerId(i), busy.worker_cpu);
    }
    world.Run(Millis(2000));
    JobPlan serving = fakes::MakePlan("f000000000000001", 1, kWorkers, "");
    serving.steps[0].long_running = true;
    serving.steps[0].latency_target = Millis(50);
    serving.steps[0].max_per_worker = 1;
    serving.steps[0].size = {busy.worker_cpu / 2, serving_memory, 0};
    world.Submit(serving);
    world.Run(Millis(1000));
    for (int i = 0; i < kWorkers; ++i) {
      BOOST_TEST(world.workers().at(WorkerId(i))->runs_started == 1);
    }
  }
  static std::string WorkerId(int number) {
    return "v" + std::to_string(100 + number);
  }
  static std::string TaskOf(int index) {
    return std::string(kJob) + ".0.0." + std::to_string(index);
  }
  static JobPlan MakeBestEffortPlan(const Busy& busy,
                                    int count,
                                    const std::string& payload = "ms=400") {
    JobPlan plan = fakes::MakePlan(kJob, 1, count, payload);
    plan.steps[0].best_effort = true;
    plan.steps[0].size = {busy.best_effort_cpu, 1000, 0};
    return plan;
  }
  bool Runs(int index) {
    return !fakes::WorkerRunning(world, TaskOf(index)).empty();
  }
  int CountRunning(int count) {
    int running = 0;
    for (int i = 0; i < count; ++i) {
      running += Runs(i) ? 1 : 0;
    }
    return running;
  }
  bool WasStarted(int index) const { return world.starts(TaskOf(index)) > 0; }
  /// Pace of the task's first order, or -1.
  int FirstPace(int index) {
    for (const auto& [id, worker] : world.workers()) {
      const auto pace = worker->first_paces.find(TaskOf(index));
      if (pace != worker->first_paces.end()) {
        return pace->second;
      }
    }
    return -1;
  }

  int64_t serving_memory = 1000;
};

// Guards against best-effort jobs that wait without end beside free memory.
BOOST_DATA_TEST_CASE_F(BusyFixture,
                       Job_AllWorkersServe_BeginsSlowlyAndCompletes,
                       boost::unit_test::data::make(kReasons),
                       busy) {
  Occupy(busy);
  world.Submit(MakeBestEffortPlan(busy, 4));
  world.Run(Millis(1000));
  BOOST_TEST(!WasStarted(0));
  world.Run(Millis(1300));
  BOOST_TEST((Runs(0) && !WasStarted(1)));
  BOOST_TEST(FirstPace(0) == 0);
  world.Run(Millis(20'000));
  BOOST_TEST(State() == "completed");
}

// Guards against lasting best-effort tasks that run nowhere beside free memory.
BOOST_DATA_TEST_CASE_F(BusyFixture,
                       LongRunning_AllWorkersServe_AllTasksRun,
                       boost::unit_test::data::make(kReasons),
                       busy) {
  Occupy(busy);
  JobPlan plan = MakeBestEffortPlan(busy, kWorkers, "");
  plan.steps[0].long_running = true;
  world.Submit(plan);
  world.Run(kLongestWait);
  BOOST_TEST(CountRunning(kWorkers) == kWorkers);
}

// Guards against a best-effort gang that waits without end beside free memory.
BOOST_DATA_TEST_CASE_F(BusyFixture,
                       Gang_AllWorkersServe_StartsWhole,
                       boost::unit_test::data::make(kReasons),
                       busy) {
  Occupy(busy);
  constexpr int kMembers = 2 * kWorkers;
  JobPlan plan = MakeBestEffortPlan(busy, kMembers, "ms=2000");
  plan.steps[0].gang = true;
  world.Submit(plan);
  world.Run(kLongestWait);
  BOOST_TEST(CountRunning(kMembers) == kMembers);
  for (int i = 0; i < kWorkers; ++i) {
    // Beside the serving task.
    BOOST_TEST(world.workers().at(WorkerId(i))->runs_started ==
               1 + kMembers / kWorkers);
  }
}

// Guards against an adviser that is never asked for workers which only serve.
BOOST_DATA_TEST_CASE_F(BusyFixture,
                       AdvisedJob_AllWorkersServe_Completes,
                       boost::unit_test::data::make(kReasons),
                       busy) {
  Occupy(busy);
  const AdvicePolicy policy{Millis(50), Millis(10), Millis(1000)};
  world.adviser().policy = policy;
  Queue advised = fakes::MakeQueue("queue", 3);
  advised.advice = policy;
  world.SetTable({advised});
  world.Run(Millis(200));
  world.Submit(MakeBestEffortPlan(busy, 2));
  world.Run(Millis(12'000));
  BOOST_TEST(State() == "completed");
}

// Guards against a wait that begins anew without end as leaders change.
BOOST_DATA_TEST_CASE_F(BusyFixture,
                       Job_LeaderIsLost_Completes,
                       boost::unit_test::data::make(kReasons),
                       busy) {
  Occupy(busy);
  world.Submit(MakeBestEffortPlan(busy, 2));
  world.Run(Millis(1500));
  world.Kill(world.Leader()->name);
  world.Run(Millis(20'000));
  BOOST_TEST(State() == "completed");
}

// Guards against slow best-effort runs that take the memory which other work
// needs.
BOOST_FIXTURE_TEST_CASE(Job_MemoryIsMostlyReserved_Waits, BusyFixture) {
  const Busy& busy = kReasons[0];
  serving_memory = 998'500;
  Occupy(busy);
  world.Submit(MakeBestEffortPlan(busy, 1));
  world.Run(Millis(10'000));
  BOOST_TEST(!WasStarted(0));
}

// Guards against many slow runs that begin beside one serving task at once: a
// run disturbs it until its pace is lowered.
BOOST_FIXTURE_TEST_CASE(ManyJobs_AllWorkersServe_BeginOneAfterAnother,
                        BusyFixture) {
  const Busy& busy = kReasons[0];
  Occupy(busy);
  for (int i = 0; i < 12; ++i) {
    JobPlan plan = MakeBestEffortPlan(busy, 1, "ms=3000");
    plan.id = "a00000000000000" + std::string(1, "0123456789ab"[i]);
    world.Submit(plan);
  }
  world.Run(kLongestWait);
  // Half a second, less the time of an order's way.
  constexpr Millis kLeastPause{400};
  for (int i = 0; i < kWorkers; ++i) {
    const auto& times = world.workers().at(WorkerId(i))->start_times;
    BOOST_TEST(times.size() > 1U);
    for (size_t start = 1; start < times.size(); ++start) {
      BOOST_TEST((times[start] - times[start - 1] >= kLeastPause));
    }
  }
  world.Run(Millis(15'000));
  for (int i = 0; i < 12; ++i) {
    BOOST_TEST(State("a00000000000000" + std::string(1, "0123456789ab"[i])) ==
               "completed");
  }
}

// Guards against best-effort tasks that are never tried again after many
// workers were lost at once, since a trial needs a worker on which they disturb
// nobody.
BOOST_DATA_TEST_CASE_F(BusyFixture,
                       Suspects_ManyWorkersLostAtOnce_RunAgain,
                       boost::unit_test::data::make(kReasons),
                       busy) {
  constexpr int kLost = 4;
  Occupy(busy);
  for (int i = 0; i < kLost; ++i) {
    world.AddWorker("x" + std::to_string(i), 64'000);
  }
  world.Run(Millis(2000));
  JobPlan plan = MakeBestEffortPlan(busy, kLost, "ms=3000");
  plan.steps[0].max_per_worker = 1;
  world.Submit(plan);
  world.Run(Millis(300));
  BOOST_TEST(CountRunning(kLost) == kLost);
  for (int i = 0; i < kLost; ++i) {
    world.ShutDownWorker("x" + std::to_string(i));
  }
  // The leases of the lost runs, the wait, and one run after another.
  world.Run(Millis(9000) + kLongestWait);
  int starts = 0;
  for (int i = 0; i < kLost; ++i) {
    starts += world.starts(TaskOf(i));
  }
  BOOST_TEST(starts > kLost);
  world.Run(Millis(30'000));
  BOOST_TEST(State() == "completed");
}

}  // namespace
}  // namespace doorwood
