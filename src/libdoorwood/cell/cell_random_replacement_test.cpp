// SPDX-License-Identifier: Apache-2.0

// Guards against overlapping runs of a task and against new starts of completed
// tasks. Extends the walk of cell_long_running_fault_walk_test by tasks that
// complete, lost replies, late writes and orders, slow stops, and leaders that
// are shut down or killed, sometimes two in a row. Workers are replaced: a new
// one joins, and the replaced one, which may announce that it drains, ends 0.2
// to 8 s later. Its directory entry is removed before its end or up to
// 2.5 s after that end.

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

#include "libdoorwood/cell/long_running_fault_walk.h"

namespace doorwood {
namespace {

using fakes::WorldInstance;

constexpr int kSeeds = 400;
constexpr int kSteps = 70;
// Share of an instance's writes or orders that are executed late, or whose
// replies are lost, while the respective fault is on.
constexpr double kFaultShare = 0.35;
constexpr unsigned kShortJobLimit = 40;
constexpr unsigned kLongJobLimit = 12;

class ReplacingWalk : public fakes::LongRunningFaultWalk {
 public:
  explicit ReplacingWalk(uint64_t seed) : LongRunningFaultWalk(seed) {
    for (const auto& [id, worker] : world_.workers()) {
      worker->model.SetStopDuration(Between(0, 3000));
    }
  }

  int replaced() const { return replaced_; }

 private:
  void InjectFaultOrSubmit() override {
    const uint64_t fault = RandomBelow(36);
    switch (fault) {
      case 14:
      case 15:
      case 16:
      case 17:
        return ReplaceOneWorker();
      case 18:
        return ShutDownAndReplaceLeader();
      case 19:
        return KillAndReplaceLeader();
      case 20:
        ShutDownAndReplaceLeader();
        world_.Run(Between(300, 3500));
        return KillAndReplaceLeader();
      case 21:
        LeaderOrRandomInstance().store_faults.delayed_write_share = kFaultShare;
        return;
      case 22:
        LeaderOrRandomInstance().store_faults.lost_reply_share = kFaultShare;
        return;
      case 23:
        // Each call chooses an instance, so the share and the delay may go to
        // different ones. An instance without a set delay uses the default.
        LeaderOrRandomInstance().delayed_order_share = kFaultShare;
        LeaderOrRandomInstance().order_delay = Between(300, 6000);
        return;
      case 24:
        LeaderOrRandomInstance().lost_order_reply_share = kFaultShare;
        return;
      case 25:
        return ChangeEntryTemporarily();
      case 26:
        return PartitionRunningWorker();
      case 27:
      case 28:
      case 29:
      case 30:
        return SubmitShort();
      case 32:
        return CancelDrainAndReplaceLeader();
      case 33:
        return LoseOrderRepliesAndReplaceLeader();
      case 31:
        for (const auto& [name, instance] : world_.instances()) {
          instance->lost_order_reply_share = 0;
        }
        return;
      default:
        InjectFault(fault);
    }
  }

  Millis Between(int64_t least, int64_t most) {
    return Millis(least + static_cast<int64_t>(RandomBelow(
                              static_cast<uint64_t>(most - least))));
  }

  /// A random worker among those that are up.
  std::string PickRunningWorker() {
    std::vector<std::string> running;
    for (const auto& [id, worker] : world_.workers()) {
      if (worker->up) {
        running.push_back(id);
      }
    }
    return running[RandomBelow(running.size())];
  }

  void ReplaceOneWorker() {
    ++replaced_;
    const std::string replaced_worker = PickRunningWorker();
    auto& new_worker = world_.AddWorker("r" + std::to_string(replaced_), 4000);
    new_worker.model.SetStopDuration(Between(0, 3000));
    auto& worker = *world_.workers().at(replaced_worker);
    const Instant now = world_.time().now();
    const Instant ends_at = now + Between(200, 8000);
    const Instant unlisted_at = ends_at + Between(0, 2500);
    if (RandomBelow(3) == 0) {
      // Ends unannounced. Its entry is removed now or at `unlisted_at`.
      worker.listed = RandomBelow(2) == 0;
    } else {
      worker.incarnation.draining = true;
      worker.incarnation.min_time_to_leave = Between(0, 6000);
    }
    world_.time().RunAt(ends_at, [this, replaced_worker] {
      const auto found = world_.workers().find(replaced_worker);
      if (found != world_.workers().end()) {
        const bool listed = found->second->listed;
        world_.ShutDownWorker(replaced_worker);
        found->second->listed = listed;
      }
    });
    world_.time().RunAt(unlisted_at, [this, replaced_worker] {
      const auto found = world_.workers().find(replaced_worker);
      if (found != world_.workers().end()) {
        found->second->listed = false;
      }
    });
  }

  // Marks a worker as draining, or removes its entry, for 0.3 to 5 s. Does
  // nothing if the worker already drains or has no entry.
  void ChangeEntryTemporarily() {
    const std::string id = PickRunningWorker();
    auto& worker = *world_.workers().at(id);
    if (worker.incarnation.draining || !worker.listed) {
      return;
    }
    const bool drains = RandomBelow(2) == 0;
    worker.incarnation.draining = drains;
    worker.listed = drains;
    world_.time().RunAt(world_.time().now() + Between(300, 5000), [this, id] {
      const auto found = world_.workers().find(id);
      if (found != world_.workers().end() && found->second->up) {
        found->second->incarnation.draining = false;
        found->second->listed = true;
      }
    });
  }

