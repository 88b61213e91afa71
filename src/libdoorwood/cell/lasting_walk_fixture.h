// SPDX-License-Identifier: Apache-2.0

/// \file
/// A seeded random sequence of faults in a cell with long-running tasks. If a
/// leader wrongly takes a run to have ended and starts the task again, the two
/// runs overlap and are detected, even much later.

#ifndef DOORWOOD_LASTING_WALK_FIXTURE_H_
#define DOORWOOD_LASTING_WALK_FIXTURE_H_

#include <cstdint>
#include <cstdio>
#include <iterator>
#include <string>

#include "fakes/cell_world.h"
#include "libdoorwood/cell/lead_trial_fixture.h"

namespace doorwood::fakes {

inline constexpr int kWalkWorkers = 5;

class LastingWalk {
 public:
  explicit LastingWalk(uint64_t seed) : world_(seed) {
    world_.SetTable({MakeQueue("queue", 1000)});
    for (int i = 0; i < kWalkWorkers; ++i) {
      world_.AddWorker("w" + std::to_string(++workers_made_), 4000);
    }
    for (const char* name : {"a1", "a2", "b1", "b2", "c1", "c2"}) {
      world_.AddInstance(name, LeadTrial::CentreOf(name));
    }
    world_.WaitForLeader();
    Submit();
  }

  virtual ~LastingWalk() = default;
  LastingWalk(const LastingWalk&) = delete;
  LastingWalk& operator=(const LastingWalk&) = delete;

  /// Makes `steps` steps, then removes all faults and lets the cell recover.
  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      Step();
      world_.Run(Millis(100 + Pick(1400)));
    }
    Heal();
    world_.Run(Millis(12'000));
  }

  const CellWorld& world() const { return world_; }

 protected:
  /// Injects one fault, or submits a job.
  virtual void Step() = 0;

  uint64_t Pick(uint64_t count) { return world_.random()() % count; }

  WorldInstance& AnInstance() {
    auto& all = world_.instances();
    return *std::next(all.begin(), static_cast<long>(Pick(all.size())))->second;
  }

  /// The leader, if there is one, in half of the calls; otherwise any instance.
  WorldInstance& LeaderOrOther() {
    auto* leader = world_.Leader();
    return leader != nullptr && Pick(2) == 0 ? *leader : AnInstance();
  }

  std::string AWorker() {
    auto& all = world_.workers();
    return std::next(all.begin(), static_cast<long>(Pick(all.size())))->first;
  }

  void Submit() {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", ++jobs_made_);
    constexpr unsigned kMostJobs = 4;
    if (jobs_made_ <= kMostJobs) {
      world_.Submit(LeadTrial::Plan(id, 3));
    }
  }

  /// Injects the fault of that number; submits a job for any other number.
  void Play(uint64_t fault) {
    switch (fault) {
      case 0:
        return ReplaceInstance();
      case 1:
        return FreezeInstance();
      case 2:
        LeaderOrOther().executor->PauseAtNow(
            static_cast<int>(1 + Pick(100)),
            Millis(static_cast<int64_t>(500 + Pick(5500))));
        return;
      case 3:
        LeaderOrOther().store_faults.silent = true;
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
        return RevokeLease();
      case 10:
        LeaderOrOther().cut_from_peers = Pick(2) == 0;
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
    const std::string name = LeaderOrOther().name;
    world_.Kill(name);
    const std::string next =
        name.substr(0, 1) + "n" + std::to_string(++instances_made_);
    world_.AddInstance(next, LeadTrial::CentreOf(name));
  }

  void FreezeInstance() {
    auto& instance = LeaderOrOther();
    instance.executor->Freeze();
    world_.Run(Millis(static_cast<int64_t>(250 + Pick(8000))));
    instance.executor->Thaw();
  }

  void RestoreStoreOfOne() {
    for (const auto& [name, instance] : world_.instances()) {
      if (instance->store_faults.silent || instance->store_faults.down) {
        instance->store_faults = {};
        return;
      }
    }
  }

  void FailStoreForSome() {
    for (const auto& [name, instance] : world_.instances()) {
      instance->store_faults.down = Pick(2) == 0;
    }
  }

  void PartitionInstances() {
    for (const auto& [name, instance] : world_.instances()) {
      instance->cut_from_instances.clear();
      for (const auto& [other, ignored] : world_.instances()) {
        if (other != name && Pick(3) == 0) {
          instance->cut_from_instances.insert(other);
        }
      }
    }
  }

  void PartitionWorker() {
    const std::string worker = AWorker();
    for (const auto& [name, instance] : world_.instances()) {
      if (Pick(2) == 0) {
        instance->cut_from.insert(worker);
      } else {
        instance->cut_from.erase(worker);
      }
    }
  }

  // Partitions the cell. Each worker is reachable either by the leader or by
  // all other instances. The store serves only some of the other instances, and
  // the leader reaches neither the store nor those instances.
  void PartitionLeader() {
    auto* leader = world_.Leader();
    if (leader == nullptr) {
      return;
    }
    const bool store_refuses = Pick(2) == 0;
    leader->store_faults.down = store_refuses;
    leader->store_faults.silent = !store_refuses;
    for (const auto& [id, worker] : world_.workers()) {
      const bool leader_reaches = Pick(2) == 0;
      for (const auto& [name, instance] : world_.instances()) {
        if (leader_reaches == (instance == leader)) {
          instance->cut_from.erase(id);
        } else {
          instance->cut_from.insert(id);
        }
      }
    }
    for (const auto& [name, instance] : world_.instances()) {
      const bool store_serves = Pick(2) == 0;
      if (instance != leader && store_serves) {
        instance->store_faults = {};
        leader->cut_from_instances.insert(name);
      } else if (instance != leader) {
        instance->store_faults.down = store_refuses;
      }
    }
  }

  void ReplaceWorker() {
    world_.CrashWorker(AWorker());
    world_.AddWorker("w" + std::to_string(++workers_made_), 4000);
  }

  void RevokeLease() {
    auto& instance = LeaderOrOther();
    if (instance.live->lease()) {
      world_.store().Revoke(*instance.live->lease());
    }
  }

  void Heal() {
    for (const auto& [name, instance] : world_.instances()) {
      instance->store_faults = {};
      instance->cut_from.clear();
      instance->cut_from_peers = false;
      instance->cut_from_instances.clear();
      instance->late_orders = 0;
    }
  }

  unsigned jobs_made_ = 0;
  int workers_made_ = 0;
  int instances_made_ = 0;
};

}  // namespace doorwood::fakes

#endif  // DOORWOOD_LASTING_WALK_FIXTURE_H_
