// SPDX-License-Identifier: Apache-2.0

// The random walk of cell_lasting_walk_test with more faults: replies of the
// store are lost, or writes are executed seconds later; workers execute orders
// seconds later; instances announce a planned shutdown, end, and restart under
// their names. Checks only that no task runs twice.

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

#include "libdoorwood/cell/lasting_walk_fixture.h"

namespace doorwood {
namespace {

constexpr int kSeeds = 1000;
constexpr int kSteps = 70;
// Share of replies that are lost, and of calls that are executed late.
constexpr double kFaultShare = 0.35;

class ReturningWalk : public fakes::LastingWalk {
 public:
  using LastingWalk::LastingWalk;

 private:
  void Step() override {
    const uint64_t fault = Pick(22);
    switch (fault) {
      case 14:
        LeaderOrOther().store_faults.late = kFaultShare;
        return;
      case 15:
        LeaderOrOther().store_faults.answer_lost = kFaultShare;
        return;
      case 16:
        LeaderOrOther().late_orders = kFaultShare;
        return;
      case 17:
        LeaderOrOther().live->AnnounceLeaving();
        return;
      case 18:
      case 19:
        return RestartInstance();
      default:
        Play(fault);
    }
  }

  // Restarts an instance under its name, with the same partitions.
  void RestartInstance() {
    auto& before = LeaderOrOther();
    const std::string name = before.name;
    const auto cut_from = before.cut_from;
    const auto cut_from_instances = before.cut_from_instances;
    world_.Kill(name);
    auto& after = world_.AddInstance(name, fakes::LeadTrial::CentreOf(name));
    after.cut_from = cut_from;
    after.cut_from_instances = cut_from_instances;
  }
};

BOOST_AUTO_TEST_CASE(Cells_LostAndLateRepliesAndRestarts_NothingRunsTwice) {
  const char* only_seed = std::getenv("DOORWOOD_SEED");
  const int first = only_seed == nullptr ? 1 : std::atoi(only_seed);
  const int last = only_seed == nullptr ? kSeeds : first;
  fakes::Tally tally;
  for (int seed = first; seed <= last; ++seed) {
    ReturningWalk walk(static_cast<uint64_t>(seed));
    walk.Run(kSteps);
    tally.Take("seed " + std::to_string(seed), walk.world());
  }
}

}  // namespace
}  // namespace doorwood
