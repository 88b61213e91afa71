// SPDX-License-Identifier: Apache-2.0

#include "doorwood/worker_session.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <utility>

#include "fakes/fakes.h"
#include "standin/run_worker_model.h"

namespace doorwood {
namespace {

enum class Fault {
  kNone,
  kRequestLost,
  kReplyLost,
  kDelayed,
  kOtherIncarnation
};

// A worker whose calls fail as configured.
class ScriptedWorkers : public RunWorkerClient {
 public:
  ScriptedWorkers(fakes::VirtualTime& time, Executor& executor)
      : time_(time), executor_(executor) {}

  void Poll(const WorkerIncarnation&,
            const PollOrder& order,
            Callback<WorkerReport> done) override {
    ++polls;
    last_lease_end = order.lease_end;
    Advance();
    WorkerReport report;
    std::error_code error = RunErrc::kNoAnswer;
    if (poll_fault == Fault::kOtherIncarnation) {
      error = RunErrc::kOtherIncarnation;
    } else if (poll_fault != Fault::kRequestLost) {
      error = model.Poll(order, &report);
    }
    if (poll_fault == Fault::kReplyLost) {
      error = RunErrc::kNoAnswer;
      report = WorkerReport{};
      report.failure = PollFailure::kNoResponse;
      report.problem = "reading the body: reset";
    }
    if (edit_report) {
      edit_report(&report);
    }
    const Millis answer_delay = polls_wait ? order.max_wait : Millis(100);
    const Millis delay = error ? Millis(300) : answer_delay;
    executor_.Schedule(delay, [error, report, done = std::move(done)] {
      done(error, report);
    });
  }
  void Start(const WorkerIncarnation&,
             const StartOrder& order,
             Callback<int64_t> done) override {
    CarryOut(start_fault, std::move(done),
             [this, order] { return model.Start(order); });
  }
  void Stop(const WorkerIncarnation&,
            const StopOrder& order,
            Callback<int64_t> done) override {
    ++stops;
    CarryOut(stop_fault, std::move(done),
             [this, order] { return model.Stop(order); });
  }
  void Pace(const WorkerIncarnation&,
            const PaceOrder& order,
            Callback<int64_t> done) override {
    CarryOut(Fault::kNone, std::move(done),
             [this, order] { return model.Pace(order); });
  }

  void Advance() { model.Advance(time_.now_ms()); }

  standin::RunWorkerModel model;
  Fault poll_fault = Fault::kNone;
  /// Each poll is answered after its longest wait.
  bool polls_wait = false;
  Fault start_fault = Fault::kNone;
  Fault stop_fault = Fault::kNone;
  int polls = 0;
  int stops = 0;
  int64_t last_lease_end = 0;
  /// Changes the answers to polls; may be empty.
  std::function<void(WorkerReport*)> edit_report;

 private:
  void CarryOut(Fault fault,
                Callback<int64_t> done,
                const std::function<std::error_code()>& effect) {
    Advance();
    std::error_code error = RunErrc::kNoAnswer;
    if (fault == Fault::kNone) {
      error = effect();
    } else if (fault == Fault::kReplyLost) {
      effect();
    } else if (fault == Fault::kDelayed) {
      executor_.Schedule(Millis(4000), [this, effect] {
        Advance();
        late_result = effect();
      });
    }
    executor_.Schedule(
        error ? Millis(300) : Millis(1),
        [this, error, done = std::move(done)] { done(error, model.now()); });
  }

  fakes::VirtualTime& time_;
  Executor& executor_;

