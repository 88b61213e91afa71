// SPDX-License-Identifier: Apache-2.0

#include "doorwood/ingress.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "doorwood/ended_jobs.h"
#include "fakes/cell_world.h"

namespace doorwood {
namespace {

constexpr char kJob[] = "00112233aabbccdd";

// Time passes between any two calls of `Now`, as on a real clock.
class TickingExecutor : public Executor {
 public:
  explicit TickingExecutor(Executor& executor) : executor_(executor) {}

  Instant Now() const override {
    return executor_.Now() + std::chrono::nanoseconds(++calls_);
  }
  void Post(std::function<void()> function) override {
    executor_.Post(std::move(function));
  }
  TimerId Schedule(Millis delay, std::function<void()> function) override {
    return executor_.Schedule(delay, std::move(function));
  }
  void Cancel(TimerId timer) override { executor_.Cancel(timer); }
  uint64_t Random() override { return executor_.Random(); }

 private:
  Executor& executor_;
  mutable int64_t calls_ = 0;
};

// Peers that answer after 2 ms, or fail after 1 s if unreachable.
class FakePeers : public CellPeers {
 public:
  explicit FakePeers(Executor& executor) : executor_(executor) {}

  void Submit(const CellLead& lead,
              const JobPlan& plan,
              SubmitCallback done) override {
    ++submits;
    submitted.push_back(plan.id);
    if (!submit_error) {
      submit_error = fault(lead);
    }
    const std::error_code refusal = std::exchange(submit_error, {});
    Answer([refusal, done = std::move(done)](std::error_code error) {
      done(error ? error : refusal, AcceptOutcome::kAccepted);
    });
  }
  void Cancel(const CellLead&,
              const std::string&,
              CancelCallback done) override {
    ++job_calls;
    AnswerJobCall(std::move(done));
  }
  void FetchJobState(const CellLead&,
                     const std::string&,
                     StateCallback done) override {
    ++job_calls;
    AnswerJobCall([done = std::move(done)](std::error_code error) {
      done(error, JobPhase::kRunning);
    });
  }
  void FetchCellSummary(const CellLead& lead, SummaryCallback done) override {
    Answer(
        [refusal = fault(lead), done = std::move(done)](std::error_code error) {
          done(error ? error : refusal, CellSummary{});
        });
  }
  void AwaitAcceptance(const CellLead& lead,
                       Millis wait,
                       SummaryCallback done) override {
    ++probes;
    Wait(lead, executor_.Now() + wait, std::move(done));
  }

  bool unreachable = false;
  // How the leader fails calls; without error it accepts jobs.
  std::function<std::error_code(const CellLead&)> fault = [](const CellLead&) {
    return std::error_code();
  };
  // Answer to the next submission, if any.
  std::error_code submit_error;
  std::vector<std::string> submitted;
  int probes = 0;
  // True: the leader has the job.
  bool has_job = true;
  int submits = 0;
  int job_calls = 0;

 private:
  void Wait(const CellLead& lead, Instant until, SummaryCallback done) {
    const std::error_code error = fault(lead);
    const bool reading = error == make_error_code(CoreErrc::kNoOwner);
    executor_.Schedule(
        Millis(5), [this, lead, until, error, reading, done = std::move(done)] {
          if (reading && executor_.Now() < until) {
            Wait(lead, until, done);
          } else {
            done(error, CellSummary{});
          }
        });
  }
  void AnswerJobCall(std::function<void(std::error_code)> done) {
    Answer([this, done = std::move(done)](std::error_code error) {
      done(error || has_job ? error : make_error_code(CoreErrc::kNotFound));
    });
  }
  void Answer(std::function<void(std::error_code)> done) {
    const std::error_code error =
        unreachable ? make_error_code(PeerErrc::kNoAnswer) : std::error_code();
    executor_.Schedule(Millis(unreachable ? 1000 : 2),
                       [error, done = std::move(done)] { done(error); });
  }

