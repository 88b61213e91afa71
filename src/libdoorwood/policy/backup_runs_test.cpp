// SPDX-License-Identifier: Apache-2.0

#include "doorwood/backup_runs.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace doorwood {
namespace {

// A quick task in the middle of a chain of three: each takes 500 ms, and the
// job is on time within 1.5 times the chain plus 300 ms.
BackupCandidate QuickTask(Millis elapsed, int percent) {
  BackupCandidate candidate;
  candidate.elapsed = elapsed;
  candidate.report = ProgressReport{percent, elapsed};
  candidate.estimate = {Millis(500), 0.25};
  candidate.job.since_due = Millis(600) + elapsed;
  candidate.job.objective = Millis(2550);
  candidate.job.useful = Millis(7650);
  candidate.job.after_step = Millis(500);
  candidate.max_attempts = 3;
  return candidate;
}

struct DecisionRow {
  const char* load;
  BackupCandidate candidate;
  BackupVerdict expected;
};

template <typename Change>
BackupCandidate Changed(BackupCandidate candidate, Change change) {
  change(candidate);
  return candidate;
}

BOOST_AUTO_TEST_CASE(Decision_EachLoad_HasItsVerdict) {
  const BackupCandidate slow = QuickTask(Millis(1000), 20);
  const std::vector<DecisionRow> rows = {
      {"one of ten quick tasks on a worker that has turned slow", slow,
       BackupVerdict::kStart},
      {"a run that takes as long as nine of ten do", QuickTask(Millis(650), 60),
       BackupVerdict::kNotSlow},
      {"a slow run that ends before a copy could", QuickTask(Millis(1000), 70),
       BackupVerdict::kNoGain},
      {"a run that is done, but whose end has not been heard",
       QuickTask(Millis(1000), 100), BackupVerdict::kNoGain},
      {"a slow run whose progress was last reported long ago",
       Changed(slow, [](auto& run) { run.report->at = Millis(400); }),
       BackupVerdict::kAskProgress},
      {"a slow run on a worker that has not reported yet",
       Changed(slow, [](auto& run) { run.report.reset(); }),
       BackupVerdict::kAskProgress},
      {"a slow run on a worker that does not answer",
       Changed(QuickTask(Millis(1500), 0),
               [](auto& run) {
                 run.report.reset();
                 run.unanswered = Millis(800);
               }),
       BackupVerdict::kStart},
      {"callers' estimates of the queue are far off, and no other task tells",
       Changed(slow, [](auto& run) { run.estimate.log_spread = 1.0; }),
       BackupVerdict::kNotSlow},
      {"the step is not on the job's critical path",
       Changed(slow, [](auto& run) { run.job.other_steps = Millis(9000); }),
       BackupVerdict::kNoGain},
      {"the gain is small next to the length of the job",
       Changed(slow, [](auto& run) { run.job.objective = Millis(40'000); }),
       BackupVerdict::kNoGain},
      {"the job has time enough for its slow run",
       Changed(slow, [](auto& run) { run.job.objective = Millis(20'000); }),
       BackupVerdict::kOnTime},
      {"overload: the job is of no value any more",
       Changed(slow, [](auto& run) { run.job.since_due = Millis(7000); }),
       BackupVerdict::kBeyondUse},
      {"a task that has failed once of three times",
       Changed(slow, [](auto& run) { run.failed_runs = 1; }),
       BackupVerdict::kNoAttempt},
      {"a queue with two attempts",
       Changed(slow, [](auto& run) { run.max_attempts = 2; }),
       BackupVerdict::kNoAttempt},
  };
  for (const DecisionRow& row : rows) {
    const BackupDecision decision =
        DecideBackup(row.candidate, BackupOptions());
    BOOST_TEST(ToString(decision.verdict) == ToString(row.expected), row.load);
  }
}

// Guards against copies of tasks that are long by themselves: all tasks of the
// step advance as slowly.
BOOST_AUTO_TEST_CASE(Estimate_AllTasksOfTheStepAreLong_NoneIsSlow) {
  const std::vector<Millis> projected(9, Millis(3000));
  BackupCandidate candidate = QuickTask(Millis(1000), 33);
  candidate.estimate =
      EstimateFromStep(projected, {.expected = Millis(500), .log_spread = 0.5});
  BOOST_TEST((candidate.estimate.expected == Millis(3000)));
  BOOST_TEST((DecideBackup(candidate, BackupOptions()).verdict ==
              BackupVerdict::kNotSlow));
}

// Guards against a step whose slow runs hide each other: five of ten are on
// workers that have turned slow.
BOOST_AUTO_TEST_CASE(Estimate_ManyAreSlow_FollowsTheOthers) {
  std::vector<Millis> others(5, Millis(500));
  others.insert(others.end(), 4, Millis(5000));
  const RunTimeEstimate estimate = EstimateFromStep(others, {Millis(900), 1.0});
  BOOST_TEST((estimate.expected == Millis(500)));
  BOOST_TEST(estimate.log_spread <= 0.25);
}

BOOST_AUTO_TEST_CASE(Estimate_OneOtherTask_IsThatOfTheModel) {
  const std::vector<Millis> others = {Millis(500)};
  const RunTimeEstimate estimate = EstimateFromStep(others, {Millis(900), 1.0});
  BOOST_TEST((estimate.expected == Millis(900)));
  BOOST_TEST(estimate.log_spread == 1.0);
}

BOOST_AUTO_TEST_CASE(Projection_NoProgressYet_IsLong) {
  BOOST_TEST((ProjectRunTime({0, Millis(1000)}) >= Millis(100'000)));
  BOOST_TEST(!ProjectRunTime({0, Millis(50)}));
}

struct BudgetRow {
  const char* load;
  BackupRoom room;
  bool within;
};

BOOST_AUTO_TEST_CASE(Budget_EachLoad_BoundsCopies) {
  const std::vector<BudgetRow> rows = {
      {"quiet: most of a large service is free",
       {.capacity = 400'000, .free = 300'000, .copies = 3, .copies_cpu = 3000},
       true},
      {"quiet: a service of few processors",
       {.capacity = 8000, .free = 5000, .copies = 1, .copies_cpu = 1000},
       true},
      {"quiet: a small service that has its copies",
       {.capacity = 8000, .free = 5000, .copies = 2, .copies_cpu = 2000},
       false},
      {"busy: copies already use their share of what is free",
       {.capacity = 400'000, .free = 20'000, .copies = 3, .copies_cpu = 3000},
       false},
      {"peak: no free room", {.capacity = 400'000, .free = 500}, false},
      {"peak: room is free, but not for the steps that wait",
       {.capacity = 400'000, .free = 200'000, .steps_wait = true},
       false},
  };
  BackupOptions options;
  options.free_share = 0.1;
  for (const BudgetRow& row : rows) {
    BOOST_TEST(IsWithinBudget(row.room, 1000, options) == row.within, row.load);
  }
  options.free_share = 0;
  BOOST_TEST(!IsWithinBudget(rows[0].room, 1000, options));
}

}  // namespace
}  // namespace doorwood
