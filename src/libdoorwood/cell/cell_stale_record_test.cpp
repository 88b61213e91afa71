// SPDX-License-Identifier: Apache-2.0

// Guards against a task that runs twice because of a stale record. A leader
// writes a record that says that nothing runs on a worker. Before the write is
// confirmed the worker is dropped, because it is not listed, and added again
// once its entry is back. After the confirmation a task is started there. The
// leader is lost; its successor cannot reach the worker, relies on the record,
// and starts the same task elsewhere.

#include <boost/test/unit_test.hpp>
#include <string>

#include "libdoorwood/cell/cell_world_util.h"
#include "libdoorwood/cell/long_running_fault_walk.h"

namespace doorwood {
namespace {

using fakes::CellWorld;
using fakes::PartitionAllFrom;
using fakes::WorkerRunning;

constexpr char kJob[] = "00112233aabbccdd";
constexpr char kTask[] = "00112233aabbccdd.0.0.0";

JobPlan LongRunningPlan(const std::string& id, int64_t cpu) {
  JobPlan plan = fakes::MakePlan(id, 1, 1, "");
  plan.steps[0].long_running = true;
  plan.steps[0].size.cpu_millis = cpu;
  return plan;
}

void RunInMillisecondSteps(CellWorld& world, int millis) {
  for (int i = 0; i < millis; ++i) {
    world.time().Run(Millis(1));
    world.AdvanceModelsToNow();
  }
}

// A worker that is not listed is evacuated. `lost_from` ms after the end of its
// run, the store's replies to the leader are lost for 0.7 s; if the leader
// drops the worker by then, the worker's entry comes back. `unresponsive_from`
// ms after the 0.7 s, the store becomes unresponsive to the leader. When a run
// starts on the worker, the leader is lost. Returns the number of violated
// rules, or -1 if nothing was started on the worker within 1.5 s.
int DropAndReadmitWorker(int lost_from, int unresponsive_from) {
  CellWorld world(5);
  world.SetTable({fakes::MakeQueue("queue", 4)});
  world.AddWorker("w1", 8000).model.SetStopDuration(Millis(100));
  world.AddInstance("a1", "plaka");
  world.AddInstance("b1", "plaka");
  world.WaitForLeader();
  world.Run(Millis(1000));
  BOOST_REQUIRE(world.Submit(LongRunningPlan(kJob, 2000)));
  world.Run(Millis(1000));
  BOOST_REQUIRE(WorkerRunning(world, kTask) == "w1");
  auto* old = world.Leader();
  auto& w1 = *world.workers().at("w1");
  w1.listed = false;
  // The worker is evacuated, and its run ends.
  for (int i = 0; i < 6000 && WorkerRunning(world, kTask) == "w1"; ++i) {
    RunInMillisecondSteps(world, 1);
  }
  RunInMillisecondSteps(world, lost_from);
  old->store_faults.lost_reply_share = 1.0;
  for (int i = 0; i < 700 && old->alive; i += 50) {
    RunInMillisecondSteps(world, 50);
    if (world.log_count(
            "removed a worker that is dead or has no valid directory entry") >
        0) {
      w1.listed = true;
    }
  }
  old->store_faults.lost_reply_share = 0.0;
  const int before = w1.runs_started;
  for (int i = 0; i < 1500; ++i) {
    if (i == unresponsive_from) {
      old->store_faults.unresponsive = true;
    }
    RunInMillisecondSteps(world, 1);
    if (w1.runs_started > before) {
      world.Kill(old->name);
      PartitionAllFrom(world, "w1");
      world.AddWorker("w3", 8000);
      world.Run(Millis(6000));
      return static_cast<int>(world.violations().size());
    }
  }
  return -1;
}

// This fault was found by a random walk that changes entries and loses replies
// of the store, with a check of each start against the current record.
BOOST_AUTO_TEST_CASE(
    Record_WorkerDroppedAndReadmittedMeanwhile_NothingRunsTwice) {
  int violating = 0;
  int started = 0;
  for (int lost_from = 0; lost_from < 400; lost_from += 10) {
    for (int unresponsive_from = 0; unresponsive_from < 900;
         unresponsive_from += 18) {
      const int count = DropAndReadmitWorker(lost_from, unresponsive_from);
      started += count >= 0 ? 1 : 0;
      violating += count > 0 ? 1 : 0;
    }
  }
  BOOST_TEST(started > 0);
  BOOST_TEST(violating == 0, violating << " of " << started << " cases");
}

// Share of replies that are lost and of calls that are executed late.
constexpr double kFaultShare = 0.35;

// A random walk in which entries appear and disappear, and workers start to
// drain or stop draining.
class EntryChangeWalk : public fakes::LongRunningFaultWalk {
 public:
  using LongRunningFaultWalk::LongRunningFaultWalk;

