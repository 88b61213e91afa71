// SPDX-License-Identifier: Apache-2.0

// The walk of cell_lasting_walk_test with more troubles: answers of the store
// are lost, or it does what it was asked seconds later; workers carry orders
// out seconds later; instances say that they leave, end, and come back under
// their names. Only what runs twice is checked here.

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

#include "libdoorwood/cell/lasting_walk_fixture.h"

namespace doorwood {
namespace {

constexpr int kSeeds = 1000;
constexpr int kSteps = 70;
// Of answers that are lost, and of what is done late.
constexpr double kShare = 0.35;

class ReturningWalk : public fakes::LastingWalk {
 public:
  using LastingWalk::LastingWalk;

 private:
  void Step() override {
    const uint64_t trouble = Pick(22);
    switch (trouble) {
      case 14:
        LeaderOrOther().store_faults.late = kShare;
        return;
      case 15:
        LeaderOrOther().store_faults.answer_lost = kShare;
        return;
      case 16:
        LeaderOrOther().late_orders = kShare;
        return;
      case 17:
        LeaderOrOther().live->AnnounceLeaving();
        return;
      case 18:
      case 19:
        return RestartOne();
      default:
        Play(trouble);
    }
  }

  // Under its name, and reached by whom it was reached.
  void RestartOne() {
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

BOOST_AUTO_TEST_CASE(Cells_LostAndLateAnswersAndReturns_NothingRunsTwice) {
  const char* only = std::getenv("DOORWOOD_SEED");
  const int first = only == nullptr ? 1 : std::atoi(only);
  const int last = only == nullptr ? kSeeds : first;
  fakes::Tally tally;
  for (int seed = first; seed <= last; ++seed) {
    ReturningWalk walk(static_cast<uint64_t>(seed));
    walk.Run(kSteps);
    tally.Take("seed " + std::to_string(seed), walk.world());
  }
}

}  // namespace
}  // namespace doorwood
