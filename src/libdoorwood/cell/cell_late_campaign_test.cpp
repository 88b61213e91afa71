// SPDX-License-Identifier: Apache-2.0

// A try for the lead that gets no answer may be done seconds later, when its
// instance is at a further try, or has won and lost the lead since. The key
// then names an instance that takes itself for a follower: nobody leads for as
// long as that process renews its lease. All in virtual time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "fakes/cell_world.h"

namespace doorwood {
namespace {

using fakes::CellWorld;
using fakes::WorldInstance;

// No leader is needed for longer than a lease, a campaign and the reading of
// the records take once the store is well.
constexpr Millis kLongEnough{15'000};

struct Fixture {
  Fixture() : world(7) {
    world.SetTable({fakes::MakeQueue("queue", 4)});
    world.AddWorker("w1", 8000);
    world.AddInstance("a1", "plaka", 2.0);
    world.AddInstance("b1", "kerameikos");
    world.AddInstance("c1", "pireas");
    old = world.WaitForLeader();
    BOOST_REQUIRE(old != nullptr);
    world.Run(Millis(1000));
  }

  void SetLate(double share) {
    for (const auto& [name, instance] : world.instances()) {
      instance->store_faults.late = share;
    }
  }

  CellWorld world;
  WorldInstance* old = nullptr;
};

// Every try is done 6 s late while the fault lasts.
BOOST_AUTO_TEST_CASE(Campaign_TriesAreDoneLate_SomebodyLeadsInTheEnd) {
  for (int lasts = 6500; lasts <= 12'000; lasts += 500) {
    Fixture fixture;
    CellWorld& world = fixture.world;
    world.Kill(fixture.old->name);
    fixture.SetLate(1.0);
    world.Run(Millis(lasts));
    fixture.SetLate(0);
    world.Run(kLongEnough);
    BOOST_TEST((world.Leader() != nullptr), "late for " << lasts << " ms");
  }
}

// One late try, a winning one, and the lead is lost before the late one is
// done.
BOOST_AUTO_TEST_CASE(Campaign_LateTryIsDoneAfterTheLead_SomebodyLeads) {
  for (int led = 200; led <= 6000; led += 100) {
    Fixture fixture;
    CellWorld& world = fixture.world;
    world.Kill(fixture.old->name);
    fixture.SetLate(1.0);
    world.Run(Millis(2600));
    fixture.SetLate(0);
    WorldInstance* leader = world.WaitForLeader();
    BOOST_REQUIRE(leader != nullptr);
    world.Run(Millis(led));
    // The store takes the key away without a word.
    world.store().Revoke(*leader->live->lease());
    world.Run(kLongEnough);
    BOOST_TEST((world.Leader() != nullptr), "led for " << led << " ms");
  }
}

}  // namespace
}  // namespace doorwood
