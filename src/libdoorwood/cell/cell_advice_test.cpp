// SPDX-License-Identifier: Apache-2.0

// Jobs of queues with an adviser that handles one call at a time.

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "libdoorwood/cell/cell_fixture.h"

namespace doorwood {
namespace {

std::string JobId(int number) {
  char id[17];
  std::snprintf(id, sizeof id, "%016x", 0x1000 + number);
  return id;
}

struct AdviceFixture : public fakes::CellFixture {
  void SetAdviser(AdvicePolicy policy) {
    world.adviser().policy = policy;
    Queue advised = fakes::MakeQueue("queue", 3);
    advised.advice = policy;
    world.SetTable({advised});
    world.Run(Millis(200));
  }
  void AddWorkers(int count) {
    for (int i = 0; i < count; ++i) {
      world.AddWorker("v" + std::to_string(100 + i), 8000);
    }
    world.Run(Millis(2000));
  }
  int CountDone(int jobs) {
    int done = 0;
    for (int i = 0; i < jobs; ++i) {
      done += State(JobId(i)) == "completed" ? 1 : 0;
    }
    return done;
  }
};

/// A burst of jobs and an adviser.
struct Burst {
  AdvicePolicy policy;
  int workers;
  int jobs;
  /// By when all jobs must be done.
  Millis limit;

  friend std::ostream& operator<<(std::ostream& out, const Burst& burst) {
    return out << burst.policy.decision_time.count() << " + "
               << burst.policy.decision_time_each.count() << " ms, valid "
               << burst.policy.ticket_validity.count() << " ms, "
               << burst.workers << " workers, " << burst.jobs << " jobs";
  }
};

constexpr Burst kBursts[] = {
    {{Millis(100), Millis(22), Millis(3000)}, 27, 24, Millis(14'000)},
    {{Millis(700), Millis(50), Millis(3000)}, 27, 10, Millis(25'000)},
    {{Millis(40), Millis(9), Millis(900)}, 87, 24, Millis(14'000)},
    {{Millis(0), Millis(60), Millis(500)}, 47, 24, Millis(14'000)},
    {{Millis(4000), Millis(0), Millis(1000)}, 27, 4, Millis(20'000)},
    {{Millis(1), Millis(0), Millis(100)}, 27, 100, Millis(14'000)},
};

// Guards against calls to a slow adviser that are given up shortly before their
// answers, and tickets that expire while their calls wait: no job ran any more.
BOOST_DATA_TEST_CASE_F(AdviceFixture,
                       Jobs_ManyAtOnceAndAdviserIsSlow_AllRun,
                       boost::unit_test::data::make(kBursts),
                       burst) {
  SetAdviser(burst.policy);
  AddWorkers(burst.workers);
  for (int i = 0; i < burst.jobs; ++i) {
    world.Leader()->cell->Submit(
        [&] {
          JobPlan plan = fakes::MakePlan(JobId(i), 1, 1, "ms=640");
          plan.accepted_at = world.time().now_ms();
          return plan;
        }(),
        [](std::error_code, AcceptOutcome) {});
  }
  world.Run(burst.limit);
  BOOST_TEST(CountDone(burst.jobs) == burst.jobs);
}

// Guards against an adviser that is asked for workers of which few are
// permitted, or that have no room.
BOOST_FIXTURE_TEST_CASE(Jobs_FewWorkersArePermitted_AllRun, AdviceFixture) {
  SetAdviser({Millis(50), Millis(10), Millis(1000)});
  world.adviser().permits = [](const std::string&, const std::string& worker) {
    return worker.ends_with("7");
  };
  AddWorkers(60);
  for (int i = 0; i < 10; ++i) {
    world.Submit(fakes::MakePlan(JobId(i), 2, 3, "ms=300"));
  }
  world.Run(Millis(14'000));
  BOOST_TEST(CountDone(10) == 10);
}

// Guards against a gang whose tickets expire before the last of them is there.
BOOST_FIXTURE_TEST_CASE(Gang_NeedsManyTickets_Starts, AdviceFixture) {
  SetAdviser({Millis(100), Millis(10), Millis(700)});
  world.adviser().permits = [](const std::string&, const std::string& worker) {
    return worker.back() % 2 == 0;
  };
  AddWorkers(60);
  JobPlan plan = fakes::MakePlan(fakes::kFixtureJob, 1, 25, "ms=500");
  plan.steps[0].gang = true;
  plan.steps[0].max_per_worker = 1;
  world.Submit(plan);
  world.Run(Millis(8000));
  BOOST_TEST(State() == "completed");
}

// Guards against a lead that changes while calls are open, and an adviser that
// is silent, refuses calls, or is far slower than stated for a while.
BOOST_DATA_TEST_CASE_F(AdviceFixture,
                       Jobs_AdviserFailsForAWhile_AllRun,
                       boost::unit_test::data::make({0, 1, 2, 3}),
                       fault) {
  SetAdviser({Millis(100), Millis(22), Millis(3000)});
  AddWorkers(20);
  fakes::SerialAdviser::Behavior& adviser = world.adviser();
  adviser.silent = fault == 0;
  adviser.busy = fault == 1;
  adviser.slowdown = fault == 2 ? 20 : 1;
  for (int i = 0; i < 8; ++i) {
    world.Submit(fakes::MakePlan(JobId(i), 1, 2, "ms=300"));
  }
  world.Run(Millis(6000));
  adviser.silent = false;
  adviser.busy = false;
  adviser.slowdown = 1;
  if (fault == 3) {
    world.Kill(world.Leader()->name);
    BOOST_REQUIRE(world.WaitForLeader() != nullptr);
  }
  world.Run(Millis(20'000));
  BOOST_TEST(CountDone(8) == 8);
}

// Guards against starts with tickets that have expired: each is refused.
BOOST_FIXTURE_TEST_CASE(Starts_TicketsAreShortLived_NoneIsRefused,
                        AdviceFixture) {
  SetAdviser({Millis(20), Millis(5), Millis(400)});
  AddWorkers(20);
  for (int i = 0; i < 20; ++i) {
    world.Submit(fakes::MakePlan(JobId(i), 2, 4, "ms=500"));
  }
  world.Run(Millis(25'000));
  BOOST_TEST(CountDone(20) == 20);
  BOOST_TEST(world.Leader()->cell->counters().starts_refused == 0U);
}

}  // namespace
}  // namespace doorwood
