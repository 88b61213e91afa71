// SPDX-License-Identifier: Apache-2.0

/// \file
/// A seeded random sequence of faults in a cell with long-running tasks, which
/// do not end by themselves. If a leader wrongly takes a run to have ended, the
/// run continues, so that it overlaps with even a much later run of the task.

#ifndef DOORWOOD_LONG_RUNNING_FAULT_WALK_H_
#define DOORWOOD_LONG_RUNNING_FAULT_WALK_H_

#include <cstdint>
#include <cstdio>
#include <iterator>
#include <string>

#include "fakes/cell_world.h"
#include "libdoorwood/cell/leader_succession_fixture.h"

namespace doorwood::fakes {

inline constexpr int kWalkWorkers = 5;

class LongRunningFaultWalk {
 public:
  explicit LongRunningFaultWalk(uint64_t seed) : world_(seed) {
    world_.SetTable({MakeQueue("queue", 1000)});
    for (int i = 0; i < kWalkWorkers; ++i) {
      world_.AddWorker("w" + std::to_string(++workers_made_), 4000);
    }
    for (const char* name : {"a1", "a2", "b1", "b2", "c1", "c2"}) {
      world_.AddInstance(name, LeaderSuccession::DataCentreOf(name));
    }
    world_.WaitForLeader();
    Submit();
  }

  virtual ~LongRunningFaultWalk() = default;
  LongRunningFaultWalk(const LongRunningFaultWalk&) = delete;
  LongRunningFaultWalk& operator=(const LongRunningFaultWalk&) = delete;

