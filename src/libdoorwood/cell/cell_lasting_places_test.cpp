// SPDX-License-Identifier: Apache-2.0

// A lasting task runs again soon after its worker is gone, also where leaders
// follow each other and don't reach other workers; and it never runs twice.

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
using fakes::kCellJob;

constexpr int kSeeds = 8;
constexpr int kTasks = 16;
constexpr int kWorkers = 16;

/// Lasting tasks on workers with room for two each, and three instances.
struct PlacesTrial {
  explicit PlacesTrial(uint64_t seed, const std::string& payload = "")
      : world(seed) {
    world.SetTable({fakes::MakeQueue("queue", 3)});
    for (int i = 0; i < kWorkers; ++i) {
      const std::string id = "w" + std::to_string(10 + i);
      world.AddWorker(id, 2000).life.machine = id;
    }
    for (const char* name : {"a1", "b1", "c1"}) {
      world.AddInstance(name, std::string(1, name[0]));
    }
    world.WaitForLeader();
    world.Run(Millis(1000));
    JobPlan plan = fakes::MakePlan(kCellJob, 1, kTasks, payload);
    plan.steps[0].lasting = true;
    BOOST_REQUIRE(world.Submit(plan));
    world.Run(Millis(3000));
  }
  ~PlacesTrial() {
    for (const std::string& rule : world.broken()) {
      BOOST_ERROR(rule);
    }
  }
  PlacesTrial(const PlacesTrial&) = delete;
  PlacesTrial& operator=(const PlacesTrial&) = delete;

  static std::string NameOf(int task) {
    return std::string(kCellJob) + ".0.0." + std::to_string(task);
  }
  /// The worker that runs the task; empty: none.
  std::string PlaceOf(const std::string& task) {
    for (const auto& [id, worker] : world.workers()) {
      if (worker->model.Runs(task)) {
        return id;
      }
    }
    return "";
  }
  std::vector<std::string> Hosts() {
    std::vector<std::string> hosts;
    for (const auto& [id, worker] : world.workers()) {
      if (worker->up && worker->model.running() > 0) {
        hosts.push_back(id);
      }
    }
    return hosts;
  }
  void CutFromAll(const std::string& worker) {
    cut.push_back(worker);
    for (auto& [name, instance] : world.instances()) {
      instance->cut_from.insert(worker);
    }
  }
  /// Ends the leader; it is back a second later, cut off like the others.
  void RestartLeader() {
    const std::string name = world.WaitForLeader()->name;
    world.Kill(name);
    Run(Millis(1000));
    auto& back = world.AddInstance(name, std::string(1, name[0]));
    back.cut_from.insert(cut.begin(), cut.end());
  }
  void RefuseAll(bool refuse) {
    for (auto& [name, instance] : world.instances()) {
      instance->store_faults.down = refuse;
    }
  }
  /// Notes for how long each task of `watched` runs nowhere.
  void Run(Millis duration) {
    constexpr Millis kStep{50};
    for (Millis passed{0}; passed < duration; passed += kStep) {
      world.Run(kStep);
      for (const std::string& task : watched) {
        Millis& now = away[task];
        now = PlaceOf(task).empty() ? now + kStep : Millis(0);
        longest_away = std::max(longest_away, now);
      }
    }
  }

  CellWorld world;
  std::vector<std::string> cut;
  std::vector<std::string> watched;
  std::map<std::string, Millis> away;
  Millis longest_away{0};
};

// The platform's bound for tasks that last.
constexpr Millis kLongestAway{6000};

// Guards against holding back what was on heard workers for as long as unheard
// ones may run anything, by each leader anew.
BOOST_AUTO_TEST_CASE(LastingTask_WorkersUnheardByLeadersInARow_RunsAgainSoon) {
  for (const int unheard : {1, 3}) {
    for (const int between : {1500, 4000, 9000}) {
      for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
        BOOST_TEST_CONTEXT(unheard << " unheard, " << between
                                   << " ms between leaders, seed " << seed) {
          PlacesTrial trial(seed);
          const auto hosts = trial.Hosts();
          BOOST_REQUIRE(hosts.size() > 6U);
          for (int i = 0; i < unheard; ++i) {
            trial.CutFromAll(hosts[i]);
          }
          for (int i = 0; i < kTasks; ++i) {
            const std::string place = trial.PlaceOf(PlacesTrial::NameOf(i));
            if (std::find(trial.cut.begin(), trial.cut.end(), place) ==
                trial.cut.end()) {
              trial.watched.push_back(PlacesTrial::NameOf(i));
            }
          }
          for (int i = 0; i < 4; ++i) {
            trial.world.CrashAndReturn(hosts[unheard + i]);
            trial.RestartLeader();
            trial.Run(Millis(between));
          }
          trial.Run(Millis(8000));
          BOOST_TEST(trial.longest_away <= kLongestAway);
        }
      }
    }
  }
}