 public:
  std::error_code late_result;
};

struct SessionFixture : public WorkerSessionListener {
  SessionFixture() : executor(time, 1), workers(time, executor) {
    WorkerIncarnation incarnation;
    incarnation.id = "w1";
    incarnation.capacity = {32'000, 1000, 0};
    session = std::make_shared<WorkerSession>(
        executor, workers, log, *this, WorkerSessionOptions{}, incarnation, 5);
    session->SetLeaseExtensionEnd(Instant::max());
    session->SetLeadConfirmedUntil(Instant::max());
    session->Open();
    AdvanceTime(Millis(500));
  }
  ~SessionFixture() override { session->Close(); }
  SessionFixture(const SessionFixture&) = delete;
  SessionFixture& operator=(const SessionFixture&) = delete;

  void OnRunBegan(WorkerSession&, const Run&) override {}
  void OnRunEnded(WorkerSession&,
                  const Run& run,
                  RunEnd end,
                  bool reported) override {
    ends.push_back(run.task + " " + std::string(ToString(end)) +
                   (reported ? " reported" : " inferred"));
    ended_at = time.now_ms();
  }
  void OnWorkerLost(WorkerSession&) override {}
  void OnPollFailed(WorkerSession&) override {}
  void OnPollRecovered(WorkerSession&) override {}
  void OnUnknownEnd(WorkerSession&, const EndedRun&) override {}
  std::optional<Run> OnUnknownRun(WorkerSession&, const ActiveRun&) override {
    return std::nullopt;
  }
  void OnStartRefused(WorkerSession&, const Run&, std::error_code) override {
    ++refused;
  }
  void OnReport(WorkerSession& reporting) override {
    if (record_at_once) {
      reporting.MarkRecorded(reporting.last_end());
    }
  }
  void OnHigherTokenSeen(WorkerSession&) override { ++higher_token_reports; }

  void AdvanceTime(Millis duration) {
    for (Millis passed{0}; passed < duration; passed += Millis(100)) {
      time.Run(Millis(100));
      session->Tick();
    }
  }
  void Start(const std::string& payload, const std::string& task = "t") {
    Run run;
    run.task = task;
    run.number = 1;
    run.size = {1000, 10, 0};
    session->Start(run, payload, "");
  }

  fakes::VirtualTime time;
  fakes::FakeExecutor executor;
  ScriptedWorkers workers;
  fakes::Trace trace;
  fakes::FakeLog log{time, "session", trace};
  std::shared_ptr<WorkerSession> session;
  std::vector<std::string> ends;
  int64_t ended_at = 0;
  int refused = 0;
  int higher_token_reports = 0;
  bool record_at_once = true;
};

struct StartRow {
  const char* name;
  Fault start;
  Fault stop;
  const char* end;
};

int CountLines(const fakes::Trace& trace, const std::string& text) {
  return static_cast<int>(
      std::count_if(trace.begin(), trace.end(), [&](const std::string& line) {
        return line.find(text) != std::string::npos;
      }));
}

// Guards against an unheard end of which the log does not tell how the polls
// went. Repeated failures give one line, and a calm session gives none.
BOOST_FIXTURE_TEST_CASE(Poll_FailsRepeatedly_IsLoggedOnceWithItsReason,
                        SessionFixture) {
  Start("ms=1000");
  AdvanceTime(Millis(3000));
  BOOST_TEST(ends.size() == 1U);
  BOOST_TEST(CountLines(trace, "poll failed") == 0);
  Run second;
  second.task = "u";
  second.number = 1;
  session->Start(second, "ms=60000", "");
  workers.poll_fault = Fault::kReplyLost;
  AdvanceTime(Millis(2500));
  BOOST_TEST(CountLines(trace, "poll failed") == 1);
  for (const char* field :
       {R"("reason":"no_response")", R"("problem":"reading the body: reset")",
        R"("worker":"w1")", R"("last_end":1)", R"("recorded_end":1)",
        R"("acknowledged_end":1)", R"("runs":1)", R"("newest":true)"}) {
    BOOST_TEST(CountLines(trace, field) == 1, field);
  }
  workers.poll_fault = Fault::kNone;
  AdvanceTime(Millis(500));
  workers.poll_fault = Fault::kReplyLost;
  AdvanceTime(Millis(2500));
  BOOST_TEST(CountLines(trace, "poll failed") == 2);
}

// Guards against acknowledging an end that was never listed, without a word: a
// worker whose list skips a number or is unordered is named once.
BOOST_AUTO_TEST_CASE(Poll_EndsWithGapOrUnordered_IsLoggedOnce) {
  const auto end = [](uint64_t number) {
    return EndedRun{number, "x", 1, RunEnd::kDone, ""};
  };
  const std::pair<std::vector<EndedRun>, int> rows[] = {
      {{end(7), end(8)}, 0},
      {{end(7), end(9)}, 1},
      {{end(8), end(7)}, 1},
  };
  for (const auto& [listed, lines] : rows) {
    SessionFixture fixture;
    fixture.workers.edit_report = [&listed = listed](WorkerReport* report) {
      report->ended = listed;
    };
    fixture.Start("ms=1000");
    fixture.AdvanceTime(Millis(3000));
    BOOST_TEST(CountLines(fixture.trace, "with gaps or unordered") == lines);
  }
}

// Whether the start call succeeds or fails, the run ends exactly once, and its
// resources are released. A start order that is executed 4 s late is refused.
BOOST_AUTO_TEST_CASE(Start_CallSucceedsOrFails_RunEndsExactlyOnce) {
  const StartRow rows[] = {
      {"no fault", Fault::kNone, Fault::kNone, "t done reported"},
      {"answer lost", Fault::kReplyLost, Fault::kNone, "t done reported"},
      {"order lost", Fault::kRequestLost, Fault::kNone, "t lapsed inferred"},
      {"order late", Fault::kDelayed, Fault::kNone, "t lapsed inferred"},
  };
  for (const StartRow& row : rows) {
    SessionFixture fixture;
    fixture.workers.start_fault = row.start;
    fixture.workers.stop_fault = row.stop;
    fixture.Start("ms=2000");
    fixture.AdvanceTime(Millis(9000));
    BOOST_TEST_CONTEXT(row.name) {
      BOOST_REQUIRE(fixture.ends.size() == 1U);
      BOOST_TEST(fixture.ends[0] == row.end);
      BOOST_TEST(fixture.session->reserved().cpu_millis == 0);
      if (row.start == Fault::kDelayed) {
        BOOST_TEST(fixture.workers.late_result ==
                   make_error_code(RunErrc::kStaleRun));
      }
    }
  }
}

// Guards against a run that never began, or whose end the session missed, being
// waited for as long as its stop is sent again about as often as the worker is
// polled.
BOOST_FIXTURE_TEST_CASE(Stop_RunNeverBeganAndStopIsSentAgain_RunEnds,
                        SessionFixture) {
  workers.polls_wait = true;
  Start("", "other");
  AdvanceTime(Millis(500));
  workers.start_fault = Fault::kRequestLost;
  Start("");
  session->Stop("t");
  AdvanceTime(Millis(3000));
  BOOST_TEST(workers.stops > 1);
  BOOST_TEST(ends == std::vector<std::string>{"t lapsed inferred"},
             boost::test_tools::per_element());
}

// Polls and starts that the test answers, in any order. Stops and paces get no
// answer.
class ManualWorkers : public RunWorkerClient {
 public:
  void Poll(const WorkerIncarnation&,
            const PollOrder&,
            Callback<WorkerReport> done) override {
    polls.push_back(std::move(done));
  }
  void Start(const WorkerIncarnation&,
             const StartOrder&,
             Callback<int64_t> done) override {
    starts.push_back(std::move(done));
  }
  void Stop(const WorkerIncarnation&,
            const StopOrder&,
            Callback<int64_t>) override {}
  void Pace(const WorkerIncarnation&,
            const PaceOrder&,
            Callback<int64_t>) override {}

