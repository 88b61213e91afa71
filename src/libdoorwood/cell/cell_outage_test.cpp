// SPDX-License-Identifier: Apache-2.0

// The store serves some instances and refuses others, and the leader is among
// the refused. A leader whose store is down for all goes on, since nobody can
// follow it; it must not take one refused instance of each data centre for all
// of them, or it keeps runs alive without bound that its successor takes to be
// over. All in virtual time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "libdoorwood/cell/lead_trial_fixture.h"

namespace doorwood {
namespace {

using fakes::LeadTrial;
using fakes::Tally;

constexpr Millis kAfterwards{16'000};

// The store refuses the first instance of each data centre and serves the
// second. Which of the served ones the leader reaches is the case's.
void RefuseFirstOfEach(const LeadTrial& trial,
                       bool silent,
                       const std::set<std::string>& reached) {
  BOOST_REQUIRE(trial.old->name == "b1");
  for (const char* name : {"a1", "b1", "c1"}) {
    auto& faults = trial.world.instances().at(name)->store_faults;
    faults.silent = silent;
    faults.down = !silent;
  }
  for (const char* name : {"a2", "b2", "c2"}) {
    if (!reached.contains(name)) {
      trial.old->cut_from_instances.insert(name);
    }
  }
}

void Play(const std::set<std::string>& reached) {
  Tally tally;
  for (const auto& [silent, part] :
       {std::pair(false, false), {true, false}, {false, true}, {true, true}}) {
    for (int offset = 0; offset < 20; ++offset) {
      LeadTrial trial({"a2", "b2", "c2"});
      trial.PartWorkers(part);
      trial.world.Run(Millis(offset * 60));
      RefuseFirstOfEach(trial, silent, reached);
      trial.world.Run(kAfterwards);
      tally.Take((silent ? "silent" : "refused") +
                     std::string(part ? ", parted" : "") + ", offset " +
                     std::to_string(offset * 60),
                 trial.world);
    }
  }
}

BOOST_AUTO_TEST_CASE(Leader_ReachesOnlyRefusedInstances_NothingRunsTwice) {
  Play({});
}

BOOST_AUTO_TEST_CASE(Leader_ReachesOneServedInstance_NothingRunsTwice) {
  Play({"a2"});
}

BOOST_AUTO_TEST_CASE(Leader_ReachesServedInstanceOfItsOwn_NothingRunsTwice) {
  Play({"b2"});
}

// An outage for all, of which some instances come back after 2 to 9 s and the
// leader hears nothing of it.
BOOST_AUTO_TEST_CASE(Outage_EndsForSomeThatLeaderDoesNotReach_NothingTwice) {
  Tally tally;
  for (int outage = 2000; outage <= 9000; outage += 250) {
    LeadTrial trial({"a2", "b2", "c2"});
    trial.PartWorkers(true);
    for (const auto& [name, instance] : trial.world.instances()) {
      instance->store_faults.down = true;
    }
    trial.world.Run(Millis(outage));
    for (const char* name : {"a2", "b2", "c2"}) {
      trial.old->cut_from_instances.insert(name);
      trial.world.instances().at(name)->store_faults.down = false;
    }
    trial.world.Run(kAfterwards);
    tally.Take("outage " + std::to_string(outage), trial.world);
  }
}

// The store takes a cut leader's keys away before its lease is over, as it may
// without a word: the successor's wait counts from a moment at which the old
// leader is still sure.
BOOST_AUTO_TEST_CASE(CutLeader_KeysAreTakenAwayBeforeItsLease_NothingTwice) {
  Tally tally;
  for (int offset = 0; offset < 1200; offset += 60) {
    for (int after = 0; after <= 2000; after += 200) {
      LeadTrial trial;
      trial.PartWorkers(true);
      trial.world.Run(Millis(offset));
      trial.CutOldLeader();
      trial.world.Run(Millis(after));
      trial.world.store().Revoke(*trial.old->live->lease());
      trial.world.Run(kAfterwards);
      tally.Take("offset " + std::to_string(offset) + ", taken away after " +
                     std::to_string(after),
                 trial.world);
    }
  }
}

// The whole store is away and comes back for all: work goes on meanwhile.
BOOST_AUTO_TEST_CASE(Outage_ForAll_RunsAreKeptAndNothingRunsTwice) {
  for (int outage = 2000; outage <= 20'000; outage += 1500) {
    LeadTrial trial({"a2", "b2", "c2"});
    for (const auto& [name, instance] : trial.world.instances()) {
      instance->store_faults.down = true;
    }
    trial.world.Run(Millis(outage));
    BOOST_TEST(trial.world.workers().at("old_only")->model.running() > 0);
    for (const auto& [name, instance] : trial.world.instances()) {
      instance->store_faults.down = false;
    }
    trial.world.Run(kAfterwards);
    BOOST_TEST(trial.world.broken().empty(), "outage " << outage);
  }
}

// A machine that is gone for good ends the exception for a minute, since it
// might be served and lead; later what is ready goes on as before.
BOOST_AUTO_TEST_CASE(Outage_MachineWentLongAgo_DependentWorkGoesOn) {
  for (const int gone_for : {70, 300}) {
    fakes::CellWorld world(7);
    world.SetTable({fakes::MakeQueue("queue", 4)});
    world.AddWorker("w1", 8000);
    for (const char* name : {"a1", "b1", "c1", "d1"}) {
      world.AddInstance(name, LeadTrial::CentreOf(name));
    }
    const fakes::WorldInstance* leader = world.WaitForLeader();
    BOOST_REQUIRE(leader != nullptr);
    world.Kill(leader->name == "d1" ? "c1" : "d1");
    world.Run(Millis(gone_for * 1000));
    BOOST_REQUIRE(
        world.Submit(fakes::MakePlan(fakes::kTrialJob, 3, 1, "ms=4000")));
    for (const auto& [name, instance] : world.instances()) {
      instance->store_faults.down = true;
    }
    world.Run(Millis(14'000));
    BOOST_TEST(world.starts(std::string(fakes::kTrialJob) + ".0.2.0") == 1,
               "gone for " << gone_for << " s");
  }
}

// What a leader records of a worker that is silent closes it until the store
// has taken another record, which it can't while it is away.
BOOST_AUTO_TEST_CASE(Outage_WorkerWasSilentForAMoment_GetsWork) {
  for (int silent = 0; silent <= 2000; silent += 250) {
    fakes::CellWorld world(5);
    world.SetTable({fakes::MakeQueue("queue", 4)});
    world.AddWorker("w1", 8000);
    for (const char* name : {"a1", "b1", "c1"}) {
      world.AddInstance(name, "plaka");
    }
    world.WaitForLeader();
    world.Run(Millis(2000));
    BOOST_REQUIRE(
        world.Submit(fakes::MakePlan(fakes::kTrialJob, 8, 2, "ms=1000")));
    world.Run(Millis(700));
    const int before = world.workers().at("w1")->started;
    for (const auto& [name, instance] : world.instances()) {
      instance->cut_from.insert("w1");
    }
    world.Run(Millis(silent));
    for (const auto& [name, instance] : world.instances()) {
      instance->cut_from.clear();
      instance->store_faults.down = true;
    }
    world.Run(Millis(20'000));
    BOOST_TEST(world.workers().at("w1")->started > before,
               "silent for " << silent);
    BOOST_TEST(world.broken().empty());
  }
}

}  // namespace
}  // namespace doorwood
