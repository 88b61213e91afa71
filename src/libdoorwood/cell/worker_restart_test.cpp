// SPDX-License-Identifier: Apache-2.0

// A session whose worker starts again under its id: what shows it, and what it
// proves of the runs there.

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "doorwood/worker_session.h"
#include "fakes/fakes.h"
#include "libdoorwood/cell/null_session_listener.h"

namespace doorwood {
namespace {

constexpr int64_t kFirstStart = 1'700'000'000'000;
constexpr int64_t kSecondStart = kFirstStart + 60'000;
constexpr int64_t kClock = 50'000;
constexpr uint64_t kToken = 5;

// Calls that the test answers.
class ManualWorkers : public RunWorkerClient {
 public:
  void Poll(const WorkerIncarnation&,
            const PollOrder& order,
            Callback<WorkerReport> done) override {
    poll_orders.push_back(order);
    polls.push_back(std::move(done));
  }
  void Start(const WorkerIncarnation&,
             const StartOrder& order,
             Callback<int64_t> done) override {
    start_orders.push_back(order);
    starts.push_back(std::move(done));
  }
  void Stop(const WorkerIncarnation&,
            const StopOrder& order,
            Callback<int64_t> done) override {
    stopped.push_back(order.task);
    stops.push_back(std::move(done));
  }
  void Pace(const WorkerIncarnation&,
            const PaceOrder&,
            Callback<int64_t> done) override {
    paces.push_back(std::move(done));
  }

  std::vector<PollOrder> poll_orders;
  std::vector<StartOrder> start_orders;
  std::vector<std::string> stopped;
  std::vector<Callback<WorkerReport>> polls;
  std::vector<Callback<int64_t>> starts;
  std::vector<Callback<int64_t>> stops;
  std::vector<Callback<int64_t>> paces;
};

WorkerReport MakeReport(int64_t started_at,
                        int64_t clock,
                        const std::vector<std::string>& active) {
  WorkerReport report;
  report.started_at = started_at;
  report.clock = clock;
  for (const std::string& task : active) {
    ActiveRun run;
    run.task = task;
    run.run = 1;
    report.active.push_back(run);
  }
  return report;
}

EndedRun MakeEnd(uint64_t number, const std::string& task) {
  EndedRun end;
  end.number = number;
  end.task = task;
  end.run = 1;
  return end;
}

struct RestartFixture : public fakes::NullSessionListener {
  RestartFixture() : executor(time, 1) {
    time.Run(Millis(1000));
    session = OpenSession(MakeIncarnation(kFirstStart), {});
  }
  ~RestartFixture() override { session->Close(); }
  RestartFixture(const RestartFixture&) = delete;
  RestartFixture& operator=(const RestartFixture&) = delete;

  static WorkerIncarnation MakeIncarnation(int64_t started_at) {
    WorkerIncarnation incarnation;
    incarnation.id = "w1";
    incarnation.address = "a1";
    incarnation.started_at = started_at;
    return incarnation;
  }
  std::shared_ptr<WorkerSession> OpenSession(
      const WorkerIncarnation& incarnation,
      std::vector<Run> unsettled,
      std::optional<uint64_t> earlier_token = std::nullopt) {
    auto opened = std::make_shared<WorkerSession>(executor, workers, log, *this,
                                                  WorkerSessionOptions{},
                                                  incarnation, kToken);
    if (earlier_token) {
      opened->FollowEarlierLife(*earlier_token);
    }
    opened->SetLeaseExtensionEnd(Instant::max());
    opened->SetLeadConfirmedUntil(Instant::max());
    opened->AddUnsettledRuns(std::move(unsettled));
    opened->Open();
    return opened;
  }
  // Replaces the session as the leader does.
  void OpenNext() {
    session->Tick();
    auto unsettled = session->TakeUnsettledRuns();
    session->Close();
    session = OpenSession(session->next_incarnation(), std::move(unsettled));
  }
  // The same, for orders to the earlier life that had the token `kToken`.
  void OpenFencedNext() {
    session->Tick();
    auto unsettled = session->TakeUnsettledRuns();
    session->Close();
    session =
        OpenSession(session->next_incarnation(), std::move(unsettled), kToken);
  }
  void AnswerPoll(const WorkerReport& report) {
    workers.polls.back()({}, report);
    time.Run(Millis(30));
  }
  void Start(const std::string& task) {
    Run run;
    run.task = task;
    run.number = 1;
    session->Start(run, "", "");
    time.Run(Millis(30));
  }

