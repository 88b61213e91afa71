// SPDX-License-Identifier: Apache-2.0

#include "doorwood/ticket_naming.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace doorwood {
namespace {

constexpr AdvicePolicy kPolicy{Millis(100), Millis(22), Millis(3000)};

TicketDemand MakeDemand(int tasks, int candidates, int capacity = 1) {
  TicketDemand demand;
  demand.step = "s";
  demand.policy = kPolicy;
  demand.tasks = tasks;
  for (int i = 0; i < candidates; ++i) {
    demand.candidates.push_back({"w" + std::to_string(i), capacity});
  }
  return demand;
}

// Guards against calls that name all workers for one task, and so take seconds.
BOOST_AUTO_TEST_CASE(ChooseWorkersToName_OneTask_NamesFewOfTheBest) {
  const auto named = ChooseWorkersToName(MakeDemand(1, 300), 0.5);
  BOOST_TEST(named.size() == 4U);  // 4 x 22 ms take no longer than 100 ms.
  BOOST_TEST(named.front() == "w0");
  BOOST_TEST(named.back() == "w3");
}

BOOST_AUTO_TEST_CASE(ChooseWorkersToName_ManyTasks_NamesEnoughForAll) {
  BOOST_TEST(ChooseWorkersToName(MakeDemand(20, 300), 0.5).size() == 40U);
  BOOST_TEST(ChooseWorkersToName(MakeDemand(20, 300, 5), 0.5).size() == 8U);
  BOOST_TEST(ChooseWorkersToName(MakeDemand(400, 300), 0.5).size() ==
             kMaxNamedWorkers);
}

BOOST_AUTO_TEST_CASE(ChooseWorkersToName_FewArePermitted_NamesMore) {
  BOOST_TEST(ChooseWorkersToName(MakeDemand(1, 300), 0.02).size() == 50U);
}

BOOST_AUTO_TEST_CASE(ChooseWorkersToName_DecisionsAreFreePerWorker_NamesAll) {
  TicketDemand demand = MakeDemand(1, 60);
  demand.policy.decision_time_each = Millis(0);
  BOOST_TEST(ChooseWorkersToName(demand, 0.5).size() == 60U);
}

BOOST_AUTO_TEST_CASE(ChooseWorkersToName_PermittedAreKnown_NamesOnlyThese) {
  TicketDemand demand = MakeDemand(2, 30);
  demand.candidates[20].permission = Permission::kPermitted;
  demand.candidates[25].permission = Permission::kPermitted;
  const auto named = ChooseWorkersToName(demand, 0.5);
  BOOST_TEST((named == std::vector<std::string>{"w20", "w25"}));
}

BOOST_AUTO_TEST_CASE(ChooseWorkersToName_OnlyRefusedAreLeft_NamesThemAgain) {
  TicketDemand demand = MakeDemand(1, 2);
  demand.candidates[0].permission = Permission::kRefused;
  demand.candidates[1].permission = Permission::kRefused;
  BOOST_TEST(ChooseWorkersToName(demand, 0.5).size() == 2U);
  demand.candidates[1].permission = Permission::kUnknown;
  BOOST_TEST(
      (ChooseWorkersToName(demand, 0.5) == std::vector<std::string>{"w1"}));
}

BOOST_AUTO_TEST_CASE(PermittedShare_FewWerePermitted_EstimateFalls) {
  PermittedShare share;
  BOOST_TEST(share.Estimate(0, 0) == 0.5);
  share.Observe(100, 5);
  BOOST_TEST(share.Estimate(0, 0) < 0.1);
  BOOST_TEST(share.Estimate(10, 10) > 0.5);
}

BOOST_AUTO_TEST_CASE(StatedDecisionTime_OddTimes_StaysInRange) {
  const AdvicePolicy odd{Millis::max(), Millis::max(), Millis(0)};
  BOOST_TEST((StatedDecisionTime(odd, 100) > Millis(0)));
  BOOST_TEST((StatedDecisionTime({Millis(-5), Millis(-5), Millis(0)}, 9) ==
              Millis(0)));
}

// Guards against steps that are never considered, since more urgent ones need
// tickets again and again, or cannot use any.
BOOST_AUTO_TEST_CASE(TicketTurns_ManyHopelessSteps_EachIsConsidered) {
  std::vector<std::string> steps;
  for (int i = 0; i < 500; ++i) {
    steps.push_back("s" + std::to_string(i));
  }
  TicketTurns turns;
  std::vector<int> considered(steps.size(), 0);
  for (uint64_t calls = 0; calls < 20; ++calls) {
    for (const auto& [index, in_turn] : turns.Order(steps, calls)) {
      ++considered[index];
      if (in_turn) {
        turns.OnConsidered(steps[index]);
      }
    }
  }
  BOOST_TEST(*std::min_element(considered.begin(), considered.end()) >= 1);
}

BOOST_AUTO_TEST_CASE(TicketTurns_EverySecondCall_GoesToTheMostUrgentStep) {
  const std::vector<std::string> steps = {"z", "a", "b"};
  TicketTurns turns;
  turns.OnConsidered("a");
  BOOST_TEST(turns.Order(steps, 0).front().index == 0U);
  BOOST_TEST(!turns.Order(steps, 0).front().in_turn);
  BOOST_TEST(turns.Order(steps, 1).front().index == 2U);
  BOOST_TEST(turns.Order(steps, 1).front().in_turn);
}

}  // namespace
}  // namespace doorwood
