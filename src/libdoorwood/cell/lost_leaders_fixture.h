// SPDX-License-Identifier: Apache-2.0

/// \file
/// A cell whose leaders are lost one after the other, with a long-running task
/// on a worker that is lost or cut off. For tests of how long the task is away,
/// and that it never runs twice.

#ifndef DOORWOOD_LOST_LEADERS_FIXTURE_H_
#define DOORWOOD_LOST_LEADERS_FIXTURE_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "doorwood/entry_settings.h"
#include "libdoorwood/cell/cell_world_util.h"
#include "libdoorwood/cell/leader_succession_fixture.h"

namespace doorwood::fakes {

inline constexpr char kLostLeadersJob[] = "00112233aabbccdd";
inline constexpr char kLostLeadersTask[] = "00112233aabbccdd.0.0.0";
inline constexpr Millis kStep{10};
// The platform allows a long-running task to be away for 6 s. It counts as lost
// 3 s later if these and the 4 s before them had no impairment.
inline constexpr Millis kAwayBound{9000};
inline constexpr Millis kCalmBound{7000};
// For how long a leader stays cut off or frozen.
inline constexpr Millis kImpairment{4000};
// A process that was killed or stopped starts again after this time.
inline constexpr Millis kRestartDelay{1000};
inline constexpr Millis kExitDelay{2600};

enum class Loss { kKilled, kCutOff, kRevoked, kFrozen, kStopped };
inline constexpr Loss kLosses[] = {Loss::kKilled, Loss::kCutOff, Loss::kRevoked,
                                   Loss::kFrozen, Loss::kStopped};

inline const char* NameOf(Loss loss) {
  switch (loss) {
    case Loss::kKilled:
      return "killed";
    case Loss::kCutOff:
      return "cut off";
    case Loss::kRevoked:
      return "revoked";
    case Loss::kFrozen:
      return "frozen";
    case Loss::kStopped:
      break;
  }
  return "stopped";
}

/// A long-running task runs on "lost"; only "other" has room for it next. Eight
/// instances, with the options of a deployment.
struct LostLeadersFixture {
  explicit LostLeadersFixture(uint64_t seed, bool slow_clock = false)
      : world(seed) {
    world.options().sessions = MakeCellOptions(EntrySettings{}).sessions;
    world.SetTable({fakes::MakeQueue("queue", 4)});
    world.AddWorker("lost", 4000).slow_clock = slow_clock;
    for (const char* name : {"a1", "a2", "b1", "b2", "b3", "c1", "c2", "c3"}) {
      world.AddInstance(name, LeaderSuccession::DataCentreOf(name));
    }
    BOOST_REQUIRE(world.WaitForLeader() != nullptr);
    world.Run(Millis(1000));
    BOOST_REQUIRE(world.Submit(LeaderSuccession::Plan(kLostLeadersJob, 1)));
    world.Run(Millis(500));
    BOOST_REQUIRE(WorkerRunning(world, kLostLeadersTask) == "lost");
    world.AddWorker("other", 8000);
    for (int i = 0; i < 6; ++i) {
      world.AddWorker("idle" + std::to_string(i), 100);
    }
    world.Run(Millis(2000 + static_cast<int>(seed % 7) * 50));
  }

  /// Calls to the worker are refused, or get no answer.
  void LoseWorker(bool refuses_calls) {
    world.ShutDownWorker("lost");
    world.workers().at("lost")->refuses_calls = refuses_calls;
    lost_at = world.time().now();
  }

  void SetStoreDown(bool down) {
    for (const auto& [name, instance] : world.instances()) {
      instance->store_faults.unresponsive = down;
    }
  }

  /// Runs the world until an instance has taken the lead after `previous`, and
  /// returns it; it has not read the records yet.
  WorldInstance* AwaitNextCampaign() {
    WorldInstance* next = nullptr;
    for (int i = 0; i < 6000 && next == nullptr; ++i) {
      world.RunExactly(Millis(1));
      for (const auto& [name, instance] : world.instances()) {
        const bool took_lead =
            instance->cell->reading() || instance->cell->leading();
        next = took_lead && instance != previous ? instance : next;
      }
    }
    BOOST_REQUIRE(next != nullptr);
    return next;
  }

  /// All instances but the leader lose the path to the worker, which runs on.
  void CutOffWorker(bool also_from_leader) {
    const WorldInstance* leader = world.Leader();
    for (const auto& [name, instance] : world.instances()) {
      if (also_from_leader || instance != leader) {
        instance->unreachable_workers.insert("lost");
      }
    }
    cut_off_worker = true;
    lost_at = world.time().now();
  }