  Executor& executor_;
};

// An entry instance that does not lead the cell; another instance does.
struct IngressFixture {
  explicit IngressFixture(size_t max_held = 0) : world(3) {
    world.SetTable({fakes::MakeQueue("queue", 3)});
    world.AddWorker("w1", 8000);
    world.AddInstance("a1", "plaka");
    world.WaitForLeader();
    self = &world.AddInstance("z9", "pireas");
    peers = std::make_unique<FakePeers>(*self->executor);
    IngressOptions options;
    options.returns.max_held = max_held;
    executor = std::make_unique<TickingExecutor>(*self->executor);
    ingress = std::make_unique<Ingress>(
        *executor, *self->store, *peers, *self->live, *self->log,
        std::vector<CellLeader*>{self->cell.get()}, options);
    ingress->Start();
    world.Run(Millis(2000));
  }

  void Submit() {
    answered = false;
    ingress->Submit(fakes::MakePlan(kJob, 1, 1, ""), Caller{},
                    [this](const SubmitResult& result) {
                      answered = true;
                      answer = result.error;
                    });
  }

  void QueryState() {
    answered = false;
    ingress->FetchJobState(kJob, [this](std::error_code error, JobPhase) {
      answered = true;
      answer = error;
    });
  }

  void Cancel() {
    answered = false;
    ingress->Cancel(kJob, [this](std::error_code error) {
      answered = true;
      answer = error;
    });
  }

  void RecordJob() {
    StoreTransaction transaction;
    transaction.puts.push_back({JobIdKey(kJob), "all", 0});
    StoreCommit ignored;
    world.store().Commit(transaction, &ignored);
  }

