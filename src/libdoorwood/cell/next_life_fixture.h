// SPDX-License-Identifier: Apache-2.0

/// \file
/// A cell in which a worker starts again under its id and is cut off soon
/// after, while tasks are submitted. For tests that no task runs twice.

#ifndef DOORWOOD_NEXT_LIFE_FIXTURE_H_
#define DOORWOOD_NEXT_LIFE_FIXTURE_H_

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <string>

#include "doorwood/entry_settings.h"
#include "libdoorwood/cell/cell_world_util.h"
#include "libdoorwood/cell/leader_succession_fixture.h"

namespace doorwood::fakes {

/// What happens to the worker "young" and to its leader.
struct NextLifeCourse {
  /// For how long the worker is down at each restart.
  Millis down{300};
  int restarts = 1;
  /// From the worker's return until it is cut off from all instances.
  Millis cut_after{1500};
  /// Share of the orders that are carried out `order_delay` late, from shortly
  /// before the crash until the worker's return or, if `late_until_cut`, until
  /// it is cut off.
  double late_share = 0;
  bool late_until_cut = false;
  Millis order_delay{2000};
  /// The leader is lost this long after the worker's return.
  bool kills_leader = false;
  bool freezes_leader = false;
  Millis kill_after{300};
  /// Answers to orders are lost from the worker's return on.
  bool loses_replies = false;
};

inline std::string Describe(const NextLifeCourse& course) {
  std::string text = "down " + std::to_string(course.down.count()) +
                     " ms, restarts " + std::to_string(course.restarts) +
                     ", cut off " + std::to_string(course.cut_after.count()) +
                     " ms after the return";
  if (course.late_share > 0) {
    text += ", orders " + std::to_string(course.order_delay.count()) +
            " ms late" + (course.late_until_cut ? " until the cut" : "");
  }
  if (course.kills_leader) {
    text += std::string(", leader ") +
            (course.freezes_leader ? "frozen " : "killed ") +
            std::to_string(course.kill_after.count()) + " ms after it";
  }
  return text;
}

/// Tasks are submitted all the time, and run on "young" for the most part. Its
/// clock is the slowest that the platform allows. Only "other", which joins
/// when "young" is cut off, has room for all of them. Three instances, with the
/// options of a deployment.
struct NextLifeFixture {
  static constexpr Millis kCut{14'000};
  static constexpr Millis kFreeze{5000};

  explicit NextLifeFixture(const NextLifeCourse& course)
      : world(static_cast<uint64_t>(course.down.count() +
                                    course.cut_after.count())),
        course(course) {
    world.options().sessions = MakeCellOptions(EntrySettings{}).sessions;
    world.SetTable({MakeQueue("queue", 4)});
    world.TimeOutCallsToCrashedWorkers();
    world.AddWorker("young", 60'000).slow_clock = true;
    world.AddWorker("steady", 3000);
    for (const char* name : {"a1", "b1", "c1"}) {
      world.AddInstance(name, LeaderSuccession::DataCentreOf(name));
    }
    BOOST_REQUIRE(world.WaitForLeader() != nullptr);
    world.Run(Millis(1000));
  }

  /// Plays the whole course.
  void Run() {
    SubmitFor(Millis(1000));
    SetLateShare(course.late_share);
    SubmitFor(Millis(150));
    for (int i = 0; i < course.restarts; ++i) {
      world.RestartWorkerInPlace("young", course.down, EntryWhileDown::kKept);
      SubmitFor(course.down);
      const bool is_last = i + 1 == course.restarts;
      SubmitFor(is_last ? Millis(0) : Millis(800));
    }
    if (!course.late_until_cut) {
      SetLateShare(0);
    }
    FollowReturn();
    SubmitFor(Millis(3000));
    world.Run(kCut);
    BOOST_TEST(world.log_count("start ordered") > 0);
  }

  CellWorld world;
  const NextLifeCourse course;

 private:
  static constexpr Millis kStep{10};
  static constexpr Millis kSubmitInterval{50};

  void SetLateShare(double share) {
    for (const auto& [name, instance] : world.instances()) {
      instance->delayed_order_share = share;
      instance->order_delay = course.order_delay;
    }
  }

  /// From the worker's return until it is cut off.
  void FollowReturn() {
    const Instant returned = world.time().now();
    for (const auto& [name, instance] : world.instances()) {
      instance->lost_order_reply_share = course.loses_replies ? 1 : 0;
    }
    bool leader_lost = !course.kills_leader;
    while (world.time().now() - returned < course.cut_after) {
      if (!leader_lost && world.time().now() - returned >= course.kill_after) {
        leader_lost = true;
        LoseLeader();
      }
      SubmitFor(std::min(kStep, course.cut_after));
    }
    PartitionAllFrom(world, "young");
    cut_off_ = true;
    world.AddWorker("other", 90'000);
    if (!leader_lost) {
      LoseLeader();
    }
    SetLateShare(0);
    for (const auto& [name, instance] : world.instances()) {
      instance->lost_order_reply_share = 0;
    }
    world.time().RunAt(world.time().now() + kCut, [this] {
      cut_off_ = false;
      for (const auto& [name, instance] : world.instances()) {
        instance->unreachable_workers.clear();
      }
    });
  }

  void LoseLeader() {
    WorldInstance* leader = world.Leader();
    if (leader == nullptr) {
      return;
    }
    if (course.freezes_leader) {
      leader->executor->Freeze();
      world.time().RunAt(world.time().now() + kFreeze,
                         [leader] { leader->executor->Thaw(); });
      return;
    }
    const std::string name = leader->name;
    world.Kill(name);
    world.time().RunAt(world.time().now() + Millis(1000), [this, name] {
      WorldInstance& again =
          world.AddInstance(name, LeaderSuccession::DataCentreOf(name));
      if (cut_off_) {
        again.unreachable_workers.insert("young");
      }
    });
  }

  /// Each job has one short task and one that outlasts the course.
  void SubmitFor(Millis duration) {
    for (Millis passed{0}; passed < duration; passed += kStep) {
      world.RunExactly(std::min(kStep, duration - passed));
      WorldInstance* leader = world.Leader();
      if (leader == nullptr || world.time().now() < next_submit_) {
        continue;
      }
      next_submit_ = world.time().now() + kSubmitInterval;
      for (const char* payload : {"ms=200", "ms=40000"}) {
        char id[17];
        std::snprintf(id, sizeof(id), "6%015x", ++submitted_);
        JobPlan plan = MakePlan(id, 1, 1, payload);
        plan.accepted_at = world.time().now_ms();
        leader->cell->Submit(plan, [](std::error_code, AcceptOutcome) {});
      }
    }
  }

  Instant next_submit_{};
  unsigned submitted_ = 0;
  bool cut_off_ = false;
};

}  // namespace doorwood::fakes

#endif  // DOORWOOD_NEXT_LIFE_FIXTURE_H_
