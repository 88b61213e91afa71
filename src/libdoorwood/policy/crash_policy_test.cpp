// SPDX-License-Identifier: Apache-2.0

#include "doorwood/crash_policy.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace doorwood {
namespace {

constexpr CrashOptions kOptions;
constexpr Instant kNow(Millis(1'000'000));

CrashNote CrashInTrial(uint32_t run, const std::string& machine) {
  return {run, machine, machine + "+", CrashEvidence::kRestarted, true, true};
}

CrashNote CrashOutsideTrial(uint32_t run, const std::string& machine) {
  return {run, machine, machine + "+", CrashEvidence::kRestarted, true, false};
}

CrashNote VanishedInTrial(uint32_t run, const std::string& machine) {
  return {run, machine, machine + "+", CrashEvidence::kVanished, true, true};
}

CrashNote UnconfirmedCrash(uint32_t run) {
  return {run, "", "", CrashEvidence::kUnconfirmed, true, false};
}

CrashNote BystanderCrash(uint32_t run, const std::string& machine) {
  return {run, machine, machine + "+", CrashEvidence::kRestarted, false, false};
}

CrashNote MassCrash(uint32_t run, const std::string& machine) {
  return {run,  machine, machine + "+", CrashEvidence::kRestarted,
          true, false,   true};
}

BOOST_AUTO_TEST_CASE(AssessCrashes_Notes_GiveUpOnlyAtLimits) {
  using enum CrashVerdict;
  const struct {
    const char* name;
    std::vector<CrashNote> notes;
    CrashVerdict verdict;
    bool likely;
  } rows[] = {
      {"none", {}, kSound, false},
      {"once outside of trials", {CrashOutsideTrial(1, "a")}, kSuspect, false},
      {"once in a trial", {CrashInTrial(1, "a")}, kSuspect, true},
      {"in trials on two machines",
       {CrashInTrial(1, "a"), CrashInTrial(2, "b")},
       kGivenUp,
       true},
      {"in two trials on one machine",
       {CrashInTrial(1, "a"), CrashInTrial(2, "a")},
       kSuspect,
       true},
      {"outside of trials, then in a trial",
       {CrashOutsideTrial(1, "a"), CrashInTrial(2, "b")},
       kSuspect,
       true},
      {"three outside of trials",
       {CrashOutsideTrial(1, "a"), CrashOutsideTrial(2, "b"),
        CrashOutsideTrial(3, "c")},
       kSuspect,
       false},
      {"four outside of trials",
       {CrashOutsideTrial(1, "a"), CrashOutsideTrial(2, "b"),
        CrashOutsideTrial(3, "c"), CrashOutsideTrial(4, "d")},
       kSuspect,
       false},
      {"five outside of trials",
       {CrashOutsideTrial(1, "a"), CrashOutsideTrial(2, "b"),
        CrashOutsideTrial(3, "c"), CrashOutsideTrial(4, "d"),
        CrashOutsideTrial(5, "e")},
       kGivenUp,
       false},
      {"in trials on two workers that vanished",
       {VanishedInTrial(1, "a"), VanishedInTrial(2, "b")},
       kSuspect,
       true},
      {"in trials on three workers that vanished",
       {VanishedInTrial(1, "a"), VanishedInTrial(2, "b"),
        VanishedInTrial(3, "c")},
       kGivenUp,
       true},
      {"unconfirmed crashes with only one confirmed",
       {CrashInTrial(1, "a"), UnconfirmedCrash(2), UnconfirmedCrash(3),
        UnconfirmedCrash(4), UnconfirmedCrash(5)},
       kSuspect,
       true},
      {"unconfirmed crashes count with two confirmed ones",
       {CrashOutsideTrial(1, "a"), CrashOutsideTrial(2, "b"),
        UnconfirmedCrash(3), UnconfirmedCrash(4), UnconfirmedCrash(5)},
       kGivenUp,
       false},
      {"many times a bystander",
       {BystanderCrash(1, "a"), BystanderCrash(2, "b"), BystanderCrash(3, "c"),
        BystanderCrash(4, "d"), BystanderCrash(5, "e"), BystanderCrash(6, "f")},
       kSuspect,
       false},
      {"once a bystander", {BystanderCrash(1, "a")}, kSound, false},
      {"twice a bystander",
       {BystanderCrash(1, "a"), BystanderCrash(2, "b")},
       kSuspect,
       false},
      {"repeated mass crashes",
       {MassCrash(1, "a"), MassCrash(2, "b"), MassCrash(3, "c"),
        MassCrash(4, "d"), MassCrash(5, "e")},
       kSuspect,
       false},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      BOOST_TEST(ToString(AssessCrashes(row.notes)) == ToString(row.verdict));
      BOOST_TEST(IsLikelyCulprit(row.notes) == row.likely);
    }
  }
}