  fakes::CellWorld world;
  fakes::WorldInstance* self = nullptr;
  std::unique_ptr<TickingExecutor> executor;
  std::unique_ptr<FakePeers> peers;
  std::unique_ptr<Ingress> ingress;
  bool answered = false;
  std::error_code answer;
};

BOOST_FIXTURE_TEST_CASE(Submit_LeaderAnswers_JobIsAccepted, IngressFixture) {
  BOOST_TEST(ingress->HasReachableLeader());
  Submit();
  world.Run(Millis(50));
  BOOST_TEST(answered);
  BOOST_TEST(!answer);
  BOOST_TEST(peers->submits == 1);
}

// An instance that is partitioned from the leader must refuse at once. It must
// not keep callers waiting for a timeout, and must report itself as not ready,
// so that the load balancer uses other instances.
BOOST_FIXTURE_TEST_CASE(Submit_LeaderUnresponsiveBeyondTimeout_IsRefusedAtOnce,
                        IngressFixture) {
  peers->unreachable = true;
  // Longer than leader_answer_timeout (1500 ms).
  world.Run(Millis(2200));
  BOOST_TEST(!ingress->HasReachableLeader());
  Submit();
  BOOST_TEST(answered);
  BOOST_TEST(answer == make_error_code(CoreErrc::kNoOwner));
  BOOST_TEST(peers->submits == 0);
  peers->unreachable = false;
  // Longer than summary_interval (600 ms), so that a summary arrives.
  world.Run(Millis(800));
  BOOST_TEST(ingress->HasReachableLeader());
}

BOOST_FIXTURE_TEST_CASE(Submit_LeaderUnresponsiveWithinTimeout_IsStillTried,
                        IngressFixture) {
  peers->unreachable = true;
  // With up to summary_interval (600 ms) before the partition, the last summary
  // is still more recent than leader_answer_timeout (1500 ms).
  world.Run(Millis(500));
  BOOST_TEST(ingress->HasReachableLeader());
  Submit();
  BOOST_TEST(peers->submits == 1);
}

// Guards against a count of 0 from an instance that has heard no leader yet, or
// none for long, while jobs are waiting.
BOOST_AUTO_TEST_CASE(PendingJobCount_NoRecentSummary_IsNotKnown) {
  IngressFixture fixture;
  Ingress fresh(*fixture.executor, *fixture.self->store, *fixture.peers,
                *fixture.self->live, *fixture.self->log,
                {fixture.self->cell.get()}, IngressOptions{});
  BOOST_TEST(!fresh.PendingJobCount("queue").has_value());
  BOOST_TEST((fixture.ingress->PendingJobCount("queue") == 0));
  fixture.peers->unreachable = true;
  fixture.world.Run(Millis(3000));
  BOOST_TEST(fixture.ingress->PendingJobCount("queue").has_value());
  fixture.world.Run(Millis(3000));
  BOOST_TEST(!fixture.ingress->PendingJobCount("queue").has_value());
}

// If only one cell has a leader, the leader answers about its jobs even if the
// store is unavailable.
BOOST_FIXTURE_TEST_CASE(State_StoreUnavailable_SoleLeaderAnswers,
                        IngressFixture) {
  self->store_faults.unavailable = true;
  QueryState();
  world.Run(Millis(50));
  BOOST_TEST(answered);
  BOOST_TEST(!answer);
}

BOOST_FIXTURE_TEST_CASE(Cancel_StoreUnavailable_SoleLeaderAccepts,
                        IngressFixture) {
  self->store_faults.unavailable = true;
  Cancel();
  world.Run(Millis(50));
  BOOST_TEST(answered);
  BOOST_TEST(!answer);
}

// A leader may not have loaded a job yet, so kNotFound is returned only if the
// store has no record of the job.
BOOST_AUTO_TEST_CASE(StateAndCancel_LeaderDoesNotHaveJob_StoreDecides) {
  struct Row {
    const char* name;
    bool recorded;
    bool store_unavailable;
    std::error_code answer;
  };
  const Row rows[] = {
      {"nowhere", false, false, CoreErrc::kNotFound},
      {"recorded", true, false, CoreErrc::kNoOwner},
      {"store unavailable", true, true, CoreErrc::kStoreUnavailable},
  };
  for (const Row& row : rows) {
    for (const bool cancel : {false, true}) {
      IngressFixture fixture;
      fixture.peers->has_job = false;
      if (row.recorded) {
        fixture.RecordJob();
      }
      fixture.self->store_faults.unavailable = row.store_unavailable;
      if (cancel) {
        fixture.Cancel();
      } else {
        fixture.QueryState();
      }
      fixture.world.Run(Millis(100));
      BOOST_TEST_CONTEXT(row.name << (cancel ? ", cancel" : ", state")) {
        BOOST_TEST(fixture.answered);
        BOOST_TEST(fixture.answer == row.answer);
      }
    }
  }
}

// Guards against an endless 503 about a job that is no longer kept, at the
// instance that has cached its cell.
BOOST_AUTO_TEST_CASE(StateAndCancel_CachedJobNoLongerKept_IsDenied) {
  for (const bool cancel : {false, true}) {
    IngressFixture fixture;
    fixture.Submit();
    fixture.world.Run(Millis(50));
    BOOST_REQUIRE(!fixture.answer);
    fixture.peers->has_job = false;
    if (cancel) {
      fixture.Cancel();
    } else {
      fixture.QueryState();
    }
    fixture.world.Run(Millis(100));
    BOOST_TEST(fixture.answered);
    BOOST_TEST(fixture.answer == make_error_code(CoreErrc::kNotFound));
  }
}

BOOST_FIXTURE_TEST_CASE(State_QueriedAgain_GoesToCachedCell, IngressFixture) {
  QueryState();
  world.Run(Millis(50));
  QueryState();
  world.Run(Millis(50));
  BOOST_TEST(answered);
  BOOST_TEST(peers->job_calls == 2);
}

// Guards against a new leader on this instance that denies an archived job, or
// cannot answer about it, because it has not read the archive yet.
BOOST_AUTO_TEST_CASE(StateAndCancel_ArchivedJobAfterTakeover_IsAnswered) {
  for (const bool cancel : {false, true}) {
    for (const bool store_unavailable : {false, true}) {
      IngressFixture fixture;
      fixture.RecordJob();
      StoreTransaction archived;
      archived.puts.push_back({EndedJobKey("all", kJob),
                               EncodeEndedJob({JobOutcome::kCompleted, "", 1}),
                               0});
      StoreCommit ignored;
      fixture.world.store().Commit(archived, &ignored);
      fixture.world.Kill("a1");
      while (!fixture.self->cell->leading()) {
        fixture.world.RunExactly(Millis(5));
      }
      fixture.self->store_faults.unavailable = store_unavailable;
      if (cancel) {
        fixture.Cancel();
      } else {
        fixture.QueryState();
      }
      fixture.world.RunExactly(Millis(100));
      BOOST_TEST_CONTEXT((cancel ? "cancel" : "state")
                         << (store_unavailable ? ", store unavailable" : "")) {
        BOOST_TEST(fixture.answered);
        const auto expected = store_unavailable
                                  ? make_error_code(CoreErrc::kStoreUnavailable)
                                  : std::error_code();
        BOOST_TEST(fixture.answer == expected);
      }
    }
  }
}

// --- Submissions that no leader accepts at once ---

constexpr Millis kCallerLimit{3000};

std::string JobId(int number) {
  return "00000000000000" + std::to_string(10 + number);
}

// An instance that may hold ten submissions. It does not get the lead, since
// the other instances are stronger.
struct HoldFixture : IngressFixture {
  struct Answer {
    SubmitResult result;
    Instant at{};
  };

