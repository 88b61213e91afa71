// SPDX-License-Identifier: Apache-2.0

// The store refuses an instance until its key is gone. Meanwhile the leader's
// process is started again and leads again: it has never known that instance.
// Then the store serves that instance alone, and refuses the leader and all
// that it knows. They tell the leader so, which takes it for an outage for all
// and goes on prolonging; the other instance leads, waits for longer than any
// lease that it must reckon with, and starts what the old leader still runs.
//
// What showed it: in cell_returning_walk_test, seed 927, the old leader was
// started again at 1076.9 s, asked one instance out of six, and prolonged until
// 1090.9 s; the others led from 1082.5 s. All in virtual time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "libdoorwood/cell/lead_trial_fixture.h"

namespace doorwood {
namespace {

using fakes::LeadTrial;
using fakes::Tally;
using fakes::WorldInstance;

constexpr Millis kAfterwards{20'000};
// Until the killed leader's key is gone and its successor has read the records.
constexpr Millis kLeadsAgain{4000};
constexpr double kStrongest = 4.0;

// The leader's process is killed and started again under its name, reached by
// whom it was reached, on a machine that is the first to lead.
void RestartLeader(LeadTrial* trial) {
  const std::string name = trial->old->name;
  const auto cut_from = trial->old->cut_from;
  trial->world.Kill(name);
  WorldInstance& again =
      trial->world.AddInstance(name, LeadTrial::CentreOf(name), kStrongest);
  again.cut_from = cut_from;
  trial->old = &again;
}

BOOST_AUTO_TEST_CASE(RestartedLeader_OneItNeverKnewIsServed_NothingRunsTwice) {
  Tally tally;
  int led_again = 0;
  for (int away = 2500; away <= 6000; away += 250) {
    LeadTrial trial;
    BOOST_REQUIRE(trial.old->name == "b1");
    trial.PartWorkers(true);
    auto& world = trial.world;
    world.instances().at("a1")->store_faults.down = true;
    world.Run(Millis(away));
    RestartLeader(&trial);
    trial.old->cut_from_instances.insert("a1");
    world.Run(kLeadsAgain);
    led_again += world.Leader() == trial.old ? 1 : 0;
    world.instances().at("a1")->store_faults.down = false;
    for (const char* name : {"b1", "c1"}) {
      world.instances().at(name)->store_faults.down = true;
    }
    world.Run(kAfterwards);
    tally.Take("away for " + std::to_string(away), world);
  }
  BOOST_TEST(led_again > 0);
}

// An outage for all of a store that everybody knows to be away: the restarted
// leader still goes on, for those that are there say so and nobody else is
// missing.
BOOST_AUTO_TEST_CASE(RestartedLeader_StoreIsAwayForAll_NothingLapses) {
  LeadTrial trial;
  auto& world = trial.world;
  RestartLeader(&trial);
  world.Run(kLeadsAgain);
  BOOST_REQUIRE(world.Leader() == trial.old);
  for (const auto& [name, instance] : world.instances()) {
    instance->store_faults.down = true;
  }
  world.Run(kAfterwards);
  BOOST_TEST(world.workers().at("old_only")->model.running() == 2U);
  BOOST_TEST(world.workers().at("both")->model.running() == 2U);
  for (const std::string& rule : world.broken()) {
    BOOST_ERROR(rule);
  }
}

// One that is gone for good is forgotten after a minute, also by those that
// start later; until then it may be the one that the store serves.
BOOST_AUTO_TEST_CASE(
    RestartedLeader_AnotherIsGoneForGood_IsForgottenInAMinute) {
  for (const bool early : {true, false}) {
    BOOST_TEST_CONTEXT((early ? "at once" : "after a minute")) {
      LeadTrial trial;
      auto& world = trial.world;
      world.Kill("c1");
      world.Run(early ? Millis(5000) : Millis(65'000));
      RestartLeader(&trial);
      world.Run(kLeadsAgain);
      BOOST_REQUIRE(world.Leader() == trial.old);
      for (const auto& [name, instance] : world.instances()) {
        instance->store_faults.down = true;
      }
      world.Run(kAfterwards);
      const size_t kept = early ? 0U : 2U;
      BOOST_TEST(world.workers().at("old_only")->model.running() == kept);
      BOOST_TEST(world.logged("an instance is gone for good") ==
                 (early ? 0 : 1));
    }
  }
}

}  // namespace
}  // namespace doorwood
