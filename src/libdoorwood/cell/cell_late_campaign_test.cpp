// SPDX-License-Identifier: Apache-2.0

// A campaign write that gets no answer may take effect seconds later, when its
// instance has sent another one or has won and lost the lead since. The lead
// key then names an instance that is on standby. Guards against an instance
// that neither leads nor removes the key: the cell would have no leader as long
// as that instance renewed its lease. The tests run in virtual time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "fakes/cell_world.h"

namespace doorwood {
namespace {

using fakes::CellWorld;
using fakes::WorldInstance;

// Once the store works again, a lease expires, and an instance wins a campaign
// and reads the records, in less than this time.
constexpr Millis kRecoveryTime{15'000};

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

  void SetDelayedWriteShare(double share) {
    for (const auto& [name, instance] : world.instances()) {
      instance->store_faults.delayed_write_share = share;
    }
  }

  CellWorld world;
  WorldInstance* old = nullptr;
};

// Every write takes effect 6 s late while the fault lasts.
BOOST_AUTO_TEST_CASE(Campaign_WritesTakeEffectLate_CellGetsALeader) {
  for (int duration = 6500; duration <= 12'000; duration += 500) {
    Fixture fixture;
    CellWorld& world = fixture.world;
    world.Kill(fixture.old->name);
    fixture.SetDelayedWriteShare(1.0);
    world.Run(Millis(duration));
    fixture.SetDelayedWriteShare(0);
    world.Run(kRecoveryTime);
    BOOST_TEST((world.Leader() != nullptr), "late for " << duration << " ms");
  }
}

// For 2.6 s, each write takes effect only 6 s after it was sent. Then an
// instance wins the lead with a write that is not delayed, and loses it 0.2 to
// 6 s later, before or after the delayed writes take effect.
BOOST_AUTO_TEST_CASE(Campaign_LateWriteAfterLostLead_CellGetsALeader) {
  for (int led = 200; led <= 6000; led += 100) {
    Fixture fixture;
    CellWorld& world = fixture.world;
    world.Kill(fixture.old->name);
    fixture.SetDelayedWriteShare(1.0);
    world.Run(Millis(2600));
    fixture.SetDelayedWriteShare(0);
    WorldInstance* leader = world.WaitForLeader();
    BOOST_REQUIRE(leader != nullptr);
    world.Run(Millis(led));
    // The store removes the key without notice.
    world.store().DropLeaseKeys(*leader->live->lease());
    world.Run(kRecoveryTime);
    BOOST_TEST((world.Leader() != nullptr), "led for " << led << " ms");
  }
}

}  // namespace
}  // namespace doorwood
