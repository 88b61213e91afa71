// SPDX-License-Identifier: Apache-2.0

// A long-running task must run again soon after its worker is gone, even if
// leaders succeed each other and cannot reach other workers, and must never run
// twice at a time.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "fakes/cell_world.h"
#include "libdoorwood/cell/cell_fixture.h"

namespace doorwood {
namespace {

using fakes::CellWorld;
using fakes::kFixtureJob;

constexpr int kSeeds = 8;
constexpr int kTasks = 16;
constexpr int kWorkers = 16;

/// A cell with long-running tasks on workers that have capacity for two each,
/// and three instances.
struct PlacementFixture {
  explicit PlacementFixture(uint64_t seed, const std::string& payload = "")
      : world(seed) {
    world.SetTable({fakes::MakeQueue("queue", 3)});
    for (int i = 0; i < kWorkers; ++i) {
      const std::string id = "w" + std::to_string(10 + i);
      world.AddWorker(id, 2000).incarnation.machine = id;
    }
    for (const char* name : {"a1", "b1", "c1"}) {
      world.AddInstance(name, std::string(1, name[0]));
    }
    world.WaitForLeader();
    world.Run(Millis(1000));
    JobPlan plan = fakes::MakePlan(kFixtureJob, 1, kTasks, payload);
    plan.steps[0].long_running = true;
    BOOST_REQUIRE(world.Submit(plan));
    world.Run(Millis(3000));
  }
  ~PlacementFixture() {
    for (const std::string& rule : world.violations()) {
      BOOST_ERROR(rule);
    }
  }
  PlacementFixture(const PlacementFixture&) = delete;
  PlacementFixture& operator=(const PlacementFixture&) = delete;

  static std::string NameOf(int task) {
    return std::string(kFixtureJob) + ".0.0." + std::to_string(task);
  }
  /// The worker that runs the task; empty if there is none.
  std::string WorkerOf(const std::string& task) {
    for (const auto& [id, worker] : world.workers()) {
      if (worker->model.IsRunning(task)) {
        return id;
      }
    }
    return "";
  }
  std::vector<std::string> BusyWorkers() {
    std::vector<std::string> busy_workers;
    for (const auto& [id, worker] : world.workers()) {
      if (worker->up && worker->model.running_count() > 0) {
        busy_workers.push_back(id);
      }
    }
    return busy_workers;
  }
  void PartitionFromAll(const std::string& worker) {
    unreachable_workers.push_back(worker);
    for (auto& [name, instance] : world.instances()) {
      instance->unreachable_workers.insert(worker);
    }
  }
  /// Kills the leader and starts it again a second later, partitioned from the
  /// same workers as the other instances.
  void RestartLeader() {
    const std::string name = world.WaitForLeader()->name;
    world.Kill(name);
    Run(Millis(1000));
    auto& back = world.AddInstance(name, std::string(1, name[0]));
    back.unreachable_workers.insert(unreachable_workers.begin(),
                                    unreachable_workers.end());
  }
  void SetStoreDown(bool down) {
    for (auto& [name, instance] : world.instances()) {
      instance->store_faults.unavailable = down;
    }
  }
  /// Runs the world, and measures for how long each task of `watched` runs on
  /// no worker.
  void Run(Millis duration) {
    constexpr Millis kStep{50};
    for (Millis passed{0}; passed < duration; passed += kStep) {
      world.Run(kStep);
      for (const std::string& task : watched) {
        Millis& gap = not_running_for[task];
        gap = WorkerOf(task).empty() ? gap + kStep : Millis(0);
        longest_gap = std::max(longest_gap, gap);
      }
    }
  }

