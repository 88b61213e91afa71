// SPDX-License-Identifier: Apache-2.0

// Guards against a successor that repeats a whole wait for a worker that was
// already unresponsive to its predecessor. Leaders used to record the wait only
// for workers that they had never contacted. If a worker crashed 5 s before the
// leader was lost, the successor did not know when a lease there was last
// extended, and waited for a full lease and more. Long-running tasks then ran
// nowhere for up to 20 s although there was free capacity.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <cstdio>
#include <string>

#include "libdoorwood/cell/partitioned_leader_fixture.h"

namespace doorwood {
namespace {

using fakes::PartitionedLeaderFixture;

// A successor's wait since the last lease extension (docs/design/silence.md: a
// run lease at the slowest clock, 3 s in which the predecessor may extend
// leases, and a margin of 0.5 s), the time without a leader (2.5 s,
// docs/OPERATIONS.md), and one interval between records (1 s).
constexpr Millis kDowntimeBound{6123 + 3000 + 500 + 2500 + 1000};
// After the loss of a leader that has recorded 4 s without a lease extension:
// the rest of the lease, the margin of 0.5 s, and the time without a leader.
constexpr Millis kLeaseWaitBound{6123 - 4000 + 500 + 2500};

struct UnresponsiveTakeover : PartitionedLeaderFixture {
  using PartitionedLeaderFixture::PartitionedLeaderFixture;

  void PartitionShared() {
    for (const auto& [name, instance] : world.instances()) {
      instance->unreachable_workers.insert("shared");
    }
  }
  /// Runs the world for `duration`, or up to 0.1 s longer, and submits a small
  /// job every 150 ms (`Submit` takes 100 ms of these), so that tasks are
  /// started on each worker that seems healthy.
  void RunWithStarts(Millis duration) {
    constexpr Millis kPauseAfterSubmit{50};
    const Instant until = world.time().now() + duration;
    while (world.time().now() + kPauseAfterSubmit < until) {
      char id[17];
      std::snprintf(id, sizeof(id), "%016x", ++jobs_made_);
      world.Submit(fakes::MakePlan(id, 1, 2, "ms=300"));
      world.Run(kPauseAfterSubmit);
    }
    if (world.time().now() < until) {
      world.Run(std::chrono::duration_cast<Millis>(until - world.time().now()));
    }
  }
  /// Runs the world, for 30 s at most, until both tasks run on "near" because
  /// their runs on "shared" count as ended. Returns the time since `since`.
  Millis RunUntilRestarted(Instant since) {
    const auto& near = world.workers().at("near")->model;
    const auto restarted = [&] {
      return near.IsRunning(fakes::kPartitionedLeaderJob +
                            std::string(".0.0.0")) &&
             near.IsRunning(fakes::kPartitionedLeaderJob +
                            std::string(".0.0.1"));
    };
    for (int i = 0; i < 600 && !restarted(); ++i) {
      world.Run(Millis(50));
    }
    return std::chrono::duration_cast<Millis>(world.time().now() - since);
  }

 private:
  unsigned jobs_made_ = 0;
};

// Guards against a successor that waits for lost workers as if their leases had
// just been extended. The workers were lost 6.6 s before their leader, but the
// successor waited for another 11.6 s after it had read the records.
BOOST_AUTO_TEST_CASE(Successor_WorkerWasUnresponsiveBefore_WaitIsNotRepeated) {
  for (int unresponsive_ms = 4500; unresponsive_ms <= 6000;
       unresponsive_ms += 250) {
    UnresponsiveTakeover scenario;
    scenario.PartitionShared();
    const Instant since = scenario.world.time().now();
    scenario.world.Run(Millis(unresponsive_ms));
    scenario.world.Kill(scenario.old_leader->name);
    const Millis downtime = scenario.RunUntilRestarted(since);
    BOOST_TEST(
        downtime.count() <= kDowntimeBound.count(),
        "unresponsive for " << unresponsive_ms << " ms: " << downtime.count());
    scenario.ExpectNoViolations("unresponsive for " +
                                std::to_string(unresponsive_ms));
  }
}

// Tasks are started on the worker until its polls fail, and each start extends
// a lease. Once the leader has extended no lease there for 4 s, the leader
// records that. Its successor then waits only for the rest of the lease, and
// not also for the time in which a predecessor might still extend leases.
BOOST_AUTO_TEST_CASE(Successor_StartsWentToLostWorker_WaitsForLeaseOnly) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    for (int unresponsive_ms = 5500; unresponsive_ms <= 6500;
         unresponsive_ms += 250) {
      UnresponsiveTakeover scenario(seed);
      scenario.RunWithStarts(Millis(1000));
      scenario.PartitionShared();
      scenario.RunWithStarts(Millis(unresponsive_ms));
      const Instant lost = scenario.world.time().now();
      scenario.world.Kill(scenario.old_leader->name);
      const Millis wait = scenario.RunUntilRestarted(lost);
      const std::string context = "seed " + std::to_string(seed) +
                                  ", unresponsive for " +
                                  std::to_string(unresponsive_ms);
      BOOST_TEST(wait.count() <= kLeaseWaitBound.count(),
                 context << " ms: " << wait.count());
      scenario.ExpectNoViolations(context);
    }
  }
}

