// SPDX-License-Identifier: Apache-2.0

#include "doorwood/job_table.h"

#include <boost/test/unit_test.hpp>

#include "fakes/cell_world.h"

namespace doorwood {
namespace {

constexpr char kId[] = "00112233aabbccdd";
constexpr int kAttempts = 3;

struct End {
  uint32_t run;
  RunEnd end;
};

struct EndsRow {
  const char* name;
  std::vector<End> ends;
  bool done;
  size_t failures;
  JobOutcome outcome;
};

BOOST_AUTO_TEST_CASE(ApplyRunEnd_EndsOfOneTask_SetFailuresAndOutcome) {
  const EndsRow rows[] = {
      {"done", {{1, RunEnd::kDone}}, true, 0, JobOutcome::kCompleted},
      {"stopped", {{1, RunEnd::kStopped}}, false, 0, JobOutcome::kOpen},
      {"failed", {{1, RunEnd::kFailed}}, false, 1, JobOutcome::kOpen},
      {"failed, reported twice",
       {{1, RunEnd::kFailed}, {1, RunEnd::kFailed}},
       false,
       1,
       JobOutcome::kOpen},
      {"attempts used up",
       {{1, RunEnd::kFailed}, {2, RunEnd::kFailed}, {3, RunEnd::kFailed}},
       false,
       3,
       JobOutcome::kFailed},
      // Guards against not counting failures that are reported out of order:
      // a new leader gets the workers' reports in any order. In a simulation
      // (seed 134162069050) a task was therefore started again after three
      // failed runs.
      {"attempts used up, reported in reverse order",
       {{3, RunEnd::kFailed}, {2, RunEnd::kFailed}, {1, RunEnd::kFailed}},
       false,
       3,
       JobOutcome::kFailed},
      {"expired leases do not use up attempts",
       {{1, RunEnd::kLeaseExpired},
        {2, RunEnd::kLeaseExpired},
        {3, RunEnd::kLeaseExpired}},
       false,
       0,
       JobOutcome::kOpen},
      {"failed before, then done",
       {{1, RunEnd::kFailed}, {2, RunEnd::kDone}},
       true,
       1,
       JobOutcome::kCompleted},
      // The leader assumed that the run ended when its lease expired. The
      // worker's report, which arrives later, is more accurate.
      {"done, reported after its lease had expired",
       {{1, RunEnd::kLeaseExpired}, {1, RunEnd::kDone}},
       true,
       0,
       JobOutcome::kCompleted},
      {"done, reported after the lease of a later run had expired as well",
       {{1, RunEnd::kLeaseExpired},
        {2, RunEnd::kLeaseExpired},
        {1, RunEnd::kDone}},
       true,
       0,
       JobOutcome::kCompleted},
      {"done, reported after a later run had failed",
       {{1, RunEnd::kLeaseExpired}, {2, RunEnd::kFailed}, {1, RunEnd::kDone}},
       true,
       1,
       JobOutcome::kCompleted},
      {"done, reported after the attempts were used up",
       {{1, RunEnd::kLeaseExpired},
        {2, RunEnd::kFailed},
        {3, RunEnd::kFailed},
        {4, RunEnd::kFailed},
        {1, RunEnd::kDone}},
       true,
       3,
       JobOutcome::kFailed},
      {"stopped, reported after its lease had expired",
       {{1, RunEnd::kLeaseExpired}, {1, RunEnd::kStopped}},
       false,
       0,
       JobOutcome::kOpen},
  };
  for (const EndsRow& row : rows) {
    JobTable table;
    Job* job = table.Add(fakes::MakePlan(kId, 1, 1, ""));
    Task* task = table.FindTask(std::string(kId) + ".0.0.0");
    for (const End& end : row.ends) {
      table.ApplyRunEnd(task, end.run, end.end, "", kAttempts);
    }
    BOOST_TEST_CONTEXT(row.name) {
      BOOST_TEST(task->done == row.done);
      BOOST_TEST(task->failed_runs.size() == row.failures);
      BOOST_TEST(static_cast<int>(job->outcome) ==
                 static_cast<int>(row.outcome));
    }
  }
}

struct TwoRunsRow {
  const char* name;
  /// The ends of runs 1 and 2, which are both active, in this order.
  std::vector<End> ends;
  bool done;
  size_t failures;
  EndEffect last_effect;
};

// Guards against an end of the first run that counts for nothing because the
// copy, which has a higher number, ended before.
BOOST_AUTO_TEST_CASE(ApplyRunEnd_TwoActiveRuns_BothEndsCountInFull) {
  const TwoRunsRow rows[] = {
      {"the copy fails, the first run is done",
       {{2, RunEnd::kFailed}, {1, RunEnd::kDone}},
       true,
       1,
       EndEffect::kDone},
      {"the copy fails, the first run is lost",
       {{2, RunEnd::kFailed}, {1, RunEnd::kLeaseExpired}},
       false,
       1,
       EndEffect::kRetry},
      {"the copy is lost, the first run fails",
       {{2, RunEnd::kLeaseExpired}, {1, RunEnd::kFailed}},
       false,
       1,
       EndEffect::kRetry},
      {"both fail",
       {{1, RunEnd::kFailed}, {2, RunEnd::kFailed}},
       false,
       2,
       EndEffect::kRetry},
      {"the copy is done, the first run is stopped",
       {{2, RunEnd::kDone}, {1, RunEnd::kStopped}},
       true,
       0,
       EndEffect::kIgnored},
  };
  for (const TwoRunsRow& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      JobTable table;
      const Job* job = table.Add(fakes::MakePlan(kId, 1, 1, ""));
      Task* task = table.FindTask(std::string(kId) + ".0.0.0");
      JobTable::SetPlaced(task, true);
      JobTable::BeginTwoRuns(task, 1, 2);
      EndEffect effect = EndEffect::kIgnored;
      for (const End& end : row.ends) {
        BOOST_TEST(task->placed);
        const uint32_t other = JobTable::EndPlacedRun(task, end.run);
        BOOST_TEST(other == (&end == &row.ends[0] ? 3 - end.run : 0));
        effect =
            table.ApplyRunEnd(task, end.run, end.end, "", kAttempts, other);
      }
      BOOST_TEST(!task->placed);
      BOOST_TEST(task->done == row.done);
      BOOST_TEST(task->failed_runs.size() == row.failures);
      BOOST_TEST(static_cast<int>(effect) == static_cast<int>(row.last_effect));
      BOOST_TEST(job->repetitions.at(0).steps[0].idle == (row.done ? 0 : 1));
    }
  }
}

struct CheckpointRow {
  const char* name;
  /// Runs that were given up before, with the checkpoint "earlier".
  std::vector<uint32_t> expired_runs;
  bool placed;
  const char* checkpoint;
};

// A run on an unreachable worker continues until its lease expires; only then
// does the leader give it up. The checkpoint that the run saved last is
// reported later, with the end of the run.
BOOST_AUTO_TEST_CASE(ApplyRunEnd_CheckpointOfRunGivenUp_IsKeptIfNoLaterRun) {
  const CheckpointRow rows[] = {
      {"no later run", {1}, false, "later"},
      {"a later run is placed", {1}, true, "earlier"},
      {"a later run has ended", {1, 2}, false, "earlier"},
  };
  for (const CheckpointRow& row : rows) {
    JobTable table;
    table.Add(fakes::MakePlan(kId, 1, 1, ""));
    Task* task = table.FindTask(std::string(kId) + ".0.0.0");
    for (const uint32_t run : row.expired_runs) {
      table.ApplyRunEnd(task, run, RunEnd::kLeaseExpired, "earlier", kAttempts);
    }
    JobTable::SetPlaced(task, row.placed);
    table.ApplyRunEnd(task, 1, RunEnd::kLeaseExpired, "later", kAttempts);
    BOOST_TEST_CONTEXT(row.name) {
      BOOST_TEST(task->checkpoint == row.checkpoint);
    }
  }
}

BOOST_AUTO_TEST_CASE(ApplyRunEnd_LongRunningTaskFails_HasNoLimit) {
  JobTable table;
  JobPlan plan = fakes::MakePlan(kId, 1, 1, "");
  plan.steps[0].long_running = true;
  Job* job = table.Add(plan);
  Task* task = &job->repetitions.at(0).steps[0].tasks[0];
  for (uint32_t run = 1; run < 10; ++run) {
    table.ApplyRunEnd(task, run, RunEnd::kFailed, "", 1);
  }
  BOOST_TEST(static_cast<int>(job->outcome) ==
             static_cast<int>(JobOutcome::kOpen));
}

BOOST_AUTO_TEST_CASE(ApplyRunEnd_GangMemberDone_FinishesWholeGang) {
  JobTable table;
  JobPlan plan = fakes::MakePlan(kId, 1, 4, "");
  plan.steps[0].gang = true;
  Job* job = table.Add(plan);
  table.ApplyRunEnd(&job->repetitions.at(0).steps[0].tasks[2], 1, RunEnd::kDone,
                    "", 2);
  BOOST_TEST(static_cast<int>(job->outcome) ==
             static_cast<int>(JobOutcome::kCompleted));
}

BOOST_AUTO_TEST_CASE(ApplyRunEnd_TwoMembersOfAGangFailInOneRun_CountsOnce) {
  JobTable table;
  JobPlan plan = fakes::MakePlan(kId, 1, 2, "");
  plan.steps[0].gang = true;
  Job* job = table.Add(plan);
  auto& tasks = job->repetitions.at(0).steps[0].tasks;
  table.ApplyRunEnd(&tasks[0], 1, RunEnd::kFailed, "", 2);
  table.ApplyRunEnd(&tasks[1], 1, RunEnd::kFailed, "", 2);
  BOOST_TEST(static_cast<int>(job->outcome) ==
             static_cast<int>(JobOutcome::kOpen));
  table.ApplyRunEnd(&tasks[1], 2, RunEnd::kFailed, "", 2);
  BOOST_TEST(static_cast<int>(job->outcome) ==
             static_cast<int>(JobOutcome::kFailed));
}

BOOST_AUTO_TEST_CASE(IsUnblocked_EarlierStepOpen_IsFalse) {
  JobTable table;
  Job* job = table.Add(fakes::MakePlan(kId, 2, 2, ""));
  BOOST_TEST(JobTable::IsUnblocked(*job, 0, 0));
  auto& first = job->repetitions.at(0).steps[0].tasks;
  table.ApplyRunEnd(&first[0], 1, RunEnd::kDone, "", 1);
  BOOST_TEST(!JobTable::IsUnblocked(*job, 0, 1));
  table.ApplyRunEnd(&first[1], 1, RunEnd::kDone, "", 1);
  BOOST_TEST(JobTable::IsUnblocked(*job, 0, 1));
}

BOOST_AUTO_TEST_CASE(JobState_EncodedAndDecoded_IsRestored) {
  JobTable before;
  const JobPlan plan = fakes::MakePlan(kId, 2, 2, "");
  Job* job = before.Add(plan);
  auto& tasks = job->repetitions.at(0).steps[0].tasks;
  before.ApplyRunEnd(&tasks[0], 4, RunEnd::kDone, "", 3);
  before.ApplyRunEnd(&tasks[1], 2, RunEnd::kFailed, "saved", 3);
  job->started = true;
  JobTable after;
  Job* read = after.Add(plan);
  BOOST_TEST(DecodeJobState(EncodeJobState(*job), read));
  const auto& restored = read->repetitions.at(0).steps[0];
  BOOST_TEST(restored.done == 1);
  BOOST_TEST(restored.tasks[0].done);
  BOOST_TEST(restored.tasks[1].failed_runs.size() == 1U);
  BOOST_TEST(restored.tasks[1].checkpoint == "saved");
  BOOST_TEST(restored.tasks[1].counted_run == 2U);
  BOOST_TEST(read->started);
}

// Guards against jobs that are missing from the pending ones after a takeover:
// an earlier version recorded them as begun when their starts were ordered,
// which were refused or lost.
BOOST_AUTO_TEST_CASE(DecodeJobState_StartsWereOnlyOrdered_HasNotStarted) {
  const std::string head = R"({"outcome":"o","finished_at":0,"begun":true,)";
  const std::pair<std::string, bool> rows[] = {
      {R"("tasks":[]})", false},
      {R"("tasks":[[0,0,0,4,3,[],"",0]]})", false},
      {R"("tasks":[[0,0,0,4,3,[],"",0,[],"w1"]]})", false},
      {R"("tasks":[[0,0,0,4,3,[],"",1]]})", true},
      {R"("tasks":[[0,0,0,4,3,[2],"",0]]})", true},
      {R"("tasks":[[0,0,0,4,3,[],"saved",0]]})", true},
      {R"("ran":true,"tasks":[]})", true},
      {R"("ran":false,"tasks":[[0,0,0,4,3,[],"saved",0]]})", false},
  };
  for (const auto& [text, started] : rows) {
    JobTable table;
    Job* job = table.Add(fakes::MakePlan(kId, 1, 1, ""));
    BOOST_TEST(DecodeJobState(head + text, job), text);
    BOOST_TEST(job->started == started, text);
  }
}

// Guards against gangs that count as begun while some of their tasks cannot be
// started.
BOOST_AUTO_TEST_CASE(NoteRunBegan_Gang_HasStartedOnceAllTasksOfOneRunHave) {
  JobTable table;
  JobPlan plan = fakes::MakePlan(kId, 1, 3, "");
  plan.steps[0].gang = true;
  Job* job = table.Add(plan);
  auto& tasks = job->repetitions.at(0).steps[0].tasks;
  JobTable::NoteRunBegan(&tasks[0], 1);
  JobTable::NoteRunBegan(&tasks[0], 1);
  JobTable::NoteRunBegan(&tasks[1], 1);
  JobTable::NoteListedEnd(&tasks[0], RunEnd::kGangIncomplete);
  JobTable::NoteListedEnd(&tasks[1], RunEnd::kGangMemberEnded);
  JobTable::NoteRunBegan(&tasks[2], 2);
  JobTable::NoteRunBegan(&tasks[0], 2);
  BOOST_TEST(!job->started);
  JobTable::NoteRunBegan(&tasks[1], 2);
  BOOST_TEST(job->started);
}

BOOST_AUTO_TEST_CASE(NoteListedEnd_OnlySomeEnds_ShowThatTaskHadBegun) {
  const std::pair<RunEnd, bool> rows[] = {{RunEnd::kDone, true},
                                          {RunEnd::kFailed, true},
                                          {RunEnd::kLeaseExpired, true},
                                          {RunEnd::kStopped, false}};
  for (const auto& [end, started] : rows) {
    JobTable table;
    Job* job = table.Add(fakes::MakePlan(kId, 1, 1, ""));
    JobTable::NoteListedEnd(&job->repetitions.at(0).steps[0].tasks[0], end);
    BOOST_TEST(job->started == started, ToString(end));
  }
}

BOOST_AUTO_TEST_CASE(DecodeJobState_MalformedText_IsRejected) {
  JobTable table;
  Job* job = table.Add(fakes::MakePlan(kId, 1, 1, ""));
  for (const char* text : {"", "[]", "{}",
                           R"({"outcome":"o","finished_at":0,"begun":true,)"
                           R"("tasks":[[0,0,7,1,1,[],"",0]]})"}) {
    BOOST_TEST(!DecodeJobState(text, job), text);
  }
}

BOOST_AUTO_TEST_CASE(DecodeJobState_BadRowAfterDoneTask_CountsAreConsistent) {
  JobTable table;
  Job* job = table.Add(fakes::MakePlan(kId, 1, 2, ""));
  BOOST_TEST(
      !DecodeJobState(R"({"outcome":"o","finished_at":0,"begun":true,)"
                      R"("tasks":[[0,0,0,4,4,[],"",1],[0,0,"x",1,1,[],"",0]]})",
                      job));
  const StepState& step = job->repetitions.at(0).steps[0];
  BOOST_TEST(step.tasks[0].done);
  BOOST_TEST(step.done == 1);
  BOOST_TEST(step.idle == 1);
}

BOOST_AUTO_TEST_CASE(ParseTaskName_TooFewOrMalformedParts_IsRejected) {
  BOOST_TEST(ParseTaskName("ab.0.1.17").has_value());
  for (const char* text : {"", "ab", "ab.0.1", "ab.0.1.x", "ab..1.2"}) {
    BOOST_TEST(!ParseTaskName(text).has_value(), text);
  }
}

// Guards against a successor that does not know of a task's earlier crashes.
BOOST_AUTO_TEST_CASE(EncodeJobState_CrashesAndReason_AreRestored) {
  JobTable table;
  Job* job = table.Add(fakes::MakePlan(kId, 1, 2, ""));
  Task* task = &job->repetitions.at(0).steps[0].tasks[1];
  task->last_run = 3;
  BOOST_TEST(JobTable::NoteCrash(
      task, {2, "m-1", "w1", CrashEvidence::kRestarted, true, true, false}));
  BOOST_TEST(JobTable::NoteCrash(
      task, {3, "m-2", "w2", CrashEvidence::kUnconfirmed, true, false, true}));
  BOOST_TEST(JobTable::NoteCrash(
      task, {3, "m-2", "w2", CrashEvidence::kVanished, true, false, true}));
  BOOST_TEST(!JobTable::NoteCrash(task, {3, "m-3"}));
  BOOST_TEST(!JobTable::RemoveUnconfirmedCrash(task, 3));
  job->reason = "why";
  JobTable successor;
  Job* read = successor.Add(fakes::MakePlan(kId, 1, 2, ""));
  BOOST_REQUIRE(DecodeJobState(EncodeJobState(*job), read));
  const std::vector<CrashNote>& crashes =
      read->repetitions.at(0).steps[0].tasks[1].crashes;
  BOOST_REQUIRE(crashes.size() == 2U);
  BOOST_TEST(crashes[0].run == 2U);
  BOOST_TEST(crashes[0].machine == "m-1");
  BOOST_TEST((crashes[0].evidence == CrashEvidence::kRestarted));
  BOOST_TEST(crashes[0].in_trial);
  BOOST_TEST((crashes[1].evidence == CrashEvidence::kVanished));
  BOOST_TEST(crashes[1].suspect);
  BOOST_TEST(crashes[1].mass_crash);
  BOOST_TEST(read->reason == "why");
  BOOST_TEST(read->repetitions.at(0).steps[0].tasks[0].crashes.empty());
}

// Guards against rejecting records of an older version.
BOOST_AUTO_TEST_CASE(DecodeJobState_NoCrashesColumn_IsAccepted) {
  JobTable table;
  Job* job = table.Add(fakes::MakePlan(kId, 1, 1, ""));
  BOOST_TEST(DecodeJobState(R"({"outcome":"o","finished_at":0,"begun":true,)"
                            R"("tasks":[[0,0,0,4,3,[],"",0]]})",
                            job));
  BOOST_TEST(job->repetitions.at(0).steps[0].tasks[0].last_run == 4U);
}

}  // namespace
}  // namespace doorwood
