// SPDX-License-Identifier: Apache-2.0

// A leader's process stands still for 1 to 12 s while a successor takes the
// lead, waits until what it does not hear is over, and starts it again. When
// the old leader goes on, answers that waited in its sockets are handled before
// the tick that notices the pause, and a check made before the pause may be
// followed by its order after it. Nothing that the old leader prolongs then may
// run beside what the successor starts. All in virtual time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "libdoorwood/cell/lead_trial_fixture.h"

namespace doorwood {
namespace {

using fakes::LeadTrial;
using fakes::Tally;

// Looks wait 1.2 s: twenty moments within one of them.
constexpr int kOffsets = 20;
constexpr Millis kOffsetStep{60};
constexpr Millis kAfterwards{13'000};
// For how long a leader that is not sure goes on.
constexpr Millis kPatience{3000};

std::string Row(std::initializer_list<std::pair<const char*, int64_t>> row) {
  std::string text;
  for (const auto& [name, value] : row) {
    text += std::string(name) + " " + std::to_string(value) + " ";
  }
  return text;
}

// The store serves the old leader up to the pause and after it.
BOOST_AUTO_TEST_CASE(OldLeader_StandsStill_NothingRunsTwice) {
  Tally tally;
  for (const bool part : {false, true}) {
    for (int pause = 1000; pause <= 12'000; pause += 250) {
      for (int offset = 0; offset < kOffsets; ++offset) {
        LeadTrial trial;
        trial.PartWorkers(part);
        trial.world.Run(kOffsetStep * offset);
        trial.Pause(Millis(pause));
        trial.world.Run(kAfterwards);
        tally.Take(
            Row({{"parted", part}, {"pause", pause}, {"offset", offset}}),
            trial.world);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(OldLeader_StandsStillTwice_NothingRunsTwice) {
  Tally tally;
  for (const bool part : {false, true}) {
    for (int pause = 1000; pause <= 12'000; pause += 250) {
      for (int offset = 0; offset < kOffsets; ++offset) {
        LeadTrial trial;
        trial.PartWorkers(part);
        trial.Pause(Millis(pause));
        trial.world.Run(Millis(1 + offset * 10));
        trial.Pause(Millis(pause));
        trial.world.Run(kAfterwards);
        tally.Take(Row({{"parted", part},
                        {"pause", pause},
                        {"between", 1 + offset * 10}}),
                   trial.world);
      }
    }
  }
}

// It is cut off from the store and from the others, goes on for its 3 s, and
// stands still around their end.
BOOST_AUTO_TEST_CASE(CutLeader_StandsStill_NothingRunsTwice) {
  Tally tally;
  for (const bool part : {false, true}) {
    for (int pause = 250; pause <= 6000; pause += 250) {
      for (int offset = 0; offset < 2 * kOffsets; ++offset) {
        LeadTrial trial;
        trial.PartWorkers(part);
        trial.CutOldLeader();
        trial.world.Run(Millis(3000) + kOffsetStep * offset);
        trial.Pause(Millis(pause));
        trial.world.Run(kAfterwards);
        tally.Take(Row({{"parted", part},
                        {"pause", pause},
                        {"cut for", 3000 + 60 * offset}}),
                   trial.world);
      }
    }
  }
}

// A pause in the midst of what it does: between a check and the order that
// follows from it.
BOOST_AUTO_TEST_CASE(CutLeader_StandsStillBetweenCheckAndOrder_NothingTwice) {
  Tally tally;
  for (const bool part : {false, true}) {
    for (int pause = 500; pause <= 5500; pause += 500) {
      for (int call = 1; call <= 300; ++call) {
        LeadTrial trial;
        trial.PartWorkers(part);
        trial.CutOldLeader();
        const Instant patience_ends =
            trial.old->cell->proof().stood_at() + kPatience;
        const auto left = std::chrono::duration_cast<Millis>(
            patience_ends - trial.world.time().now());
        trial.world.Run(left - Millis(1300));
        trial.old->executor->PauseAtNow(call, Millis(pause));
        trial.world.Run(kAfterwards);
        tally.Take(Row({{"parted", part}, {"pause", pause}, {"call", call}}),
                   trial.world);
      }
    }
  }
}

// The same of a leader that the store serves: the pause alone takes the lead.
BOOST_AUTO_TEST_CASE(OldLeader_StandsStillBetweenCheckAndOrder_NothingTwice) {
  Tally tally;
  for (const bool part : {false, true}) {
    for (int pause = 3000; pause <= 5750; pause += 250) {
      for (int call = 1; call <= 300; call += 3) {
        LeadTrial trial;
        trial.PartWorkers(part);
        trial.old->executor->PauseAtNow(call, Millis(pause));
        trial.world.Run(kAfterwards + Millis(2000));
        tally.Take(Row({{"parted", part}, {"pause", pause}, {"call", call}}),
                   trial.world);
      }
    }
  }
}

}  // namespace
}  // namespace doorwood
