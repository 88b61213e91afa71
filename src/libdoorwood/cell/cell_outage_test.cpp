// SPDX-License-Identifier: Apache-2.0

// A leader continues while the store is down for all instances, since none can
// succeed it. The store may also refuse one instance of each data centre, among
// them the leader, and serve the others. The leader must not conclude then that
// the store is down for all. Otherwise, it would extend without bound the
// leases of runs that its successor considers ended. All tests run in virtual
// time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "libdoorwood/cell/leader_succession_fixture.h"

namespace doorwood {
namespace {

using fakes::LeaderSuccession;
using fakes::ViolationReport;

constexpr Millis kSettleTime{16'000};

// The store refuses the leader and one instance of each other data centre, or
// does not answer them if `unresponsive`, and serves the rest. Of the served
// instances, the leader can reach only those of the data centres in `reached`:
// "own" stands for its own one, "other" for one of the others.
void RefuseOneOfEachDataCentre(const LeaderSuccession& scenario,
                               bool unresponsive,
                               const std::set<std::string>& reached) {
  const std::string& leader = scenario.old_leader->name;
  const std::string other = leader.front() == 'a' ? "b" : "a";
  for (const auto& [name, instance] : scenario.world.instances()) {
    if (name.back() == leader.back()) {
      instance->store_faults.unresponsive = unresponsive;
      instance->store_faults.unavailable = !unresponsive;
      continue;
    }
    const bool is_reached =
        (reached.contains("own") && name.front() == leader.front()) ||
        (reached.contains("other") && name.starts_with(other));
    if (!is_reached) {
      scenario.old_leader->unreachable_instances.insert(name);
    }
  }
}

void CheckPartialOutage(const std::set<std::string>& reached) {
  ViolationReport violation_report;
  for (const auto& [unresponsive, partitioned] :
       {std::pair(false, false), {true, false}, {false, true}, {true, true}}) {
    for (int offset = 0; offset < 20; ++offset) {
      LeaderSuccession scenario({"a2", "b2", "c2"});
      scenario.MaybePartitionOldLeaderFromBoth(partitioned);
      scenario.world.Run(Millis(offset * 60));
      RefuseOneOfEachDataCentre(scenario, unresponsive, reached);
      scenario.world.Run(kSettleTime);
      violation_report.Add((unresponsive ? "silent" : "refused") +
                               std::string(partitioned ? ", partitioned" : "") +
                               ", offset " + std::to_string(offset * 60),
                           scenario.world);
    }
  }
}

BOOST_AUTO_TEST_CASE(Leader_ReachesOnlyRefusedInstances_NothingRunsTwice) {
  CheckPartialOutage({});
}

BOOST_AUTO_TEST_CASE(Leader_ReachesOneServedInstance_NothingRunsTwice) {
  CheckPartialOutage({"other"});
}

BOOST_AUTO_TEST_CASE(
    Leader_ReachesServedInstanceOfOwnDataCentre_NothingRunsTwice) {
  CheckPartialOutage({"own"});
}

// An outage for all instances. The store serves some again after 2 to 9 s, and
// the leader cannot reach these.
BOOST_AUTO_TEST_CASE(Outage_EndsForInstancesOutOfReach_NothingRunsTwice) {
  ViolationReport violation_report;
  for (int outage = 2000; outage <= 9000; outage += 250) {
    LeaderSuccession scenario({"a2", "b2", "c2"});
    scenario.MaybePartitionOldLeaderFromBoth(true);
    for (const auto& [name, instance] : scenario.world.instances()) {
      instance->store_faults.unavailable = true;
    }
    scenario.world.Run(Millis(outage));
    for (const char* name : {"a2", "b2", "c2"}) {
      scenario.old_leader->unreachable_instances.insert(name);
      scenario.world.instances().at(name)->store_faults.unavailable = false;
    }
    scenario.world.Run(kSettleTime);
    violation_report.Add("outage " + std::to_string(outage), scenario.world);
  }
}

// The store may remove a partitioned leader's keys before the leader's lease
// expires, without notice. A successor then begins its wait for the old
// leader's runs while the old leader still considers itself the leader.
BOOST_AUTO_TEST_CASE(
    PartitionedLeader_KeysRemovedBeforeLeaseEnd_NothingRunsTwice) {
  ViolationReport violation_report;
  for (int offset = 0; offset < 1200; offset += 60) {
    for (int after = 0; after <= 2000; after += 200) {
      LeaderSuccession scenario;
      scenario.MaybePartitionOldLeaderFromBoth(true);
      scenario.world.Run(Millis(offset));
      scenario.PartitionOldLeader();
      scenario.world.Run(Millis(after));
      scenario.world.store().DropLeaseKeys(*scenario.old_leader->live->lease());
      scenario.world.Run(kSettleTime);
      violation_report.Add("offset " + std::to_string(offset) +
                               ", removed after " + std::to_string(after),
                           scenario.world);
    }
  }
}

// The store is down for all instances and comes back for all. Runs must
// continue meanwhile.
BOOST_AUTO_TEST_CASE(Outage_ForAll_RunsAreKeptAndNothingRunsTwice) {
  for (int outage = 2000; outage <= 20'000; outage += 1500) {
    LeaderSuccession scenario({"a2", "b2", "c2"});
    for (const auto& [name, instance] : scenario.world.instances()) {
      instance->store_faults.unavailable = true;
    }
    scenario.world.Run(Millis(outage));
    BOOST_TEST(scenario.world.workers().at("old_only")->model.running_count() >
               0);
    for (const auto& [name, instance] : scenario.world.instances()) {
      instance->store_faults.unavailable = false;
    }
    scenario.world.Run(kSettleTime);
    BOOST_TEST(scenario.world.violations().empty(), "outage " << outage);
  }
}

// For a minute after an instance is gone, a leader does not conclude that the
// store is down for all instances, since the store might serve that instance,
// which might lead. If the instance has been gone for longer when the store
// goes down, the leader must start the tasks that become ready during the
// outage.
BOOST_AUTO_TEST_CASE(Outage_InstanceGoneForOverAMinute_DependentStepsRun) {
  for (const int gone_for : {70, 300}) {
    fakes::CellWorld world(7);
    world.SetTable({fakes::MakeQueue("queue", 4)});
    world.AddWorker("w1", 8000);
    for (const char* name : {"a1", "b1", "c1", "d1"}) {
      world.AddInstance(name, LeaderSuccession::DataCentreOf(name));
    }
    const fakes::WorldInstance* leader = world.WaitForLeader();
    BOOST_REQUIRE(leader != nullptr);
    world.Kill(leader->name == "d1" ? "c1" : "d1");
    world.Run(Millis(gone_for * 1000));
    BOOST_REQUIRE(
        world.Submit(fakes::MakePlan(fakes::kSuccessionJob, 3, 1, "ms=4000")));
    for (const auto& [name, instance] : world.instances()) {
      instance->store_faults.unavailable = true;
    }
    world.Run(Millis(14'000));
    BOOST_TEST(world.starts(std::string(fakes::kSuccessionJob) + ".0.2.0") == 1,
               "gone for " << gone_for << " s");
  }
}

// Guards against a worker that gets no work throughout an outage because the
// leader recorded it as unresponsive just before. Such a record closes the
// worker to new work until a newer one is stored, which an outage prevents.
BOOST_AUTO_TEST_CASE(Outage_WorkerWasBrieflyUnresponsive_GetsWork) {
  for (int duration = 0; duration <= 2000; duration += 250) {
    fakes::CellWorld world(5);
    world.SetTable({fakes::MakeQueue("queue", 4)});
    world.AddWorker("w1", 8000);
    for (const char* name : {"a1", "b1", "c1"}) {
      world.AddInstance(name, "plaka");
    }
    world.WaitForLeader();
    world.Run(Millis(2000));
    BOOST_REQUIRE(
        world.Submit(fakes::MakePlan(fakes::kSuccessionJob, 8, 2, "ms=1000")));
    world.Run(Millis(700));
    const int before = world.workers().at("w1")->runs_started;
    for (const auto& [name, instance] : world.instances()) {
      instance->unreachable_workers.insert("w1");
    }
    world.Run(Millis(duration));
    for (const auto& [name, instance] : world.instances()) {
      instance->unreachable_workers.clear();
      instance->store_faults.unavailable = true;
    }
    world.Run(Millis(20'000));
    BOOST_TEST(world.workers().at("w1")->runs_started > before,
               "unresponsive for " << duration);
    BOOST_TEST(world.violations().empty());
  }
}

}  // namespace
}  // namespace doorwood
