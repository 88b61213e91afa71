// SPDX-License-Identifier: Apache-2.0

/// \file
/// A leader that is succeeded by others, with long-running tasks on a worker
/// that only the old leader can reach and on one that all can reach. For tests
/// that repeat a scenario at many points in time.

#ifndef DOORWOOD_LEADER_SUCCESSION_FIXTURE_H_
#define DOORWOOD_LEADER_SUCCESSION_FIXTURE_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>
#include <vector>

#include "fakes/cell_world.h"

namespace doorwood::fakes {

inline constexpr char kSuccessionJob[] = "00112233aabbccdd";
inline constexpr char kOtherSuccessionJob[] = "00112233aabbccd0";
inline constexpr int kSuccessionTasks = 2;

/// Collects the cases in which `CellWorld::violations` is not empty, each with
/// the first violation. If there are any, the destructor reports them in one
/// test error: the first 12 cases, or all if the environment variable
/// DOORWOOD_ALL is set.
class ViolationReport {
 public:
  void Add(const std::string& context, const CellWorld& world) {
    ++cases_;
    if (!world.violations().empty()) {
      violations_.push_back(context + ": " + world.violations().front());
    }
  }

  ~ViolationReport() {
    constexpr size_t kShown = 12;
    std::string text = std::to_string(violations_.size()) + " of " +
                       std::to_string(cases_) + " cases violated a rule";
    const size_t shown =
        std::getenv("DOORWOOD_ALL") == nullptr ? kShown : violations_.size();
    for (size_t i = 0; i < std::min(shown, violations_.size()); ++i) {
      text += "\n  " + violations_[i];
    }
    BOOST_TEST_MESSAGE(text);
    BOOST_CHECK_MESSAGE(violations_.empty(), text);
  }

 private:
  int cases_ = 0;
  std::vector<std::string> violations_;
};

/// Two tasks run on "both" and two on "old_only". If successors consider runs
/// ended, they can start the tasks again on "new_only", which the old leader
/// cannot reach.
struct LeaderSuccession {
  explicit LeaderSuccession(const std::vector<std::string>& more_instances = {})
      : world(7) {
    world.SetTable({MakeQueue("queue", 4)});
    // Has memory for only two tasks, so that the others go elsewhere.
    constexpr int64_t kMemoryForTwoTasksMib = 250;
    world.AddWorker("old_only", 5000).incarnation.capacity.memory_mib =
        kMemoryForTwoTasksMib;
    world.AddInstance("a1", "plaka", 2.0);
    world.AddInstance("b1", "kerameikos");
    world.AddInstance("c1", "pireas");
    for (const std::string& name : more_instances) {
      world.AddInstance(name, DataCentreOf(name));
    }
    world.WaitForLeader();
    world.Run(Millis(1000));
    old_leader = world.Leader();
    BOOST_REQUIRE(world.Submit(Plan(kSuccessionJob, kSuccessionTasks)));
    world.Run(Millis(500));
    world.AddWorker("both", 12'000);
    world.Run(Millis(1000));
    BOOST_REQUIRE(world.Submit(Plan(kOtherSuccessionJob, kSuccessionTasks)));
    world.Run(Millis(500));
    for (const auto& [name, instance] : world.instances()) {
      instance->unreachable_workers.insert(instance == old_leader ? "new_only"
                                                                  : "old_only");
    }
    world.AddWorker("new_only", 8000);
    world.Run(Millis(1500));
    BOOST_REQUIRE(world.workers().at("old_only")->model.running_count() > 0);
    BOOST_REQUIRE(world.workers().at("both")->model.running_count() > 0);
  }

  static const char* DataCentreOf(const std::string& name) {
    const char first = name.front();
    return first == 'a' ? "plaka" : first == 'b' ? "kerameikos" : "pireas";
  }

  static JobPlan Plan(const std::string& id, int tasks) {
    JobPlan plan = MakePlan(id, 1, tasks, "");
    plan.steps[0].long_running = true;
    return plan;
  }

  /// Pauses the old leader's process while the world runs for `duration`.
  void Pause(Millis duration) const {
    old_leader->executor->Freeze();
    world.Run(duration);
    old_leader->executor->Thaw();
  }

  /// If `partition`, partitions the old leader from "both". The old leader then
  /// reaches no worker that its successors reach, and so cannot learn of a
  /// newer leader from a worker.
  void MaybePartitionOldLeaderFromBoth(bool partition) const {
    if (partition) {
      old_leader->unreachable_workers.insert("both");
    }
  }

  /// Partitions the old leader from the store and the other instances.
  void PartitionOldLeader() const {
    old_leader->store_faults.unresponsive = true;
    old_leader->partitioned_from_peers = true;
  }

  mutable CellWorld world;
  WorldInstance* old_leader = nullptr;
};

}  // namespace doorwood::fakes

#endif  // DOORWOOD_LEADER_SUCCESSION_FIXTURE_H_
