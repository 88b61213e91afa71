// SPDX-License-Identifier: Apache-2.0

#include "doorwood/pacing.h"

#include <boost/test/unit_test.hpp>

namespace doorwood {
namespace {

constexpr Millis kTarget{150};

// What the model takes for truth here: heavy work adds 0.06 a core, light work
// 0.005.
struct PacingFixture {
  PacingFixture() {
    model.Observe(serving, 30, kTarget, {}, -1);
    double load = 0.30;
    for (int i = 0; i < 200; ++i) {
      const FillLoad heavy_load[] = {{heavy, 4.0}};
      const FillLoad light_load[] = {{light, 4.0}};
      load = model.Observe(serving, TailAt(0.30 + 0.24), kTarget, heavy_load,
                           load);
      load = model.Observe(serving, TailAt(0.30 + 0.02), kTarget, light_load,
                           load);
    }
  }

  static int64_t TailAt(double strain) {
    return static_cast<int64_t>(30.0 / (1.0 - strain));
  }

  PolicyOptions options;
  InterferenceModel model{options.interference};
  const ImageId serving = model.Intern("s");
  const ImageId heavy = model.Intern("heavy");
  const ImageId light = model.Intern("light");
  std::vector<PacedFill> fills{{"h", heavy, 4.0, 4.0, 100},
                               {"l", light, 4.0, 4.0, 100}};
};

BOOST_FIXTURE_TEST_CASE(Press_AfterReports_TellsHeavyFromLight, PacingFixture) {
  BOOST_TEST(model.Press(serving, heavy) > 3 * model.Press(serving, light));
  BOOST_TEST(model.Press(serving, model.Intern("never seen")) ==
             options.interference.unknown_press);
}

BOOST_FIXTURE_TEST_CASE(DecidePaces_TailAboveTarget_SlowsTheHeavyOneFirst,
                        PacingFixture) {
  const std::vector<PacedServing> tasks{{serving, 160, kTarget}};
  const auto decisions = DecidePaces(tasks, fills, model, options);
  BOOST_REQUIRE(!decisions.empty());
  BOOST_TEST(decisions[0].task == "h");
  BOOST_TEST(decisions[0].pace < 100);
}

BOOST_FIXTURE_TEST_CASE(DecidePaces_TailFarAboveTarget_StopsAll,
                        PacingFixture) {
  const std::vector<PacedServing> tasks{{serving, 3000, kTarget}};
  const auto decisions = DecidePaces(tasks, fills, model, options);
  BOOST_TEST(decisions.size() == 2U);
  for (const PaceDecision& decision : decisions) {
    BOOST_TEST(decision.pace == 0);
  }
}

// The model holds both fills for harmless enough, and the last figure happens
// to be low.
BOOST_FIXTURE_TEST_CASE(DecidePaces_OverTargetForLong_StopsAll, PacingFixture) {
  const std::vector<PacedServing> tasks{
      {serving, 120, kTarget, options.over_patience}, {serving, 140, kTarget}};
  const auto decisions = DecidePaces(tasks, fills, model, options);
  BOOST_TEST(decisions.size() == 2U);
  for (const PaceDecision& decision : decisions) {
    BOOST_TEST(decision.pace == 0);
  }
}

BOOST_FIXTURE_TEST_CASE(DecidePaces_TailLow_LetsGoInSteps, PacingFixture) {
  fills[0].pace = 0;
  fills[1].pace = 0;
  const std::vector<PacedServing> tasks{{serving, 40, kTarget}};
  const auto decisions = DecidePaces(tasks, fills, model, options);
  BOOST_REQUIRE(!decisions.empty());
  BOOST_TEST(decisions[0].task == "l");
  BOOST_TEST(decisions[0].pace == options.pace_step);
}

BOOST_FIXTURE_TEST_CASE(DecidePaces_NobodyServes_LetsGo, PacingFixture) {
  fills[0].pace = 0;
  const auto decisions = DecidePaces({}, fills, model, options);
  BOOST_REQUIRE(decisions.size() == 1U);
  BOOST_TEST(decisions[0].pace == options.pace_step);
}

}  // namespace
}  // namespace doorwood
