// SPDX-License-Identifier: Apache-2.0

#include "doorwood/rack_choice.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

namespace doorwood {
namespace {

/// Three racks, r0 to r2, of two workers with 8 processors.
struct ChoiceFixture {
  ChoiceFixture() {
    step.size = {4000, 100, 0};
    step.same_rack = true;
    for (size_t i = 0; i < workers.size(); ++i) {
      ids[i] = "w" + std::to_string(i);
      workers[i].id = ids[i];
      workers[i].rack = racks[i / 2];
      workers[i].service = "pool";
      workers[i].capacity = {8000, 1000, 0};
      pointers.push_back(&workers[i]);
    }
  }
  ChoiceFixture(const ChoiceFixture&) = delete;
  ChoiceFixture& operator=(const ChoiceFixture&) = delete;

  std::vector<RackRoom> Rank(int tasks) {
    return RankRacks({step,
                      {"pool"},
                      pointers,
                      [this](std::string_view id) {
                        const auto found = runs.find(id);
                        return found == runs.end() ? 0 : found->second;
                      },
                      [](std::string_view) { return true; },
                      model,
                      options},
                     tasks);
  }
  bool MaySpread(int tasks, int run_ms, int waited_ms) {
    return MaySpreadOverRacks(step, Rank(tasks), tasks, Millis(run_ms),
                              Millis(waited_ms), options);
  }

  PolicyOptions options;
  InterferenceModel model{options.interference};
  StepPlan step;
  std::array<std::string, 3> racks = {"r0", "r1", "r2"};
  std::array<std::string, 6> ids;
  std::array<CandidateWorker, 6> workers;
  std::vector<CandidateWorker*> pointers;
  std::map<std::string, int, std::less<>> runs;
};

// Guards against a rack that depends on the order of the workers' names.
BOOST_FIXTURE_TEST_CASE(RankRacks_StepRunsInTwoRacks_PrefersTheOneWithMore,
                        ChoiceFixture) {
  runs = {{"w0", 1}, {"w4", 1}, {"w5", 2}};
  const auto ranked = Rank(1);
  BOOST_TEST(ranked[0].rack == "r2");
  BOOST_TEST(ranked[0].running == 3);
  BOOST_TEST(ranked[1].rack == "r0");
  BOOST_TEST(IsSpreadOverRacks(ranked));
}

BOOST_FIXTURE_TEST_CASE(RankRacks_OneRackTakesAll_IsFirst, ChoiceFixture) {
  workers[0].reserved = {5000, 0, 0};
  workers[2].reserved = {3000, 0, 0};
  const auto ranked = Rank(4);
  BOOST_TEST(ranked[0].rack == "r2");
  BOOST_TEST(ranked[0].fitting == 4);
  BOOST_TEST(ranked[1].rack == "r1");
  BOOST_TEST(ranked[1].fitting == 3);
  BOOST_TEST(ranked[2].fitting == 2);
  BOOST_TEST(ranked[2].fitting_when_empty == 4);
  BOOST_TEST(!IsSpreadOverRacks(ranked));
}

BOOST_FIXTURE_TEST_CASE(RankRacks_WorkersAreClosedOrBound_DoNotCount,
                        ChoiceFixture) {
  workers[0].accepts_work = false;
  step.max_per_worker = 1;
  runs = {{"w4", 1}};
  const auto ranked = Rank(4);
  BOOST_TEST(ranked[0].rack == "r2");
  BOOST_TEST(ranked[0].fitting == 1);
  BOOST_TEST(ranked[1].rack == "r1");
  BOOST_TEST(ranked[1].fitting == 2);
  BOOST_TEST(ranked[2].fitting == 1);
  BOOST_TEST(ranked[2].fitting_when_empty == 1);
}

// Guards against lasting work that waits for a rack.
BOOST_FIXTURE_TEST_CASE(MaySpread_LongRunning_NeverWaits, ChoiceFixture) {
  step.long_running = true;
  BOOST_TEST(MaySpread(1, 1000, 0));
}

BOOST_FIXTURE_TEST_CASE(MaySpread_Batch_WaitsAsLongAsSpreadingCosts,
                        ChoiceFixture) {
  workers[0].reserved = {8000, 0, 0};
  runs = {{"w1", 2}};
  BOOST_TEST(!MaySpread(1, 1000, 0));
  BOOST_TEST(!MaySpread(1, 1000, 499));
  BOOST_TEST(MaySpread(1, 1000, 500));
  BOOST_TEST(!MaySpread(1, 60'000, 1999));
  BOOST_TEST(MaySpread(1, 60'000, 2000));
}

BOOST_FIXTURE_TEST_CASE(MaySpread_NoRackCanTakeStep_DoesNotWait,
                        ChoiceFixture) {
  BOOST_TEST(!MaySpread(4, 1000, 0));
  BOOST_TEST(MaySpread(5, 1000, 0));
  runs = {{"w0", 1}, {"w2", 1}};
  BOOST_TEST(MaySpread(1, 1000, 0));  // It is spread already.
}

BOOST_FIXTURE_TEST_CASE(RackSearch_RackHasNoRoomLeft_MovesOnInOrder,
                        ChoiceFixture) {
  runs = {{"w2", 1}};
  RackSearch search(Rank(2), /*may_spread=*/true);
  TaskRequirements need;
  search.Apply(&need);
  BOOST_TEST(need.rack == "r1");
  BOOST_TEST(!need.rack_required);
  BOOST_TEST(!search.MoveOnFrom("r1"));
  BOOST_TEST(!search.has_moved_on());
  BOOST_TEST(search.MoveOnFrom("r2"));
  search.Apply(&need);
  BOOST_TEST(need.rack == "r0");
  BOOST_TEST(search.MoveOnFrom("r2"));
  BOOST_TEST(!search.MoveOnFrom("r0"));
  BOOST_TEST(search.HasRoomElsewhere(step, 2));
  BOOST_TEST(!RackSearch().HasRoomElsewhere(step, 2));
}

}  // namespace
}  // namespace doorwood
