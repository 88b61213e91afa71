// SPDX-License-Identifier: Apache-2.0

// Which instance takes a vacant lead.

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "fakes/cell_world.h"

namespace doorwood {
namespace {

// A large site with a few strong and many weak machines. While all of them are
// listed, the weak ones campaign 0.5 to 3.2 s after the lead becomes vacant.
// While a weak machine leads all workers, callers get half as many results as
// while a strong one leads.
struct LargeSiteFixture {
  explicit LargeSiteFixture(int seed) : world(seed) {
    world.SetTable({fakes::MakeQueue("queue", 3)});
    for (int n = 0; n < kWeakInstances; ++n) {
      world.AddInstance("w" + std::to_string(n), "pireas", 0.12);
    }
    for (const char* name : {"x1", "x2", "x3", "x4"}) {
      world.AddInstance(name, "plaka", kStrongShare);
    }
    world.WaitForLeader();
    world.Run(Millis(1000));
  }

  double ShareOfLeader() {
    const fakes::WorldInstance* leader = world.Leader();
    return leader == nullptr ? 0.0 : leader->live->self().cpu_share;
  }

  static constexpr int kWeakInstances = 24;
  static constexpr int kSeeds = 8;
  static constexpr double kStrongShare = 0.5;
  fakes::CellWorld world;
};

BOOST_AUTO_TEST_CASE(Lead_AllStartAtOnce_AStrongInstanceTakesIt) {
  for (int seed = 1; seed <= LargeSiteFixture::kSeeds; ++seed) {
    LargeSiteFixture fixture(seed);
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(fixture.ShareOfLeader() == fixture.kStrongShare);
    }
  }
}

BOOST_AUTO_TEST_CASE(Lead_StoreDropsAllLeaseKeys_AStrongInstanceTakesIt) {
  for (int seed = 1; seed <= LargeSiteFixture::kSeeds; ++seed) {
    LargeSiteFixture fixture(seed);
    for (auto& [name, instance] : fixture.world.instances()) {
      fixture.world.store().DropLeaseKeys(*instance->live->lease());
    }
    fixture.world.Run(Millis(4000));
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(fixture.ShareOfLeader() == fixture.kStrongShare);
    }
  }
}

// The lead becomes vacant twice, the second time when campaigns that were
// scheduled in the first vacancy would be due. The delays must start again, or
// a weak instance may campaign first. Strong instances that fail together with
// the leader stay listed until their leases expire. The remaining strong
// instance may therefore delay its campaign as well.
BOOST_AUTO_TEST_CASE(Lead_BecomesVacantTwice_AStrongInstanceTakesIt) {
  for (int seed = 1; seed <= LargeSiteFixture::kSeeds; ++seed) {
    LargeSiteFixture fixture(seed);
    fixture.world.Kill("x1");
    // The lease expires after 2 s; campaigns are then due over the next 3 s.
    fixture.world.Run(Millis(2600 + 50 * seed));
    fixture.world.Kill("x2");
    fixture.world.Kill("x3");
    fixture.world.Run(Millis(6000));
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(fixture.ShareOfLeader() == fixture.kStrongShare);
    }
  }
}

// The store is away for all, the leader's process ends meanwhile, and its store
// lease runs out. Guards against waits that add up once the store answers
// again, and against a weak instance that learns of it first and takes the
// lead.
BOOST_AUTO_TEST_CASE(Lead_StoreIsBackAndKeyIsGone_TakenByAStrongOneInTime) {
  constexpr Millis kBound{500};
  for (const bool refuses : {false, true}) {
    for (int seed = 1; seed <= LargeSiteFixture::kSeeds; ++seed) {
      LargeSiteFixture fixture(seed);
      fakes::CellWorld& world = fixture.world;
      const std::string leader = world.Leader()->name;
      for (auto& [name, instance] : world.instances()) {
        instance->store_faults.unavailable = refuses;
        instance->store_faults.unresponsive = !refuses;
      }
      world.Run(Millis(1000));
      world.Kill(leader);
      world.RunExactly(Millis(2000 + 77 * seed));
      for (auto& [name, instance] : world.instances()) {
        instance->store_faults = {};
      }
      StoreItem lead;
      Millis passed{0};
      while (world.store().Get(LeadKey("all"), &lead) &&
             passed < Millis(5000)) {
        world.RunExactly(Millis(5));
        passed += Millis(5);
      }
      world.Run(Millis(300));
      BOOST_TEST_CONTEXT("seed " << seed << (refuses ? ", refused" : "")) {
        BOOST_TEST(passed.count() <= kBound.count());
        BOOST_TEST(fixture.ShareOfLeader() == fixture.kStrongShare);
      }
    }
  }
}

// So many instances that they do not follow each other. Guards against delays
// that add up over all instances that go first: 7 to 19 s.
struct FleetFixture {
  FleetFixture(int weak, int strong) : world(9) {
    world.SetTable({fakes::MakeQueue("queue", 3)});
    for (int n = 0; n < weak; ++n) {
      world.AddInstance("w" + std::to_string(n), "pireas", 0.12);
    }
    for (int n = 0; n < strong; ++n) {
      world.AddInstance("x" + std::to_string(n), "plaka", 1.0);
    }
    world.WaitForLeader();
    world.Run(Millis(3000));
  }

  /// Kills all strong instances or only the leader; returns the time in ms
  /// until another instance has the lead.
  int ReplaceLeader(bool all_strong) {
    const std::string leader = world.Leader()->name;
    std::vector<std::string> killed = {leader};
    for (const auto& [name, instance] : world.instances()) {
      if (all_strong && name != leader && name.starts_with("x")) {
        killed.push_back(name);
      }
    }
    for (const std::string& name : killed) {
      world.Kill(name);
    }
    int passed = 0;
    const auto has_lead = [this] {
      for (const auto& [name, instance] : world.instances()) {
        if (instance->cell->leading() || instance->cell->reading()) {
          return true;
        }
      }
      return false;
    };
    while (!has_lead() && passed < 20'000) {
      world.RunExactly(Millis(10));
      passed += 10;
    }
    return passed;
  }

  fakes::CellWorld world;
};

BOOST_AUTO_TEST_CASE(Lead_ManyInstancesStartAtOnce_AStrongOneTakesIt) {
  FleetFixture fixture(80, 6);
  BOOST_REQUIRE(fixture.world.Leader() != nullptr);
  BOOST_TEST(fixture.world.Leader()->name.starts_with("x"));
}

BOOST_AUTO_TEST_CASE(Lead_LeaderOfManyKilled_AnotherLeadsWithin2500Ms) {
  for (const bool all_strong : {false, true}) {
    for (const int weak : {80, 160}) {
      FleetFixture fixture(weak, 6);
      const int passed = fixture.ReplaceLeader(all_strong);
      BOOST_TEST_MESSAGE("all strong " << all_strong << ", weak " << weak
                                       << ": " << passed << " ms");
      BOOST_TEST(passed <= 2500);
      fixture.world.Run(Millis(2000));
      BOOST_REQUIRE(fixture.world.Leader() != nullptr);
      BOOST_TEST(
          fixture.world.Leader()->name.starts_with(all_strong ? "w" : "x"));
    }
  }
}

}  // namespace
}  // namespace doorwood
