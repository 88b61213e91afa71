// SPDX-License-Identifier: Apache-2.0

// Directory entries that name a worker at an address where another process
// answers: that answer says nothing about the worker's runs.

#include <boost/test/unit_test.hpp>
#include <string>

#include "fakes/cell_world.h"

namespace doorwood {
namespace {

constexpr const char* kElsewhere = "elsewhere";
constexpr const char* kTask = "00112233aabbccdd.0.0.0";

struct WrongAddressFixture {
  WrongAddressFixture() : world(5) {
    world.SetTable({fakes::MakeQueue("queue", 3)});
    for (const char* worker : {"w1", "w2"}) {
      world.AddWorker(worker, 8000);
    }
    for (const char* instance : {"i1", "i2", "i3"}) {
      world.AddInstance(instance, "plaka");
    }
  }

  // Starts a long-running task; returns the worker that runs it.
  std::string StartLongRunningTask() {
    world.WaitForLeader();
    world.Run(Millis(1000));
    JobPlan plan = fakes::MakePlan("00112233aabbccdd", 1, 1, "");
    plan.steps[0].long_running = true;
    world.Submit(plan);
    world.Run(Millis(1500));
    for (const auto& [id, worker] : world.workers()) {
      if (worker->model.IsRunning(kTask)) {
        return id;
      }
    }
    return "";
  }
  void PartitionAllFrom(const std::string& worker) {
    for (auto& [name, instance] : world.instances()) {
      instance->unreachable_workers.insert(worker);
    }
  }
  size_t CountRunningTasks() {
    size_t running = 0;
    for (const auto& [id, worker] : world.workers()) {
      running += worker->model.running_count();
    }
    return running;
  }

  fakes::CellWorld world;
};

struct EntryRow {
  const char* name;
  bool takeover;
  /// No instance can reach the worker.
  bool unreachable;
};

BOOST_AUTO_TEST_CASE(Entry_NamesAnotherAddress_RestartsOnlyIfUnreachable) {
  const EntryRow rows[] = {{"one leader", false, false},
                           {"a takeover", true, false},
                           {"a takeover, worker not contacted", true, true}};
  for (const EntryRow& row : rows) {
    WrongAddressFixture fixture;
    const std::string running_worker = fixture.StartLongRunningTask();
    BOOST_REQUIRE(!running_worker.empty());
    fixture.world.workers()[running_worker]->listed_address = kElsewhere;
    if (row.unreachable) {
      fixture.PartitionAllFrom(running_worker);
    }
    if (row.takeover) {
      fixture.world.Kill(fixture.world.Leader()->name);
    }
    fixture.world.Run(Millis(20'000));
    BOOST_TEST_CONTEXT(row.name) {
      BOOST_TEST(fixture.world.violations().empty());
      BOOST_TEST(fixture.CountRunningTasks() == 1U);
      // Only a worker that no instance reaches is declared lost, once its lease
      // has expired.
      BOOST_TEST(fixture.world.starts(kTask) == (row.unreachable ? 2 : 1));
    }
  }
}

// The first entry that a leader reads is wrong and is corrected before the
// worker gets a task: the record that a successor reads must name the address
// at which the worker answered.
BOOST_AUTO_TEST_CASE(Entry_CorrectedBeforeFirstTask_SuccessorKnowsTheAddress) {
  WrongAddressFixture fixture;
  for (auto& [id, worker] : fixture.world.workers()) {
    worker->listed_address = kElsewhere;
  }
  fixture.world.WaitForLeader();
  fixture.world.Run(Millis(3000));
  for (auto& [id, worker] : fixture.world.workers()) {
    worker->listed_address.clear();
  }
  fixture.world.Run(Millis(3000));
  const std::string running_worker = fixture.StartLongRunningTask();
  BOOST_REQUIRE(!running_worker.empty());
  fixture.PartitionAllFrom(running_worker);
  fixture.world.Kill(fixture.world.Leader()->name);
  fixture.world.Run(Millis(20'000));
  BOOST_TEST(fixture.world.violations().empty());
  BOOST_TEST(fixture.CountRunningTasks() == 1U);
}

// Another incarnation answers at the address where the crashed worker had
// answered. This still proves the crash, so that no task waits until a lease
// has expired.
BOOST_AUTO_TEST_CASE(Worker_CrashedAtTakeover_TaskRunsAgainSoon) {
  constexpr Millis kRestartBound{6000};
  WrongAddressFixture fixture;
  const std::string running_worker = fixture.StartLongRunningTask();
  BOOST_REQUIRE(!running_worker.empty());
  fixture.world.Kill(fixture.world.Leader()->name);
  fixture.world.CrashWorker(running_worker);
  BOOST_REQUIRE(fixture.world.WaitForLeader() != nullptr);
  fixture.world.Run(kRestartBound);
  BOOST_TEST(fixture.world.violations().empty());
  BOOST_TEST(fixture.CountRunningTasks() == 1U);
}

}  // namespace
}  // namespace doorwood
