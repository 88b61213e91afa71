// SPDX-License-Identifier: Apache-2.0

// Whether a leader's process is gone, and which instance removes its key when.

#include "doorwood/lead_vacancy.h"

#include <boost/test/unit_test.hpp>

namespace doorwood {
namespace {

constexpr int64_t kEpoch = 7;
constexpr char kAddress[] = "10.0.0.1:7000";
constexpr Instant kStart{Millis(1'000'000)};

/// A leader that has answered once.
struct VacancyFixture {
  VacancyFixture() : vacancy(LeadVacancyOptions{}) {
    Call(LeadCallResult::kAnswered, 0);
  }

  void Call(LeadCallResult result, int at_ms) {
    vacancy.OnCall(kEpoch, kAddress, result, kStart + Millis(at_ms));
  }
  bool IsGoneAt(int at_ms) const {
    return vacancy.IsGone(kEpoch, kStart + Millis(at_ms));
  }

  LeadVacancy vacancy;
};

BOOST_FIXTURE_TEST_CASE(Leader_RefusesThreeCalls_IsGone, VacancyFixture) {
  Call(LeadCallResult::kRefused, 600);
  BOOST_TEST(!IsGoneAt(600));
  BOOST_TEST((vacancy.NextCallAt(kEpoch) == kStart + Millis(700)));
  Call(LeadCallResult::kRefused, 700);
  BOOST_TEST(!IsGoneAt(700));
  Call(LeadCallResult::kRefused, 800);
  BOOST_TEST(IsGoneAt(800));
  BOOST_TEST(!vacancy.NextCallAt(kEpoch).has_value());
}

// Guards against a burst of refused calls at one moment that counts as proof.
BOOST_FIXTURE_TEST_CASE(Leader_RefusesManyCallsAtOnce_IsNotGone,
                        VacancyFixture) {
  for (int i = 0; i < 20; ++i) {
    Call(LeadCallResult::kRefused, 600);
  }
  BOOST_TEST(!IsGoneAt(600));
}

// A machine that is cut off or frozen says nothing.
BOOST_FIXTURE_TEST_CASE(Leader_DoesNotAnswer_IsNotGone, VacancyFixture) {
  for (int at_ms = 600; at_ms < 6000; at_ms += 100) {
    Call(LeadCallResult::kNoAnswer, at_ms);
  }
  BOOST_TEST(!IsGoneAt(6000));
}

BOOST_FIXTURE_TEST_CASE(Leader_AnswersBetweenRefusals_IsNotGone,
                        VacancyFixture) {
  for (int at_ms = 600; at_ms < 6000; at_ms += 300) {
    Call(LeadCallResult::kRefused, at_ms);
    Call(LeadCallResult::kRefused, at_ms + 100);
    Call(LeadCallResult::kAnswered, at_ms + 200);
  }
  BOOST_TEST(!IsGoneAt(6000));
}

// Guards against a call that times out after the process had ended and that
// takes the proof away.
BOOST_FIXTURE_TEST_CASE(Leader_EarlierCallTimesOutLater_IsGone,
                        VacancyFixture) {
  for (const int at_ms : {600, 700, 800}) {
    Call(LeadCallResult::kRefused, at_ms);
  }
  Call(LeadCallResult::kNoAnswer, 500);
  BOOST_TEST(IsGoneAt(900));
}

// Guards against the removal of a leader whose address is wrong from here.
BOOST_AUTO_TEST_CASE(Leader_AddressNeverAnswered_IsNotGone) {
  LeadVacancy vacancy{LeadVacancyOptions{}};
  for (int at_ms = 0; at_ms < 3000; at_ms += 100) {
    vacancy.OnCall(kEpoch, kAddress, LeadCallResult::kRefused,
                   kStart + Millis(at_ms));
  }
  BOOST_TEST(!vacancy.IsGone(kEpoch, kStart + Millis(3000)));
}

// Guards against a new leader at the same address that is removed for the
// refusals of its predecessor, and against an old proof.
BOOST_FIXTURE_TEST_CASE(Leader_ProofIsOfEarlierEpochOrOld_IsNotGone,
                        VacancyFixture) {
  for (const int at_ms : {600, 700, 800}) {
    Call(LeadCallResult::kRefused, at_ms);
  }
  BOOST_TEST(!IsGoneAt(800 + 2001));
  BOOST_TEST(!vacancy.IsGone(kEpoch + 1, kStart + Millis(800)));
  vacancy.OnCall(kEpoch + 1, kAddress, LeadCallResult::kAnswered,
                 kStart + Millis(900));
  Call(LeadCallResult::kRefused, 950);
  BOOST_TEST(!IsGoneAt(950));
}

BOOST_FIXTURE_TEST_CASE(Removal_ByRank_OneFirstAndAgainAfterFailure,
                        VacancyFixture) {
  for (const int at_ms : {600, 700, 800}) {
    Call(LeadCallResult::kRefused, at_ms);
  }
  const Instant now = kStart + Millis(800);
  const auto time = [&](int rank, Instant reaching_since) {
    return *vacancy.RemovalTime(kEpoch, rank, reaching_since, now) - now;
  };
  BOOST_TEST((time(0, kStart) == Millis(0)));
  BOOST_TEST((time(2, kStart) == Millis(120)));
  BOOST_TEST((time(200, kStart) == Millis(600)));
  BOOST_TEST((time(1, now + Millis(500)) == Millis(560)));
  vacancy.OnRemovalTried(now);
  BOOST_TEST((time(0, kStart) == Millis(300)));
}

}  // namespace
}  // namespace doorwood
