// SPDX-License-Identifier: Apache-2.0

// What a leader does before it starts anything on the next life of a worker,
// and which fencing tokens its orders there have. Runs in virtual time.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <string>

#include "libdoorwood/cell/cell_fixture.h"

namespace doorwood {
namespace {

using fakes::EntryWhileDown;

constexpr char kWorker[] = "w4";
constexpr Millis kDown{300};

struct NextLifeOrdersFixture : fakes::CellFixture {
  void AddWorker() {
    world.AddWorker(kWorker, 60'000);
    world.Run(Millis(1000));
  }
  fakes::WorldWorker& worker() { return *world.workers().at(kWorker); }
  uint64_t Epoch() {
    fakes::WorldInstance* leader = world.Leader();
    BOOST_REQUIRE(leader != nullptr);
    return static_cast<uint64_t>(leader->cell->epoch());
  }

  /// Submits short tasks, for `longest` at most, until the worker runs one.
  void RunTask(Millis longest = Millis(5000)) {
    constexpr Millis kStep{10};
    constexpr Millis kSubmitInterval{500};
    for (Millis passed{0};
         passed < longest && worker().model.running_count() == 0;
         passed += kStep) {
      if (passed % kSubmitInterval == Millis(0)) {
        Submit();
      }
      world.RunExactly(kStep);
    }
  }
  void Restart() {
    const int life = worker().life;
    world.RestartWorkerInPlace(kWorker, kDown, EntryWhileDown::kKept);
    world.RunExactly(kDown + Millis(10));
    BOOST_REQUIRE(worker().life == life + 1);
    BOOST_REQUIRE(worker().model.running_count() == 0U);
  }

  /// Whether the worker refuses orders with this token.
  bool Refuses(uint64_t token) {
    standin::RunWorkerModel copy = worker().model;
    PollOrder order;
    order.token = token;
    WorkerReport report;
    return copy.Poll(order, &report) == make_error_code(RunErrc::kFenced);
  }
  bool IsRecordedAsUnsettled() {
    StoreItem item;
    BOOST_REQUIRE(!world.store().Get(WorkersKey("all"), &item));
    const auto rows = DecodeWorkers(item.value);
    return std::any_of(rows.begin(), rows.end(), [](const KnownWorker& row) {
      return row.id == kWorker && row.unsettled;
    });
  }
  /// Submits more tasks than the cell has room for.
  void SubmitBacklog() {
    constexpr int kJobs = 12;
    for (int i = 0; i < kJobs; ++i) {
      Submit();
    }
    world.Run(Millis(500));
    BOOST_REQUIRE(worker().model.running_count() > 0U);
  }
  /// Writes take effect seconds later; reads are answered.
  void DelayWrites(double share) {
    for (const auto& [name, instance] : world.instances()) {
      instance->store_faults.delayed_write_share = share;
    }
  }

 private:
  void Submit() {
    fakes::WorldInstance* leader = world.Leader();
    if (leader == nullptr) {
      return;
    }
    char id[17];
    std::snprintf(id, sizeof(id), "5%015x", ++submitted_);
    JobPlan plan = fakes::MakePlan(id, 1, 12, "ms=4000");
    plan.accepted_at = world.time().now_ms();
    leader->cell->Submit(plan, [](std::error_code, AcceptOutcome) {});
  }

  unsigned submitted_ = 0;
};

// Guards against a next life that still accepts orders for the earlier one when
// a task is started there.
BOOST_FIXTURE_TEST_CASE(NextLife_RunsTask_RefusesTokenOfEarlierLife,
                        NextLifeOrdersFixture) {
  AddWorker();
  const uint64_t epoch = Epoch();
  RunTask();
  Restart();
  RunTask();
  BOOST_REQUIRE(worker().model.running_count() > 0U);
  BOOST_REQUIRE(Epoch() == epoch);
  BOOST_TEST(Refuses(epoch));
}

// Guards against a successor that does not know, when a task is started on a
// next life, that longer leases may count there.
BOOST_FIXTURE_TEST_CASE(NextLife_RunsTask_IsRecordedAsUnsettledBefore,
                        NextLifeOrdersFixture) {
  AddWorker();
  SubmitBacklog();
  Restart();
  DelayWrites(1);
  for (Millis passed{0}; passed < Millis(1500); passed += Millis(10)) {
    world.RunExactly(Millis(10));
    BOOST_TEST_REQUIRE(
        (worker().model.running_count() == 0U || IsRecordedAsUnsettled()));
  }
  DelayWrites(0);
  RunTask(Millis(10'000));
  BOOST_REQUIRE(worker().model.running_count() > 0U);
  BOOST_TEST(IsRecordedAsUnsettled());
  const WorkerSessionOptions& options = world.options().sessions;
  world.Run(MaxOnLocalClock(options.longest_lease - options.run_lease) +
            Millis(2000));
  BOOST_TEST(!IsRecordedAsUnsettled());
}

// Guards against orders from before the removal of a worker that its next life
// accepts once the worker is listed again.
BOOST_FIXTURE_TEST_CASE(NextLife_WorkerWasRemovedMeanwhile_RefusesEarlierToken,
                        NextLifeOrdersFixture) {
  AddWorker();
  const uint64_t epoch = Epoch();
  world.ShutDownWorker(kWorker);
  world.Run(Millis(3000));
  BOOST_REQUIRE(world.log_count("removed a worker that is dead or has no valid "
                                "directory entry") == 1);
  worker().up = true;
  Restart();
  RunTask();
  BOOST_REQUIRE(worker().model.running_count() > 0U);
  BOOST_REQUIRE(Epoch() == epoch);
  BOOST_TEST(Refuses(epoch));
}

// Guards against a leader that is fenced off by its own higher token, since the
// worker was removed long before it is listed again.
BOOST_FIXTURE_TEST_CASE(NextLife_RemovedAndListedMuchLater_LeaderStays,
                        NextLifeOrdersFixture) {
  AddWorker();
  const uint64_t epoch = Epoch();
  RunTask();
  Restart();
  RunTask();
  BOOST_REQUIRE(Refuses(epoch));
  worker().listed = false;
  world.Run(Millis(40'000));
  BOOST_REQUIRE(world.log_count("removed a worker that is dead or has no valid "
                                "directory entry") == 1);
  worker().listed = true;
  world.Run(Millis(3000));
  BOOST_TEST(Epoch() == epoch);
  BOOST_TEST(world.log_count("a worker has seen the fencing token of a newer "
                             "leader") == 0);
}

}  // namespace
}  // namespace doorwood