  HoldFixture() : IngressFixture(10) {
    world.AddInstance("b2", "plaka", 2.0);
    world.Run(Millis(3000));
    peers->fault = [this](const CellLead& lead) -> std::error_code {
      const auto holder = world.instances().find(lead.instance);
      if (holder == world.instances().end()) {
        return PeerErrc::kNotSent;
      }
      const bool accepts = holder->second->cell->leading() && !keeps_reading;
      return accepts ? std::error_code() : CoreErrc::kNoOwner;
    };
    peers->submitted.clear();
  }

  Instant Now() const { return self->executor->Now(); }

  void SubmitHeld(int number, std::optional<Millis> time_left = kCallerLimit) {
    Caller caller;
    caller.time_left = time_left;
    caller.is_gone = [this, number] { return gone.contains(number); };
    ingress->Submit(fakes::MakePlan(JobId(number), 1, 1, ""), caller,
                    [this, number](const SubmitResult& result) {
                      BOOST_TEST(!answers.contains(number));
                      answers[number] = {result, Now()};
                    });
  }

  // Ends the leader's process and its lease, as for an instance that is told
  // to stop: the lead is vacant at once.
  void EndLead() {
    const std::string name = world.Leader()->name;
    world.Kill(name);
    const CellLead lead = self->live->leads().at("all");
    StoreTransaction transaction;
    transaction.removes.push_back(LeadKey(lead.cell));
    StoreCommit ignored;
    world.store().Commit(transaction, &ignored);
  }

  std::error_code ErrorOf(int number) const {
    BOOST_REQUIRE(answers.contains(number));
    return answers.at(number).result.error;
  }