  void OnRunBegan(WorkerSession&, const Run&) override {}
  void OnRunEnded(WorkerSession&,
                  const Run& run,
                  RunEnd end,
                  bool reported) override {
    ends += run.task + " " + std::string(ToString(end)) +
            (reported ? " reported" : "") + ";";
  }
  void OnWorkerLost(WorkerSession&) override { ++losses; }
  void OnHigherTokenSeen(WorkerSession&) override { ++higher_tokens_seen; }

  fakes::VirtualTime time;
  fakes::FakeExecutor executor;
  fakes::Trace trace;
  fakes::FakeLog log{time, "session", trace};
  ManualWorkers workers;
  std::shared_ptr<WorkerSession> session;
  std::string ends;
  int losses = 0;
  int higher_tokens_seen = 0;
};

// Guards against runs of the earlier life that are taken for active, and
// against a restart that is concluded before the lead is confirmed.
BOOST_FIXTURE_TEST_CASE(Poll_LaterStartTime_EndsListedRunsOnceLeadIsConfirmed,
                        RestartFixture) {
  AnswerPoll(MakeReport(kFirstStart, kClock, {}));
  Start("t");
  workers.starts[0]({}, kClock + 10);
  AnswerPoll(MakeReport(kFirstStart, kClock + 20, {"t"}));
  session->SetLeadConfirmedUntil(executor.Now());
  AnswerPoll(MakeReport(kSecondStart, kClock + 30, {}));
  BOOST_TEST(session->dead());
  BOOST_TEST(session->restarted());
  session->Tick();
  BOOST_TEST(ends.empty());
  session->SetLeadConfirmedUntil(Instant::max());
  session->Tick();
  BOOST_TEST(ends == "t lapsed;");
  BOOST_TEST(losses == 1);
  BOOST_TEST(session->next_incarnation().started_at == kSecondStart);
  BOOST_TEST(session->TakeUnsettledRuns().empty());
}

// Guards against ends of the new life that the numbers of the earlier one
// acknowledge or hide.
BOOST_FIXTURE_TEST_CASE(Poll_EndsOfNextLife_AreCountedFromOne, RestartFixture) {
  WorkerReport first = MakeReport(kFirstStart, kClock, {});
  first.ended = {MakeEnd(1, "x"), MakeEnd(2, "y")};
  AnswerPoll(first);
  session->MarkRecorded(2);
  time.Run(Millis(200));
  BOOST_TEST(workers.poll_orders.back().forget_up_to == 2U);
  AnswerPoll(MakeReport(kSecondStart, 100, {}));
  OpenNext();
  BOOST_TEST(workers.poll_orders.back().forget_up_to == 0U);
  WorkerReport second = MakeReport(kSecondStart, 200, {});
  second.ended = {MakeEnd(1, "z")};
  AnswerPoll(second);
  BOOST_TEST(session->last_end() == 1U);
  BOOST_TEST(session->has_unrecorded_ends());
}

// Guards against ends that stay on an idle worker for ever, since their
// acknowledgement was not sent on a new connection.
BOOST_FIXTURE_TEST_CASE(Poll_ForgottenEndsListedAgain_AsksAgain,
                        RestartFixture) {
  WorkerReport report = MakeReport(kFirstStart, kClock, {});
  report.ended = {MakeEnd(1, "x")};
  AnswerPoll(report);
  session->MarkRecorded(1);
  time.Run(Millis(200));
  const size_t polls = workers.polls.size();
  AnswerPoll(report);
  time.Run(Millis(300));
  BOOST_TEST(workers.polls.size() == polls + 1);
  BOOST_TEST(workers.poll_orders.back().forget_up_to == 1U);
  AnswerPoll(MakeReport(kFirstStart, kClock + 1, {}));
  time.Run(Millis(1000));
  BOOST_TEST(workers.polls.size() == polls + 1);
}

// Guards against an answer of the earlier life that arrives after one of the
// later life and is taken for a third one.
BOOST_FIXTURE_TEST_CASE(Poll_AnswerOfEarlierLifeArrivesLate_ChangesNothing,
                        RestartFixture) {
  AnswerPoll(MakeReport(kSecondStart, 100, {}));
  Start("t");
  workers.starts[0]({}, 110);
  AnswerPoll(MakeReport(kSecondStart, 120, {"t"}));
  const uint64_t version = session->version();
  WorkerReport late = MakeReport(kFirstStart, kClock, {});
  late.ended = {MakeEnd(7, "t")};
  AnswerPoll(late);
  BOOST_TEST(!session->dead());
  BOOST_TEST(session->version() == version);
  BOOST_TEST(session->last_end() == 0U);
  BOOST_TEST(ends.empty());
  time.Run(Millis(300));
  AnswerPoll(MakeReport(kSecondStart, 500, {"t"}));
  BOOST_TEST(session->FindRun("t") != nullptr);
}

// Guards against a run on the new life that counts as confirmed by the earlier
// one, on platforms whose workers state no start time.
BOOST_FIXTURE_TEST_CASE(Answers_ClockGoesBackWithoutStartTime_ShowRestart,
                        RestartFixture) {
  AnswerPoll(MakeReport(0, kClock, {}));
  Start("t");
  workers.starts[0]({}, 20);
  BOOST_TEST(session->restarted());
  const Run* run = session->FindRun("t");
  BOOST_REQUIRE(run != nullptr);
  BOOST_TEST((run->confirmed == Instant{}));
  session->Tick();
  BOOST_TEST(ends.empty());
  OpenNext();
  AnswerPoll(MakeReport(0, 40, {"t"}));
  BOOST_TEST((session->FindRun("t")->phase == RunPhase::kRunning));
  // The poll's answer shows a further restart.
  AnswerPoll(MakeReport(0, 5, {}));
  BOOST_TEST(session->restarted());
  session->Tick();
  BOOST_TEST(ends == "t lapsed;");
}

// Guards against a stop that the new life confirms and that is taken as proof
// for the earlier one.
BOOST_FIXTURE_TEST_CASE(Stop_ClockGoesBack_ConfirmsNothing, RestartFixture) {
  AnswerPoll(MakeReport(kFirstStart, kClock, {}));
  Start("t");
  workers.starts[0]({}, kClock + 10);
  session->Stop("t");
  workers.stops[0]({}, 15);
  BOOST_TEST(session->restarted());
  BOOST_TEST(!session->FindRun("t")->stop_confirmed);
}

// Guards against a slow answer that is taken for a restart: an older clock is
// normal in an answer that was overtaken.
BOOST_FIXTURE_TEST_CASE(Answers_OvertakenByOthers_ShowNoRestart,
                        RestartFixture) {
  AnswerPoll(MakeReport(0, kClock, {}));
  Start("t");
  Start("u");
  workers.starts[1]({}, kClock + 500);
  workers.starts[0]({}, kClock + 100);
  AnswerPoll(MakeReport(0, kClock + 50, {"t"}));
  BOOST_TEST(!session->dead());
}

// Guards against a start that got no answer, is concluded to have ended with
// the earlier life, and is carried out by the new one.
BOOST_FIXTURE_TEST_CASE(Restart_StartNotAnswered_EndsOnlyOnceStopped,
                        RestartFixture) {
  AnswerPoll(MakeReport(kFirstStart, kClock, {}));
  Start("t");
  workers.starts[0](RunErrc::kNoAnswer, 0);
  AnswerPoll(MakeReport(kSecondStart, 100, {}));
  OpenNext();
  BOOST_TEST(ends.empty());
  BOOST_REQUIRE(session->FindRun("t") != nullptr);
  AnswerPoll(MakeReport(kSecondStart, 130, {}));
  BOOST_TEST(ends.empty());
  BOOST_REQUIRE(workers.stopped.size() == 1U);
  BOOST_TEST(workers.stopped[0] == "t");
  time.Run(Millis(30));
  workers.stops[0]({}, 140);
  time.Run(Millis(30));
  // The first poll was sent in the same instant as the stop was confirmed.
  AnswerPoll(MakeReport(kSecondStart, 150, {}));
  AnswerPoll(MakeReport(kSecondStart, 180, {}));
  BOOST_TEST(ends == "t lapsed;");
}

// Guards against a run that both lives may have confirmed: its start was
// answered, but no list of the earlier life names it.
BOOST_FIXTURE_TEST_CASE(Restart_StartAnsweredButNotListed_IsAskedForAgain,
                        RestartFixture) {
  AnswerPoll(MakeReport(kFirstStart, 100, {}));
  Start("t");
  workers.starts[0]({}, 120);  // May be of either life.
  AnswerPoll(MakeReport(kSecondStart, 130, {"t"}));
  OpenNext();
  BOOST_TEST(ends.empty());
  AnswerPoll(MakeReport(kSecondStart, 150, {"t"}));
  BOOST_TEST(workers.stopped.empty());
  BOOST_TEST((session->FindRun("t")->phase == RunPhase::kRunning));
}

// Guards against a deferred start that is sent to the new life, or whose task
// waits although the order was never sent.
BOOST_FIXTURE_TEST_CASE(Restart_StartDeferred_EndsAsStopped, RestartFixture) {
  AnswerPoll(MakeReport(kFirstStart, kClock, {}));
  Run run;
  run.task = "t";
  run.number = 1;
  run.start_deferred = true;
  session->Start(run, "", "");
  time.Run(Millis(30));
  AnswerPoll(MakeReport(kSecondStart, 100, {}));
  session->Tick();
  BOOST_TEST(ends == "t stopped reported;");
  session->SendDeferredStart("t");
  BOOST_TEST(workers.starts.empty());
}

// Guards against a lease that is computed from the clock of the earlier life.
BOOST_FIXTURE_TEST_CASE(Restart_NextLife_GetsLeaseByItsOwnClock,
                        RestartFixture) {
  AnswerPoll(MakeReport(kFirstStart, kClock, {}));
  AnswerPoll(MakeReport(kFirstStart, kClock, {}));
  Start("t");
  workers.starts[0](RunErrc::kNoAnswer, 0);
  AnswerPoll(MakeReport(kSecondStart, 100, {}));
  OpenNext();
  BOOST_TEST(workers.poll_orders.back().lease_end == 0);
  AnswerPoll(MakeReport(kSecondStart, 100, {"t"}));
  BOOST_TEST(workers.poll_orders.back().lease_end > 0);
  BOOST_TEST(workers.poll_orders.back().lease_end < kClock);
}

// Guards against a successor that takes another life for the recorded one, and
// against a wrong time in the record that makes it refuse every answer.
BOOST_FIXTURE_TEST_CASE(MarkVerified_RecordedStartTime_TellsLivesApart,
                        RestartFixture) {
  const struct {
    int64_t recorded;
    bool restarted;
  } rows[] = {{kFirstStart, true},
              {kSecondStart, false},
              {kSecondStart + 5, false},
              {0, false}};
  for (const auto& row : rows) {
    session->Close();
    session = std::make_shared<WorkerSession>(
        executor, workers, log, *this, WorkerSessionOptions{},
        MakeIncarnation(row.recorded), kToken);
    session->MarkVerified();
    session->Open();
    AnswerPoll(MakeReport(kSecondStart, 100, {}));
    BOOST_TEST(session->restarted() == row.restarted, row.recorded);
    BOOST_TEST(session->fenced() != row.restarted, row.recorded);
    BOOST_TEST((row.restarted || session->started_at() == kSecondStart));
  }
}

// Guards against a worker that started again at another address and is taken
// for the earlier life there.
BOOST_FIXTURE_TEST_CASE(NextAddress_LaterLifeAnswers_ShowsRestart,
                        RestartFixture) {
  AnswerPoll(MakeReport(kFirstStart, kClock, {}));
  WorkerIncarnation moved = MakeIncarnation(kFirstStart);
  moved.address = "a2";
  session->UpdateFromDirectory(moved);
  BOOST_TEST(workers.poll_orders.back().forget_up_to == 0U);
  AnswerPoll(MakeReport(kSecondStart, 100, {}));
  BOOST_TEST(session->restarted());
  BOOST_TEST(session->next_incarnation().address == "a2");
}

// Guards against a fence that is closed by an answer to a poll with the token
// of the orders that it has to keep out.
BOOST_FIXTURE_TEST_CASE(Fence_PollWithEarlierToken_StaysOpen, RestartFixture) {
  AnswerPoll(MakeReport(kFirstStart, kClock, {}));
  AnswerPoll(MakeReport(kSecondStart, 100, {}));
  OpenFencedNext();
  AnswerPoll(MakeReport(kSecondStart, 120, {}));
  BOOST_TEST(session->fenced());
  BOOST_TEST(!session->is_fenced_from_earlier_life());
  BOOST_TEST(session->NeedsHigherToken());
  const size_t polls = workers.poll_orders.size();
  session->RaiseToken(kToken + 1);
  BOOST_REQUIRE(workers.poll_orders.size() == polls + 1);
  BOOST_TEST(workers.poll_orders.back().token == kToken + 1);
  BOOST_TEST(!session->is_fenced_from_earlier_life());
  AnswerPoll(MakeReport(kSecondStart, 150, {}));
  BOOST_TEST(session->is_fenced_from_earlier_life());
  BOOST_TEST(!session->NeedsHigherToken());
  BOOST_TEST(!session->settled());
  const WorkerSessionOptions options;
  time.Run(MaxOnLocalClock(options.longest_lease - options.run_lease) +
           Millis(10));
  BOOST_TEST(session->settled());
}

// Guards against an answer to an older poll, which arrives after the newer poll
// was sent and is taken as proof that the worker knows the higher token.
BOOST_FIXTURE_TEST_CASE(Fence_AnswerToPollBeforeRaise_StaysOpen,
                        RestartFixture) {
  AnswerPoll(MakeReport(kFirstStart, kClock, {}));
  AnswerPoll(MakeReport(kSecondStart, 100, {}));
  OpenFencedNext();
  const size_t before = workers.polls.size() - 1;
  session->RaiseToken(kToken + 1);
  workers.polls[before]({}, MakeReport(kSecondStart, 120, {}));
  BOOST_TEST(!session->is_fenced_from_earlier_life());
}

// Guards against a task that starts elsewhere while a run has the longest lease
// of its worker, granted by an order that was meant for the earlier life.
BOOST_FIXTURE_TEST_CASE(Restart_NextLifeFallsSilent_LongestLeaseCounts,
                        RestartFixture) {
  AnswerPoll(MakeReport(kFirstStart, kClock, {}));
  Start("t");
  workers.starts[0](RunErrc::kNoAnswer, 0);
  AnswerPoll(MakeReport(kSecondStart, 100, {}));
  OpenFencedNext();
  session->RaiseToken(kToken + 1);
  const Instant answered = executor.Now();
  AnswerPoll(MakeReport(kSecondStart, 120, {"t"}));
  const Millis longest = MaxOnLocalClock(WorkerSessionOptions{}.longest_lease);
  while (executor.Now() < answered + longest) {
    BOOST_TEST_REQUIRE(ends.empty());
    time.Run(Millis(50));
    session->Tick();
  }
  time.Run(Millis(500));
  session->Tick();
  BOOST_TEST(ends == "t lapsed;");
}

// Guards against a task that is held back for ever, or that starts elsewhere
// too soon, because the next life of its worker never answers.
BOOST_FIXTURE_TEST_CASE(Restart_NextLifeNeverAnswers_RunEndsAfterLongestLease,
                        RestartFixture) {
  AnswerPoll(MakeReport(kFirstStart, kClock, {}));
  Start("t");
  workers.starts[0](RunErrc::kNoAnswer, 0);
  AnswerPoll(MakeReport(kSecondStart, 100, {}));
  OpenFencedNext();
  const Instant opened = executor.Now();
  const Millis longest = MaxOnLocalClock(WorkerSessionOptions{}.longest_lease);
  constexpr Millis kForEver{60'000};
  while (ends.empty() && executor.Now() < opened + kForEver) {
    time.Run(Millis(50));
    session->Tick();
  }
  BOOST_TEST(ends == "t lapsed;");
  BOOST_TEST((executor.Now() >= opened + longest));
}

// Guards against a leader that steps down because a poll with its own lower
// token reaches the worker after one with its higher token.
BOOST_FIXTURE_TEST_CASE(Fence_EarlierPollRefusedAfterRaise_LeaderStays,
                        RestartFixture) {
  AnswerPoll(MakeReport(kFirstStart, kClock, {}));
  AnswerPoll(MakeReport(kSecondStart, 100, {}));
  OpenFencedNext();
  const size_t before = workers.polls.size() - 1;
  session->RaiseToken(kToken + 1);
  workers.polls[before](RunErrc::kFenced, {});
  BOOST_TEST(higher_tokens_seen == 0);
  AnswerPoll(MakeReport(kSecondStart, 120, {}));
  BOOST_TEST(session->is_fenced_from_earlier_life());
  session->CheckIncarnation();
  workers.polls.back()(RunErrc::kFenced, {});
  BOOST_TEST(higher_tokens_seen == 1);
}

}  // namespace
}  // namespace doorwood
