// SPDX-License-Identifier: Apache-2.0

/// \file
/// A seeded random walk of troubles over leaders whose tasks last, so that a
/// run that was wrongly taken to be over is seen as a second one, also long
/// after.

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

  /// Ends with all troubles healed.
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
  /// Makes one trouble, or submits a job.
  virtual void Step() = 0;

  uint64_t Pick(uint64_t count) { return world_.random()() % count; }

  WorldInstance& AnInstance() {
    auto& all = world_.instances();
    return *std::next(all.begin(), static_cast<long>(Pick(all.size())))->second;
  }

  /// The leader, where there is one, as often as any other.
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

  /// The trouble of that number; where there is none of it, submits a job.
  void Play(uint64_t trouble) {
    switch (trouble) {
      case 0:
        return KillOne();
      case 1:
        return FreezeOne();
      case 2:
        LeaderOrOther().executor->PauseAtNow(
            static_cast<int>(1 + Pick(100)),
            Millis(static_cast<int64_t>(500 + Pick(5500))));
        return;
      case 3:
        LeaderOrOther().store_faults.silent = true;
        return;
      case 4:
        return RegainOne();
      case 5:
        return RefuseSome();
      case 6:
        return CutPairs();
      case 7:
        return CutWorker();
      case 8:
        return CrashOne();
      case 9:
        return RevokeOne();
      case 10:
        LeaderOrOther().cut_from_peers = Pick(2) == 0;
        return;
      case 11:
        return Heal();
      case 12:
      case 13:
        return PartLeader();
      default:
        Submit();
    }
  }

  CellWorld world_;

 private:
  void KillOne() {
    const std::string name = LeaderOrOther().name;
    world_.Kill(name);
    const std::string next =
        name.substr(0, 1) + "n" + std::to_string(++instances_made_);
    world_.AddInstance(next, LeadTrial::CentreOf(name));
  }

  void FreezeOne() {
    auto& instance = LeaderOrOther();
    instance.executor->Freeze();
    world_.Run(Millis(static_cast<int64_t>(250 + Pick(8000))));
    instance.executor->Thaw();
  }

  void RegainOne() {
    for (const auto& [name, instance] : world_.instances()) {
      if (instance->store_faults.silent || instance->store_faults.down) {
        instance->store_faults = {};
        return;
      }
    }
  }

  void RefuseSome() {
    for (const auto& [name, instance] : world_.instances()) {
      instance->store_faults.down = Pick(2) == 0;
    }
  }

  void CutPairs() {
    for (const auto& [name, instance] : world_.instances()) {
      instance->cut_from_instances.clear();
      for (const auto& [other, ignored] : world_.instances()) {
        if (other != name && Pick(3) == 0) {
          instance->cut_from_instances.insert(other);
        }
      }
    }
  }

  void CutWorker() {
    const std::string worker = AWorker();
    for (const auto& [name, instance] : world_.instances()) {
      if (Pick(2) == 0) {
        instance->cut_from.insert(worker);
      } else {
        instance->cut_from.erase(worker);
      }
    }
  }

  // The leader and all others reach different workers, and the leader neither
  // the store nor, of the others, those that the store serves.
  void PartLeader() {
    auto* leader = world_.Leader();
    if (leader == nullptr) {
      return;
    }
    const bool refused = Pick(2) == 0;
    leader->store_faults.down = refused;
    leader->store_faults.silent = !refused;
    for (const auto& [id, worker] : world_.workers()) {
      const bool by_leader = Pick(2) == 0;
      for (const auto& [name, instance] : world_.instances()) {
        if (by_leader == (instance == leader)) {
          instance->cut_from.erase(id);
        } else {
          instance->cut_from.insert(id);
        }
      }
    }
    for (const auto& [name, instance] : world_.instances()) {
      const bool served = Pick(2) == 0;
      if (instance != leader && served) {
        instance->store_faults = {};
        leader->cut_from_instances.insert(name);
      } else if (instance != leader) {
        instance->store_faults.down = refused;
      }
    }
  }

  void CrashOne() {
    world_.CrashWorker(AWorker());
    world_.AddWorker("w" + std::to_string(++workers_made_), 4000);
  }

  void RevokeOne() {
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
