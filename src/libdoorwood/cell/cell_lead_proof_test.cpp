// SPDX-License-Identifier: Apache-2.0

// Guards against a leader that was partitioned from the store, has lost the
// lead, and takes a new lease from the store for proof that it still leads.
// Only the lead key proves the lead. Such a leader considered runs ended on
// workers that it could not reach and whose leases had expired. It started
// their tasks again, although its successor had adopted the runs. Nineteen
// tasks once ran twice at the same time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "libdoorwood/cell/partitioned_leader_fixture.h"

namespace doorwood {
namespace {

using fakes::PartitionedLeaderFixture;

// The store answers again before the old leader has learned of its successor.
// Without a worker's report, runs whose lease has expired count as ended only
// once the lead key confirms that the leader still led after the expiry.
BOOST_AUTO_TEST_CASE(PartitionedLeader_IsGrantedANewLease_NothingRunsTwice) {
  for (int duration = 2500; duration <= 9000; duration += 50) {
    PartitionedLeaderFixture fixture;
    fixture.old_leader->unreachable_workers.insert("shared");
    fixture.PartitionOldLeader();
    fixture.world.Run(Millis(duration));
    fixture.old_leader->store_faults = {};
    fixture.world.Run(Millis(6000));
    fixture.ExpectNoViolations("partitioned for " + std::to_string(duration));
  }
}

// The store removes the old leader's keys without notice and without ending the
// lease, as soon as that leader is partitioned. By then, the leader has been
// unable to reach "shared" for 0 to 7 s.
BOOST_AUTO_TEST_CASE(
    PartitionedLeader_KeyIsRemovedBeforeLeaseEnd_NothingRunsTwice) {
  for (int unreachable = 0; unreachable <= 7000; unreachable += 100) {
    PartitionedLeaderFixture fixture;
    fixture.old_leader->unreachable_workers.insert("shared");
    fixture.world.Run(Millis(unreachable));
    fixture.PartitionOldLeader();
    fixture.world.store().DropLeaseKeys(*fixture.old_leader->live->lease());
    fixture.world.Run(Millis(14'000));
    fixture.ExpectNoViolations("unreachable for " +
                               std::to_string(unreachable));
  }
}

}  // namespace
}  // namespace doorwood