// The worker is healthy, but no instance can reach it for 3 to 6.5 s. Then all
// instances reach it for 0 to 3 s. After that the old leader is partitioned
// from the store and the other instances, and only that leader reaches the
// worker.
BOOST_AUTO_TEST_CASE(Successor_WorkerOnlySeemedLost_NothingRunsTwice) {
  for (int unresponsive_ms = 3000; unresponsive_ms <= 6500;
       unresponsive_ms += 250) {
    for (int reachable_ms = 0; reachable_ms <= 3000; reachable_ms += 500) {
      UnresponsiveTakeover scenario;
      scenario.PartitionShared();
      scenario.world.Run(Millis(unresponsive_ms));
      for (const auto& [name, instance] : scenario.world.instances()) {
        instance->unreachable_workers.clear();
      }
      scenario.world.Run(Millis(reachable_ms));
      for (const auto& [name, instance] : scenario.world.instances()) {
        if (instance != scenario.old_leader) {
          instance->unreachable_workers.insert("shared");
        }
      }
      scenario.PartitionOldLeader();
      scenario.world.Run(Millis(22'000));
      scenario.HealPartition();
      scenario.world.Run(Millis(3000));
      scenario.ExpectNoViolations(
          "unresponsive for " + std::to_string(unresponsive_ms) +
          ", reachable for " + std::to_string(reachable_ms));
    }
  }
}

// The old leader loses the store and the other instances, and reaches the
// worker again 0 to 1.5 s later, so that the record may still say that the
// worker is unresponsive. A successor that reaches only the other worker relies
// on that record.
BOOST_AUTO_TEST_CASE(Successor_WorkerBackWithoutTheStore_NothingRunsTwice) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    for (int unresponsive_ms = 3500; unresponsive_ms <= 6250;
         unresponsive_ms += 250) {
      for (int reachable_after_ms = 0; reachable_after_ms <= 1500;
           reachable_after_ms += 500) {
        UnresponsiveTakeover scenario(seed);
        scenario.PartitionShared();
        scenario.world.Run(Millis(unresponsive_ms));
        scenario.old_leader->store_faults.unresponsive = true;
        scenario.old_leader->partitioned_from_peers = true;
        scenario.world.Run(Millis(reachable_after_ms));
        scenario.old_leader->unreachable_workers.erase("shared");
        scenario.world.Run(Millis(15'000));
        scenario.HealPartition();
        scenario.world.Run(Millis(3000));
        scenario.ExpectNoViolations(
            "seed " + std::to_string(seed) + ", unresponsive for " +
            std::to_string(unresponsive_ms) + ", reachable after " +
            std::to_string(reachable_after_ms));
      }
    }
  }
}

// The worker is healthy, but no instance can reach it. The store removes the
// leader's key without notice, so that a successor leads at once, in some cases
// before the lease of the runs there has expired.
BOOST_AUTO_TEST_CASE(Successor_LeadsAtOnce_NothingRunsTwice) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    for (int unresponsive_ms = 3500; unresponsive_ms <= 6500;
         unresponsive_ms += 250) {
      UnresponsiveTakeover scenario(seed);
      scenario.RunWithStarts(Millis(1000));
      scenario.PartitionShared();
      scenario.RunWithStarts(Millis(unresponsive_ms));
      const auto lease = scenario.old_leader->live->lease();
      BOOST_REQUIRE(lease.has_value());
      scenario.world.store().DropLeaseKeys(*lease);
      scenario.world.Run(Millis(12'000));
      scenario.HealPartition();
      scenario.world.Run(Millis(3000));
      scenario.ExpectNoViolations("seed " + std::to_string(seed) +
                                  ", unresponsive for " +
                                  std::to_string(unresponsive_ms));
    }
  }
}

// The lease of the runs expires 5.2 s after the worker becomes unresponsive.
// Once the worker can be reached again, up to 0.85 s pass until the next poll,
// and then up to 27 ms until the record says that the worker answers. No lease
// is extended before that. If the worker is unreachable for more than 4.25 s,
// the runs may therefore end.
BOOST_AUTO_TEST_CASE(Worker_ReachableEarlyEnough_RunsContinue) {
  constexpr int kAnswersInTimeMs = 4250;
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    for (int unresponsive_ms = 3500; unresponsive_ms <= 5000;
         unresponsive_ms += 250) {
      UnresponsiveTakeover scenario(seed);
      scenario.PartitionShared();
      scenario.world.Run(Millis(unresponsive_ms));
      for (const auto& [name, instance] : scenario.world.instances()) {
        instance->unreachable_workers.clear();
      }
      scenario.world.Run(Millis(10'000));
      const auto& shared = scenario.world.workers().at("shared")->model;
      const auto& near = scenario.world.workers().at("near")->model;
      const std::string context = "seed " + std::to_string(seed) +
                                  ", unresponsive for " +
                                  std::to_string(unresponsive_ms);
      if (unresponsive_ms <= kAnswersInTimeMs) {
        BOOST_TEST(shared.running_count() == 2U, context);
      }
      BOOST_TEST(shared.running_count() + near.running_count() == 2U, context);
      scenario.ExpectNoViolations(context);
    }
  }
}

}  // namespace
}  // namespace doorwood
