// SPDX-License-Identifier: Apache-2.0

// Two leaders at once, of which one is cut off: who may conclude what from a
// worker's silence. All in virtual time, on both sides of each bound.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "fakes/cell_world.h"
#include "libdoorwood/cell/cut_leader_fixture.h"

namespace doorwood {
namespace {

using fakes::CutLeaderFixture;
using fakes::kLastingJob;

// The worker falls silent to the old leader 0 to 6 s before that one is cut
// off; the successor reaches it, adopts what runs there and prolongs it.
BOOST_AUTO_TEST_CASE(CutLeader_SilentWorkerIsHeldByItsSuccessor_StartsNothing) {
  for (int before = 0; before <= 6000; before += 500) {
    CutLeaderFixture fixture;
    fixture.old->cut_from.insert("shared");
    fixture.world.Run(Millis(before));
    fixture.CutOldLeader();
    fixture.world.Run(Millis(14'000));
    fixture.ExpectNothingBroken("silent for " + std::to_string(before));
    fixture.Heal();
    fixture.world.Run(Millis(8000));
    fixture.ExpectNothingBroken("healed, " + std::to_string(before));
    for (const char* task : {".0.0.0", ".0.0.1"}) {
      BOOST_TEST(fixture.Runs(kLastingJob + std::string(task)));
    }
  }
}

// A worker crashes 0 to 6 s after the cut. Both leaders hear its next life;
// only the successor, which had adopted what ran there, may start it again.
BOOST_AUTO_TEST_CASE(CutLeader_SharedWorkerCrashes_OneLeaderStartsAgain) {
  for (int after = 0; after <= 6000; after += 250) {
    CutLeaderFixture fixture;
    fixture.CutOldLeader();
    fixture.old->cut_from.insert("shared");
    fixture.world.AddWorker("far", 8000);
    fixture.old->cut_from.insert("far");
    fixture.world.Run(Millis(after));
    fixture.world.CrashWorker("shared");
    fixture.world.Run(Millis(14'000));
    fixture.ExpectNothingBroken("crash after " + std::to_string(after));
  }
}

// While its lease is sure a leader still concludes from silence.
BOOST_FIXTURE_TEST_CASE(SureLeader_WorkerSilentForItsLease_StartsElsewhere,
                        CutLeaderFixture) {
  for (const auto& [name, instance] : world.instances()) {
    instance->cut_from.insert("shared");
  }
  world.Run(Millis(9000));
  BOOST_TEST(world.workers().at("near")->model.Runs(std::string(kLastingJob) +
                                                    ".0.0.0"));
  ExpectNothingBroken("sure leader");
}

// An outage of the store for all: silence proves nothing meanwhile, and counts
// at once when the lease turns out to have been kept.
BOOST_FIXTURE_TEST_CASE(Store_DownForAllAndWorkerCrashes_WorkReturnsWithIt,
                        CutLeaderFixture) {
  for (const auto& [name, instance] : world.instances()) {
    instance->store_faults.down = true;
  }
  world.Run(Millis(1000));
  world.CrashWorker("shared");
  world.Run(Millis(6000));
  for (const auto& [name, instance] : world.instances()) {
    instance->store_faults.down = false;
  }
  world.Run(Millis(6000));
  BOOST_TEST(world.workers().at("near")->model.Runs(std::string(kLastingJob) +
                                                    ".0.0.0"));
  ExpectNothingBroken("store down");
}

// Two takeovers, with a worker that is gone for good and whose runs stand in
// the way: the second leader goes on with the first one's wait.
BOOST_FIXTURE_TEST_CASE(Successor_WorkerIsGoneForTwoLeaders_WaitIsServedOnce,
                        CutLeaderFixture) {
  world.AddInstance("d1", "plaka");
  world.AddInstance("e1", "pireas");
  world.Run(Millis(1000));
  for (const auto& [name, instance] : world.instances()) {
    instance->cut_from.insert("shared");
  }
  world.workers().at("shared")->listed = false;
  world.Kill(old->name);
  BOOST_REQUIRE(world.WaitForLeader() != nullptr);
  world.Run(Millis(6000));
  world.Kill(world.Leader()->name);
  BOOST_REQUIRE(world.WaitForLeader() != nullptr);
  world.Run(Millis(5000));
  for (const char* task : {".0.0.0", ".0.0.1"}) {
    BOOST_TEST(world.workers().at("near")->model.Runs(kLastingJob +
                                                      std::string(task)));
  }
  ExpectNothingBroken("served once");
}

// The first successor hears the worker after 1 to 5.5 s, prolongs what runs
// there for 0.1 to 2.1 s, and is gone; the worker is silent again. What it was
// told counts, not what the record said before. With the store away when the
// worker is heard, nothing is prolonged. Leaders that leave in order are
// followed at once, which leaves the least time.
struct HeardAndLost {
  int unheard;
  int heard;
  bool leaves;
  bool store_away;
};

std::vector<HeardAndLost> HeardAndLostRows() {
  std::vector<HeardAndLost> rows;
  for (int unheard = 1000; unheard <= 5500; unheard += 500) {
    for (int heard = 100; heard <= 2100; heard += 400) {
      rows.push_back({unheard, heard, false, false});
      rows.push_back({unheard, heard, false, true});
      rows.push_back({unheard, heard, true, false});
      rows.push_back({unheard, heard, true, true});
    }
  }
  return rows;
}

BOOST_AUTO_TEST_CASE(Successor_UnheardWorkerIsHeardAndLost_NothingRunsTwice) {
  for (const HeardAndLost& row : HeardAndLostRows()) {
    CutLeaderFixture fixture;
    fakes::CellWorld& world = fixture.world;
    world.AddInstance("d1", "plaka");
    world.AddInstance("e1", "pireas");
    world.Run(Millis(1000));
    const auto end = [&](fakes::WorldInstance* leader) {
      if (row.leaves && !leader->store_faults.silent) {
        leader->live->AnnounceLeaving();
        leader->cell->Leave([] {});
        world.Run(Millis(300));
      } else if (world.instances().contains(leader->name)) {
        world.Kill(leader->name);
      }
    };
    const auto cut = [&] {
      for (const auto& [name, instance] : world.instances()) {
        instance->cut_from.insert("shared");
      }
    };
    cut();
    end(fixture.old);
    BOOST_REQUIRE(world.WaitForLeader() != nullptr);
    fakes::WorldInstance* first = world.Leader();
    world.Run(Millis(row.unheard));
    first->store_faults.silent = row.store_away;
    first->cut_from.clear();
    world.Run(Millis(row.heard));
    cut();
    end(first);
    world.Run(Millis(16'000));
    for (const auto& [name, instance] : world.instances()) {
      instance->cut_from.clear();
    }
    world.Run(Millis(3000));
    const std::string context =
        std::to_string(row.unheard) + " " + std::to_string(row.heard) +
        (row.leaves ? " leaves" : "") + (row.store_away ? " store away" : "");
    fixture.ExpectNothingBroken(context);
    BOOST_TEST(fixture.Runs(std::string(kLastingJob) + ".0.0.0"), context);
  }
}

// Runs 1 and 2 fail while the store is away, or only the second does, so that
// one or both failures stand in no record; the worker of one is cut off from
// the successor. Four attempts are four also then.
struct UnheardFailure {
  int recorded;
  int cut_run;
  int cut_for;
};

std::vector<UnheardFailure> UnheardFailures() {
  std::vector<UnheardFailure> rows;
  for (int cut_for = 1000; cut_for <= 8000; cut_for += 1000) {
    rows.push_back({1, 2, cut_for});
    rows.push_back({0, 2, cut_for});
    rows.push_back({0, 1, cut_for});
  }
  return rows;
}

BOOST_AUTO_TEST_CASE(Successor_FailureUnheardOf_AttemptsAreNotExceeded) {
  for (const auto& [recorded, cut_run, cut_for] : UnheardFailures()) {
    fakes::CellWorld world(3);
    world.SetTable({fakes::MakeQueue("queue", 4)});
    for (const char* id : {"w1", "w2", "w3", "w4", "w5", "w6"}) {
      world.AddWorker(id, 8000);
    }
    world.AddInstance("a1", "plaka");
    world.AddInstance("b1", "kerameikos");
    world.AddInstance("c1", "pireas");
    world.WaitForLeader();
    world.Run(Millis(1000));
    fakes::WorldInstance* old = world.Leader();
    const std::string task = std::string(kLastingJob) + ".0.0.0";
    BOOST_REQUIRE(world.Submit(
        fakes::MakePlan(kLastingJob, 1, 1, "ms=1200 fails=999999")));
    const auto runner = [&] {
      for (const auto& [id, worker] : world.workers()) {
        if (worker->model.Runs(task)) {
          return id;
        }
      }
      return std::string();
    };
    const auto run_until = [&](int starts) {
      for (int i = 0; i < 100 && world.starts(task) < starts; ++i) {
        world.Run(Millis(50));
      }
    };
    std::string silent;
    for (int run = 1; run <= 2; ++run) {
      run_until(run);
      world.Run(Millis(300));
      silent = run == cut_run ? runner() : silent;
      for (const auto& [name, instance] : world.instances()) {
        instance->store_faults.down = run > recorded;
      }
    }
    run_until(3);
    world.Run(Millis(100));
    old->cut_from_peers = true;
    for (const auto& [name, instance] : world.instances()) {
      if (instance != old) {
        instance->store_faults.down = false;
        instance->cut_from.insert(silent);
      }
    }
    world.Kill(old->name);
    world.Run(Millis(cut_for));
    for (const auto& [name, instance] : world.instances()) {
      instance->cut_from.clear();
    }
    world.Run(Millis(16'000));
    BOOST_TEST_CONTEXT("recorded " << recorded << ", cut run " << cut_run
                                   << " for " << cut_for) {
      BOOST_TEST(world.starts(task) == 4);
      const auto state = world.StateOf(kLastingJob);
      BOOST_TEST((state ? ToString(*state) : "not known") == "failed");
    }
  }
}

}  // namespace
}  // namespace doorwood