  CellWorld world;
  std::vector<std::string> unreachable_workers;
  std::vector<std::string> watched;
  std::map<std::string, Millis> not_running_for;
  Millis longest_gap{0};
};

// The platform's limit for the time in which a long-running task does not run.
constexpr Millis kMaxGap{6000};

// Guards against each new leader delaying all tasks, also those of workers that
// it reaches, for as long as workers that it cannot reach might run them.
BOOST_AUTO_TEST_CASE(
    LongRunningTask_WorkersUnreachableBySuccessiveLeaders_RunsAgainSoon) {
  for (const int unreachable_count : {1, 3}) {
    for (const int interval_ms : {1500, 4000, 9000}) {
      for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
        BOOST_TEST_CONTEXT(unreachable_count << " unreachable, " << interval_ms
                                             << " ms between leaders, seed "
                                             << seed) {
          PlacementFixture fixture(seed);
          const auto busy_workers = fixture.BusyWorkers();
          BOOST_REQUIRE(busy_workers.size() > 6U);
          for (int i = 0; i < unreachable_count; ++i) {
            fixture.PartitionFromAll(busy_workers[i]);
          }
          for (int i = 0; i < kTasks; ++i) {
            const std::string running_worker =
                fixture.WorkerOf(PlacementFixture::NameOf(i));
            if (std::find(fixture.unreachable_workers.begin(),
                          fixture.unreachable_workers.end(), running_worker) ==
                fixture.unreachable_workers.end()) {
              fixture.watched.push_back(PlacementFixture::NameOf(i));
            }
          }
          for (int i = 0; i < 4; ++i) {
            fixture.world.CrashAndRestart(busy_workers[unreachable_count + i]);
            fixture.RestartLeader();
            fixture.Run(Millis(interval_ms));
          }
          fixture.Run(Millis(8000));
          BOOST_TEST(fixture.longest_gap <= kMaxGap);
        }
      }
    }
  }
}

// The first change of leader (2.5 s), one wait for a worker that is gone (run
// lease / 0.98 + 3.5 s), one reading of the directory, and a margin.
constexpr Millis kMaxSingleWait{15'000};

// Guards against each successive leader starting the wait from the beginning.
BOOST_AUTO_TEST_CASE(
    LongRunningTask_ItsWorkerIsGoneWhileLeadersChange_WaitsOnce) {
  for (const int interval_ms : {1500, 2500, 4000}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      BOOST_TEST_CONTEXT(interval_ms << " ms between leaders, seed " << seed) {
        PlacementFixture fixture(seed);
        const std::string lost_worker = fixture.BusyWorkers().front();
        fixture.watched =
            fixture.world.workers().at(lost_worker)->model.running_tasks();
        fixture.world.ShutDownWorker(lost_worker);
        for (int i = 0; i < 6; ++i) {
          fixture.RestartLeader();
          fixture.Run(Millis(interval_ms));
        }
        fixture.Run(Millis(10'000));
        BOOST_TEST(fixture.longest_gap <= kMaxSingleWait);
      }
    }
  }
}

// Payloads whose runs fail by themselves after 6 s and 3 s.
constexpr char kFailsAfterSix[] = "ms=6000 fails=1000000";
constexpr char kFailsAfterThree[] = "ms=3000 fails=1000000";

// Makes the store unavailable, waits until the task has been started again on
// another worker, and partitions that worker from all instances.
void StartUnrecorded(PlacementFixture* fixture) {
  const std::string task = PlacementFixture::NameOf(0);
  const std::string before = fixture->WorkerOf(task);
  fixture->SetStoreDown(true);
  std::string after = before;
  for (int i = 0; i < 80 && (after == before || after.empty()); ++i) {
    fixture->Run(Millis(100));
    after = fixture->WorkerOf(task);
  }
  BOOST_TEST(!after.empty());
  BOOST_TEST(after != before);
  fixture->Run(Millis(500));
  fixture->PartitionFromAll(after);
}

// Guards against a successor that relies on placements recorded before an
// outage.
BOOST_AUTO_TEST_CASE(
    LongRunningTask_StartedUnrecordedThenLeaderFails_NeverRunsTwice) {
  for (const int store_delay_ms : {0, 200, 1000}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      BOOST_TEST_CONTEXT("store available after " << store_delay_ms
                                                  << " ms, seed " << seed) {
        PlacementFixture fixture(seed, kFailsAfterSix);
        StartUnrecorded(&fixture);
        fixture.RestartLeader();
        fixture.Run(Millis(store_delay_ms));
        fixture.SetStoreDown(false);
        fixture.Run(Millis(20'000));
        BOOST_TEST(!fixture.WorkerOf(PlacementFixture::NameOf(0)).empty());
      }
    }
  }
}

// Guards against a successor that relies on recorded placements because it
// started after the outage and so never agreed to unrecorded starts.
BOOST_AUTO_TEST_CASE(
    LongRunningTask_SuccessorStartedAfterTheOutage_NeverRunsTwice) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      PlacementFixture fixture(seed, kFailsAfterSix);
      StartUnrecorded(&fixture);
      for (const char* name : {"a1", "b1", "c1"}) {
        fixture.world.Kill(name);
      }
      for (const char* name : {"a2", "b2", "c2"}) {
        auto& new_instance =
            fixture.world.AddInstance(name, std::string(1, name[0]));
        new_instance.unreachable_workers.insert(
            fixture.unreachable_workers.begin(),
            fixture.unreachable_workers.end());
      }
      fixture.Run(Millis(20'000));
      BOOST_TEST(!fixture.WorkerOf(PlacementFixture::NameOf(0)).empty());
    }
  }
}

// Guards against a leader that has started tasks without a record, loses its
// lease, leads again and then relies on the recorded placements.
BOOST_AUTO_TEST_CASE(
    LongRunningTask_StartedUnrecordedThenLeaderLeadsAgain_NeverRunsTwice) {
  int led_again = 0;
  for (const int store_delay_ms : {0, 200, 1000}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      BOOST_TEST_CONTEXT("store available after " << store_delay_ms
                                                  << " ms, seed " << seed) {
        PlacementFixture fixture(seed, kFailsAfterSix);
        const std::string leader = fixture.world.WaitForLeader()->name;
        StartUnrecorded(&fixture);
        fixture.Run(Millis(store_delay_ms));
        fixture.SetStoreDown(false);
        fixture.Run(Millis(3000));
        led_again += fixture.world.WaitForLeader()->name == leader ? 1 : 0;
        fixture.Run(Millis(17'000));
        BOOST_TEST(!fixture.WorkerOf(PlacementFixture::NameOf(0)).empty());
      }
    }
  }
  BOOST_TEST(led_again > 0);
}

// Guards against starts that wait for as long as the store is unavailable.
BOOST_AUTO_TEST_CASE(LongRunningTask_StoreIsDownForAll_RunsAgainSoon) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      PlacementFixture fixture(seed, kFailsAfterThree);
      fixture.SetStoreDown(true);
      for (int i = 0; i < kTasks; ++i) {
        fixture.watched.push_back(PlacementFixture::NameOf(i));
      }
      fixture.Run(Millis(15'000));
      BOOST_TEST(fixture.longest_gap <= kMaxGap);
      fixture.SetStoreDown(false);
      fixture.Run(Millis(3000));
    }
  }
}

}  // namespace
}  // namespace doorwood