  // A worker drains, and no instance except possibly the leader can reach the
  // worker. The drain is cancelled while the leader's writes are not answered.
  // Then the instance that leads, if any, is killed and replaced.
  void CancelDrainAndReplaceLeader() {
    auto* leader = world_.Leader();
    const std::string id = PickRunningWorker();
    if (leader == nullptr || world_.workers().at(id)->incarnation.draining) {
      return;
    }
    PartitionOthersFrom(id, leader);
    world_.workers().at(id)->incarnation.draining = true;
    world_.Run(Between(100, 2500));
    if (RandomBelow(2) == 0) {
      leader->store_faults.delayed_write_share = 1;
    } else {
      leader->store_faults.lost_reply_share = 1;
    }
    world_.Run(Between(50, 1000));
    const auto found = world_.workers().find(id);
    if (found != world_.workers().end()) {
      found->second->incarnation.draining = false;
    }
    SubmitLong();
    world_.Run(Between(200, 2500));
    KillAndReplaceLeader();
  }

  // Workers execute the leader's orders, but the leader gets no replies. After
  // a job is submitted, no instance can reach one of the workers any more. 1 to
  // 4 s later the instance that leads, if any, is killed and replaced by one
  // that cannot reach that worker either.
  void LoseOrderRepliesAndReplaceLeader() {
    auto* leader = world_.Leader();
    if (leader == nullptr) {
      return;
    }
    const std::string id = PickRunningWorker();
    PartitionOthersFrom(id, leader);
    leader->lost_order_reply_share = 1;
    SubmitLong();
    leader->unreachable_workers.insert(id);
    world_.Run(Between(1000, 4000));
    KillAndReplaceLeader();
  }

  // Submits a job whose tasks run for 15 s, which is longer than a leader's
  // successor waits for workers that it has not contacted.
  void SubmitLong() {
    if (long_jobs_ == kLongJobLimit) {
      return;
    }
    char id[17];
    std::snprintf(id, sizeof(id), "6%015x", ++long_jobs_);
    JobPlan plan = fakes::MakePlan(id, 1, 3, "ms=15000");
    plan.steps[0].size.cpu_millis = 400;
    plan.steps[0].max_per_worker = 1;
    world_.Submit(plan);
  }

  void PartitionOthersFrom(const std::string& id,
                           const WorldInstance* reaching_instance) {
    for (const auto& [name, instance] : world_.instances()) {
      if (instance != reaching_instance) {
        instance->unreachable_workers.insert(id);
      }
    }
  }

  // Partitions a worker that is up from all instances except the leader. In a
  // third of the calls, or if no instance leads, from all instances.
  void PartitionRunningWorker() {
    const std::string worker = PickRunningWorker();
    const WorldInstance* reaching_instance =
        RandomBelow(3) == 0 ? nullptr : world_.Leader();
    for (const auto& [name, instance] : world_.instances()) {
      if (instance == reaching_instance) {
        instance->unreachable_workers.erase(worker);
      } else {
        instance->unreachable_workers.insert(worker);
      }
    }
  }

  // Kills an instance and adds one in the same data centre with the same
  // `unreachable_workers`.
  void ReplaceInstance(fakes::WorldInstance* before) {
    const std::string name = before->name;
    const auto unreachable_workers = before->unreachable_workers;
    world_.Kill(name);
    const std::string next =
        name.substr(0, 1) + "s" + std::to_string(++replacement_instances_);
    world_.AddInstance(next, fakes::LeaderSuccession::DataCentreOf(name))
        .unreachable_workers = unreachable_workers;
  }

  void ShutDownAndReplaceLeader() {
    auto* leader = world_.Leader();
    if (leader == nullptr) {
      return;
    }
    leader->live->AnnounceLeaving();
    leader->cell->ShutDown([] {});
    world_.Run(Between(50, 1200));
    ReplaceInstance(leader);
  }

  void KillAndReplaceLeader() {
    auto* leader = world_.Leader();
    if (leader != nullptr) {
      ReplaceInstance(leader);
    }
  }

  void SubmitShort() {
    if (short_jobs_ == kShortJobLimit) {
      return;
    }
    char id[17];
    std::snprintf(id, sizeof(id), "5%015x", ++short_jobs_);
    const int steps = static_cast<int>(1 + RandomBelow(2));
    const int count = static_cast<int>(1 + RandomBelow(3));
    const auto takes = Between(100, 4000).count();
    world_.Submit(
        fakes::MakePlan(id, steps, count, "ms=" + std::to_string(takes)));
  }

  int replaced_ = 0;
  int replacement_instances_ = 0;
  unsigned short_jobs_ = 0;
  unsigned long_jobs_ = 0;
};

BOOST_AUTO_TEST_CASE(Cells_WorkersReplacedWithRandomFaults_NothingRunsTwice) {
  const char* only_seed = std::getenv("DOORWOOD_SEED");
  const int first = only_seed == nullptr ? 1 : std::atoi(only_seed);
  const char* last_seed = std::getenv("DOORWOOD_SEEDS_TO");
  const int last = last_seed != nullptr   ? std::atoi(last_seed)
                   : only_seed == nullptr ? kSeeds
                                          : first;
  fakes::ViolationReport violation_report;
  int completed_task_starts = 0;
  for (int seed = first; seed <= last; ++seed) {
    ReplacingWalk walk(static_cast<uint64_t>(seed));
    walk.Run(kSteps);
    violation_report.Add("seed " + std::to_string(seed), walk.world());
    for (const std::string& rule : walk.world().completed_task_starts()) {
      ++completed_task_starts;
      BOOST_ERROR("seed " << seed << ": " << rule);
    }
  }
  BOOST_TEST(completed_task_starts == 0);
}

}  // namespace
}  // namespace doorwood
