// SPDX-License-Identifier: Apache-2.0

#include "doorwood/place_search.h"

#include <array>
#include <boost/test/unit_test.hpp>

namespace doorwood {
namespace {

constexpr char kPool[] = "pool";

struct PlacesFixture {
  PlacesFixture() {
    const char* const ids[] = {"w0", "w1", "w2"};
    for (size_t i = 0; i < workers.size(); ++i) {
      workers[i].id = ids[i];
      workers[i].service = kPool;
      workers[i].capacity = {32'000, 1000, 0};
    }
    step.size = {4000, 100, 0};
    model.Intern("");
  }

  void JudgeAll() {
    for (size_t i = 0; i < rooms.size(); ++i) {
      places.Judge(i, {kPool, 0, ""}, 0);
    }
  }

  PolicyOptions options;
  InterferenceModel model{options.interference};
  std::array<WorkerRoom, 3> workers;
  const std::vector<WorkerRoom*> rooms{&workers[0], &workers[1], &workers[2]};
  StepPlan step;
  StepPlaces places{step, rooms, model, options};
};

BOOST_FIXTURE_TEST_CASE(Best_NothingJudged_IsNoWorker, PlacesFixture) {
  BOOST_TEST(places.Best("") == kNoWorker);
  BOOST_TEST(places.CountProblems().at(PlaceProblem::kUnchanged) == 3);
}

BOOST_FIXTURE_TEST_CASE(Best_FullestThatFits_ComesFirst, PlacesFixture) {
  workers[1].reserved.cpu_millis = 20'000;
  workers[2].reserved.cpu_millis = 30'000;
  JudgeAll();
  BOOST_TEST(places.Best("") == 1);
  BOOST_TEST(!places.IsGood(2));
  BOOST_TEST(places.CountProblems().at(PlaceProblem::kNoCpu) == 1);
}

BOOST_FIXTURE_TEST_CASE(Best_WorkerItFailedOn_ComesLast, PlacesFixture) {
  workers[1].reserved.cpu_millis = 20'000;
  JudgeAll();
  BOOST_TEST(places.Best("w1") != 1);
  workers[0].open = false;
  workers[2].open = false;
  JudgeAll();
  BOOST_TEST(places.Best("w1") == 1);
}

BOOST_FIXTURE_TEST_CASE(Best_PlaceFilledUp_IsJudgedAnew, PlacesFixture) {
  workers[1].reserved.cpu_millis = 26'000;
  JudgeAll();
  BOOST_TEST(places.Best("") == 1);
  workers[1].reserved.cpu_millis = 30'000;
  places.Judge(1, {kPool, 0, ""}, 0);
  BOOST_TEST(places.Best("") != 1);
}

BOOST_AUTO_TEST_CASE(HopelessFits_LaterPass_NamesWhatNeedsNoSecondTry) {
  StepPlan small;
  small.size = {2000, 100, 0};
  StepPlan large;
  large.size = {4000, 100, 0};
  HopelessFits fits;
  BOOST_TEST(fits.TriedIn(large, kPool) == 0U);
  fits.Add(large, kPool, 3);
  BOOST_TEST(fits.TriedIn(large, kPool) == 3U);
  BOOST_TEST(fits.TriedIn(small, kPool) == 0U);
  BOOST_TEST(fits.TriedIn(large, "other") == 0U);
  fits.Add(small, kPool, 5);
  BOOST_TEST(fits.TriedIn(large, kPool) == 5U);
  fits.Add(large, kPool, 6);
  BOOST_TEST(fits.TriedIn(large, kPool) == 6U);
  BOOST_TEST(fits.TriedIn(small, kPool) == 5U);
}

BOOST_AUTO_TEST_CASE(HopelessFits_OtherSort_TellsNothing) {
  StepPlan ordinary;
  ordinary.size = {2000, 100, 0};
  StepPlan fill = ordinary;
  fill.fills = true;
  fill.image = "a";
  StepPlan other_fill = fill;
  other_fill.image = "b";
  StepPlan bound = ordinary;
  bound.most_per_worker = 1;
  HopelessFits fits;
  fits.Add(bound, kPool, 1);
  BOOST_TEST(fits.TriedIn(bound, kPool) == 0U);
  fits.Add(fill, kPool, 2);
  BOOST_TEST(fits.TriedIn(fill, kPool) == 2U);
  BOOST_TEST(fits.TriedIn(other_fill, kPool) == 0U);
  BOOST_TEST(fits.TriedIn(ordinary, kPool) == 0U);
  fits.Add(ordinary, kPool, 4);
  BOOST_TEST(fits.TriedIn(bound, kPool) == 4U);
}

}  // namespace
}  // namespace doorwood
