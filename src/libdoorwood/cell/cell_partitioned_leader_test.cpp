// SPDX-License-Identifier: Apache-2.0

// Leaders that are partitioned from the store and their peers, that cannot
// reach the store because it is down for all instances, or that are succeeded.
// Checks which leader may conclude that the runs on an unresponsive or crashed
// worker have ended, and that the limit of attempts holds; several tests try
// times on both sides of a bound. All in virtual time.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "fakes/cell_world.h"
#include "libdoorwood/cell/cell_world_util.h"
#include "libdoorwood/cell/partitioned_leader_fixture.h"

namespace doorwood {
namespace {

using fakes::kPartitionedLeaderJob;
using fakes::PartitionedLeaderFixture;

// The worker becomes unresponsive to the old leader 0 to 6 s before that leader
// is partitioned. The successor reaches the worker, adopts the runs there and
// extends their lease.
BOOST_AUTO_TEST_CASE(
    PartitionedLeader_SuccessorReachesTheWorker_NothingRunsTwice) {
  for (int before = 0; before <= 6000; before += 500) {
    PartitionedLeaderFixture fixture;
    fixture.old_leader->unreachable_workers.insert("shared");
    fixture.world.Run(Millis(before));
    fixture.PartitionOldLeader();
    fixture.world.Run(Millis(14'000));
    fixture.ExpectNoViolations("unresponsive for " + std::to_string(before));
    fixture.HealPartition();
    fixture.world.Run(Millis(8000));
    fixture.ExpectNoViolations("healed, " + std::to_string(before));
    for (const char* task : {".0.0.0", ".0.0.1"}) {
      BOOST_TEST(fixture.IsRunning(kPartitionedLeaderJob + std::string(task)));
    }
  }
}

// A worker crashes 0 to 6 s after the partition. Its next incarnation answers
// both leaders; only the successor, which may have adopted the runs there, may
// start the tasks again.
BOOST_AUTO_TEST_CASE(PartitionedLeader_SharedWorkerCrashes_NothingRunsTwice) {
  for (int after = 0; after <= 6000; after += 250) {
    PartitionedLeaderFixture fixture;
    fixture.PartitionOldLeader();
    fixture.old_leader->unreachable_workers.insert("shared");
    fixture.world.AddWorker("far", 8000);
    fixture.old_leader->unreachable_workers.insert("far");
    fixture.world.Run(Millis(after));
    fixture.world.CrashWorker("shared");
    fixture.world.Run(Millis(14'000));
    fixture.ExpectNoViolations("crash after " + std::to_string(after));
  }
}

// A leader whose lead the store confirms may conclude that the runs on a worker
// have ended once the worker was unresponsive for longer than the lease of
// these runs.
BOOST_FIXTURE_TEST_CASE(
    LeadConfirmed_WorkerUnresponsiveForItsLease_StartsElsewhere,
    PartitionedLeaderFixture) {
  for (const auto& [name, instance] : world.instances()) {
    instance->unreachable_workers.insert("shared");
  }
  world.Run(Millis(9000));
  BOOST_TEST(world.workers().at("near")->model.IsRunning(
      std::string(kPartitionedLeaderJob) + ".0.0.0"));
  ExpectNoViolations("lead confirmed");
}

// During a store outage for all instances, the answer of a crashed worker's
// next incarnation does not yet allow the leader to start the tasks again. The
// lead is not confirmed up to the time of that answer, so a successor might
// have started the tasks. Once the store confirms the lead, the earlier answer
// suffices.
BOOST_FIXTURE_TEST_CASE(Store_DownForAllAndWorkerCrashes_TasksRestartWithStore,
                        PartitionedLeaderFixture) {
  for (const auto& [name, instance] : world.instances()) {
    instance->store_faults.unavailable = true;
  }
  world.Run(Millis(1000));
  world.CrashWorker("shared");
  world.Run(Millis(6000));
  for (const auto& [name, instance] : world.instances()) {
    instance->store_faults.unavailable = false;
  }
  world.Run(Millis(6000));
  BOOST_TEST(world.workers().at("near")->model.IsRunning(
      std::string(kPartitionedLeaderJob) + ".0.0.0"));
  ExpectNoViolations("store down");
}

// Two takeovers while runs may continue on a worker that is unlisted and stays
// unreachable: the second successor continues the first one's wait for the
// worker instead of starting a new wait.
BOOST_FIXTURE_TEST_CASE(Successor_WorkerIsGoneForTwoLeaders_WaitIsContinued,
                        PartitionedLeaderFixture) {
  world.AddInstance("d1", "plaka");
  world.AddInstance("e1", "pireas");
  world.Run(Millis(1000));
  for (const auto& [name, instance] : world.instances()) {
    instance->unreachable_workers.insert("shared");
  }
  world.workers().at("shared")->listed = false;
  world.Kill(old_leader->name);
  BOOST_REQUIRE(world.WaitForLeader() != nullptr);
  world.Run(Millis(6000));
  world.Kill(world.Leader()->name);
  BOOST_REQUIRE(world.WaitForLeader() != nullptr);
  world.Run(Millis(5000));
  for (const char* task : {".0.0.0", ".0.0.1"}) {
    BOOST_TEST(world.workers().at("near")->model.IsRunning(
        kPartitionedLeaderJob + std::string(task)));
  }
  ExpectNoViolations("wait continued");
}

// The first successor can reach the worker after 1 to 5.5 s, for 0.1 to 2.1 s.
// If that is long enough for a poll, and the successor can reach the store, it
// extends the leases there. Then this successor is lost, and no instance
// reaches the worker. The next successor's wait must count from the last
// extension of a lease there, not from an older record of the workers. A leader
// with a planned shutdown is succeeded at once, which leaves the least time
// between that extension and the next successor's wait. A leader that cannot
// reach the store is killed instead.
struct ContactedAndLost {
  int not_contacted_ms;
  int contacted_ms;
  bool planned_shutdown;
  bool store_unreachable;
};

std::vector<ContactedAndLost> ContactedAndLostRows() {
  std::vector<ContactedAndLost> rows;
  for (int not_contacted_ms = 1000; not_contacted_ms <= 5500;
       not_contacted_ms += 500) {
    for (int contacted_ms = 100; contacted_ms <= 2100; contacted_ms += 400) {
      rows.push_back({not_contacted_ms, contacted_ms, false, false});
      rows.push_back({not_contacted_ms, contacted_ms, false, true});
      rows.push_back({not_contacted_ms, contacted_ms, true, false});
      rows.push_back({not_contacted_ms, contacted_ms, true, true});
    }
  }
  return rows;
}

BOOST_AUTO_TEST_CASE(Successor_WorkerIsContactedAndLost_NothingRunsTwice) {
  for (const ContactedAndLost& row : ContactedAndLostRows()) {
    PartitionedLeaderFixture fixture;
    fakes::CellWorld& world = fixture.world;
    world.AddInstance("d1", "plaka");
    world.AddInstance("e1", "pireas");
    world.Run(Millis(1000));
    const auto end_leader = [&](fakes::WorldInstance* leader) {
      if (row.planned_shutdown && !leader->store_faults.unresponsive) {
        leader->live->AnnounceLeaving();
        leader->cell->ShutDown([] {});
        world.Run(Millis(300));
      } else if (world.instances().contains(leader->name)) {
        world.Kill(leader->name);
      }
    };
    const auto partition_worker = [&] {
      for (const auto& [name, instance] : world.instances()) {
        instance->unreachable_workers.insert("shared");
      }
    };
    partition_worker();
    end_leader(fixture.old_leader);
    BOOST_REQUIRE(world.WaitForLeader() != nullptr);
    fakes::WorldInstance* first = world.Leader();
    world.Run(Millis(row.not_contacted_ms));
    first->store_faults.unresponsive = row.store_unreachable;
    first->unreachable_workers.clear();
    world.Run(Millis(row.contacted_ms));
    partition_worker();
    end_leader(first);
    world.Run(Millis(16'000));
    for (const auto& [name, instance] : world.instances()) {
      instance->unreachable_workers.clear();
    }
    world.Run(Millis(3000));
    const std::string context =
        std::to_string(row.not_contacted_ms) + " " +
        std::to_string(row.contacted_ms) +
        (row.planned_shutdown ? " planned shutdown" : "") +
        (row.store_unreachable ? " store unreachable" : "");
    fixture.ExpectNoViolations(context);
    BOOST_TEST(fixture.IsRunning(std::string(kPartitionedLeaderJob) + ".0.0.0"),
               context);
  }
}

// Runs 1 and 2 fail, both or only the second while the store is unreachable, so
// that one or both failures are not recorded. For 1 to 8 s after the leader is
// killed, the other instances cannot reach the worker of one of these runs. The
// limit of four attempts must still hold.
struct UnrecordedFailure {
  int recorded;
  int partitioned_run;
  int partitioned_ms;
};

std::vector<UnrecordedFailure> UnrecordedFailures() {
  std::vector<UnrecordedFailure> rows;
  for (int partitioned_ms = 1000; partitioned_ms <= 8000;
       partitioned_ms += 1000) {
    rows.push_back({1, 2, partitioned_ms});
    rows.push_back({0, 2, partitioned_ms});
    rows.push_back({0, 1, partitioned_ms});
  }
  return rows;
}

BOOST_AUTO_TEST_CASE(Successor_FailureNotRecorded_AttemptsAreNotExceeded) {
  for (const auto& [recorded, partitioned_run, partitioned_ms] :
       UnrecordedFailures()) {
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
    const std::string task = std::string(kPartitionedLeaderJob) + ".0.0.0";
    BOOST_REQUIRE(world.Submit(
        fakes::MakePlan(kPartitionedLeaderJob, 1, 1, "ms=1200 fails=999999")));
    const auto find_running_worker = [&] {
      for (const auto& [id, worker] : world.workers()) {
        if (worker->model.IsRunning(task)) {
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
    std::string partitioned_worker;
    for (int run = 1; run <= 2; ++run) {
      run_until(run);
      world.Run(Millis(300));
      partitioned_worker =
          run == partitioned_run ? find_running_worker() : partitioned_worker;
      for (const auto& [name, instance] : world.instances()) {
        instance->store_faults.unavailable = run > recorded;
      }
    }
    run_until(3);
    world.Run(Millis(100));
    old->partitioned_from_peers = true;
    for (const auto& [name, instance] : world.instances()) {
      if (instance != old) {
        instance->store_faults.unavailable = false;
        instance->unreachable_workers.insert(partitioned_worker);
      }
    }
    world.Kill(old->name);
    world.Run(Millis(partitioned_ms));
    for (const auto& [name, instance] : world.instances()) {
      instance->unreachable_workers.clear();
    }
    world.Run(Millis(16'000));
    BOOST_TEST_CONTEXT("recorded " << recorded << ", partitioned run "
                                   << partitioned_run << " for "
                                   << partitioned_ms) {
      // A failure that is reported after the worker's lease has expired does
      // not count as an attempt.
      const bool lease_may_expire =
          Millis(partitioned_ms) >= WorkerSessionOptions{}.run_lease;
      const int uncounted =
          lease_may_expire ? fakes::CountFailuresAtLeaseExpiry(world, task) : 0;
      BOOST_TEST(world.starts(task) >= 4);
      BOOST_TEST(world.starts(task) <= 4 + uncounted);
      const auto state = world.StateOf(kPartitionedLeaderJob);
      BOOST_TEST((state ? ToString(*state) : "not known") == "failed");
    }
  }
}

}  // namespace
}  // namespace doorwood
