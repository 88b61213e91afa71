// SPDX-License-Identifier: Apache-2.0

// Ended jobs: their plans and states are replaced by small records that a new
// leader reads only after it leads. Guards against a takeover that takes longer
// the more jobs have ended, and against wrong answers about archived jobs. All
// tests run in virtual time.

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <limits>
#include <memory>
#include <optional>
#include <string>

#include "doorwood/ended_jobs.h"
#include "fakes/cell_world.h"
#include "libdoorwood/cell/cell_fixture.h"
#include "libdoorwood/cell/cell_world_util.h"

namespace doorwood {
namespace {

using fakes::CellFixture;
using fakes::CellWorld;
using fakes::kFixtureJob;
using fakes::WorldInstance;

constexpr char kCell[] = "all";
constexpr char kLaterJob[] = "00112233aabbccde";
constexpr char kNeverSubmitted[] = "ffffffffffffffff";
constexpr Millis kStep{5};

std::string JobName(int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", number);
  return id;
}

bool IsStored(CellWorld& world, const std::string& key) {
  StoreItem item;
  return !world.store().Get(key, &item);
}

bool IsArchived(CellWorld& world, const std::string& job = kFixtureJob) {
  return IsStored(world, EndedJobKey(kCell, job)) &&
         !IsStored(world, PlanKey(kCell, job)) &&
         !IsStored(world, StateKey(kCell, job));
}

// Runs the world until the job is archived, for two seconds at most.
void WaitUntilArchived(CellWorld& world) {
  for (int i = 0; i < 400 && !IsArchived(world); ++i) {
    world.RunExactly(kStep);
  }
  BOOST_REQUIRE(IsArchived(world));
}

// Kills the leader and returns the next one as soon as it leads.
WorldInstance* ReplaceLeader(CellWorld& world) {
  world.Kill(world.Leader()->name);
  for (int i = 0; i < 2000 && world.Leader() == nullptr; ++i) {
    world.RunExactly(kStep);
  }
  BOOST_REQUIRE(world.Leader() != nullptr);
  return world.Leader();
}

// What the leader answers about the job within `wait`.
struct Answers {
  std::optional<std::error_code> state_error;
  JobPhase phase = JobPhase::kQueued;
  std::optional<std::error_code> submit_error;
  AcceptOutcome submit_outcome = AcceptOutcome::kAccepted;
  std::optional<std::error_code> cancel_error;
};

Answers Ask(CellWorld& world, const std::string& job, Millis wait) {
  const auto answers = std::make_shared<Answers>();
  CellLeader& cell = *world.Leader()->cell;
  cell.FetchJobPhase(job, [answers](std::error_code error, JobPhase phase) {
    answers->state_error = error;
    answers->phase = phase;
  });
  cell.Submit(fakes::MakePlan(job, 1, 1, "ms=100"),
              [answers](std::error_code error, AcceptOutcome outcome) {
                answers->submit_error = error;
                answers->submit_outcome = outcome;
              });
  cell.Cancel(
      job, [answers](std::error_code error) { answers->cancel_error = error; });
  world.RunExactly(wait);
  return *answers;
}

void ExpectKnownAsCompleted(const Answers& answers) {
  BOOST_REQUIRE(answers.state_error.has_value());
  BOOST_TEST(!*answers.state_error);
  BOOST_TEST((answers.phase == JobPhase::kCompleted));
  BOOST_REQUIRE(answers.submit_error.has_value());
  BOOST_TEST(!*answers.submit_error);
  BOOST_TEST((answers.submit_outcome == AcceptOutcome::kAlreadyKnown));
  BOOST_REQUIRE(answers.cancel_error.has_value());
  BOOST_TEST(!*answers.cancel_error);
}

// Stores records of ended jobs as earlier leaders leave them.
void StoreEndedJobs(CellWorld& world, int count) {
  for (int i = 0; i < count; ++i) {
    StoreTransaction transaction;
    const std::string job = JobName(i);
    transaction.puts.push_back({JobIdKey(job), kCell, 0});
    transaction.puts.push_back(
        {EndedJobKey(kCell, job),
         EncodeEndedJob({JobOutcome::kCompleted, "", world.time().now_ms()}),
         0});
    StoreCommit ignored;
    BOOST_REQUIRE(!world.store().Commit(transaction, &ignored));
  }
}

struct TakeoverTimes {
  uint64_t read_ms = 0;
  int64_t first_start_ms = 0;
};

// Replaces the leader of a cell with open and ended jobs.
TakeoverTimes MeasureTakeover(int ended_jobs) {
  constexpr int kOpenJobs = 200;
  CellFixture fixture;
  CellWorld& world = fixture.world;
  for (int i = 0; i < kOpenJobs; ++i) {
    BOOST_REQUIRE(world.Submit(
        fakes::MakePlan(JobName(1'000'000 + i), 1, 1, "ms=600000")));
  }
  StoreEndedJobs(world, ended_jobs);
  world.Kill(world.Leader()->name);
  const fakes::WorldWorker& idle = world.AddWorker("idle", 8000);
  while (world.Leader() == nullptr) {
    world.RunExactly(kStep);
  }
  const Instant leads_since = world.time().now();
  TakeoverTimes times;
  times.read_ms = world.Leader()->cell->counters().takeover_read_ms;
  while (idle.runs_started == 0 &&
         world.time().now() - leads_since < Millis(5000)) {
    world.RunExactly(kStep);
  }
  times.first_start_ms =
      std::chrono::duration_cast<Millis>(world.time().now() - leads_since)
          .count();
  world.Run(Millis(8000));
  BOOST_TEST(world.log_count("read the archive of ended jobs") == 2);
  BOOST_TEST((world.StateOf(JobName(ended_jobs - 1)) == JobPhase::kCompleted));
  return times;
}

// A page of the store takes at most 27 ms here, and the lists are read at once.
BOOST_AUTO_TEST_CASE(Takeover_MoreEndedJobs_ReadingAndFirstStartTakeNoLonger) {
  constexpr uint64_t kReadBoundMs = 60;
  constexpr int64_t kFirstStartBoundMs = 1000;
  for (const int ended_jobs : {300, 30'000}) {
    const TakeoverTimes times = MeasureTakeover(ended_jobs);
    BOOST_TEST_MESSAGE(ended_jobs << " ended jobs: read in " << times.read_ms
                                  << " ms, first start after "
                                  << times.first_start_ms << " ms");
    BOOST_TEST_CONTEXT(ended_jobs << " ended jobs") {
      BOOST_TEST(times.read_ms <= kReadBoundMs);
      BOOST_TEST(times.first_start_ms <= kFirstStartBoundMs);
    }
  }
}

// Guards against a job that is answered as unknown, is accepted anew or cannot
// be cancelled once its plan is gone: at the leader that archived it, at a
// successor that has not read the archive, and at one that has.
BOOST_FIXTURE_TEST_CASE(EndedJob_Archived_IsAnsweredAsBefore, CellFixture) {
  BOOST_REQUIRE(world.Submit(fakes::MakePlan(kFixtureJob, 1, 1, "ms=100")));
  WaitUntilArchived(world);
  ExpectKnownAsCompleted(Ask(world, kFixtureJob, Millis(0)));
  ReplaceLeader(world);
  BOOST_TEST(State() == "not known");
  ExpectKnownAsCompleted(Ask(world, kFixtureJob, Millis(200)));
  const Answers unknown = Ask(world, kNeverSubmitted, Millis(0));
  BOOST_TEST(!unknown.state_error.has_value());
  world.Run(Millis(2000));
  BOOST_TEST(State() == "completed");
  ExpectKnownAsCompleted(Ask(world, kFixtureJob, Millis(0)));
  BOOST_TEST(world.starts(std::string(kFixtureJob) + ".0.0.0") == 1);
}

// Guards against a leader that removes an accepted job's key, because it has
// read the withdrawal that the job replaced from the archive.
BOOST_FIXTURE_TEST_CASE(Withdrawn_AcceptedWhileArchiveIsRead_KeepsItsKey,
                        CellFixture) {
  constexpr Millis kRetention{5000};
  // The archive is read 300 ms after the begin of a term.
  constexpr Millis kBeforeRead{290};
  constexpr Millis kUntilRead{20};
  world.options().finished_job_retention = kRetention;
  world.AddInstance("d1", "plaka", 2.0);
  StoreTransaction withdrawal;
  withdrawal.puts.push_back({JobIdKey(kFixtureJob), WithdrawnValue(kCell), 0});
  withdrawal.puts.push_back({EndedJobKey(kCell, kFixtureJob),
                             EncodeEndedJob({JobOutcome::kCancelled, "",
                                             world.time().now_ms(), true}),
                             0});
  StoreCommit commit;
  BOOST_REQUIRE(!world.store().Commit(withdrawal, &commit));
  world.Run(Millis(1000));
  WorldInstance* leader = ReplaceLeader(world);
  BOOST_REQUIRE(leader->name == "d1");
  world.RunExactly(kBeforeRead);
  leader->store_faults.answer_delay = Millis(300);
  world.RunExactly(kUntilRead);
  leader->store_faults.answer_delay = Millis(0);
  JobPlan plan = fakes::MakePlan(kFixtureJob, 1, 1, "ms=60000");
  plan.known_revision = commit.revision;
  BOOST_TEST(world.Submit(plan));
  world.Run(kRetention * 3);
  BOOST_TEST(IsStored(world, JobIdKey(kFixtureJob)));
  BOOST_TEST(State() == "running");
}

// Guards against "no such job" from a leader that cannot read the archive.
BOOST_FIXTURE_TEST_CASE(EndedJob_StoreUnavailableAfterTakeover_IsNotDenied,
                        CellFixture) {
  BOOST_REQUIRE(world.Submit(fakes::MakePlan(kFixtureJob, 1, 1, "ms=100")));
  WaitUntilArchived(world);
  ReplaceLeader(world)->store_faults.unavailable = true;
  const Answers answers = Ask(world, kFixtureJob, Millis(500));
  const auto unavailable = make_error_code(CoreErrc::kStoreUnavailable);
  BOOST_TEST((answers.state_error == unavailable));
  BOOST_TEST((answers.cancel_error == unavailable));
  BOOST_TEST((answers.submit_error == unavailable));
  world.Leader()->store_faults.unavailable = false;
  world.Run(Millis(3000));
  ExpectKnownAsCompleted(Ask(world, kFixtureJob, Millis(0)));
}

// A job that had ended is known, also while there is no room for new ones.
BOOST_FIXTURE_TEST_CASE(EndedJob_NoCapacityAfterTakeover_IsKnown, CellFixture) {
  BOOST_REQUIRE(world.Submit(fakes::MakePlan(kFixtureJob, 1, 1, "ms=100")));
  WaitUntilArchived(world);
  world.closed_data_centres() = {"plaka"};
  ReplaceLeader(world);
  world.RunExactly(Millis(100));
  ExpectKnownAsCompleted(Ask(world, kFixtureJob, Millis(100)));
  const Answers refused = Ask(world, kLaterJob, Millis(100));
  BOOST_TEST((refused.submit_error == make_error_code(CoreErrc::kNoCapacity)));
}

// Guards against records that are kept for ever: once the retention time is
// over, the successor of the leader that archived a job removes all its keys.
BOOST_AUTO_TEST_CASE(EndedJob_RetentionOver_AllKeysAreRemoved) {
  CellFixture fixture;
  CellWorld& world = fixture.world;
  BOOST_REQUIRE(world.Submit(fakes::MakePlan(kFixtureJob, 1, 1, "ms=100")));
  WaitUntilArchived(world);
  ReplaceLeader(world);
  world.Run(world.options().finished_job_retention - Millis(10'000));
  BOOST_TEST(IsArchived(world));
  BOOST_TEST(IsStored(world, JobIdKey(kFixtureJob)));
  world.Run(Millis(15'000));
  BOOST_TEST(!IsStored(world, EndedJobKey(kCell, kFixtureJob)));
  BOOST_TEST(!IsStored(world, JobIdKey(kFixtureJob)));
  BOOST_TEST(fixture.State() == "not known");
}

// The worker of a cancelled job cannot be reached until a successor has
// archived the job. Guards against a run that goes on, or whose end the worker
// reports for ever, because no plan names it any more.
BOOST_FIXTURE_TEST_CASE(EndedJob_RunStillActive_IsStoppedAndAcknowledged,
                        CellFixture) {
  BOOST_REQUIRE(world.Submit(fakes::MakePlan(kFixtureJob, 1, 1, "ms=60000")));
  world.Run(Millis(500));
  const std::string task = std::string(kFixtureJob) + ".0.0.0";
  const std::string worker = fakes::WorkerRunning(world, task);
  BOOST_REQUIRE(!worker.empty());
  fakes::PartitionAllFrom(world, worker);
  bool cancelled = false;
  world.Leader()->cell->Cancel(
      kFixtureJob, [&cancelled](std::error_code error) { cancelled = !error; });
  world.Run(Millis(200));
  BOOST_REQUIRE(cancelled);
  // The leader does not know yet whether the run has ended.
  BOOST_TEST(!IsArchived(world));
  ReplaceLeader(world);
  WaitUntilArchived(world);
  BOOST_REQUIRE(fakes::WorkerRunning(world, task) == worker);
  ReconnectAllWorkers();
  world.Run(Millis(2000));
  BOOST_TEST(fakes::WorkerRunning(world, task).empty());
  // Another holder would be told of every end that is not acknowledged.
  standin::RunWorkerModel model = world.workers().at(worker)->model;
  model.SetObserver(nullptr);
  PollOrder poll;
  poll.token = std::numeric_limits<uint64_t>::max();
  WorkerReport report;
  BOOST_REQUIRE(!model.Poll(poll, &report));
  BOOST_TEST(report.ended.empty());
  BOOST_TEST(world.starts(task) == 1);
}

// Guards against a job that is lost, runs again or is denied when its leader is
// killed at any moment between its end and its archive, also if the store loses
// answers or executes writes late.
BOOST_AUTO_TEST_CASE(
    EndedJob_LeaderKilledAtAnyMoment_IsNeitherLostNorRunTwice) {
  struct Row {
    double lost_replies;
    double delayed_writes;
  };
  for (const Row& row : {Row{0, 0}, Row{0.4, 0}, Row{0, 0.3}}) {
    for (int kill_ms = 100; kill_ms <= 400; kill_ms += 10) {
      CellFixture fixture(static_cast<uint64_t>(kill_ms));
      CellWorld& world = fixture.world;
      world.Leader()->store_faults.lost_reply_share = row.lost_replies;
      world.Leader()->store_faults.delayed_write_share = row.delayed_writes;
      world.Leader()->cell->Submit(fakes::MakePlan(kFixtureJob, 1, 1, "ms=100"),
                                   [](std::error_code, AcceptOutcome) {});
      world.RunExactly(Millis(kill_ms));
      const bool accepted = IsStored(world, JobIdKey(kFixtureJob));
      ReplaceLeader(world);
      world.Run(Millis(12'000));
      BOOST_TEST_CONTEXT("killed after " << kill_ms << " ms, lost "
                                         << row.lost_replies << ", delayed "
                                         << row.delayed_writes) {
        BOOST_TEST(fixture.State() == (accepted ? "completed" : "not known"));
        if (accepted) {
          BOOST_TEST(IsArchived(world));
          ExpectKnownAsCompleted(Ask(world, kFixtureJob, Millis(0)));
          BOOST_TEST(world.starts(std::string(kFixtureJob) + ".0.0.0") == 1);
        }
      }
    }
  }
}

// An earlier version keeps plans and states of ended jobs. Guards against a
// successor that keeps reading them.
BOOST_FIXTURE_TEST_CASE(EndedJob_LeftByAnEarlierVersion_IsArchived,
                        CellFixture) {
  BOOST_REQUIRE(world.Submit(fakes::MakePlan(kFixtureJob, 1, 1, "ms=100")));
  StoreItem plan;
  BOOST_REQUIRE(!world.store().Get(PlanKey(kCell, kFixtureJob), &plan));
  StoreItem state;
  while (!IsArchived(world)) {
    world.store().Get(StateKey(kCell, kFixtureJob), &state);
    world.RunExactly(kStep);
  }
  StoreTransaction earlier;
  earlier.puts.push_back({plan.key, plan.value, 0});
  earlier.puts.push_back({state.key, state.value, 0});
  earlier.removes.push_back(EndedJobKey(kCell, kFixtureJob));
  StoreCommit ignored;
  BOOST_REQUIRE(!world.store().Commit(earlier, &ignored));
  ReplaceLeader(world);
  BOOST_TEST(State() == "completed");
  world.Run(Millis(2500));
  BOOST_TEST(IsArchived(world));
  BOOST_TEST(State() == "completed");
}

BOOST_AUTO_TEST_CASE(EndedJobRecord_OtherForm_IsNotDecoded) {
  const auto decoded =
      DecodeEndedJob(EncodeEndedJob({JobOutcome::kFailed, "no room", 17}));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((decoded->outcome == JobOutcome::kFailed));
  BOOST_TEST(decoded->reason == "no room");
  BOOST_TEST(decoded->finished_at == 17);
  for (const char* text :
       {"", "[]", "{}", R"({"outcome":7})", R"({"outcome":"open"})",
        R"({"outcome":"failed","finished_at":"x"})",
        R"({"outcome":"failed","reason":{}})"}) {
    BOOST_TEST(!DecodeEndedJob(text).has_value(), text);
  }
}

}  // namespace
}  // namespace doorwood
