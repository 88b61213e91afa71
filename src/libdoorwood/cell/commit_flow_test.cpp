// SPDX-License-Identifier: Apache-2.0

#include "doorwood/commit_flow.h"

#include <boost/test/unit_test.hpp>

namespace doorwood {
namespace {

struct FlowFixture {
  CommitFlowOptions options;
  CommitFlow flow{options};
  Instant now{std::chrono::hours(1)};

  void AdvanceTime(int millis) { now += Millis(millis); }
  // Sends one commit, and answers it after `millis`.
  void SendAndAnswer(int millis) {
    flow.OnSent(0, now);
    AdvanceTime(millis);
    flow.OnAnswered(0, now);
  }
  // Sends a commit whenever one is allowed, checked every 10 ms for `millis`,
  // while none is answered; returns their number.
  size_t SendForAndCount(int millis) {
    constexpr int kStep = 10;
    size_t lane = 0;
    for (int passed = 0; passed < millis; passed += kStep, AdvanceTime(kStep)) {
      if (flow.MaySend(now)) {
        flow.OnSent(lane++, now);
      }
    }
    return lane;
  }
};

BOOST_FIXTURE_TEST_CASE(MaySend_NothingInFlight_AtOnce, FlowFixture) {
  BOOST_TEST(flow.MaySend(now));
  SendAndAnswer(4);
  BOOST_TEST(flow.MaySend(now));
}

BOOST_FIXTURE_TEST_CASE(MaySend_OneInFlight_AfterTheSendInterval, FlowFixture) {
  flow.OnSent(0, now);
  AdvanceTime(29);
  BOOST_TEST(!flow.MaySend(now));
  BOOST_TEST(flow.SendDelay(now).count() == 1);
  AdvanceTime(1);
  BOOST_TEST(flow.MaySend(now));
}

BOOST_FIXTURE_TEST_CASE(MaySend_FastStoreStopsAnswering_FewAreSent,
                        FlowFixture) {
  SendAndAnswer(4);
  BOOST_TEST(SendForAndCount(1000) == 4U);
}

BOOST_FIXTURE_TEST_CASE(MaySend_SlowStore_AllLanesAreUsed, FlowFixture) {
  SendAndAnswer(364);
  BOOST_TEST(SendForAndCount(340) == options.max_lanes);
}

BOOST_FIXTURE_TEST_CASE(IsUnresponsive_NoAnswerInTime_UntilTheNextAnswer,
                        FlowFixture) {
  flow.OnSent(0, now);
  AdvanceTime(600);
  flow.OnSent(1, now);
  AdvanceTime(99);
  BOOST_TEST(!flow.IsUnresponsive(now));
  AdvanceTime(1);
  BOOST_TEST(flow.IsUnresponsive(now));
  flow.OnResent(0, now);  // Sending again is not an answer.
  BOOST_TEST(flow.IsUnresponsive(now));
  flow.OnAnswered(1, now);
  BOOST_TEST(!flow.IsUnresponsive(now));
}

BOOST_FIXTURE_TEST_CASE(AnswerTime_SlowerAndFaster_RisesAtOnceFallsSlowly,
                        FlowFixture) {
  SendAndAnswer(4);
  SendAndAnswer(400);
  BOOST_TEST(flow.answer_time().count() == 400);
  SendAndAnswer(100);
  BOOST_TEST(flow.answer_time().count() == 310);
}

BOOST_AUTO_TEST_CASE(ExpectedWait_AnswerTimeAndRecordsAhead_MatchesTable) {
  struct Row {
    int answer_ms;
    size_t ahead;
    int64_t wait;
    bool in_time;
  };
  const Row rows[] = {
      {4, 0, 4, true},       {4, 80, 44, true},      {100, 80, 400, true},
      {364, 0, 364, true},   {364, 80, 664, true},   {364, 240, 1264, false},
      {900, 16, 1050, true}, {900, 40, 1275, false}, {1300, 0, 1300, false},
  };
  for (const Row& row : rows) {
    FlowFixture fixture;
    fixture.SendAndAnswer(row.answer_ms);
    BOOST_TEST_CONTEXT(row.answer_ms << " ms, " << row.ahead << " ahead") {
      BOOST_TEST(fixture.flow.ExpectedWait(row.ahead).count() == row.wait);
      BOOST_TEST(fixture.flow.IsWithinMaxRecordWait(row.ahead) == row.in_time);
    }
  }
}

}  // namespace
}  // namespace doorwood
