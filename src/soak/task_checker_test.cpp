// SPDX-License-Identifier: Apache-2.0

#include "soak/task_checker.h"

#include <boost/test/unit_test.hpp>

namespace doorwood::soak {
namespace {

constexpr char kTask[] = "00112233aabbccdd.0.0.0";
constexpr char kJob[] = "00112233aabbccdd";

struct Fixture {
  void Start(const std::string& incarnation,
             const std::string& task,
             uint32_t run,
             const std::string& payload = "") {
    StartOrder order;
    order.payload = payload;
    order.task = task;
    order.run = run;
    task_checker.OnStarted(incarnation, order, ++now);
  }

  void End(const std::string& incarnation,
           const std::string& task,
           uint32_t run,
           RunEnd how) {
    task_checker.OnEnded(incarnation, {1, task, run, how, ""}, ++now);
  }

  void AcknowledgeEnd(const std::string& incarnation,
                      const std::string& task,
                      uint32_t run) {
    task_checker.OnEndAcknowledged(incarnation,
                                   {1, task, run, RunEnd::kDone, ""});
  }

  // Ends a run of a long-running task at 10 s.
  void EndLongRunning(RunEnd how) {
    task_checker.OnLongRunning(kJob);
    Start("a", kTask, 1);
    now = 9'999;
    End("a", kTask, 1, how);
  }

  // Checks once in each millisecond.
  void CheckUntil(int64_t until) {
    for (; now < until; ++now) {
      task_checker.CheckLongRunning(now);
    }
  }

