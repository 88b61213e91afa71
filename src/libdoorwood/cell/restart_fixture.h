// SPDX-License-Identifier: Apache-2.0

/// \file
/// For tests: a cell with a worker that restarts in place, under its former id
/// and with a clock that begins at zero.

#ifndef DOORWOOD_RESTART_FIXTURE_H_
#define DOORWOOD_RESTART_FIXTURE_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "fakes/cell_world.h"
#include "libdoorwood/cell/cell_fixture.h"

namespace doorwood::fakes {

inline constexpr char kRestartingWorker[] = "w1";
/// Longest time that `RestartFixture::TimeAway` measures.
inline constexpr Millis kMaxAway{60'000};

/// A cell whose worker `kRestartingWorker` restarts in place.
struct RestartFixture : CellFixture {
  WorldWorker& worker() { return *world.workers().at(kRestartingWorker); }

  bool IsRunning(const std::string& task) {
    return std::any_of(world.workers().begin(), world.workers().end(),
                       [&task](const auto& entry) {
                         return entry.second->model.IsRunning(task);
                       });
  }

  /// Submits jobs of one long-running task until such a task runs on
  /// `kRestartingWorker`, and returns its name; empty if none came to run
  /// there.
  std::string StartLongRunningTask() {
    constexpr int kMaxJobs = 12;
    for (int i = 0; i < kMaxJobs; ++i) {
      const std::string job = "00112233aabbcc" + std::to_string(++jobs_ + 10);
      JobPlan plan = MakePlan(job, 1, 1, "");
      plan.steps[0].long_running = true;
      BOOST_REQUIRE(world.Submit(plan));
      world.Run(Millis(300));
      if (worker().model.IsRunning(job + ".0.0.0")) {
        return job + ".0.0.0";
      }
    }
    return "";
  }

  /// Runs a long-running task and short ones on the worker for `uptime` and
  /// restarts the worker in place. Returns a long-running task that was started
  /// there afterwards.
  std::string StartTaskAfterRestart(Millis uptime) {
    BOOST_REQUIRE(!StartLongRunningTask().empty());
    const int started = worker().runs_started;
    constexpr int kShortTasks = 12;
    BOOST_REQUIRE(
        world.Submit(MakePlan(kFixtureJob, 1, kShortTasks, "ms=100")));
    world.Run(uptime);
    BOOST_REQUIRE(worker().runs_started > started);
    world.RestartWorkerInPlace(kRestartingWorker, Millis(3000),
                               EntryWhileDown::kRemoved);
    world.Run(Millis(4000));
    const std::string task = StartLongRunningTask();
    BOOST_REQUIRE(!task.empty());
    return task;
  }

  /// The time until the task runs somewhere, `kMaxAway` at most.
  Millis TimeAway(const std::string& task) {
    constexpr Millis kStep{50};
    Millis away{0};
    while (away < kMaxAway && !IsRunning(task)) {
      world.RunExactly(kStep);
      away += kStep;
    }
    return away;
  }

 private:
  int jobs_ = 0;
};

}  // namespace doorwood::fakes

#endif  // DOORWOOD_RESTART_FIXTURE_H_