  std::vector<Callback<WorkerReport>> polls;
  std::vector<Callback<int64_t>> starts;
};

WorkerReport ReportOf(std::vector<ActiveRun> active) {
  WorkerReport report;
  report.clock = 1000;
  report.active = std::move(active);
  return report;
}

struct ManualFixture : public SessionFixture {
  ManualFixture() {
    session->Close();
    WorkerIncarnation incarnation;
    incarnation.id = "w1";
    session = std::make_shared<WorkerSession>(
        executor, manual, log, *this, WorkerSessionOptions{}, incarnation, 5);
    session->SetLeaseExtensionEnd(Instant::max());
    session->SetLeadConfirmedUntil(Instant::max());
    session->Open();
    time.Run(Millis(10));
    manual.polls.at(0)({}, ReportOf({}));
    SessionFixture::Start("");
    time.Run(Millis(50));
  }

  ManualWorkers manual;
};

// A poll waits at the worker. The start gets no answer, so another poll is
// sent. The worker answers that one, then begins the run, then answers the
// first poll with the run listed. The answer to the first poll arrives first.
BOOST_FIXTURE_TEST_CASE(Poll_ReportsOutOfOrder_LateRunIsNotEnded,
                        ManualFixture) {
  BOOST_REQUIRE(manual.polls.size() == 2U);
  manual.starts.at(0)(RunErrc::kNoAnswer, 0);
  time.Run(Millis(50));
  BOOST_REQUIRE(manual.polls.size() == 3U);
  const ActiveRun listed{"t", 1, "", 0, -1};
  manual.polls.at(1)({}, ReportOf({listed}));
  time.Run(Millis(5));
  manual.polls.at(2)({}, ReportOf({}));
  time.Run(Millis(50));
  BOOST_TEST(ends.empty());
  BOOST_TEST(session->runs().size() == 1U);
}

// The worker has more ends than one report lists.
BOOST_FIXTURE_TEST_CASE(Poll_EndListTruncated_UnlistedRunIsNotEnded,
                        ManualFixture) {
  manual.starts.at(0)({}, 1000);
  time.Run(Millis(10));
  // This poll was sent before the start was confirmed.
  manual.polls.at(1)({}, ReportOf({}));
  time.Run(Millis(10));
  WorkerReport report = ReportOf({});
  report.has_more_ends = true;
  manual.polls.at(2)({}, report);
  time.Run(Millis(10));
  BOOST_TEST(ends.empty());
}

// The start order was delivered twice because its connection broke. The first
// copy began the run, which ended before the second copy arrived. The worker
// refused the second copy as too old.
BOOST_FIXTURE_TEST_CASE(Start_RefusedAsOldAfterItRan_ReportedEndCounts,
                        ManualFixture) {
  manual.starts.at(0)(RunErrc::kStaleRun, 1000);
  time.Run(Millis(10));
  BOOST_TEST(refused == 0);
  WorkerReport report = ReportOf({});
  report.ended.push_back({1, "t", 1, RunEnd::kDone, ""});
  manual.polls.back()({}, report);
  time.Run(Millis(10));
  BOOST_TEST(ends == std::vector<std::string>{"t done reported"},
             boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(Start_RefusedAsOldAndNeverRan_EndIsInferred,
                        ManualFixture) {
  manual.starts.at(0)(RunErrc::kStaleRun, 1000);
  time.Run(Millis(10));
  manual.polls.back()({}, ReportOf({}));
  time.Run(Millis(10));
  // This poll was not sent after the refusal of the start arrived, so its
  // report does not prove that the run is absent.
  BOOST_TEST(ends.empty());
  manual.polls.back()({}, ReportOf({}));
  time.Run(Millis(10));
  BOOST_TEST(ends == std::vector<std::string>{"t lapsed inferred"},
             boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(Poll_WorkerUnresponsive_LeaseIsNotExtended,
                        SessionFixture) {
  Start("");
  AdvanceTime(Millis(1000));
  workers.poll_fault = Fault::kReplyLost;  // Polls still reach the worker.
  const int64_t unresponsive_since = time.now_ms();
  AdvanceTime(Millis(12'000));
  BOOST_REQUIRE(ends.size() == 1U);
  BOOST_TEST(ends[0] == "t lapsed inferred");
  // The bound covers the lease of 6 s on a clock that runs 2% slow, the
  // session's margin, and the time until the session notices the expiry. The
  // worker itself must have ended the run by then.
  BOOST_TEST(ended_at - unresponsive_since < 9000);
  workers.Advance();
  BOOST_TEST(!workers.model.IsRunning("t"));
}

BOOST_FIXTURE_TEST_CASE(Poll_OtherIncarnationAnswers_AllRunsEndAtOnce,
                        SessionFixture) {
  Start("");
  AdvanceTime(Millis(500));
  workers.poll_fault = Fault::kOtherIncarnation;
  AdvanceTime(Millis(2000));
  BOOST_TEST(ends.size() == 1U);
  BOOST_TEST(session->dead());
}

BOOST_FIXTURE_TEST_CASE(Poll_EndsNotRecorded_AreListedUntilRecorded,
                        SessionFixture) {
  record_at_once = false;
  Start("ms=100");
  AdvanceTime(Millis(3000));
  BOOST_TEST(ends.size() == 1U);
  WorkerReport report;
  workers.model.Poll({5, 0, 0, Millis(0)}, &report);
  BOOST_TEST(report.ended.size() == 1U);
  session->MarkRecorded(session->last_end());
  AdvanceTime(Millis(500));
  report = {};
  workers.model.Poll({5, 0, 0, Millis(0)}, &report);
  BOOST_TEST(report.ended.empty());
}

BOOST_FIXTURE_TEST_CASE(Poll_WorkerHasHigherToken_IsReportedOnce,
                        SessionFixture) {
  Start("");
  WorkerReport ignored;
  workers.model.Poll({6, 0, 0, Millis(0)}, &ignored);
  AdvanceTime(Millis(3000));
  BOOST_TEST(higher_token_reports == 1);
}

BOOST_FIXTURE_TEST_CASE(Poll_NothingRuns_SendsNoPolls, SessionFixture) {
  const int before = workers.polls;
  AdvanceTime(Millis(5000));
  BOOST_TEST(workers.polls == before);
}

BOOST_FIXTURE_TEST_CASE(SetLeaseExtensionEnd_EndPassed_NoLeaseIsExtended,
                        SessionFixture) {
  Start("");
  AdvanceTime(Millis(500));
  session->SetLeaseExtensionEnd(executor.Now());
  AdvanceTime(Millis(1000));
  BOOST_TEST(workers.last_lease_end == 0);
  AdvanceTime(Millis(9000));
  BOOST_REQUIRE(ends.size() == 1U);
  BOOST_TEST(ends[0] == "t lapsed reported");
}

// While a successor may exist, the session does not conclude from expired
// leases or from the answer of another incarnation that runs have ended. It
// does so once it is certain that no other instance led.
BOOST_FIXTURE_TEST_CASE(RunEnds_LeadNotConfirmed_WaitForConfirmation,
                        SessionFixture) {
  for (const Fault fault : {Fault::kRequestLost, Fault::kOtherIncarnation}) {
    SessionFixture fixture;
    fixture.Start("");
    fixture.AdvanceTime(Millis(1000));
    fixture.session->SetLeadConfirmedUntil(Instant{});
    fixture.workers.poll_fault = fault;
    fixture.workers.stop_fault = fault;
    fixture.AdvanceTime(Millis(12'000));
    BOOST_TEST(fixture.ends.empty());
    BOOST_TEST(fixture.session->runs().size() == 1U);
    fixture.session->SetLeadConfirmedUntil(Instant::max());
    fixture.AdvanceTime(Millis(200));
    BOOST_TEST(fixture.ends.size() == 1U);
  }
}

}  // namespace
}  // namespace doorwood
