// SPDX-License-Identifier: Apache-2.0

#include "doorwood/step_room.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

namespace doorwood {
namespace {

struct RoomFixture {
  RoomFixture() {
    step.size = {4000, 100, 0};
    for (size_t i = 0; i < workers.size(); ++i) {
      workers[i].id = ids[i];
      workers[i].service = "pool";
      workers[i].capacity = {8000, 1000, 0};
      pointers.push_back(&workers[i]);
    }
  }
  RoomFixture(const RoomFixture&) = delete;
  RoomFixture& operator=(const RoomFixture&) = delete;

  TicketDemand Demand(int tasks) {
    return FindTicketDemand(
        {step,
         {"pool"},
         pointers,
         [](std::string_view) { return 0; },
         [this](std::string_view id) { return ticketed.contains(id); },
         model,
         options},
        tasks);
  }

  PolicyOptions options;
  InterferenceModel model{options.interference};
  StepPlan step;
  std::array<std::string, 3> ids = {"w1", "w2", "w3"};
  std::array<CandidateWorker, 3> workers;
  std::vector<CandidateWorker*> pointers;
  std::set<std::string, std::less<>> ticketed;
};

// Guards against calls that name workers without room, so that the others wait.
BOOST_FIXTURE_TEST_CASE(FindTicketDemand_WorkersAreFull_NamesThoseWithRoom,
                        RoomFixture) {
  workers[0].reserved = {7000, 0, 0};
  workers[1].accepts_work = false;
  const TicketDemand demand = Demand(1);
  BOOST_TEST(demand.tasks == 1);
  BOOST_REQUIRE(demand.candidates.size() == 1U);
  BOOST_TEST(demand.candidates[0].worker == "w3");
  BOOST_TEST(demand.candidates[0].capacity == 1);
}

BOOST_FIXTURE_TEST_CASE(FindTicketDemand_SomeHaveTickets_AsksForTheRest,
                        RoomFixture) {
  ticketed = {"w1"};
  BOOST_TEST(Demand(2).candidates.empty());
  const TicketDemand demand = Demand(3);
  BOOST_TEST(demand.tasks == 1);
  BOOST_TEST(demand.candidates.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(FindTicketDemand_BestWorker_IsNamedFirst, RoomFixture) {
  workers[2].reserved = {4000, 0, 0};  // Work is packed on the fullest worker.
  BOOST_TEST(Demand(1).candidates[0].worker == "w3");
}

// Guards against a gang that keeps the adviser busy while it cannot be started.
BOOST_FIXTURE_TEST_CASE(FindTicketDemand_GangDoesNotFit_AsksForNothing,
                        RoomFixture) {
  step.gang = true;
  BOOST_TEST(Demand(7).candidates.empty());
  BOOST_TEST(Demand(6).candidates.size() == 3U);
  BOOST_TEST(Demand(6).candidates[0].capacity == 2);
}

BOOST_FIXTURE_TEST_CASE(CountFittingTasks_EachLimit_Counts, RoomFixture) {
  const auto count = [this](PlaceProblem problem = PlaceProblem::kNone,
                            int runs = 0) {
    return CountFittingTasks(step, workers[0], problem, runs, 50);
  };
  BOOST_TEST(count() == 2);
  BOOST_TEST(count(PlaceProblem::kNoTicket) == 2);
  BOOST_TEST(count(PlaceProblem::kNoLabel) == 0);
  step.size = {0, 100, 0};
  BOOST_TEST(count() == 10);
  step.max_per_worker = 3;
  BOOST_TEST(count(PlaceProblem::kNone, 1) == 2);
  BOOST_TEST(count(PlaceProblem::kNone, 4) == 0);
  step.best_effort = true;
  BOOST_TEST(count() == 1);
}

}  // namespace
}  // namespace doorwood
