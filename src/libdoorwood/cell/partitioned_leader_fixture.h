// SPDX-License-Identifier: Apache-2.0

/// \file
/// A leader and its successors with network partitions between them, for tests
/// of which leader may conclude that runs have ended.

#ifndef DOORWOOD_PARTITIONED_LEADER_FIXTURE_H_
#define DOORWOOD_PARTITIONED_LEADER_FIXTURE_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <string>

#include "fakes/cell_world.h"

namespace doorwood::fakes {

inline constexpr char kPartitionedLeaderJob[] = "00112233aabbccdd";

/// Two workers: "shared" runs the tasks; once the old leader is partitioned,
/// only that leader can reach "near".
struct PartitionedLeaderFixture {
  explicit PartitionedLeaderFixture(uint64_t seed = 7) : world(seed) {
    world.SetTable({MakeQueue("queue", 4)});
    world.AddWorker("shared", 8000);
    world.AddInstance("a1", "plaka");
    world.AddInstance("b1", "kerameikos");
    world.AddInstance("c1", "pireas");
    world.WaitForLeader();
    world.Run(Millis(1000));
    old_leader = world.Leader();
    BOOST_REQUIRE(world.Submit(Plan()));
    world.Run(Millis(500));
    world.AddWorker("near", 8000);
    world.Run(Millis(1500));
  }

  static JobPlan Plan() {
    JobPlan plan = MakePlan(kPartitionedLeaderJob, 1, 2, "");
    plan.steps[0].long_running = true;
    return plan;
  }

  /// Partitions the old leader from the store and the other instances, and the
  /// other instances from "near".
  void PartitionOldLeader() const {
    old_leader->store_faults.unresponsive = true;
    old_leader->partitioned_from_peers = true;
    for (const auto& [name, instance] : world.instances()) {
      if (instance != old_leader) {
        instance->unreachable_workers.insert("near");
      }
    }
  }

  /// Ends all faults of the store and all partitions.
  void HealPartition() const {
    for (const auto& [name, instance] : world.instances()) {
      instance->store_faults = {};
      instance->partitioned_from_peers = false;
      instance->unreachable_workers.clear();
    }
  }

  bool IsRunning(const std::string& task) const {
    const auto& workers = world.workers();
    return std::any_of(workers.begin(), workers.end(), [&](const auto& entry) {
      return entry.second->model.IsRunning(task);
    });
  }

  void ExpectNoViolations(const std::string& context) const {
    for (const std::string& rule : world.violations()) {
      BOOST_ERROR(context + ": " + rule);
    }
  }

  mutable CellWorld world;
  WorldInstance* old_leader = nullptr;
};

}  // namespace doorwood::fakes

#endif  // DOORWOOD_PARTITIONED_LEADER_FIXTURE_H_
