// SPDX-License-Identifier: Apache-2.0

// A leader that the store refuses has an outdated copy of the directory of
// instances. In the first test the copy no longer lists an instance that the
// store serves again. In the others an instance has announced a planned
// shutdown and then restarted under its name, but the copy still lists the
// instance as leaving. Guards against a leader that does not ask this instance
// whether the store is down for all. Such a leader would take an outage as
// confirmed although the instance reaches the store and may lead.

#include <boost/test/unit_test.hpp>
#include <string>

#include "libdoorwood/cell/leader_succession_fixture.h"

namespace doorwood {
namespace {

using fakes::LeaderSuccession;
using fakes::ViolationReport;

constexpr Millis kSettleTime{20'000};

void RestartLeavingInstance(bool reached) {
  ViolationReport violation_report;
  for (int offset = 0; offset < 20; ++offset) {
    LeaderSuccession trial;
    BOOST_REQUIRE(trial.old_leader->name == "b1");
    trial.MaybePartitionOldLeaderFromBoth(true);
    auto& world = trial.world;
    world.instances().at("a1")->live->AnnounceLeaving();
    world.Run(Millis(200 + offset * 60));
    for (const char* name : {"b1", "c1"}) {
      world.instances().at(name)->store_faults.unavailable = true;
    }
    world.Kill("a1");
    auto& restarted = world.AddInstance("a1", "plaka", 2.0);
    restarted.unreachable_workers = {"old_only"};
    if (!reached) {
      trial.old_leader->unreachable_instances.insert("a1");
    }
    world.Run(kSettleTime);
    violation_report.Add("offset " + std::to_string(offset * 60), world);
  }
}

// The store refuses an instance until the instance's key has expired. Then it
// serves only this instance. It refuses the leader, whose copy of the directory
// no longer lists the instance, and the third instance.
BOOST_AUTO_TEST_CASE(UnregisteredInstance_AloneIsServedAgain_NothingRunsTwice) {
  ViolationReport violation_report;
  for (int refused_ms = 2500; refused_ms <= 6000; refused_ms += 250) {
    LeaderSuccession trial;
    BOOST_REQUIRE(trial.old_leader->name == "b1");
    trial.MaybePartitionOldLeaderFromBoth(true);
    auto& world = trial.world;
    world.instances().at("a1")->store_faults.unavailable = true;
    world.Run(Millis(refused_ms));
    world.instances().at("a1")->store_faults.unavailable = false;
    for (const char* name : {"b1", "c1"}) {
      world.instances().at(name)->store_faults.unavailable = true;
    }
    trial.old_leader->unreachable_instances.insert("a1");
    world.Run(kSettleTime);
    violation_report.Add("refused for " + std::to_string(refused_ms), world);
  }
}

BOOST_AUTO_TEST_CASE(LeavingInstance_RestartsOutOfReach_NothingRunsTwice) {
  RestartLeavingInstance(/*reached=*/false);
}

BOOST_AUTO_TEST_CASE(LeavingInstance_RestartsWithinReach_NothingRunsTwice) {
  RestartLeavingInstance(/*reached=*/true);
}

}  // namespace
}  // namespace doorwood
