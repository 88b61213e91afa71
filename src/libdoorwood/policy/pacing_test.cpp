// SPDX-License-Identifier: Apache-2.0

#include "doorwood/pacing.h"

#include <boost/test/unit_test.hpp>

namespace doorwood {
namespace {

constexpr Millis kTarget{150};

// The model gets reports as if heavy work added 0.06 per core and light work
// 0.005.
struct PacingFixture {
  PacingFixture() {
    model.Observe(serving, 30, kTarget, {}, -1);
    double load = 0.30;
    for (int i = 0; i < 200; ++i) {
      const BestEffortLoad heavy_load[] = {{heavy, 4.0}};
      const BestEffortLoad light_load[] = {{light, 4.0}};
      load = model.Observe(serving, TailLatencyAt(0.30 + 0.24), kTarget,
                           heavy_load, load);
      load = model.Observe(serving, TailLatencyAt(0.30 + 0.02), kTarget,
                           light_load, load);
    }
  }

  static int64_t TailLatencyAt(double utilization) {
    return static_cast<int64_t>(30.0 / (1.0 - utilization));
  }

  PolicyOptions options;
  InterferenceModel model{options.interference};
  const ImageId serving = model.Intern("s");
  const ImageId heavy = model.Intern("heavy");
  const ImageId light = model.Intern("light");
  std::vector<PacedBestEffortTask> best_effort{{"h", heavy, 4.0, 4.0, 100},
                                               {"l", light, 4.0, 4.0, 100}};
};

BOOST_FIXTURE_TEST_CASE(Interference_AfterReports_HeavyExceedsLight,
                        PacingFixture) {
  BOOST_TEST(model.InterferencePerCore(serving, heavy) >
             3 * model.InterferencePerCore(serving, light));
  BOOST_TEST(model.InterferencePerCore(serving, model.Intern("never seen")) ==
             options.interference.default_interference);
}

BOOST_FIXTURE_TEST_CASE(DecidePaces_TailAboveTarget_SlowsHeavyTaskFirst,
                        PacingFixture) {
  const std::vector<PacedServingTask> tasks{{serving, 160, kTarget}};
  const auto decisions = DecidePaces(tasks, best_effort, model, options);
  BOOST_REQUIRE(!decisions.empty());
  BOOST_TEST(decisions[0].task == "h");
  BOOST_TEST(decisions[0].pace < 100);
}

BOOST_FIXTURE_TEST_CASE(DecidePaces_TailFarAboveTarget_StopsAll,
                        PacingFixture) {
  const std::vector<PacedServingTask> tasks{{serving, 3000, kTarget}};
  const auto decisions = DecidePaces(tasks, best_effort, model, options);
  BOOST_TEST(decisions.size() == 2U);
  for (const PaceDecision& decision : decisions) {
    BOOST_TEST(decision.pace == 0);
  }
}

// The first task was over its target for long, but its last latency is only 0.8
// of the target. The second task is at 0.93 of its target; on its own it would
// only cause the heavy work to be slowed down.
BOOST_FIXTURE_TEST_CASE(DecidePaces_OverTargetForLong_StopsAll, PacingFixture) {
  const std::vector<PacedServingTask> tasks{
      {serving, 120, kTarget, options.max_over_target_time},
      {serving, 140, kTarget}};
  const auto decisions = DecidePaces(tasks, best_effort, model, options);
  BOOST_TEST(decisions.size() == 2U);
  for (const PaceDecision& decision : decisions) {
    BOOST_TEST(decision.pace == 0);
  }
}

BOOST_FIXTURE_TEST_CASE(DecidePaces_TailLow_SpeedsUpInSteps, PacingFixture) {
  best_effort[0].pace = 0;
  best_effort[1].pace = 0;
  const std::vector<PacedServingTask> tasks{{serving, 40, kTarget}};
  const auto decisions = DecidePaces(tasks, best_effort, model, options);
  BOOST_REQUIRE(!decisions.empty());
  BOOST_TEST(decisions[0].task == "l");
  BOOST_TEST(decisions[0].pace == options.max_pace_increase);
}

BOOST_FIXTURE_TEST_CASE(DecidePaces_NoServingTask_SpeedsUp, PacingFixture) {
  best_effort[0].pace = 0;
  const auto decisions = DecidePaces({}, best_effort, model, options);
  BOOST_REQUIRE(decisions.size() == 1U);
  BOOST_TEST(decisions[0].pace == options.max_pace_increase);
}

// Guards against best-effort work starving while it is paused beside serving
// tasks. The processors of a paused task, which adds no interference, were
// considered free, so newer best-effort work used up the headroom that the task
// needed. In one log a run that did not save its progress was overdue with pace
// 0, paced_ms 20,129 and progress 90, while ten other runs started at full
// speed and ended on its worker.
BOOST_AUTO_TEST_CASE(PendingCores_PausedTask_KeepsItsCores) {
  struct Row {
    const char* name;
    bool fresh;
    int pace;
    double cores;
  };
  const Row rows[] = {
      {"just ordered", true, 100, 4.0},
      {"just ordered and slowed down", true, 25, 4.0},
      {"fully reported", false, 100, 0.0},
      {"slowed down to zero", false, 0, 4.0},
      {"slowed down to a quarter", false, 25, 3.0},
  };
  for (const Row& row : rows) {
    BOOST_TEST(PendingCores(4.0, row.fresh, row.pace) == row.cores, row.name);
  }
}

BOOST_FIXTURE_TEST_CASE(PausedTask_NewerOneBesideIt_WouldDisturb,
                        PacingFixture) {
  CandidateWorker worker;
  worker.serving_utilizations = {{serving, 0.40, 0.60}};
  // The light task fits only if the paused heavy one is ignored.
  BOOST_TEST(ExcessUtilization(worker, light, 4.0, model) < 0);
  worker.serving_utilizations[0].utilization +=
      model.InterferencePerCore(serving, heavy) *
      PendingCores(4.0, /*fresh=*/false, 0);
  BOOST_TEST(ExcessUtilization(worker, light, 4.0, model) > 0);
}

}  // namespace
}  // namespace doorwood
