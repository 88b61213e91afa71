// SPDX-License-Identifier: Apache-2.0

#include "doorwood/return_schedule.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <ostream>
#include <vector>

namespace doorwood {

std::ostream& operator<<(std::ostream& out, ReturnDecision::Kind kind) {
  return out << static_cast<int>(kind);
}

namespace {

using Kind = ReturnDecision::Kind;
using Stage = LeaderSigns::Stage;

// Time limit of interactive callers.
constexpr Millis kCallerLimit{3000};
constexpr Instant kStart{Seconds(1000)};

Instant At(int millis) {
  return kStart + Millis(millis);
}

// Guards against holding callers for a moment that nobody knows, and against
// times of return before anyone can serve.
BOOST_AUTO_TEST_CASE(ServiceAt_StageOfTakeover_IsForecastOrUnknown) {
  struct Row {
    const char* load;
    LeaderSigns signs;
    bool store_responsive;
    int now;
    std::optional<int> service_at;
  };
  // The leases last 2 s; earlier takeovers left the lead vacant for 0.2 s and
  // read for up to 1 s.
  const Row rows[] = {
      {"a leader that serves", {Stage::kServing, At(0)}, true, 50, 50},
      {"it serves without the store", {Stage::kServing, At(0)}, false, 50, 50},
      {"leader killed at the peak", {Stage::kLost, At(0)}, true, 100, 3200},
      {"its lease has just ended", {Stage::kLost, At(0)}, true, 2100, 3300},
      {"its key outlasts the lease", {Stage::kLost, At(0)}, true, 2600, {}},
      {"lead released", {Stage::kVacant, At(0)}, true, 0, 1200},
      {"vacancy overdue", {Stage::kVacant, At(0)}, true, 300, 1400},
      {"nobody campaigns", {Stage::kVacant, At(0)}, true, 1300, {}},
      {"successor reads", {Stage::kReading, At(0)}, true, 400, 1000},
      {"reading overdue", {Stage::kReading, At(0)}, true, 1300, 1600},
      {"reading does not end", {Stage::kReading, At(0)}, true, 2100, {}},
      {"outage, leader lost", {Stage::kLost, At(0)}, false, 1000, {}},
      {"outage, lead vacant", {Stage::kVacant, At(0)}, false, 100, {}},
      {"outage while reading", {Stage::kReading, At(0)}, false, 100, {}},
  };
  ServiceForecast forecast{ServiceForecastOptions{}};
  forecast.ObserveVacancy(Millis(200));
  forecast.ObserveReading(Millis(300));
  forecast.ObserveReading(Millis(1000));
  for (const Row& row : rows) {
    const auto at =
        forecast.ServiceAt(row.signs, row.store_responsive, At(row.now));
    BOOST_TEST_CONTEXT(row.load) {
      BOOST_REQUIRE(at.has_value() == row.service_at.has_value());
      BOOST_TEST((!at || *at == At(*row.service_at)));
    }
  }
}

// An old, long takeover must not delay callers for ever.
BOOST_AUTO_TEST_CASE(ServiceAt_ManyShortReadings_LongOneIsForgotten) {
  ServiceForecast forecast{ServiceForecastOptions{}};
  forecast.ObserveReading(Millis(5000));
  for (int i = 0; i < 4; ++i) {
    forecast.ObserveReading(Millis(300));
  }
  const auto at = forecast.ServiceAt({Stage::kReading, At(0)}, true, At(0));
  BOOST_TEST((at == At(300)));
}

ReturnScheduleOptions Holding() {
  ReturnScheduleOptions options;
  options.max_held = 10;
  return options;
}

// A submission at time 0 with a limit of `limit` ms, serviced at `service_at`.
ReturnQuestion Question(std::optional<int> service_at,
                        std::optional<int> limit) {
  ReturnQuestion question;
  question.now = question.arrived_at = At(0);
  if (service_at) {
    question.service_at = At(*service_at);
  }
  if (limit) {
    question.deadline = At(*limit);
  }
  return question;
}

// Guards against refusals of callers who could be served within their limit,
// and against callers who wait although they cannot be.
BOOST_AUTO_TEST_CASE(Decide_OneSubmission_FitsWhatCallerCanUse) {
  struct Row {
    const char* load;
    std::optional<int> service_at;
    std::optional<int> limit;
    size_t held;
    bool may_hold;
    Kind kind;
    int retry_after;
  };
  const Row rows[] = {
      {"leader accepts", 0, 3000, 0, true, Kind::kForward, 0},
      {"successor reads, 3 s left", 600, 3000, 0, true, Kind::kHold, 0},
      {"leader killed, 3 s left", 2400, 3000, 0, true, Kind::kHold, 0},
      {"leader killed, 2 s left", 2400, 2000, 0, true, Kind::kRefuse, 3},
      {"too late to write the job", 900, 1000, 0, true, Kind::kRefuse, 1},
      {"patient caller, long takeover", 4000, 60000, 0, true,
       Kind::kReturnLater, 4},
      {"limit not known", 600, {}, 0, true, Kind::kReturnLater, 1},
      {"too many wait", 600, 3000, 10, true, Kind::kReturnLater, 1},
      {"instance stops", 600, 3000, 0, false, Kind::kReturnLater, 1},
      {"outage, 3 s left", {}, 3000, 0, true, Kind::kReturnLater, 2},
      {"outage, 0.9 s left", {}, 900, 0, true, Kind::kRefuse, 1},
  };
  for (const Row& row : rows) {
    ReturnSchedule schedule(Holding());
    ReturnQuestion question = Question(row.service_at, row.limit);
    question.held = row.held;
    question.may_hold = row.may_hold;
    const ReturnDecision decision = schedule.Decide(question);
    BOOST_TEST_CONTEXT(row.load) {
      BOOST_TEST(decision.kind == row.kind);
      BOOST_TEST(decision.retry_after.count() == row.retry_after);
    }
  }
}

BOOST_AUTO_TEST_CASE(Decide_HoldingSwitchedOff_NeverHolds) {
  ReturnSchedule schedule{ReturnScheduleOptions{}};
  const auto decision = schedule.Decide(Question(600, 3000));
  BOOST_TEST(decision.kind == Kind::kReturnLater);
}

// A hold ends when its whole length reaches the bound, also if the forecast
// is extended in small steps.
BOOST_AUTO_TEST_CASE(CanWait_ForecastExtended_EndsAtLongestHold) {
  ReturnSchedule schedule(Holding());
  ReturnQuestion question = Question(2400, 10000);
  BOOST_TEST(schedule.CanWait(question));
  question.now = At(2700);
  question.service_at = At(2900);
  BOOST_TEST(!schedule.CanWait(question));
}

// Number of `count` callers told to return, by second.
std::map<int, int> ReturnsOf(ReturnSchedule* schedule,
                             const ReturnQuestion& question,
                             int count) {
  std::map<int, int> returns;
  for (int i = 0; i < count; ++i) {
    const ReturnDecision decision = schedule->ScheduleReturn(question);
    BOOST_TEST(decision.kind == Kind::kReturnLater);
    ++returns[static_cast<int>(decision.retry_after.count())];
  }
  return returns;
}

// Load "all return after an outage of 6 s": callers of 3 s that one instance
// refuses in a second must not come back together.
BOOST_AUTO_TEST_CASE(ScheduleReturn_OutageOfUnknownLength_SpreadsCallers) {
  ReturnSchedule schedule(Holding());
  const auto returns = ReturnsOf(
      &schedule, Question({}, static_cast<int>(kCallerLimit.count())), 100);
  BOOST_TEST(returns.size() == 2u);
  BOOST_TEST(returns.at(1) == 50);
  BOOST_TEST(returns.at(2) == 50);
}

// Load "a burst of long-running jobs that don't fit": nothing is known of the
// room, and these callers may not name a limit.
BOOST_AUTO_TEST_CASE(ScheduleReturn_NothingKnown_SpreadsOverSomeSeconds) {
  ReturnSchedule schedule(Holding());
  const auto returns = ReturnsOf(&schedule, Question({}, {}), 90);
  BOOST_TEST(returns.size() == 3u);
  for (const auto& [second, count] : returns) {
    BOOST_TEST(count == 30);
  }
}

// Load "leader killed at the peak": the leader accepts 400 a second, 10 of each
// of 40 instances. Patient callers leave room in the first second for those who
// have no other.
BOOST_AUTO_TEST_CASE(ScheduleReturn_PatientCallersFirst_LeaveRoomForOthers) {
  ReturnSchedule schedule{ReturnScheduleOptions{}};
  ReturnQuestion patient = Question(900, 60000);
  patient.instances = 40;
  const auto patient_returns = ReturnsOf(&schedule, patient, 20);
  BOOST_TEST(patient_returns.at(1) == 5);
  ReturnQuestion hurried = Question(900, 1500);
  hurried.instances = 40;
  const auto hurried_returns = ReturnsOf(&schedule, hurried, 5);
  BOOST_TEST(hurried_returns.at(1) == 5);
  for (const auto& [second, count] : patient_returns) {
    BOOST_TEST(count <= 10);
  }
}

// Load "leader killed at the peak": no caller is told a second before the
// service, and none a second after its limit.
BOOST_AUTO_TEST_CASE(ScheduleReturn_KnownService_TimeIsTrueAndInLimit) {
  for (const int limit : {1300, 2300, 3300, 10000}) {
    for (const int service_at : {100, 999, 1000, 1001, 2500}) {
      ReturnSchedule schedule{ReturnScheduleOptions{}};
      for (int i = 0; i < 500; ++i) {
        const auto decision =
            schedule.ScheduleReturn(Question(service_at, limit));
        const Millis back = decision.retry_after;
        if (decision.kind == Kind::kReturnLater) {
          BOOST_TEST(back.count() >= service_at);
          BOOST_TEST(back.count() < limit);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(ReleaseInterval_ManyInstances_KeepsLeadersRate) {
  const ReturnSchedule schedule(Holding());
  BOOST_TEST(schedule.release_interval(0).count() == 3);
  BOOST_TEST(schedule.release_interval(40).count() == 100);
}

}  // namespace
}  // namespace doorwood
