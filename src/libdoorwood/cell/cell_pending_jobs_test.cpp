// SPDX-License-Identifier: Apache-2.0

// Jobs that count as pending: none of their tasks has begun, whatever became of
// the starts, and whoever leads. All tests run in virtual time.

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

#include "doorwood/cell_journal.h"
#include "libdoorwood/cell/cell_fixture.h"

namespace doorwood {
namespace {

using fakes::CellFixture;

constexpr auto& kJob = fakes::kFixtureJob;

struct PendingFixture : public CellFixture {
  /// The leader's count, once its summary has been updated.
  int Pending() {
    world.Run(Millis(400));
    const auto& pending = world.Leader()->cell->summary().pending;
    const auto found = pending.find("queue");
    return found == pending.end() ? 0 : found->second;
  }
  void ChangeLeader() {
    world.Kill(world.Leader()->name);
    BOOST_REQUIRE(world.WaitForLeader() != nullptr);
  }
};

// Guards against jobs whose starts were lost: they are missing from the pending
// ones until their workers' leases expire, or for good after a takeover.
BOOST_FIXTURE_TEST_CASE(Starts_AreLost_JobIsPendingUnderEachLeader,
                        PendingFixture) {
  PartitionAllWorkers();
  world.Submit(fakes::MakePlan(kJob, 1, 2, "ms=3000"));
  BOOST_TEST(world.Leader()->cell->counters().starts > 0U);
  BOOST_TEST(Pending() == 1);
  world.Run(Millis(9000));  // The runs end as expired, which is recorded.
  BOOST_TEST(Pending() == 1);
  ChangeLeader();
  BOOST_TEST(Pending() == 1);
  BOOST_TEST(State() == "queued");
  ReconnectAllWorkers();
  world.Run(Millis(9000));
  BOOST_TEST(Pending() == 0);
  BOOST_TEST(world.starts(std::string(kJob) + ".0.0.0") == 1);
}

// Guards against jobs that an earlier version recorded as begun when it ordered
// their starts.
BOOST_FIXTURE_TEST_CASE(Record_IsOfEarlierVersion_JobIsPending,
                        PendingFixture) {
  PartitionAllWorkers();
  world.Submit(fakes::MakePlan(kJob, 1, 2, "ms=3000"));
  world.Run(Millis(9000));
  StoreTransaction earlier;
  earlier.puts.push_back(
      {StateKey("all", kJob),
       R"({"outcome":"o","finished_at":0,"begun":true,"tasks":[)"
       R"([0,0,0,1,1,[],"",0],[0,0,1,1,1,[],"",0]]})",
       0});
  world.Kill(world.Leader()->name);
  StoreCommit ignored;
  BOOST_REQUIRE(!world.store().Commit(earlier, &ignored));
  BOOST_REQUIRE(world.WaitForLeader() != nullptr);
  BOOST_TEST(Pending() == 1);
}

// Guards against a gang that counts as begun while some of its tasks cannot be
// started, also for a leader that adopts the others.
BOOST_FIXTURE_TEST_CASE(Gang_SomeStartsAreLost_JobIsPending, PendingFixture) {
  JobPlan plan = fakes::MakePlan(kJob, 1, 3, "ms=30000");
  plan.steps[0].gang = true;
  plan.steps[0].max_per_worker = 1;
  for (const auto& [name, instance] : world.instances()) {
    instance->unreachable_workers.insert("w2");
  }
  world.Submit(plan);
  BOOST_TEST(world.starts(std::string(kJob) + ".0.0.0") == 1);
  BOOST_TEST(Pending() == 1);
  ChangeLeader();
  world.Run(Millis(500));
  BOOST_TEST(Pending() == 1);
}

BOOST_FIXTURE_TEST_CASE(Gang_AllTasksBegin_JobIsNotPending, PendingFixture) {
  JobPlan plan = fakes::MakePlan(kJob, 1, 3, "ms=30000");
  plan.steps[0].gang = true;
  world.Submit(plan);
  BOOST_TEST(Pending() == 0);
  ChangeLeader();
  world.Run(Millis(1000));
  BOOST_TEST(Pending() == 0);
}

}  // namespace
}  // namespace doorwood