// One wait for a worker that is gone (run lease / 0.98 + 3.5 s) after the first
// change of the lead, which takes 2.5 s, and a reading of the directory.
constexpr Millis kOneWait{15'000};

// Guards against a wait that is served again by each leader in a row.
BOOST_AUTO_TEST_CASE(LastingTask_ItsWorkerIsGoneWhileLeadersChange_WaitsOnce) {
  for (const int between : {1500, 2500, 4000}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      BOOST_TEST_CONTEXT(between << " ms between leaders, seed " << seed) {
        PlacesTrial trial(seed);
        const std::string gone = trial.Hosts().front();
        trial.watched = trial.world.workers().at(gone)->model.running_tasks();
        trial.world.TakeAway(gone);
        for (int i = 0; i < 6; ++i) {
          trial.RestartLeader();
          trial.Run(Millis(between));
        }
        trial.Run(Millis(10'000));
        BOOST_TEST(trial.longest_away <= kOneWait);
      }
    }
  }
}

// Each run ends by itself, as failed, after so long.
constexpr char kFailsAfterSix[] = "ms=6000 fails=1000000";
constexpr char kFailsAfterThree[] = "ms=3000 fails=1000000";

// A task is started where nothing can be recorded, and its new worker is then
// unheard by whoever leads next.
void StartUnrecorded(PlacesTrial* trial) {
  const std::string task = PlacesTrial::NameOf(0);
  const std::string before = trial->PlaceOf(task);
  trial->RefuseAll(true);
  std::string after = before;
  for (int i = 0; i < 80 && (after == before || after.empty()); ++i) {
    trial->Run(Millis(100));
    after = trial->PlaceOf(task);
  }
  BOOST_TEST(!after.empty());
  BOOST_TEST(after != before);
  trial->Run(Millis(500));
  trial->CutFromAll(after);
}

// Guards against a successor that believes a record of places from before an
// outage.
BOOST_AUTO_TEST_CASE(LastingTask_StartedUnrecordedThenLeaderLost_RunsOnce) {
  for (const int later : {0, 200, 1000}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      BOOST_TEST_CONTEXT("store back " << later << " ms later, seed " << seed) {
        PlacesTrial trial(seed, kFailsAfterSix);
        StartUnrecorded(&trial);
        trial.RestartLeader();
        trial.Run(Millis(later));
        trial.RefuseAll(false);
        trial.Run(Millis(20'000));
        BOOST_TEST(!trial.PlaceOf(PlacesTrial::NameOf(0)).empty());
      }
    }
  }
}

// Guards against a successor that began after the outage and was never asked.
BOOST_AUTO_TEST_CASE(LastingTask_SuccessorBeganAfterTheOutage_RunsOnce) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      PlacesTrial trial(seed, kFailsAfterSix);
      StartUnrecorded(&trial);
      for (const char* name : {"a1", "b1", "c1"}) {
        trial.world.Kill(name);
      }
      for (const char* name : {"a2", "b2", "c2"}) {
        auto& fresh = trial.world.AddInstance(name, std::string(1, name[0]));
        fresh.cut_from.insert(trial.cut.begin(), trial.cut.end());
      }
      trial.Run(Millis(20'000));
      BOOST_TEST(!trial.PlaceOf(PlacesTrial::NameOf(0)).empty());
    }
  }
}

// Guards against starts that wait for the store for as long as it is away.
BOOST_AUTO_TEST_CASE(LastingTask_StoreIsAwayForAll_RunsAgainSoon) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      PlacesTrial trial(seed, kFailsAfterThree);
      trial.RefuseAll(true);
      for (int i = 0; i < kTasks; ++i) {
        trial.watched.push_back(PlacesTrial::NameOf(i));
      }
      trial.Run(Millis(15'000));
      BOOST_TEST(trial.longest_away <= kLongestAway);
      trial.RefuseAll(false);
      trial.Run(Millis(3000));
    }
  }
}

}  // namespace
}  // namespace doorwood
