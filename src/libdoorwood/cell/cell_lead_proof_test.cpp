// SPDX-License-Identifier: Apache-2.0

// Seen: tasks that ran in one data centre were started a second time in the
// leader's own, nineteen of them at once, and the second runs were stopped
// when somebody heard of the first ones.
// How: the leader had lost the store, and with it the lead. Its successor had
// adopted the runs and kept them. The old leader reached the store again, was
// granted a new lease, and took it for proof that it still led; its own
// promises to workers that it could not hear were over, so it took their runs
// for over.
// Cause: a lead is proved by its key, not by what the store grants or renews.
// Proof: the leader's log names the lease that its lead was taken with, and a
// later one granted just before it called the runs over. With silence believed
// only after a later look at the key nothing below starts twice.

#include <boost/test/unit_test.hpp>
#include <string>

#include "libdoorwood/cell/cut_leader_fixture.h"

namespace doorwood {
namespace {

using fakes::CutLeaderFixture;

// The store is back before the old leader has heard of its successor.
BOOST_AUTO_TEST_CASE(CutLeader_IsGrantedANewLease_StartsNothing) {
  for (int cut = 2500; cut <= 9000; cut += 50) {
    CutLeaderFixture fixture;
    fixture.old->cut_from.insert("shared");
    fixture.CutOldLeader();
    fixture.world.Run(Millis(cut));
    fixture.old->store_faults = {};
    fixture.world.Run(Millis(6000));
    fixture.ExpectNothingBroken("cut for " + std::to_string(cut));
  }
}

// The store takes the keys away at once, without a word about the lease, and
// the worker has been silent for 0 to 7 s.
BOOST_AUTO_TEST_CASE(CutLeader_KeyIsTakenAwayBeforeItsLease_StartsNothing) {
  for (int before = 0; before <= 7000; before += 100) {
    CutLeaderFixture fixture;
    fixture.old->cut_from.insert("shared");
    fixture.world.Run(Millis(before));
    fixture.CutOldLeader();
    fixture.world.store().Revoke(*fixture.old->live->lease());
    fixture.world.Run(Millis(14'000));
    fixture.ExpectNothingBroken("silent for " + std::to_string(before));
  }
}

}  // namespace
}  // namespace doorwood