  void StartAgain(const std::string& name, Millis delay) {
    world.time().RunAt(world.time().now() + delay, [this, name] {
      WorldInstance& instance =
          world.AddInstance(name, LeaderSuccession::DataCentreOf(name));
      if (cut_off_worker) {
        instance.unreachable_workers.insert("lost");
      }
    });
  }

  void LoseLeader(Loss loss) {
    WorldInstance* leader = world.Leader();
    BOOST_REQUIRE(leader != nullptr);
    const std::string name = leader->name;
    const Instant now = world.time().now();
    impaired_until = now;
    switch (loss) {
      case Loss::kKilled:
        world.Kill(name);
        StartAgain(name, kRestartDelay);
        break;
      case Loss::kCutOff:
        leader->store_faults.unresponsive = true;
        leader->partitioned_from_peers = true;
        world.time().RunAt(now + kImpairment, [leader] {
          leader->store_faults = {};
          leader->partitioned_from_peers = false;
        });
        impaired_until = now + kImpairment;
        break;
      case Loss::kRevoked:
        world.store().DropLeaseKeys(*leader->live->lease());
        break;
      case Loss::kFrozen:
        leader->executor->Freeze();
        world.time().RunAt(now + kImpairment,
                           [leader] { leader->executor->Thaw(); });
        impaired_until = now + kImpairment;
        break;
      case Loss::kStopped:
        leader->live->AnnounceLeaving();
        leader->cell->ShutDown([] {});
        world.time().RunAt(now + kExitDelay, [this, leader, name] {
          leader->live->Stop();
          world.Kill(name);
          StartAgain(name, kRestartDelay);
        });
        break;
    }
    previous = leader;
  }

  /// Waits until an instance other than the one that was lost last leads, for
  /// 6 s at most.
  void AwaitNextLeader() {
    for (int i = 0; i < 600; ++i) {
      const WorldInstance* leader = world.Leader();
      if (leader != nullptr && leader != previous) {
        return;
      }
      world.RunExactly(kStep);
    }
    BOOST_ERROR("no instance leads");
  }

  /// How much longer than allowed the task runs nowhere; zero: it does not.
  Millis TimeBeyondBound() {
    const Instant limit =
        std::max(lost_at + kAwayBound, impaired_until + kCalmBound);
    while (WorkerRunning(world, kLostLeadersTask).empty() &&
           world.time().now() < limit + Millis(20'000)) {
      world.RunExactly(kStep);
    }
    return std::max(
        std::chrono::duration_cast<Millis>(world.time().now() - limit),
        Millis(0));
  }

  CellWorld world;
  const WorldInstance* previous = nullptr;
  Instant lost_at{};
  Instant impaired_until{};
  bool cut_off_worker = false;
};

/// Counts the courses in which something failed, and reports the first ones in
/// one error.
class FailedCourses {
 public:
  void Add(const std::string& course, Millis beyond) {
    ++courses_;
    if (beyond > Millis(0)) {
      ++failed_;
      longest_ = std::max(longest_, beyond);
      constexpr int kShown = 12;
      text_ += failed_ <= kShown ? "\n  " + course + ": " +
                                       std::to_string(beyond.count()) + " ms"
                                 : "";
    }
  }

  ~FailedCourses() {
    BOOST_CHECK_MESSAGE(failed_ == 0,
                        failed_ << " of " << courses_
                                << " courses are beyond the bound, by up to "
                                << longest_.count() << " ms" << text_);
  }

 private:
  int courses_ = 0;
  int failed_ = 0;
  Millis longest_{0};
  std::string text_;
};

inline std::string Describe(Loss loss,
                            int delay_ms,
                            bool refuses_calls,
                            int further,
                            int leads_ms) {
  return std::string(NameOf(loss)) + " " + std::to_string(delay_ms) +
         " ms after a worker that " +
         (refuses_calls ? "refuses calls" : "is silent") + ", " +
         std::to_string(further) + " further leaders that lead for " +
         std::to_string(leads_ms) + " ms";
}

inline void LoseLeaders(LostLeadersFixture* fixture,
                        Loss loss,
                        int further,
                        int leads_ms) {
  fixture->LoseLeader(loss);
  for (int i = 0; i < further; ++i) {
    fixture->AwaitNextLeader();
    fixture->world.RunExactly(Millis(leads_ms));
    fixture->LoseLeader(loss);
  }
}

}  // namespace doorwood::fakes

#endif  // DOORWOOD_LOST_LEADERS_FIXTURE_H_
