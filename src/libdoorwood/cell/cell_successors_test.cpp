// SPDX-License-Identifier: Apache-2.0

// Three leaders in a row. A wait for an unheard worker that the second leader
// has served is not served again by the third, and failures that nobody
// recorded count as attempts; neither may hide what the second leader itself
// ordered on a worker that only it heard, or that came by the directory while
// it led. All in virtual time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "libdoorwood/cell/cell_world_steps.h"
#include "libdoorwood/cell/lead_trial_fixture.h"

namespace doorwood {
namespace {

using fakes::CellWorld;
using fakes::CutAllFrom;
using fakes::LeadTrial;
using fakes::RunnerOf;
using fakes::Tally;
using fakes::WorldInstance;

constexpr char kSecondJob[] = "00112233aabbccee";
constexpr Millis kAfterwards{16'000};

WorldInstance* Next(CellWorld& world, WorldInstance* before) {
  world.Kill(before->name);
  WorldInstance* next = world.WaitForLeader();
  BOOST_REQUIRE(next != nullptr);
  return next;
}

// The second leader hears the first one's worker after 0.5 to 11 s, adopts
// what runs there, starts more there, and is gone 0.05 to 2 s later; the third
// never hears that worker.
BOOST_AUTO_TEST_CASE(ThirdLeader_SecondAloneHeardWorker_NothingRunsTwice) {
  Tally tally;
  for (int unheard = 500; unheard <= 11'000; unheard += 500) {
    for (int heard = 50; heard <= 2000; heard += 150) {
      LeadTrial trial({"a2", "b2"});
      CellWorld& world = trial.world;
      WorldInstance* second = Next(world, trial.old);
      world.Run(Millis(unheard));
      second->cut_from = {"new_only", "both"};
      world.Submit(LeadTrial::Plan(kSecondJob, 2));
      world.Run(Millis(heard));
      CutAllFrom(world, "old_only");
      Next(world, second);
      world.Run(kAfterwards);
      tally.Take("unheard " + std::to_string(unheard) + " heard " +
                     std::to_string(heard),
                 world);
    }
  }
}

// A worker joins while the second leader leads and is reached by it alone. The
// store falls silent to that leader 0 to 1.5 s after, and it is gone 0.2 to 4 s
// later; the directory may have forgotten the worker by then.
BOOST_AUTO_TEST_CASE(ThirdLeader_WorkerCameByDirectoryOnly_NothingRunsTwice) {
  Tally tally;
  int started = 0;
  for (const bool listed : {true, false}) {
    for (int silent = 0; silent <= 1500; silent += 50) {
      for (const int gone : {200, 1000, 2500, 4000}) {
        LeadTrial trial({"a2", "b2"});
        CellWorld& world = trial.world;
        WorldInstance* second = Next(world, trial.old);
        world.Run(Millis(10'500));
        CutAllFrom(world, "late");
        second->cut_from = {"new_only", "both", "old_only"};
        // Too large for what is free elsewhere.
        JobPlan plan = fakes::MakePlan(kSecondJob, 1, 1, "ms=100000");
        plan.steps[0].size.cpu_millis = 9000;
        BOOST_REQUIRE(world.Submit(plan));
        world.AddWorker("late", 16'000);
        world.Run(Millis(silent));
        second->store_faults.silent = true;
        world.Run(Millis(gone));
        started +=
            static_cast<int>(world.workers().at("late")->model.running());
        world.workers().at("late")->listed = listed;
        Next(world, second);
        world.Run(kAfterwards);
        tally.Take("silent after " + std::to_string(silent) + " gone " +
                       std::to_string(gone) + (listed ? "" : " not listed"),
                   world);
      }
    }
  }
  BOOST_TEST(started > 0);
}

struct AttemptsRow {
  int recorded;
  int cut_run;
  int second_leads;
  bool third_hears;
};

// Within the wait after which an unheard worker's runs are over, counted over
// both leaders, and beyond it.
std::vector<AttemptsRow> AttemptsRows(bool within_wait) {
  std::vector<AttemptsRow> rows;
  for (int leads = 500; leads <= 11'000; leads += 500) {
    for (const int recorded : {0, 1}) {
      for (const int cut_run : {1, 2}) {
        // Nobody leads for two seconds, which count as waited; the third needs
        // one more to take the lead and to be answered.
        const bool short_cut = leads <= 6500;
        if (short_cut == within_wait) {
          rows.push_back({recorded, cut_run, leads, true});
        }
        if (!within_wait) {
          rows.push_back({recorded, cut_run, leads, false});
        }
      }
    }
  }
  return rows;
}

// Failures that nobody took note of before their worker's lease ran out are no
// attempts: the platform does not count them when they are noted later.
int LapsedFailures(CellWorld& world, const std::string& task) {
  int failures = 0;
  for (const auto& [id, worker] : world.workers()) {
    failures += worker->model.lapsed_failures(task);
  }
  return failures;
}

// Two runs fail, of which the store has heard of one or none; the worker of one
// is cut off from the second leader, and from the third or not.
void PlayAttempts(bool within_wait) {
  const std::string task = std::string(fakes::kTrialJob) + ".0.0.0";
  for (const AttemptsRow& row : AttemptsRows(within_wait)) {
    CellWorld world(3);
    world.SetTable({fakes::MakeQueue("queue", 4)});
    for (const char* id : {"w1", "w2", "w3", "w4", "w5", "w6"}) {
      world.AddWorker(id, 8000);
    }
    for (const char* name : {"a1", "b1", "c1", "a2", "b2"}) {
      world.AddInstance(name, LeadTrial::CentreOf(name));
    }
    WorldInstance* old = world.WaitForLeader();
    world.Run(Millis(1000));
    BOOST_REQUIRE(world.Submit(
        fakes::MakePlan(fakes::kTrialJob, 1, 1, "ms=1200 fails=999999")));
    std::string silent;
    const auto run_until = [&](int starts) {
      for (int i = 0; i < 100 && world.starts(task) < starts; ++i) {
        world.Run(Millis(50));
      }
    };
    for (int run = 1; run <= 2; ++run) {
      run_until(run);
      world.Run(Millis(300));
      silent = run == row.cut_run ? RunnerOf(world, task) : silent;
      for (const auto& [name, instance] : world.instances()) {
        instance->store_faults.down = run > row.recorded;
      }
    }
    run_until(3);
    world.Run(Millis(100));
    old->cut_from_peers = true;
    for (const auto& [name, instance] : world.instances()) {
      instance->store_faults.down = instance == old;
    }
    CutAllFrom(world, silent);
    WorldInstance* second = Next(world, old);
    world.Run(Millis(row.second_leads));
    WorldInstance* third = Next(world, second);
    if (row.third_hears) {
      third->cut_from.clear();
    }
    world.Run(kAfterwards);
    for (const auto& [name, instance] : world.instances()) {
      instance->cut_from.clear();
    }
    world.Run(kAfterwards);
    BOOST_TEST_CONTEXT("recorded " << row.recorded << ", cut run "
                                   << row.cut_run << ", second leads "
                                   << row.second_leads << ", third hears "
                                   << row.third_hears) {
      const int lapsed = within_wait ? 0 : LapsedFailures(world, task);
      BOOST_TEST(world.starts(task) <= 4 + lapsed);
      BOOST_TEST(world.broken().empty());
      const auto state = world.StateOf(fakes::kTrialJob);
      BOOST_TEST((state ? ToString(*state) : "not known") == "failed");
    }
  }
}

BOOST_AUTO_TEST_CASE(ThirdLeader_FailureHeardWithinWait_FourAttemptsAtMost) {
  PlayAttempts(/*within_wait=*/true);
}

// The ends are taken note of later than the wait, and so than the worker's
// lease ran out: at most four attempts that count.
BOOST_AUTO_TEST_CASE(ThirdLeader_FailureHeardAfterWait_FourThatCountAtMost) {
  PlayAttempts(/*within_wait=*/false);
}

}  // namespace
}  // namespace doorwood