BOOST_AUTO_TEST_CASE(ClassifyRuns_RunsOnWorker_InTrialElseNewAreSuspects) {
  const RunAtCrash fresh{Millis(0)};
  const RunAtCrash young{Millis(2000)};
  const RunAtCrash old{Millis(60'000)};
  const RunAtCrash tried{Millis(2000), true};
  const struct {
    const char* name;
    std::vector<RunAtCrash> runs;
    std::vector<CrashRole> roles;
  } rows[] = {
      {"nothing ran", {}, {}},
      {"one new run beside old ones",
       {fresh, old, young},
       {CrashRole::kSuspect, CrashRole::kNone, CrashRole::kBystander}},
      {"two new runs",
       {fresh, fresh},
       {CrashRole::kSuspect, CrashRole::kSuspect}},
      {"an adopted one beside a new one",
       {{Millis(0), false, true}, fresh},
       {CrashRole::kBystander, CrashRole::kSuspect}},
      {"nothing new", {young, old}, {CrashRole::kBystander, CrashRole::kNone}},
      {"one in a trial",
       {fresh, tried, old},
       {CrashRole::kBystander, CrashRole::kSuspect, CrashRole::kNone}},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      BOOST_TEST((ClassifyRuns(row.runs, kOptions) == row.roles));
    }
  }
}

BOOST_AUTO_TEST_CASE(TrialDuration_LongestObservedTime_IsDoubledWithinBounds) {
  CrashNote crash = CrashOutsideTrial(1, "a");
  const auto trial = [&](int observed_ms, bool mass_crash) {
    crash.observed_running = Millis(observed_ms);
    crash.mass_crash = mass_crash;
    return TrialDuration(std::vector<CrashNote>{MassCrash(9, "z"), crash},
                         kOptions)
        .count();
  };
  BOOST_TEST(trial(0, false) == 1000);
  BOOST_TEST(trial(100, false) == 1000);
  BOOST_TEST(trial(0, true) == 300);
  BOOST_TEST(trial(1000, false) == 2000);
  BOOST_TEST(trial(400, true) == 800);
  BOOST_TEST(trial(9000, true) == 1000);
  BOOST_TEST(trial(9000, false) == 4000);
}

BOOST_AUTO_TEST_CASE(RestartDelay_MoreCrashes_GrowsUpToLimit) {
  constexpr double kMiddle = 0.5;
  BOOST_TEST(RestartDelay(1, kMiddle, kOptions).count() == 250);
  BOOST_TEST(RestartDelay(2, kMiddle, kOptions).count() == 500);
  BOOST_TEST(RestartDelay(3, kMiddle, kOptions).count() == 1000);
  BOOST_TEST(RestartDelay(50, kMiddle, kOptions).count() == 4000);
  BOOST_TEST(RestartDelay(1, 0.0, kOptions).count() == 187);
  BOOST_TEST(RestartDelay(1, 1.0, kOptions).count() == 312);
}

BOOST_AUTO_TEST_CASE(CrashTrials_WorkersReserved_LimitedByShares) {
  CrashTrials trials(kOptions);
  constexpr int kWorkers = 20;
  BOOST_TEST(trials.HasFreeSlot("pool", 1, true));
  trials.Reserve("a.0.0.0", {"w1", "pool", kNow, true});
  BOOST_TEST(trials.IsReserved("w1"));
  BOOST_TEST(!trials.IsInTrial("a.0.0.0", "w1"));
  BOOST_TEST(!trials.HasFreeSlot("pool", 1, true));
  trials.Reserve("b.0.0.0", {"w2", "pool", kNow, true, Millis(0), true});
  BOOST_TEST(trials.IsInTrial("b.0.0.0", "w2"));
  BOOST_TEST(!trials.IsInTrial("b.0.0.0", "w1"));
  // A tenth for likely culprits, a third for all suspects.
  BOOST_TEST(!trials.HasFreeSlot("pool", kWorkers, true));
  BOOST_TEST(trials.HasFreeSlot("pool", kWorkers, false));
  BOOST_TEST(trials.HasFreeSlot("other", kWorkers, true));
  for (int i = 3; i <= 6; ++i) {
    trials.Reserve("c.0.0." + std::to_string(i),
                   {"w" + std::to_string(i), "pool", kNow});
  }
  BOOST_TEST(!trials.HasFreeSlot("pool", kWorkers, false));
  trials.MarkPassed("b.0.0.0");
  BOOST_TEST(!trials.IsReserved("w2"));
  BOOST_TEST(trials.HasFreeSlot("pool", kWorkers, true));
}

BOOST_AUTO_TEST_CASE(CrashTrials_ReservedButNotStarted_Expires) {
  CrashTrials trials(kOptions);
  trials.Reserve("a.0.0.0", {"w1", "pool", kNow});
  trials.Reserve("b.0.0.0", {"w2", "pool", kNow, false, Millis(0), true});
  trials.Expire(kNow + kOptions.reservation_timeout);
  BOOST_TEST(trials.IsReserved("w1"));
  trials.Expire(kNow + kOptions.reservation_timeout + Millis(1));
  BOOST_TEST(!trials.IsReserved("w1"));
  BOOST_TEST(trials.IsReserved("w2"));
}

BOOST_AUTO_TEST_CASE(MassCrashDetector_ThreeWithinWindow_IsMassCrash) {
  MassCrashDetector detector(kOptions);
  detector.Add({kNow, {}});
  detector.Add({kNow + kOptions.mass_crash_window, {}});
  BOOST_TEST(!detector.IsMassCrash());
  detector.Add({kNow + kOptions.mass_crash_window + Millis(1), {}});
  BOOST_TEST(!detector.IsMassCrash());  // the first crash is outside the window
  detector.Add({kNow + kOptions.mass_crash_window + Millis(2), {}});
  BOOST_TEST(detector.IsMassCrash());
  BOOST_TEST(detector.crashes().size() == 3U);
}

}  // namespace
}  // namespace doorwood
