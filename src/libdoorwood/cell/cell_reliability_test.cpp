// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>
#include <string>

#include "cell_world_util.h"
#include "fakes/cell_world.h"

namespace doorwood {
namespace {

// Twelve workers that run short tasks. One of them, which is among the first to
// get work, fails half of its runs.
struct FailingWorkerFixture {
  explicit FailingWorkerFixture(double set_aside_share) {
    world.options().policy.reliability.max_set_aside_share = set_aside_share;
    world.SetTable({fakes::MakeQueue("queue", 20)});
    for (int i = 0; i < kWorkers; ++i) {
      world.AddWorker("w" + std::to_string(i), kWorkerCpu);
    }
    for (const char* name : {"a1", "b1"}) {
      world.AddInstance(name, "plaka");
    }
    world.WaitForLeader();
    world.Run(Millis(1000));
    world.workers().at(kFailing)->model.FailOneRunOf(2);
  }
  ~FailingWorkerFixture() {
    for (const std::string& rule : world.violations()) {
      BOOST_ERROR(rule);
    }
  }
  FailingWorkerFixture(const FailingWorkerFixture&) = delete;
  FailingWorkerFixture& operator=(const FailingWorkerFixture&) = delete;

  // Submits jobs of ten tasks for `duration`; returns the share of the runs
  // that were started on the failing worker.
  double PlayLoad(Millis duration) {
    const int all_before = CountRuns();
    const int failing_before = world.workers().at(kFailing)->runs_started;
    for (Millis passed{0}; passed < duration; passed += kJobInterval) {
      world.Submit(fakes::MakePlan(JobId(), 1, 10, "ms=300"));
      world.Run(kJobInterval);
    }
    return static_cast<double>(world.workers().at(kFailing)->runs_started -
                               failing_before) /
           (CountRuns() - all_before);
  }
  int CountRuns() {
    int runs = 0;
    for (const auto& [id, worker] : world.workers()) {
      runs += worker->runs_started;
    }
    return runs;
  }
  std::string JobId() {
    constexpr size_t kDigits = 16;
    const std::string number = std::to_string(++jobs);
    return std::string(kDigits - number.size(), 'a') + number;
  }
  const WorkerReliability& Reliability() {
    return world.WaitForLeader()->cell->reliability();
  }

  static constexpr int kWorkers = 12;
  static constexpr int64_t kWorkerCpu = 4000;
  static constexpr Millis kJobInterval{100};
  static constexpr const char* kFailing = "w1";
  fakes::CellWorld world{5};
  int jobs = 0;
};

// Load: tasks for two thirds of the processors.
BOOST_AUTO_TEST_CASE(Cell_WorkerFailsHalfOfItsRuns_GetsFewerRuns) {
  FailingWorkerFixture off(0);
  const double usual_share = off.PlayLoad(Millis(2000));
  BOOST_TEST(off.Reliability().set_aside() == 0U);
  FailingWorkerFixture on(0.1);
  on.PlayLoad(Millis(2000));
  BOOST_TEST(on.Reliability().IsSetAside(on.kFailing));
  BOOST_TEST(on.PlayLoad(Millis(2000)) < usual_share / 2);
  BOOST_TEST(on.world.log_count("setting a worker aside") >= 1);
}

// The leader is lost while a worker is set aside: the successor knows of it
// before it has evidence of its own.
BOOST_AUTO_TEST_CASE(Cell_LeaderLostWithWorkerSetAside_SuccessorKeepsIt) {
  FailingWorkerFixture f(0.1);
  f.PlayLoad(Millis(2000));
  BOOST_REQUIRE(f.Reliability().IsSetAside(f.kFailing));
  f.world.Kill(f.world.Leader()->name);
  BOOST_TEST(f.Reliability().IsSetAside(f.kFailing));
}

// A repaired worker gets its share of the work again.
BOOST_AUTO_TEST_CASE(Cell_SetAsideWorkerWorksAgain_IsTakenBack) {
  FailingWorkerFixture f(0.1);
  f.PlayLoad(Millis(2000));
  BOOST_REQUIRE(f.Reliability().IsSetAside(f.kFailing));
  f.world.workers().at(f.kFailing)->model.FailOneRunOf(0);
  f.PlayLoad(Millis(25'000));
  BOOST_TEST(!f.Reliability().IsSetAside(f.kFailing));
}

}  // namespace
}  // namespace doorwood
