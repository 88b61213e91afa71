// SPDX-License-Identifier: Apache-2.0

// A leader's process is paused for 0.25 to 12 s. A successor may take the lead,
// wait until the runs on workers that it has not contacted must have ended, and
// start the tasks again. On resuming, the old leader first handles answers that
// waited in its sockets; only a later tick detects the pause. The old leader
// may also send an order after a check made before the pause. If it then
// extends the lease of a run, that run must not overlap the successor's run of
// the same task. All in virtual time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "libdoorwood/cell/leader_succession_fixture.h"

namespace doorwood {
namespace {

using fakes::LeaderSuccession;
using fakes::ViolationReport;

// Number of offsets that a test tries; PartitionedLeader_Paused tries twice as
// many. Offsets of 0 to 19 steps lie within the 1.2 s for which a poll waits.
// `CellWorld::Run` rounds each offset up to a multiple of 50 ms.
constexpr int kOffsets = 20;
constexpr Millis kOffsetStep{60};
constexpr Millis kSettleTime{13'000};
// How long a leader continues to order starts and extend leases after its lead
// was last confirmed (`CellOptions::order_grace`).
constexpr Millis kOrderGrace{3000};

std::string Describe(
    std::initializer_list<std::pair<const char*, int64_t>> parameters) {
  std::string text;
  for (const auto& [name, value] : parameters) {
    text += std::string(name) + " " + std::to_string(value) + " ";
  }
  return text;
}

// The store serves the old leader before and after the pause.
BOOST_AUTO_TEST_CASE(OldLeader_Paused_NothingRunsTwice) {
  ViolationReport violation_report;
  for (const bool partitioned : {false, true}) {
    for (int pause = 1000; pause <= 12'000; pause += 250) {
      for (int offset = 0; offset < kOffsets; ++offset) {
        LeaderSuccession trial;
        trial.MaybePartitionOldLeaderFromBoth(partitioned);
        trial.world.Run(kOffsetStep * offset);
        trial.Pause(Millis(pause));
        trial.world.Run(kSettleTime);
        violation_report.Add(Describe({{"partitioned from both", partitioned},
                                       {"pause", pause},
                                       {"offset", offset}}),
                             trial.world);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(OldLeader_PausedTwice_NothingRunsTwice) {
  ViolationReport violation_report;
  for (const bool partitioned : {false, true}) {
    for (int pause = 1000; pause <= 12'000; pause += 250) {
      for (int offset = 0; offset < kOffsets; ++offset) {
        LeaderSuccession trial;
        trial.MaybePartitionOldLeaderFromBoth(partitioned);
        trial.Pause(Millis(pause));
        trial.world.Run(Millis(1 + offset * 10));
        trial.Pause(Millis(pause));
        trial.world.Run(kSettleTime);
        violation_report.Add(Describe({{"partitioned from both", partitioned},
                                       {"pause", pause},
                                       {"between", 1 + offset * 10}}),
                             trial.world);
      }
    }
  }
}

// The old leader cannot reach the store and the other instances. It continues
// to order starts and extend leases for 3 s after its lead was last confirmed,
// and is paused 3 to 5.35 s after the partition.
BOOST_AUTO_TEST_CASE(PartitionedLeader_Paused_NothingRunsTwice) {
  ViolationReport violation_report;
  for (const bool partitioned : {false, true}) {
    for (int pause = 250; pause <= 6000; pause += 250) {
      for (int offset = 0; offset < 2 * kOffsets; ++offset) {
        LeaderSuccession trial;
        trial.MaybePartitionOldLeaderFromBoth(partitioned);
        trial.PartitionOldLeader();
        trial.world.Run(Millis(3000) + kOffsetStep * offset);
        trial.Pause(Millis(pause));
        trial.world.Run(kSettleTime);
        violation_report.Add(
            Describe({{"partitioned from both", partitioned},
                      {"pause", pause},
                      {"partitioned for", 3000 + 60 * offset}}),
            trial.world);
      }
    }
  }
}

// The pause begins within one of the next 300 reads of the clock, so that in
// some cases it lies between a check and the order that follows from the check.
BOOST_AUTO_TEST_CASE(
    PartitionedLeader_PausedBetweenCheckAndOrder_NothingRunsTwice) {
  ViolationReport violation_report;
  for (const bool partitioned : {false, true}) {
    for (int pause = 500; pause <= 5500; pause += 500) {
      for (int call = 1; call <= 300; ++call) {
        LeaderSuccession trial;
        trial.MaybePartitionOldLeaderFromBoth(partitioned);
        trial.PartitionOldLeader();
        const Instant grace_end =
            trial.old_leader->cell->proof().confirmed_at() + kOrderGrace;
        const auto remaining = std::chrono::duration_cast<Millis>(
            grace_end - trial.world.time().now());
        trial.world.Run(remaining - Millis(1300));
        trial.old_leader->executor->PauseInNowCall(call, Millis(pause));
        trial.world.Run(kSettleTime);
        violation_report.Add(Describe({{"partitioned from both", partitioned},
                                       {"pause", pause},
                                       {"call", call}}),
                             trial.world);
      }
    }
  }
}

// As in the previous test, but only every third read of the clock is tried, and
// the store serves the leader: only the pause can make the leader lose the
// lead.
BOOST_AUTO_TEST_CASE(OldLeader_PausedBetweenCheckAndOrder_NothingRunsTwice) {
  ViolationReport violation_report;
  for (const bool partitioned : {false, true}) {
    for (int pause = 3000; pause <= 5750; pause += 250) {
      for (int call = 1; call <= 300; call += 3) {
        LeaderSuccession trial;
        trial.MaybePartitionOldLeaderFromBoth(partitioned);
        trial.old_leader->executor->PauseInNowCall(call, Millis(pause));
        trial.world.Run(kSettleTime + Millis(2000));
        violation_report.Add(Describe({{"partitioned from both", partitioned},
                                       {"pause", pause},
                                       {"call", call}}),
                             trial.world);
      }
    }
  }
}

}  // namespace
}  // namespace doorwood
