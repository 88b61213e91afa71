// SPDX-License-Identifier: Apache-2.0

#include "doorwood/cell_policy.h"

#include <boost/test/unit_test.hpp>

#include "fakes/cell_world.h"

namespace doorwood {
namespace {

constexpr char kId[] = "00112233aabbccdd";

struct PolicyFixture {
  PolicyFixture() {
    // Round shares instead of the defaults, so that the limits are easy to
    // compute.
    options.best_effort_cpu_share = 1.0;
    options.serving_cpu_use_ratio = 0.5;
    worker.id = "w1";
    worker.service = "pool";
    worker.rack = "r1";
    worker.labels = labels;
    worker.capacity = {32'000, 1000, 1};
    step.size = {4000, 100, 0};
    need.service = "pool";
  }

  PlaceProblem Find(int tasks_on_worker = 0) const {
    return FindPlaceProblem(step, need, worker, tasks_on_worker, model,
                            options);
  }

  PolicyOptions options;
  InterferenceModel model{options.interference};
  const ImageId serving = model.Intern("s");
  std::vector<std::string> labels{"a", "r1"};
  CandidateWorker worker;
  StepPlan step;
  TaskRequirements need;
};

BOOST_FIXTURE_TEST_CASE(FindPlaceProblem_WorkerOrTaskChanged_ReturnsReason,
                        PolicyFixture) {
  struct Row {
    PlaceProblem problem;
    std::function<void(PolicyFixture*)> change;
  };
  const Row rows[] = {
      {PlaceProblem::kNone, [](PolicyFixture*) {}},
      {PlaceProblem::kClosed,
       [](PolicyFixture* f) { f->worker.accepts_work = false; }},
      {PlaceProblem::kOtherService,
       [](PolicyFixture* f) { f->need.service = "other"; }},
      {PlaceProblem::kNoLabel,
       [](PolicyFixture* f) { f->step.required_label = "b"; }},
      {PlaceProblem::kOtherRack,
       [](PolicyFixture* f) {
         f->step.same_rack = true;
         f->need.rack = "r2";
         f->need.rack_required = true;
       }},
      {PlaceProblem::kNone,
       [](PolicyFixture* f) {
         f->step.same_rack = true;
         f->need.rack = "r2";
       }},
      {PlaceProblem::kNoTicket,
       [](PolicyFixture* f) { f->worker.has_ticket = false; }},
      {PlaceProblem::kNoMemory,
       [](PolicyFixture* f) { f->worker.reserved.memory_mib = 950; }},
      {PlaceProblem::kNoCpu,
       [](PolicyFixture* f) { f->worker.reserved.cpu_millis = 29'000; }},
      {PlaceProblem::kNoAccelerators,
       [](PolicyFixture* f) { f->step.size.accelerators = 2; }},
      {PlaceProblem::kNoCpu,
       [](PolicyFixture* f) {
         f->step.best_effort = true;
         f->worker.best_effort_cpu = 30'000;
       }},
      {PlaceProblem::kNone,
       [](PolicyFixture* f) {
         f->step.best_effort = true;
         f->worker.reserved.cpu_millis = 32'000;
         f->worker.serving_cpu = 32'000;
       }},
      {PlaceProblem::kDisturbs,
       [](PolicyFixture* f) {
         f->step.best_effort = true;
         f->worker.serving_utilizations = {{f->serving, 0.7, 0.7}};
       }},
  };
  for (const Row& row : rows) {
    PolicyFixture changed;
    changed.worker.labels = changed.labels;
    row.change(&changed);
    BOOST_TEST(ToString(changed.Find()) == ToString(row.problem));
  }
}

BOOST_FIXTURE_TEST_CASE(FindPlaceProblem_StepBoundReached_Refuses,
                        PolicyFixture) {
  step.max_per_worker = 2;
  BOOST_TEST(ToString(Find(1)) == ToString(PlaceProblem::kNone));
  BOOST_TEST(ToString(Find(2)) == ToString(PlaceProblem::kStepBound));
}

BOOST_FIXTURE_TEST_CASE(PlaceScore_ServingTask_PrefersItsOwnImage,
                        PolicyFixture) {
  step.latency_target = Millis(150);
  need.image = serving;
  CandidateWorker same = worker;
  same.serving_utilizations = {{serving, 0.4, 0.7}};
  CandidateWorker other = worker;
  other.serving_utilizations = {{model.Intern("t"), 0.4, 0.7}};
  const double alone = PlaceScore(step, need, worker, model);
  BOOST_TEST(PlaceScore(step, need, same, model) > alone);
  BOOST_TEST(PlaceScore(step, need, other, model) < alone);
}

BOOST_AUTO_TEST_CASE(RankStep_Later_IsLessUrgent) {
  JobPlan plan = fakes::MakePlan(kId, 2, 1, "");
  const std::vector<Millis> run_times{Millis(300), Millis(300)};
  Queue queue = fakes::MakeQueue("queue", 3);
  const PolicyOptions options;
  // Objective: 2 * 600 + 1000 = 2200 ms; the value is zero after three times
  // that.
  const auto rank = [&](int64_t now, bool long_running) {
    plan.steps[0].long_running = long_running;
    return RankStep(plan, queue, 0, 0, run_times, 0, now, options)
        .urgency_class;
  };
  BOOST_TEST(rank(0, true) == 0);
  BOOST_TEST(rank(1600, false) == 1);
  BOOST_TEST(rank(1601, false) == 2);
  BOOST_TEST(rank(6000, false) == 2);
  BOOST_TEST(rank(6001, false) == 3);
}

// Two equal jobs are on time. One has finished its first step and is ranked
// first. Suppose that there are twenty equal jobs and that the capacity
// suffices for ten. If the jobs are ordered by remaining work, ten finish in
// time. If they are ordered by latest start, all advance together, and all are
// late.
BOOST_AUTO_TEST_CASE(RankStep_BothOnTime_LeastWorkLeftGoesFirst) {
  JobPlan plan = fakes::MakePlan(kId, 2, 10, "");
  const std::vector<Millis> run_times{Millis(300), Millis(300)};
  const Queue queue = fakes::MakeQueue("queue", 3);
  JobTable jobs;
  Job* begun = jobs.Add(plan);
  plan.id = "ffeeddccbbaa9988";
  Job* fresh = jobs.Add(plan);
  begun->repetitions.at(0).steps[0].done = 10;
  BOOST_TEST(WorkLeft(*fresh, 0, run_times) == 20 * 1000 * 300);
  BOOST_TEST(WorkLeft(*begun, 0, run_times) == 10 * 1000 * 300);
  const auto rank = [&](const Job& job, int step, int64_t due) {
    return RankStep(job.plan, queue, step, due, run_times,
                    WorkLeft(job, 0, run_times), 1000, PolicyOptions{});
  };
  // The job with less remaining work comes first, although the other one was
  // due earlier and has more remaining steps.
  BOOST_TEST((rank(*begun, 1, 500) < rank(*fresh, 0, 0)));
  // A late job comes after all that are on time.
  BOOST_TEST((rank(*fresh, 0, 0) < rank(*begun, 1, -2000)));
}

BOOST_FIXTURE_TEST_CASE(PlaceScore_ServingTask_FillsOneWorkerAfterAnother,
                        PolicyFixture) {
  step.latency_target = Millis(150);
  need.image = serving;
  CandidateWorker half = worker;
  half.reserved.cpu_millis = 16'000;
  half.serving_utilizations = {{model.Intern("t"), 0.4, 0.7}};
  CandidateWorker same = worker;
  same.reserved.cpu_millis = 4'000;
  same.serving_utilizations = {{serving, 0.4, 0.7}};
  const double full = PlaceScore(step, need, half, model);
  BOOST_TEST(full > PlaceScore(step, need, same, model));
  BOOST_TEST(full > PlaceScore(step, need, worker, model));
}

BOOST_AUTO_TEST_CASE(
    RemainingCriticalPathLength_MiddleStep_LeavesOutEarlierOnes) {
  const JobPlan plan = fakes::MakePlan(kId, 3, 1, "");
  const std::vector<Millis> run_times{Millis(300), Millis(300), Millis(300)};
  BOOST_TEST(RemainingCriticalPathLength(plan, 0, run_times).count() == 900);
  BOOST_TEST(RemainingCriticalPathLength(plan, 2, run_times).count() == 300);
}

BOOST_AUTO_TEST_CASE(WorkerQuarantine_ThreeJobsFail_ClosesThenProbes) {
  WorkerQuarantine quarantine{PolicyOptions{}};
  const Instant start(Millis(1'000'000));
  quarantine.OnFailure("w", "a", start);
  quarantine.OnFailure("w", "a", start);
  quarantine.OnFailure("w", "b", start);
  BOOST_TEST(quarantine.AllowsStart("w", start));
  quarantine.OnFailure("w", "c", start);
  BOOST_TEST(!quarantine.AllowsStart("w", start + Millis(3999)));
  // Guards against a quarantine that only a success ends: a worker with only
  // long-running tasks never reports a success. In a simulation such a worker
  // stayed quarantined permanently.
  const Instant reopened = start + Millis(4000);
  BOOST_TEST(quarantine.AllowsStart("w", reopened));
  quarantine.OnStart("w", reopened);
  BOOST_TEST(!quarantine.AllowsStart("w", reopened + Millis(999)));
  BOOST_TEST(quarantine.AllowsStart("w", reopened + Millis(1000)));
  quarantine.OnSuccess("w");
  BOOST_TEST(quarantine.AllowsStart("w", reopened));
}

BOOST_AUTO_TEST_CASE(WorkerQuarantine_FailuresFarApart_DoNotAddUp) {
  WorkerQuarantine quarantine{PolicyOptions{}};
  Instant now(Millis(1'000'000));
  for (const char* job : {"a", "b", "c", "d"}) {
    quarantine.OnFailure("w", job, now);
    now += Millis(4000);
    BOOST_TEST(quarantine.AllowsStart("w", now));
  }
}

}  // namespace
}  // namespace doorwood