  std::vector<std::string> violations;
  TaskChecker task_checker{
      [this](const std::string& sentence) { violations.push_back(sentence); }};
  int64_t now = 0;
};

BOOST_FIXTURE_TEST_SUITE(TaskCheckerSuite, Fixture)

BOOST_AUTO_TEST_CASE(
    TaskChecker_StartedThreeTimesMoreAfterThreeCrashes_IsReported) {
  for (uint32_t run = 1; run <= 5; ++run) {
    const std::string incarnation = "w" + std::to_string(run);
    Start(incarnation, kTask, run, "crashes=");
    task_checker.OnCrashed(incarnation);
    task_checker.OnIncarnationEnded(incarnation, ++now);
  }
  BOOST_TEST(violations.empty());
  Start("w6", kTask, 6, "crashes=");
  BOOST_REQUIRE_EQUAL(violations.size(), 1U);
  BOOST_TEST(violations[0].find("run 6 on w6") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(TaskChecker_TwoRunsAtOnce_ReportsBoth) {
  Start("a", kTask, 1);
  Start("b", kTask, 2);
  BOOST_REQUIRE_EQUAL(violations.size(), 1U);
  BOOST_TEST(violations[0].find("run 1 on a") != std::string::npos);
  BOOST_TEST(violations[0].find("run 2 on b") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(TaskChecker_SecondRunAfterTheFirst_IsNotReported) {
  Start("a", kTask, 1);
  End("a", kTask, 1, RunEnd::kLeaseExpired);
  Start("b", kTask, 2);
  BOOST_TEST(violations.empty());
}

BOOST_AUTO_TEST_CASE(TaskChecker_WorkerOfTheFirstRunEnded_IsNotReported) {
  Start("a", kTask, 1);
  task_checker.OnIncarnationEnded("a", ++now);
  Start("b", kTask, 2);
  BOOST_TEST(violations.empty());
}

BOOST_AUTO_TEST_CASE(TaskChecker_StartAfterAcknowledgedEnd_IsReported) {
  Start("a", kTask, 1);
  End("a", kTask, 1, RunEnd::kDone);
  AcknowledgeEnd("a", kTask, 1);
  Start("b", kTask, 2);
  BOOST_TEST(violations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(TaskChecker_StartBeforeAcknowledgement_IsReportedUponIt) {
  Start("a", kTask, 1);
  End("a", kTask, 1, RunEnd::kDone);
  Start("b", kTask, 2);
  BOOST_TEST(violations.empty());
  AcknowledgeEnd("a", kTask, 1);
  BOOST_TEST(violations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(
    TaskChecker_LeaseExpiredBeforeAcknowledgement_IsNotReported) {
  Start("a", kTask, 1);
  End("a", kTask, 1, RunEnd::kDone);
  Start("b", kTask, 2);
  task_checker.OnLeaseExpired("a");
  AcknowledgeEnd("a", kTask, 1);
  BOOST_TEST(violations.empty());
}

BOOST_AUTO_TEST_CASE(TaskChecker_RunAfterFailedRunIsDone_IsNotReported) {
  Start("a", kTask, 1);
  End("a", kTask, 1, RunEnd::kFailed);
  Start("a", kTask, 2);
  End("a", kTask, 2, RunEnd::kDone);
  AcknowledgeEnd("a", kTask, 2);
  BOOST_TEST(violations.empty());
}

BOOST_AUTO_TEST_CASE(TaskChecker_SecondStepBeforeAllOfTheFirst_IsReported) {
  task_checker.OnSubmitted(kJob, 2);
  Start("a", std::string(kJob) + ".0.0.0", 1);
  End("a", std::string(kJob) + ".0.0.0", 1, RunEnd::kDone);
  Start("a", std::string(kJob) + ".0.1.0", 1);
  BOOST_TEST(violations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(TaskChecker_CompletedWithATaskMissing_IsReported) {
  Start("a", std::string(kJob) + ".0.0.0", 1);
  End("a", std::string(kJob) + ".0.0.0", 1, RunEnd::kDone);
  task_checker.OnCompleted(kJob, 1);
  BOOST_TEST(violations.empty());
  task_checker.OnCompleted(kJob, 2);
  BOOST_TEST(violations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(TaskChecker_StartOfARejectedJob_IsReported) {
  task_checker.OnSubmitAttempt(kJob, /*rejected=*/true);
  Start("a", kTask, 1);
  task_checker.CheckRejected();
  BOOST_TEST(violations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(TaskChecker_StartOfAJobWithoutAnswer_IsNotReported) {
  task_checker.OnSubmitAttempt(kJob, /*rejected=*/false);
  task_checker.OnSubmitAttempt(kJob, /*rejected=*/true);
  Start("a", kTask, 1);
  task_checker.CheckRejected();
  BOOST_TEST(violations.empty());
}

BOOST_AUTO_TEST_CASE(LongRunning_RestartedWithinNineSeconds_IsNotReported) {
  EndLongRunning(RunEnd::kStopped);
  CheckUntil(19'000);
  Start("b", kTask, 2);
  CheckUntil(60'000);
  BOOST_TEST(violations.empty());
  BOOST_TEST(task_checker.longest_downtime() == 8'999);
}

BOOST_AUTO_TEST_CASE(LongRunning_DownForLonger_IsReportedOnce) {
  EndLongRunning(RunEnd::kStopped);
  CheckUntil(19'001);
  BOOST_TEST(violations.empty());
  CheckUntil(60'000);
  BOOST_REQUIRE_EQUAL(violations.size(), 1U);
  BOOST_TEST(violations[0].find("runs nowhere for 9001 ms") !=
             std::string::npos);
  BOOST_TEST(violations[0].find("run 1 on a") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(LongRunning_DownTwice_IsReportedTwice) {
  EndLongRunning(RunEnd::kStopped);
  CheckUntil(20'000);
  Start("b", kTask, 2);
  End("b", kTask, 2, RunEnd::kStopped);
  CheckUntil(40'000);
  BOOST_TEST(violations.size() == 2U);
}

BOOST_AUTO_TEST_CASE(LongRunning_WorkerEnded_DowntimeBeginsThen) {
  task_checker.OnLongRunning(kJob);
  Start("a", kTask, 1);
  CheckUntil(30'000);
  task_checker.OnIncarnationEnded("a", now);
  CheckUntil(39'000);
  BOOST_TEST(violations.empty());
  CheckUntil(39'010);
  BOOST_TEST(violations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(LongRunning_SeveralRuns_DowntimeBeginsAtLatestEnd) {
  task_checker.OnLongRunning(kJob);
  Start("a", kTask, 1);
  Start("b", kTask, 2);
  violations.clear();
  now = 9'000;
  End("b", kTask, 2, RunEnd::kStopped);
  now = 9'999;
  End("a", kTask, 1, RunEnd::kStopped);
  CheckUntil(19'001);
  BOOST_TEST(violations.empty());
  CheckUntil(19'010);
  BOOST_TEST(violations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(LongRunning_FaultWithinSevenSeconds_IsNotChecked) {
  EndLongRunning(RunEnd::kStopped);
  CheckUntil(12'500);
  task_checker.OnFaultBegins();
  task_checker.OnFaultEnds(now);
  CheckUntil(19'501);
  BOOST_TEST(violations.empty());
  CheckUntil(19'510);
  BOOST_TEST(violations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(LongRunning_FaultsActive_IsNotCheckedBeforeAllEnd) {
  EndLongRunning(RunEnd::kStopped);
  task_checker.OnFaultBegins();
  task_checker.OnFaultBegins();
  CheckUntil(20'000);
  task_checker.OnFaultEnds(now);
  CheckUntil(40'000);
  task_checker.OnFaultEnds(now);
  CheckUntil(47'001);
  BOOST_TEST(violations.empty());
  CheckUntil(47'010);
  BOOST_TEST(violations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(LongRunning_JobsThatEnd_AreNotChecked) {
  Start("a", kTask, 1);
  End("a", kTask, 1, RunEnd::kDone);
  CheckUntil(60'000);
  BOOST_TEST(violations.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace doorwood::soak
