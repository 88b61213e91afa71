// SPDX-License-Identifier: Apache-2.0

// Cost of a cell's leader: simulates a fleet of fake workers in virtual time,
// under the job mix of large production sites, and measures the real time.

#include <chrono>
#include <iostream>
#include <string>

#include "bench/bench.h"
#include "doorwood/json_codec.h"
#include "fakes/cell_world.h"

namespace doorwood::bench {
namespace {

constexpr int64_t kWorkerCores = 32'000;
constexpr int kMeanTaskMillis = 1'000;
constexpr Millis kTimeStep{50};

// Draws a job with the mix of large production sites: 55% short ordinary jobs,
// 43% longer best-effort jobs, and 2% long-running jobs with a latency target.
JobPlan DrawJob(std::mt19937_64* random, int number) {
  const auto kind = (*random)() % 100;
  const bool long_running = kind < 2;
  const bool best_effort = !long_running && kind < 45;
  const int millis =
      best_effort ? 2 * kMeanTaskMillis : kMeanTaskMillis * 6 / 10;
  JobPlan plan = fakes::MakePlan(
      "job" + std::to_string(number), 1 + static_cast<int>((*random)() % 3),
      1 + static_cast<int>((*random)() % (best_effort ? 40 : 20)),
      long_running ? "" : "ms=" + std::to_string(millis));
  for (StepPlan& step : plan.steps) {
    step.size = {static_cast<int64_t>(2000 + (*random)() % 4000), 6000, 0};
    step.estimate = Millis(millis);
    step.best_effort = best_effort;
    step.checkpoints = best_effort;
    step.long_running = long_running;
    step.latency_target = Millis(long_running ? 150 : 0);
    step.image = "image" + std::to_string((*random)() % 18);
  }
  return plan;
}

}  // namespace

int RunCell(const CellBenchOptions& options) {
  fakes::CellWorld world(1);
  world.SetTable({fakes::MakeQueue("queue", 3)});
  for (int n = 0; n < options.workers; ++n) {
    auto& worker = world.AddWorker("w" + std::to_string(n), kWorkerCores);
    worker.incarnation.capacity.memory_mib = 125 * 1024;
    worker.incarnation.labels = {"a", "r" + std::to_string(n / 8)};
  }
  world.AddInstance("one", "plaka");
  world.WaitForLeader();
  world.Run(Millis(2000));
  std::mt19937_64 random(1);
  const double jobs_per_step =
      options.jobs_per_second * static_cast<double>(kTimeStep.count()) / 1e3;
  double jobs_due = 0;
  int jobs = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (Millis passed{0}; passed < Millis(options.seconds * 1000);
       passed += kTimeStep) {
    jobs_due += jobs_per_step;
    for (; jobs_due >= 1; jobs_due -= 1) {
      JobPlan plan = DrawJob(&random, jobs++);
      plan.accepted_at = world.time().now_ms();
      world.Leader()->cell->Submit(plan, [](std::error_code, AcceptOutcome) {});
    }
    world.Run(kTimeStep);
  }
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
          .count();
  const CellCounters& counters = world.Leader()->cell->counters();
  std::cout << Json{{"workers", options.workers},
                    {"virtual_seconds", options.seconds},
                    {"jobs", counters.accepted},
                    {"starts", counters.starts},
                    {"ends", counters.ends_done},
                    {"real_seconds", seconds},
                    {"us_per_start",
                     seconds * 1e6 / static_cast<double>(counters.starts)}}
                   .dump()
            << std::endl;
  return 0;
}

}  // namespace doorwood::bench