  bool keeps_reading = false;
  std::map<int, Answer> answers;
  std::set<int> gone;
};

// Load "a leader is stopped": callers who could be served within their limit
// must not use up their retries before the successor accepts.
BOOST_FIXTURE_TEST_CASE(Submit_SuccessorReads_IsHeldThenAccepted, HoldFixture) {
  keeps_reading = true;
  EndLead();
  world.Run(Millis(100));
  SubmitHeld(1);
  world.Run(Millis(300));
  BOOST_TEST(ingress->held() == 1u);
  BOOST_TEST(!answers.contains(1));
  keeps_reading = false;
  world.Run(Millis(300));
  BOOST_TEST(ErrorOf(1) == std::error_code());
  BOOST_TEST(ingress->held() == 0u);
  BOOST_TEST(ingress->return_counters().accepted_after_hold == 1u);
}

// Load "leader killed at the peak: callers of 3 s": the lease of the killed
// leader must run out first.
BOOST_FIXTURE_TEST_CASE(Submit_LeaderKilled_IsAcceptedBySuccessor,
                        HoldFixture) {
  world.Kill(world.Leader()->name);
  SubmitHeld(1);
  world.Run(kCallerLimit);
  BOOST_TEST(ErrorOf(1) == std::error_code());
  BOOST_TEST(ingress->return_counters().held == 1u);
}

// Those with the least time left are released first, and not all at once.
BOOST_FIXTURE_TEST_CASE(Release_SeveralHeld_LeastTimeLeftFirst, HoldFixture) {
  keeps_reading = true;
  EndLead();
  world.Run(Millis(100));
  SubmitHeld(1, Millis(6000));
  SubmitHeld(2, Millis(3000));
  SubmitHeld(3, Millis(4000));
  world.Run(Millis(300));
  keeps_reading = false;
  world.Run(Millis(500));
  const std::vector<std::string> expected{JobId(2), JobId(3), JobId(1)};
  const std::vector<std::string> last(peers->submitted.end() - 3,
                                      peers->submitted.end());
  BOOST_TEST(last == expected, boost::test_tools::per_element());
  BOOST_TEST((answers.at(2).at < answers.at(1).at));
}

// One probe a cell, not one a submission, while submissions wait.
BOOST_FIXTURE_TEST_CASE(Hold_ManySubmissions_OneProbeAndNoSubmitCalls,
                        HoldFixture) {
  keeps_reading = true;
  EndLead();
  world.Run(Millis(400));
  ingress->OnLiveChange();
  world.Run(Millis(100));
  peers->probes = 0;
  peers->submits = 0;
  for (int number = 1; number <= 20; ++number) {
    SubmitHeld(number);
  }
  world.Run(Millis(200));
  BOOST_TEST(ingress->held() == 10u);
  BOOST_TEST(peers->submits == 0);
  BOOST_TEST(peers->probes <= 1);
  // Those above the limit were told at once when to return.
  BOOST_TEST(answers.size() == 10u);
  for (const auto& [number, refused] : answers) {
    BOOST_TEST(refused.result.error == make_error_code(CoreErrc::kNoOwner));
    BOOST_TEST(refused.result.return_after.count() >= 1);
  }
}

// The reading takes longer than any caller can wait: refuse as soon as that is
// known, not at the end of the caller's time.
BOOST_FIXTURE_TEST_CASE(Hold_ReadingDoesNotEnd_IsRefusedEarly, HoldFixture) {
  keeps_reading = true;
  EndLead();
  world.Run(Millis(100));
  const Instant submitted_at = Now();
  SubmitHeld(1);
  world.Run(kCallerLimit);
  BOOST_TEST(ErrorOf(1) == make_error_code(CoreErrc::kNoOwner));
  BOOST_TEST((answers.at(1).at - submitted_at < Millis(2500)));
}

// The leader that accepts again dies while it is sent the first of the held.
BOOST_FIXTURE_TEST_CASE(Release_LeaderDiesAgain_OthersAreNotLost, HoldFixture) {
  keeps_reading = true;
  EndLead();
  world.Run(Millis(100));
  for (int number = 1; number <= 3; ++number) {
    SubmitHeld(number, Millis(2000));
  }
  world.Run(Millis(300));
  keeps_reading = false;
  world.Kill(world.Leader()->name);
  world.Run(Millis(2500));
  BOOST_TEST(answers.size() == 3u);
  BOOST_TEST(ingress->held() == 0u);
  for (const auto& [number, refused] : answers) {
    BOOST_TEST(refused.result.error == make_error_code(CoreErrc::kNoOwner));
  }
}

// An instance that is told to stop must not keep callers until its end.
BOOST_FIXTURE_TEST_CASE(StopHolding_WhileHeld_RefusesAtOnce, HoldFixture) {
  keeps_reading = true;
  EndLead();
  world.Run(Millis(200));
  SubmitHeld(1);
  world.Run(Millis(50));
  BOOST_TEST(ingress->held() == 1u);
  ingress->StopHolding();
  BOOST_TEST(ErrorOf(1) == make_error_code(CoreErrc::kNoOwner));
  BOOST_TEST(answers.at(1).result.return_after.count() >= 1);
  SubmitHeld(2);
  world.Run(Millis(50));
  BOOST_TEST(ErrorOf(2) == make_error_code(CoreErrc::kNoOwner));
}

// A queue that the operators removed must not get a job later.
BOOST_FIXTURE_TEST_CASE(OnQueueTable_QueueOfHeldRemoved_IsRefused,
                        HoldFixture) {
  keeps_reading = true;
  EndLead();
  world.Run(Millis(200));
  SubmitHeld(1);
  world.Run(Millis(50));
  ingress->OnQueueTable(QueueTable(2, {fakes::MakeQueue("other", 3)}, {}, {}));
  BOOST_TEST(ErrorOf(1) == make_error_code(CoreErrc::kNotFound));
  keeps_reading = false;
  peers->submitted.clear();
  world.Run(Millis(500));
  BOOST_TEST(peers->submitted.empty());
}

// A job whose caller has left must not be submitted.
BOOST_FIXTURE_TEST_CASE(Hold_CallerDisconnects_JobIsNotSubmitted, HoldFixture) {
  keeps_reading = true;
  EndLead();
  world.Run(Millis(200));
  SubmitHeld(1);
  world.Run(Millis(50));
  gone.insert(1);
  world.Run(Millis(100));
  keeps_reading = false;
  peers->submitted.clear();
  world.Run(Millis(500));
  BOOST_TEST(peers->submitted.empty());
  BOOST_TEST(ingress->held() == 0u);
}

// The successor refuses a released submission: it has not run, and its caller
// is told when to return.
BOOST_FIXTURE_TEST_CASE(Release_LeaderRefuses_CallerIsToldToReturn,
                        HoldFixture) {
  for (const CoreErrc errc :
       {CoreErrc::kStoreUnavailable, CoreErrc::kNoCapacity}) {
    const int number = static_cast<int>(errc);
    keeps_reading = true;
    EndLead();
    world.Run(Millis(200));
    SubmitHeld(number, Millis(5000));
    world.Run(Millis(200));
    peers->submit_error = errc;
    keeps_reading = false;
    world.Run(Millis(500));
    BOOST_TEST(ErrorOf(number) == make_error_code(errc));
    BOOST_TEST(answers.at(number).result.return_after.count() >= 1);
    world.AddInstance("c" + std::to_string(number), "plaka", 2.0);
    world.Run(Millis(3000));
  }
}

// The job may have been accepted, so neither this call nor a later one that
// finds no leader may report that it was not.
BOOST_FIXTURE_TEST_CASE(Release_AnswerLost_OutcomeStaysUnknown, HoldFixture) {
  keeps_reading = true;
  EndLead();
  world.Run(Millis(200));
  SubmitHeld(1);
  world.Run(Millis(200));
  peers->submit_error = PeerErrc::kNoAnswer;
  keeps_reading = false;
  world.Run(Millis(500));
  BOOST_TEST(ErrorOf(1) == make_error_code(CoreErrc::kOutcomeUnknown));
  answers.clear();
  world.Kill(world.Leader()->name);
  SubmitHeld(1, Millis(500));
  world.Run(Millis(600));
  BOOST_TEST(ErrorOf(1) == make_error_code(CoreErrc::kOutcomeUnknown));
}

// Load "all return after an outage of 6 s": nobody knows when the store
// answers again, so callers must be refused at once and not return together.
BOOST_FIXTURE_TEST_CASE(Submit_StoreSilent_IsRefusedAtOnceAndSpread,
                        HoldFixture) {
  world.Kill(world.Leader()->name);
  self->store_faults.unresponsive = true;
  world.Run(Millis(2500));
  std::map<int64_t, int> returns_by_second;
  for (int number = 1; number <= 8; ++number) {
    SubmitHeld(number);
    world.RunExactly(Millis(20));
    BOOST_TEST(ErrorOf(number) == make_error_code(CoreErrc::kNoOwner));
    const Answer& refused = answers.at(number);
    BOOST_TEST(refused.result.return_after.count() >= 1);
    ++returns_by_second[std::chrono::floor<Seconds>(
                            (refused.at + refused.result.return_after)
                                .time_since_epoch())
                            .count()];
  }
  BOOST_TEST(ingress->return_counters().held == 0u);
  for (const auto& [second, count] : returns_by_second) {
    BOOST_TEST(count <= 4);
  }
}

// Callers of unknown patience are never held, and without the setting nobody
// is.
BOOST_FIXTURE_TEST_CASE(Submit_NoTimeLimit_IsNotHeld, HoldFixture) {
  keeps_reading = true;
  EndLead();
  world.Run(Millis(200));
  SubmitHeld(1, std::nullopt);
  world.Run(Millis(20));
  BOOST_TEST(ErrorOf(1) == make_error_code(CoreErrc::kNoOwner));
}

BOOST_FIXTURE_TEST_CASE(Submit_HoldingSwitchedOff_IsRefusedAtOnce,
                        IngressFixture) {
  peers->fault = [](const CellLead&) { return PeerErrc::kNotSent; };
  Submit();
  world.Run(Millis(20));
  BOOST_TEST(answered);
  BOOST_TEST(answer == make_error_code(CoreErrc::kNoOwner));
  BOOST_TEST(peers->probes == 0);
}

}  // namespace
}  // namespace doorwood