 private:
  void InjectFaultOrSubmit() override {
    const uint64_t fault = RandomBelow(30);
    auto& worker = *world_.workers().at(RandomWorker());
    switch (fault) {
      case 14:
        LeaderOrRandomInstance().store_faults.delayed_write_share = kFaultShare;
        return;
      case 15:
        LeaderOrRandomInstance().store_faults.lost_reply_share = kFaultShare;
        return;
      case 16:
        LeaderOrRandomInstance().delayed_order_share = kFaultShare;
        return;
      case 17:
        LeaderOrRandomInstance().live->AnnounceLeaving();
        return;
      case 18:
      case 19:
      case 20:
        worker.incarnation.draining = !worker.incarnation.draining;
        return;
      case 21:
      case 22:
      case 23:
        worker.listed = !worker.listed;
        return;
      case 24:
        worker.model.SetStopDuration(
            Millis(static_cast<int64_t>(RandomBelow(1500))));
        return;
      case 25:
      case 26:
        for (const auto& [id, other] : world_.workers()) {
          other->incarnation.draining = false;
          other->listed = true;
        }
        return;
      default:
        InjectFault(fault);
    }
  }
};

void RunEntryChangeWalk(uint64_t seed,
                        fakes::ViolationReport* violation_report) {
  EntryChangeWalk walk(seed);
  walk.Run(70);
  violation_report->Add("seed " + std::to_string(seed), walk.world());
}

BOOST_AUTO_TEST_CASE(Cells_EntriesChangeAtRandom_NothingRunsTwice) {
  constexpr uint64_t kSeeds = 300;
  fakes::ViolationReport violation_report;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RunEntryChangeWalk(seed, &violation_report);
  }
  // Seeds that failed in the past.
  for (const uint64_t seed : {889, 1631, 3996}) {
    RunEntryChangeWalk(seed, &violation_report);
  }
}

// An older version of this program does not use task names in the record: it
// leaves the rows unchanged and starts tasks on their workers. Then an instance
// of the current version leads again.
BOOST_AUTO_TEST_CASE(Row_OutlivesLeaderOfOlderVersion_NothingRunsTwice) {
  CellWorld world(5);
  world.SetTable({fakes::MakeQueue("queue", 4)});
  world.AddWorker("w1", 8000);
  for (const char* name : {"a1", "b1", "c1"}) {
    world.AddInstance(name, "plaka");
  }
  world.WaitForLeader();
  world.Run(Millis(2000));
  BOOST_REQUIRE(world.Submit(LongRunningPlan(kJob, 1000)));
  world.Run(Millis(1000));
  BOOST_REQUIRE(WorkerRunning(world, kTask) == "w1");
  // What the older version writes: the unchanged row, and the sequence number
  // of a batch of its own.
  StoreTransaction transaction;
  transaction.puts.push_back({WorkersKey("all"), R"([["w1","w1",0,[]]])"});
  transaction.puts.push_back({ChainKey("all", 0), R"({"sequence":1000})"});
  StoreCommit commit;
  BOOST_REQUIRE(!world.store().Commit(transaction, &commit));
  world.Kill(world.Leader()->name);
  PartitionAllFrom(world, "w1");
  world.AddWorker("w3", 8000);
  world.Run(Millis(6000));
  BOOST_TEST(world.violations().empty());
  BOOST_TEST(world.starts(kTask) == 1);
}

}  // namespace
}  // namespace doorwood
