// SPDX-License-Identifier: Apache-2.0

#include "doorwood/place_search.h"

#include <array>
#include <boost/test/unit_test.hpp>

namespace doorwood {
namespace {

constexpr char kPool[] = "pool";

struct CandidatesFixture {
  CandidatesFixture() {
    const char* const ids[] = {"w0", "w1", "w2"};
    for (size_t i = 0; i < workers.size(); ++i) {
      workers[i].id = ids[i];
      workers[i].service = kPool;
      workers[i].capacity = {32'000, 1000, 0};
    }
    step.size = {4000, 100, 0};
    model.Intern("");
  }

  void EvaluateAll() {
    for (size_t i = 0; i < worker_pointers.size(); ++i) {
      candidates.Evaluate(i, {kPool, 0, ""}, 0);
    }
  }

  PolicyOptions options;
  InterferenceModel model{options.interference};
  std::array<CandidateWorker, 3> workers;
  const std::vector<CandidateWorker*> worker_pointers{&workers[0], &workers[1],
                                                      &workers[2]};
  StepPlan step;
  StepCandidates candidates{step, worker_pointers, model, options};
};

BOOST_FIXTURE_TEST_CASE(Best_NothingEvaluated_IsNoWorker, CandidatesFixture) {
  BOOST_TEST(candidates.Best("") == kNoWorker);
  BOOST_TEST(candidates.CountProblems().at(PlaceProblem::kUnchanged) == 3);
}

BOOST_FIXTURE_TEST_CASE(Best_FullestWithFreeCapacity_ComesFirst,
                        CandidatesFixture) {
  workers[1].reserved.cpu_millis = 20'000;
  workers[2].reserved.cpu_millis = 30'000;
  EvaluateAll();
  BOOST_TEST(candidates.Best("") == 1);
  BOOST_TEST(!candidates.IsSuitable(2));
  BOOST_TEST(candidates.CountProblems().at(PlaceProblem::kNoCpu) == 1);
}

BOOST_FIXTURE_TEST_CASE(Best_AvoidedWorker_ComesLast, CandidatesFixture) {
  workers[1].reserved.cpu_millis = 20'000;
  EvaluateAll();
  BOOST_TEST(candidates.Best("w1") != 1);
  workers[0].accepts_work = false;
  workers[2].accepts_work = false;
  EvaluateAll();
  BOOST_TEST(candidates.Best("w1") == 1);
}

BOOST_FIXTURE_TEST_CASE(Evaluate_BestWorkerFilledUp_OtherIsBest,
                        CandidatesFixture) {
  workers[1].reserved.cpu_millis = 26'000;
  EvaluateAll();
  BOOST_TEST(candidates.Best("") == 1);
  workers[1].reserved.cpu_millis = 30'000;
  candidates.Evaluate(1, {kPool, 0, ""}, 0);
  BOOST_TEST(candidates.Best("") != 1);
}

BOOST_AUTO_TEST_CASE(FailedPlacements_LaterPass_FindsNewestFailedPass) {
  StepPlan small;
  small.size = {2000, 100, 0};
  StepPlan large;
  large.size = {4000, 100, 0};
  FailedPlacements failed;
  BOOST_TEST(failed.LastFailedPass(large, kPool) == 0U);
  failed.Add(large, kPool, 3);
  BOOST_TEST(failed.LastFailedPass(large, kPool) == 3U);
  BOOST_TEST(failed.LastFailedPass(small, kPool) == 0U);
  BOOST_TEST(failed.LastFailedPass(large, "other") == 0U);
  failed.Add(small, kPool, 5);
  BOOST_TEST(failed.LastFailedPass(large, kPool) == 5U);
  failed.Add(large, kPool, 6);
  BOOST_TEST(failed.LastFailedPass(large, kPool) == 6U);
  BOOST_TEST(failed.LastFailedPass(small, kPool) == 5U);
}

BOOST_AUTO_TEST_CASE(FailedPlacements_OtherKind_IsIgnored) {
  StepPlan ordinary;
  ordinary.size = {2000, 100, 0};
  StepPlan best_effort = ordinary;
  best_effort.best_effort = true;
  best_effort.image = "a";
  StepPlan other_best_effort = best_effort;
  other_best_effort.image = "b";
  StepPlan limited = ordinary;
  limited.max_per_worker = 1;
  FailedPlacements failed;
  failed.Add(limited, kPool, 1);
  BOOST_TEST(failed.LastFailedPass(limited, kPool) == 0U);
  failed.Add(best_effort, kPool, 2);
  BOOST_TEST(failed.LastFailedPass(best_effort, kPool) == 2U);
  BOOST_TEST(failed.LastFailedPass(other_best_effort, kPool) == 0U);
  BOOST_TEST(failed.LastFailedPass(ordinary, kPool) == 0U);
  failed.Add(ordinary, kPool, 4);
  BOOST_TEST(failed.LastFailedPass(limited, kPool) == 4U);
}

}  // namespace
}  // namespace doorwood
