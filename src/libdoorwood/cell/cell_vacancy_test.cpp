// SPDX-License-Identifier: Apache-2.0

// The process of a leader is gone, and its lead key stands. All tests run in
// virtual time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "doorwood/json_reader.h"
#include "libdoorwood/cell/leader_succession_fixture.h"

namespace doorwood {
namespace {

using fakes::CellWorld;
using fakes::LeaderSuccession;
using fakes::ViolationReport;
using fakes::WorldInstance;

// How often an instance polls the leader, see IngressOptions.
constexpr Millis kPollInterval{600};
// A poll, two more calls, and the campaign.
constexpr Millis kNextLeadBound{1000};
constexpr Millis kSettleTime{16'000};

void CallLeader(WorldInstance& instance) {
  const auto lead = instance.live->leads().find("all");
  if (lead == instance.live->leads().end()) {
    return;
  }
  instance.live->CallLeader(
      lead->second, [&instance, lead = lead->second,
                     sent = instance.executor->Now()](std::error_code error) {
        instance.cell->OnLeaderCalled(lead, sent, error);
      });
}

struct VacancyFixture {
  explicit VacancyFixture(int seed) : world(static_cast<uint64_t>(seed)) {
    world.SetTable({fakes::MakeQueue("queue", 4)});
    world.AddWorker("w1", 8000);
    for (const char* name : {"a1", "b1", "c1", "a2", "b2"}) {
      world.AddInstance(name, LeaderSuccession::DataCentreOf(name));
    }
    leader = world.WaitForLeader();
    BOOST_REQUIRE(leader != nullptr);
    int offset = 0;
    for (const auto& [name, instance] : world.instances()) {
      offset += 83;
      Poll(name, Millis((offset + seed * 71) % kPollInterval.count()));
    }
    world.Run(Millis(2000));
  }

  void Poll(const std::string& name, Millis delay) {
    world.time().RunAt(world.time().now() + delay, [this, name] {
      const auto found = world.instances().find(name);
      if (found != world.instances().end()) {
        if (found->second->live->self().name != LeadHolder()) {
          CallLeader(*found->second);
        }
        Poll(name, kPollInterval);
      }
    });
  }

  std::string LeadHolder() {
    StoreItem lead;
    return world.store().Get(LeadKey("all"), &lead)
               ? ""
               : StringFieldOf(lead.value, "instance");
  }

  /// Runs the world until the lead key has another epoch.
  Millis TimeUntilNextLead(int64_t epoch) {
    Millis passed{0};
    StoreItem lead;
    while (
        (world.store().Get(LeadKey("all"), &lead) || lead.created == epoch) &&
        passed < Millis(6000)) {
      world.RunExactly(Millis(5));
      passed += Millis(5);
    }
    return passed;
  }

  uint64_t LeadsRemoved() {
    uint64_t removed = 0;
    for (const auto& [name, instance] : world.instances()) {
      removed += instance->cell->counters().leads_removed;
    }
    return removed;
  }

  CellWorld world;
  WorldInstance* leader = nullptr;
};

// Guards against a vacancy that lasts as long as the store lease of a leader
// whose process is known to be gone.
BOOST_AUTO_TEST_CASE(Lead_LeaderKilled_TakenBeforeItsLeaseEnds) {
  for (int seed = 1; seed <= 20; ++seed) {
    VacancyFixture fixture(seed);
    const int64_t epoch = fixture.leader->cell->epoch();
    fixture.world.Kill(fixture.leader->name);
    const Millis vacant = fixture.TimeUntilNextLead(epoch);
    fixture.world.Run(Millis(200));
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(vacant.count() <= kNextLeadBound.count());
      BOOST_TEST(fixture.LeadsRemoved() == 1U);
      BOOST_TEST(fixture.world.violations().empty());
    }
  }
}

// The process ends in an outage of the store. Guards against instances that
// find out only after the outage that the leader is gone.
BOOST_AUTO_TEST_CASE(Lead_LeaderKilledInOutage_TakenOnceTheStoreIsBack) {
  constexpr Millis kBound{500};
  for (int seed = 1; seed <= 20; ++seed) {
    VacancyFixture fixture(seed);
    const int64_t epoch = fixture.leader->cell->epoch();
    for (const auto& [name, instance] : fixture.world.instances()) {
      instance->store_faults.unresponsive = true;
    }
    // Short enough for the leader's store lease to outlast the outage.
    fixture.world.Kill(fixture.leader->name);
    fixture.world.Run(Millis(1000));
    for (const auto& [name, instance] : fixture.world.instances()) {
      instance->store_faults.unresponsive = false;
    }
    const Millis vacant = fixture.TimeUntilNextLead(epoch);
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(vacant.count() <= kBound.count());
    }
  }
}

// Guards against a restarted instance that waits for the store lease of its own
// earlier process.
BOOST_AUTO_TEST_CASE(Lead_LeaderRestarted_KeyOfEarlierProcessIsRemoved) {
  for (int seed = 1; seed <= 20; ++seed) {
    VacancyFixture fixture(seed);
    const int64_t epoch = fixture.leader->cell->epoch();
    const std::string name = fixture.leader->name;
    fixture.world.Kill(name);
    fixture.world.Run(Millis(50));
    fixture.world.AddInstance(name, LeaderSuccession::DataCentreOf(name));
    const Millis vacant = fixture.TimeUntilNextLead(epoch);
    fixture.world.Run(Millis(200));
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(vacant.count() <= kNextLeadBound.count());
      BOOST_TEST(fixture.LeadsRemoved() == 1U);
      BOOST_TEST(fixture.world.violations().empty());
    }
  }
}

// A process that is frozen, or a machine that is cut off, says nothing.
BOOST_AUTO_TEST_CASE(Lead_LeaderFrozen_KeyIsLeftToItsLease) {
  for (int seed = 1; seed <= 10; ++seed) {
    VacancyFixture fixture(seed);
    fixture.leader->executor->Freeze();
    fixture.world.Run(Millis(5000));
    fixture.leader->executor->Thaw();
    fixture.world.Run(Millis(3000));
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(fixture.LeadsRemoved() == 0U);
    }
  }
}

// Guards against tasks that run twice if a leader is wrongly taken for gone: it
// lives on, cut off from the store or not, and from the workers that its
// successors reach or not.
BOOST_AUTO_TEST_CASE(Lead_RemovedWhileLeaderLives_NothingRunsTwice) {
  ViolationReport violation_report;
  for (const auto& [cut_off, partitioned] :
       {std::pair(false, false), {true, false}, {false, true}, {true, true}}) {
    for (int offset = 0; offset < 1200; offset += 60) {
      LeaderSuccession scenario;
      scenario.MaybePartitionOldLeaderFromBoth(partitioned);
      scenario.world.Run(Millis(offset));
      if (cut_off) {
        scenario.PartitionOldLeader();
      }
      for (const auto& [name, instance] : scenario.world.instances()) {
        if (instance == scenario.old_leader) {
          continue;
        }
        const CellLead lead = instance->live->leads().at("all");
        const Instant now = instance->executor->Now();
        instance->cell->OnLeaderCalled(lead, now - Millis(500), {});
        for (const int ago_ms : {400, 200, 0}) {
          instance->cell->OnLeaderCalled(lead, now - Millis(ago_ms),
                                         PeerErrc::kRefused);
        }
      }
      scenario.world.Run(kSettleTime);
      violation_report.Add((cut_off ? "cut off" : "reached") +
                               std::string(partitioned ? ", partitioned" : "") +
                               ", offset " + std::to_string(offset),
                           scenario.world);
    }
  }
}

}  // namespace
}  // namespace doorwood
