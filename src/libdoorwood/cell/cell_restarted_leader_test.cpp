// SPDX-License-Identifier: Apache-2.0

// Guards against a restarted leader that takes a partial outage of the store
// for an outage for all instances. In the first test the store refuses one
// instance until the instance's key has expired. Then the leader restarts, so
// its new process never sees that key. Finally the store serves only the
// refused instance, and all instances whose keys the leader has seen confirm an
// outage. A leader that relied on these alone would keep extending leases while
// the other instance leads and starts the same tasks. All in virtual time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "libdoorwood/cell/leader_succession_fixture.h"

namespace doorwood {
namespace {

using fakes::LeaderSuccession;
using fakes::ViolationReport;
using fakes::WorldInstance;

constexpr Millis kSettleTime{20'000};
// Time in which the killed leader's key expires and its successor reads the
// records.
constexpr Millis kTimeToLeadAgain{4000};
constexpr double kHighestCpuShare = 4.0;

// Kills the leader's process and restarts it under the same name, with the same
// partitions from workers, and with the CPU share that makes it the preferred
// leader.
void RestartLeader(LeaderSuccession* scenario) {
  const std::string name = scenario->old_leader->name;
  const auto unreachable_workers = scenario->old_leader->unreachable_workers;
  scenario->world.Kill(name);
  WorldInstance& restarted = scenario->world.AddInstance(
      name, LeaderSuccession::DataCentreOf(name), kHighestCpuShare);
  restarted.unreachable_workers = unreachable_workers;
  scenario->old_leader = &restarted;
}

// Guards against a restarted leader that asks only some instances whether they
// reach the store, and extends leases while another instance leads
// (cell_random_restarts_test, seed 927). The other instance waits until every
// lease that it must expect has expired, and then starts the tasks.
BOOST_AUTO_TEST_CASE(
    RestartedLeader_StoreServesUnregisteredInstance_NothingRunsTwice) {
  ViolationReport violation_report;
  int led_again = 0;
  for (int refused_ms = 2500; refused_ms <= 6000; refused_ms += 250) {
    LeaderSuccession scenario;
    BOOST_REQUIRE(scenario.old_leader->name == "b1");
    scenario.MaybePartitionOldLeaderFromBoth(true);
    auto& world = scenario.world;
    world.instances().at("a1")->store_faults.unavailable = true;
    world.Run(Millis(refused_ms));
    RestartLeader(&scenario);
    scenario.old_leader->unreachable_instances.insert("a1");
    world.Run(kTimeToLeadAgain);
    led_again += world.Leader() == scenario.old_leader ? 1 : 0;
    world.instances().at("a1")->store_faults.unavailable = false;
    for (const char* name : {"b1", "c1"}) {
      world.instances().at(name)->store_faults.unavailable = true;
    }
    world.Run(kSettleTime);
    violation_report.Add("store refuses a1 for " + std::to_string(refused_ms),
                         world);
  }
  BOOST_TEST(led_again > 0);
}

// An outage of the store for all instances: the restarted leader keeps
// extending leases, because all known instances confirm the outage and none is
// missing.
BOOST_AUTO_TEST_CASE(RestartedLeader_StoreIsDownForAll_NoLeaseExpires) {
  LeaderSuccession scenario;
  auto& world = scenario.world;
  RestartLeader(&scenario);
  world.Run(kTimeToLeadAgain);
  BOOST_REQUIRE(world.Leader() == scenario.old_leader);
  for (const auto& [name, instance] : world.instances()) {
    instance->store_faults.unavailable = true;
  }
  world.Run(kSettleTime);
  BOOST_TEST(world.workers().at("old_only")->model.running_count() == 2U);
  BOOST_TEST(world.workers().at("both")->model.running_count() == 2U);
  for (const std::string& rule : world.violations()) {
    BOOST_ERROR(rule);
  }
}

// When a leader checks whether the store is down for all, an instance that has
// ended is disregarded after a minute (`LiveOptions::missing_retention`), also
// if the leader started after that end. Until then the leader must assume that
// the store may serve the ended instance, and does not extend leases.
BOOST_AUTO_TEST_CASE(RestartedLeader_AnotherIsGone_DisregardedAfterAMinute) {
  for (const bool within_a_minute : {true, false}) {
    BOOST_TEST_CONTEXT((within_a_minute ? "after 5 s" : "after 65 s")) {
      LeaderSuccession scenario;
      auto& world = scenario.world;
      world.Kill("c1");
      world.Run(within_a_minute ? Millis(5000) : Millis(65'000));
      RestartLeader(&scenario);
      world.Run(kTimeToLeadAgain);
      BOOST_REQUIRE(world.Leader() == scenario.old_leader);
      for (const auto& [name, instance] : world.instances()) {
        instance->store_faults.unavailable = true;
      }
      world.Run(kSettleTime);
      const size_t expected_runs = within_a_minute ? 0U : 2U;
      BOOST_TEST(world.workers().at("old_only")->model.running_count() ==
                 expected_runs);
      BOOST_TEST(world.log_count("tried to remove the known-instance key of an "
                                 "instance unregistered for longer than "
                                 "missing_retention") ==
                 (within_a_minute ? 0 : 1));
    }
  }
}

}  // namespace
}  // namespace doorwood
