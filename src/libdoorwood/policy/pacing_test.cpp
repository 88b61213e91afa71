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

// Filling work that does not save its progress was held still beside serving
// work for up to 20 s, nine tenths done, while newer filling work was started
// on the same worker at full speed and ended: what is held presses on nobody,
// so its place looked free. The newer ones then used up what it waited for.
//
// What showed it: "a run takes far longer than expected" with pace 0, paced_ms
// 20,129 and progress 90, and ten "start ordered" and "run ended" pairs on that
// worker meanwhile.
BOOST_AUTO_TEST_CASE(CoresToCome_HeldFill_KeepsItsPlace) {
  struct Row {
    const char* name;
    bool fresh;
    int pace;
    double cores;
  };
  const Row rows[] = {
      {"just ordered", true, 100, 4.0},
      {"just ordered and held", true, 25, 4.0},
      {"its figures tell all", false, 100, 0.0},
      {"held still", false, 0, 4.0},
      {"held at a quarter", false, 25, 3.0},
  };
  for (const Row& row : rows) {
    BOOST_TEST(CoresToCome(4.0, row.fresh, row.pace) == row.cores, row.name);
  }
}

BOOST_FIXTURE_TEST_CASE(HeldFill_NewerOneBesideIt_WouldDisturb, PacingFixture) {
  WorkerRoom room;
  room.strains = {{serving, 0.40, 0.60}};
  // There is room for the light one as long as the heavy one is held for good.
  BOOST_TEST(ExcessStrain(room, light, 4.0, model) < 0);
  room.strains[0].strain +=
      model.Press(serving, heavy) * CoresToCome(4.0, /*fresh=*/false, 0);
  BOOST_TEST(ExcessStrain(room, light, 4.0, model) > 0);
}

}  // namespace
}  // namespace doorwood
