// SPDX-License-Identifier: Apache-2.0

// Data centres that operators close to new work.

#include <boost/test/unit_test.hpp>
#include <string>

#include "fakes/cell_world.h"

namespace doorwood {
namespace {

// If the store answers, a data centre gets no new work once it has been closed
// for this long. The platform allows 5 s.
constexpr Millis kClosingTime{1000};

struct ClosedFixture {
  ClosedFixture() : world(5) {
    world.SetTable({fakes::MakeQueue("queue", 3)});
    for (const char* centre : {"plaka", "kerameikos", "pireas"}) {
      for (const char* worker : {"1", "2"}) {
        world.AddWorker(std::string(centre) + worker, 8000)
            .incarnation.data_centre = centre;
      }
      world.AddInstance(std::string("i-") + centre, centre);
    }
    world.WaitForLeader();
    world.Run(Millis(1000));
  }
  ~ClosedFixture() {
    for (const std::string& rule : world.violations()) {
      BOOST_ERROR(rule);
    }
  }
  ClosedFixture(const ClosedFixture&) = delete;
  ClosedFixture& operator=(const ClosedFixture&) = delete;

  // Submits a job of `count` tasks; a long-running one if `payload` is empty.
  void Submit(int number, int count, const std::string& payload) {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", number);
    JobPlan plan = fakes::MakePlan(id, 1, count, payload);
    plan.steps[0].long_running = payload.empty();
    world.Submit(plan);
  }
  size_t CountRunningIn(const std::string& centre) const {
    size_t running = 0;
    for (const auto& [id, worker] : world.workers()) {
      running += worker->incarnation.data_centre == centre
                     ? worker->model.running_count()
                     : 0;
    }
    return running;
  }
  // Returns no error unless the job is refused at once.
  std::error_code SubmitAndReturnError(int number) {
    std::error_code answer;
    JobPlan plan = fakes::MakePlan("ffffffffffffff" + std::to_string(number), 1,
                                   1, "ms=100");
    world.Leader()->cell->Submit(
        plan, [&](std::error_code error, AcceptOutcome) { answer = error; });
    return answer;
  }

  mutable fakes::CellWorld world;
};

BOOST_FIXTURE_TEST_CASE(DataCentre_Closed_GetsNoNewWorkAndTheOthersDo,
                        ClosedFixture) {
  world.closed_data_centres() = {"plaka"};
  world.Run(kClosingTime);
  Submit(1, 24, "ms=60000");
  world.Run(Millis(1000));
  BOOST_TEST(CountRunningIn("plaka") == 0U);
  BOOST_TEST(CountRunningIn("kerameikos") + CountRunningIn("pireas") == 24U);
}

BOOST_FIXTURE_TEST_CASE(DataCentre_Closed_ItsRunsContinue, ClosedFixture) {
  Submit(1, 6, "");
  world.Run(Millis(500));
  const size_t before = CountRunningIn("plaka");
  world.closed_data_centres() = {"plaka", "kerameikos", "pireas"};
  world.Run(Millis(4000));
  BOOST_TEST(CountRunningIn("plaka") == before);
}

BOOST_FIXTURE_TEST_CASE(
    DataCentre_ClosedAndItsWorkersCrash_WorkRestartsElsewhere,
    ClosedFixture) {
  Submit(1, 28, "");
  world.Run(Millis(500));
  const std::string centre = CountRunningIn("plaka") > 0 ? "plaka" : "pireas";
  BOOST_REQUIRE(CountRunningIn(centre) > 0U);
  world.closed_data_centres() = {centre};
  world.Run(kClosingTime);
  world.CrashWorker(centre + "1");
  world.CrashWorker(centre + "2");
  world.AddWorker(centre + "3", 8000).incarnation.data_centre = centre;
  world.Run(Millis(4000));
  BOOST_TEST(CountRunningIn(centre) == 0U);
  size_t running = 0;
  for (const auto& [id, worker] : world.workers()) {
    running += worker->model.running_count();
  }
  BOOST_TEST(running == 28U);
}

BOOST_FIXTURE_TEST_CASE(DataCentre_Reopened_GetsWorkAgain, ClosedFixture) {
  world.closed_data_centres() = {"plaka"};
  world.Run(Millis(3000));
  Submit(1, 48, "ms=60000");
  world.Run(Millis(500));
  BOOST_TEST(CountRunningIn("plaka") == 0U);
  world.closed_data_centres().clear();
  world.Run(Millis(2000));
  BOOST_TEST(CountRunningIn("plaka") == 16U);
}

BOOST_FIXTURE_TEST_CASE(DataCentre_ClosedAndReopenedWithinASecond_GetsWork,
                        ClosedFixture) {
  world.closed_data_centres() = {"plaka"};
  world.Run(Millis(400));
  world.closed_data_centres().clear();
  world.Run(Millis(2000));
  Submit(1, 48, "ms=60000");
  world.Run(Millis(1000));
  BOOST_TEST(CountRunningIn("plaka") == 16U);
}

// A successor reads the closed data centres before it starts anything.
BOOST_FIXTURE_TEST_CASE(DataCentre_ClosedDuringTakeover_NothingStartsThere,
                        ClosedFixture) {
  Submit(1, 48, "ms=60000");
  Submit(2, 30, "ms=60000");
  world.Run(Millis(500));
  world.Kill(world.Leader()->name);
  world.closed_data_centres() = {"pireas"};
  for (const char* worker : {"pireas1", "pireas2"}) {
    world.CrashWorker(worker);
  }
  world.AddWorker("pireas3", 8000).incarnation.data_centre = "pireas";
  BOOST_REQUIRE(world.WaitForLeader() != nullptr);
  for (int i = 0; i < 100; ++i) {
    world.Run(Millis(100));
    BOOST_REQUIRE(CountRunningIn("pireas") == 0U);
  }
}

BOOST_FIXTURE_TEST_CASE(DataCentres_AllClosed_JobsAreRefusedAtOnce,
                        ClosedFixture) {
  world.closed_data_centres() = {"plaka", "kerameikos", "pireas"};
  world.Run(kClosingTime);
  BOOST_TEST(SubmitAndReturnError(1) == make_error_code(CoreErrc::kNoCapacity));
  world.closed_data_centres() = {"plaka", "kerameikos"};
  world.Run(kClosingTime);
  BOOST_TEST(SubmitAndReturnError(2) == std::error_code());
}

}  // namespace
}  // namespace doorwood
