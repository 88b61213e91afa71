// SPDX-License-Identifier: Apache-2.0

// What a refused leader knows of the other instances is a copy from before. In
// the first case below it has forgotten one. In the others:
// An instance says that it leaves, ends, and is started again under its name
// while the store refuses the leader. The leader's copy still calls it leaving,
// so it is not asked whether the store is down for all: what it says counts for
// nothing, also where it answers that it hears the store. All in virtual time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "libdoorwood/cell/lead_trial_fixture.h"

namespace doorwood {
namespace {

using fakes::LeadTrial;
using fakes::Tally;

constexpr Millis kAfterwards{20'000};

void Play(bool reached) {
  Tally tally;
  for (int offset = 0; offset < 20; ++offset) {
    LeadTrial trial;
    BOOST_REQUIRE(trial.old->name == "b1");
    trial.PartWorkers(true);
    auto& world = trial.world;
    world.instances().at("a1")->live->AnnounceLeaving();
    world.Run(Millis(200 + offset * 60));
    for (const char* name : {"b1", "c1"}) {
      world.instances().at(name)->store_faults.down = true;
    }
    world.Kill("a1");
    auto& back = world.AddInstance("a1", "plaka", 2.0);
    back.cut_from = {"old_only"};
    if (!reached) {
      trial.old->cut_from_instances.insert("a1");
    }
    world.Run(kAfterwards);
    tally.Take("offset " + std::to_string(offset * 60), world);
  }
}

// An instance is refused until its key is gone; then it alone is served, and
// the leader, which does not know it any more, is refused with all that it
// knows.
BOOST_AUTO_TEST_CASE(ForgottenInstance_AloneIsServedAgain_NothingRunsTwice) {
  Tally tally;
  for (int away = 2500; away <= 6000; away += 250) {
    LeadTrial trial;
    BOOST_REQUIRE(trial.old->name == "b1");
    trial.PartWorkers(true);
    auto& world = trial.world;
    world.instances().at("a1")->store_faults.down = true;
    world.Run(Millis(away));
    world.instances().at("a1")->store_faults.down = false;
    for (const char* name : {"b1", "c1"}) {
      world.instances().at(name)->store_faults.down = true;
    }
    trial.old->cut_from_instances.insert("a1");
    world.Run(kAfterwards);
    tally.Take("away for " + std::to_string(away), world);
  }
}

BOOST_AUTO_TEST_CASE(LeavingInstance_IsBackAndNotReached_NothingRunsTwice) {
  Play(/*reached=*/false);
}

BOOST_AUTO_TEST_CASE(LeavingInstance_IsBackAndReached_NothingRunsTwice) {
  Play(/*reached=*/true);
}

}  // namespace
}  // namespace doorwood