  /// Calls `InjectFaultOrSubmit` `steps` times and runs the world for 0.1 to
  /// 1.5 s after each call. Then calls `Heal` and runs the world for 12 s.
  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      InjectFaultOrSubmit();
      world_.Run(Millis(100 + RandomBelow(1400)));
    }
    Heal();
    world_.Run(Millis(12'000));
  }

  const CellWorld& world() const { return world_; }

 protected:
  /// Injects faults, ends faults, or submits a job.
  virtual void InjectFaultOrSubmit() = 0;

  uint64_t RandomBelow(uint64_t count) { return world_.random()() % count; }

  WorldInstance& RandomInstance() {
    auto& all = world_.instances();
    return *std::next(all.begin(), static_cast<long>(RandomBelow(all.size())))
                ->second;
  }

  /// With probability 1/2 the leader, if there is one; otherwise a random
  /// instance, which may also be the leader.
  WorldInstance& LeaderOrRandomInstance() {
    auto* leader = world_.Leader();
    return leader != nullptr && RandomBelow(2) == 0 ? *leader
                                                    : RandomInstance();
  }

  std::string RandomWorker() {
    auto& all = world_.workers();
    return std::next(all.begin(), static_cast<long>(RandomBelow(all.size())))
        ->first;
  }

  /// Submits a job of three long-running tasks to the leader, if there is one.
  /// Does nothing from the fifth call on.
  void Submit() {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", ++jobs_made_);
    constexpr unsigned kMaxJobs = 4;
    if (jobs_made_ <= kMaxJobs) {
      world_.Submit(LeaderSuccession::Plan(id, 3));
    }
  }

  /// Injects the fault with this number (0 to 13), or submits a job if the
  /// number is higher. 4 and 11 only end faults; 5 to 7, 10, 12 and 13 may also
  /// end earlier ones.
  void InjectFault(uint64_t fault) {
    switch (fault) {
      case 0:
        return ReplaceInstance();
      case 1:
        return FreezeInstance();
      case 2:
        LeaderOrRandomInstance().executor->PauseInNowCall(
            static_cast<int>(1 + RandomBelow(100)),
            Millis(static_cast<int64_t>(500 + RandomBelow(5500))));
        return;
      case 3:
        LeaderOrRandomInstance().store_faults.unresponsive = true;
        return;
      case 4:
        return RestoreStoreOfOne();
      case 5:
        return FailStoreForSome();
      case 6:
        return PartitionInstances();
      case 7:
        return PartitionWorker();
      case 8:
        return ReplaceWorker();
      case 9:
        return DropLeaseKeysOfInstance();
      case 10:
        LeaderOrRandomInstance().partitioned_from_peers = RandomBelow(2) == 0;
        return;
      case 11:
        return Heal();
      case 12:
      case 13:
        return PartitionLeader();
      default:
        Submit();
    }
  }

  CellWorld world_;

 private:
  void ReplaceInstance() {
    const std::string name = LeaderOrRandomInstance().name;
    world_.Kill(name);
    const std::string next =
        name.substr(0, 1) + "n" + std::to_string(++instances_made_);
    world_.AddInstance(next, LeaderSuccession::DataCentreOf(name));
  }

  void FreezeInstance() {
    auto& instance = LeaderOrRandomInstance();
    instance.executor->Freeze();
    world_.Run(Millis(static_cast<int64_t>(250 + RandomBelow(8000))));
    instance.executor->Thaw();
  }

  void RestoreStoreOfOne() {
    for (const auto& [name, instance] : world_.instances()) {
      if (instance->store_faults.unresponsive ||
          instance->store_faults.unavailable) {
        instance->store_faults = {};
        return;
      }
    }
  }

  void FailStoreForSome() {
    for (const auto& [name, instance] : world_.instances()) {
      instance->store_faults.unavailable = RandomBelow(2) == 0;
    }
  }

  void PartitionInstances() {
    for (const auto& [name, instance] : world_.instances()) {
      instance->unreachable_instances.clear();
      for (const auto& [other, ignored] : world_.instances()) {
        if (other != name && RandomBelow(3) == 0) {
          instance->unreachable_instances.insert(other);
        }
      }
    }
  }

  void PartitionWorker() {
    const std::string worker = RandomWorker();
    for (const auto& [name, instance] : world_.instances()) {
      if (RandomBelow(2) == 0) {
        instance->unreachable_workers.insert(worker);
      } else {
        instance->unreachable_workers.erase(worker);
      }
    }
  }

  // Partitions the leader, if there is one:
  // - Each worker is reachable either by the leader or by all other instances.
  // - The store refuses the leader, or does not answer it.
  // - The store serves some other instances, and the leader can't reach these.
  // - If the store refuses the leader, it refuses the remaining instances too.
  void PartitionLeader() {
    auto* leader = world_.Leader();
    if (leader == nullptr) {
      return;
    }
    const bool store_refuses = RandomBelow(2) == 0;
    leader->store_faults.unavailable = store_refuses;
    leader->store_faults.unresponsive = !store_refuses;
    for (const auto& [id, worker] : world_.workers()) {
      const bool leader_reaches = RandomBelow(2) == 0;
      for (const auto& [name, instance] : world_.instances()) {
        if (leader_reaches == (instance == leader)) {
          instance->unreachable_workers.erase(id);
        } else {
          instance->unreachable_workers.insert(id);
        }
      }
    }
    for (const auto& [name, instance] : world_.instances()) {
      const bool store_serves = RandomBelow(2) == 0;
      if (instance != leader && store_serves) {
        instance->store_faults = {};
        leader->unreachable_instances.insert(name);
      } else if (instance != leader) {
        instance->store_faults.unavailable = store_refuses;
      }
    }
  }

  void ReplaceWorker() {
    world_.CrashWorker(RandomWorker());
    world_.AddWorker("w" + std::to_string(++workers_made_), 4000);
  }

  void DropLeaseKeysOfInstance() {
    auto& instance = LeaderOrRandomInstance();
    if (instance.live->lease()) {
      world_.store().DropLeaseKeys(*instance.live->lease());
    }
  }

  // Ends the faults of the store, all partitions, and delays of orders. Does
  // not cancel pauses that have not begun yet, and does not end two faults that
  // derived walks add: lost replies to orders, and changed directory entries.
  void Heal() {
    for (const auto& [name, instance] : world_.instances()) {
      instance->store_faults = {};
      instance->unreachable_workers.clear();
      instance->partitioned_from_peers = false;
      instance->unreachable_instances.clear();
      instance->delayed_order_share = 0;
    }
  }

  unsigned jobs_made_ = 0;
  int workers_made_ = 0;
  int instances_made_ = 0;
};

}  // namespace doorwood::fakes

#endif  // DOORWOOD_LONG_RUNNING_FAULT_WALK_H_
