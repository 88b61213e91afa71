// SPDX-License-Identifier: Apache-2.0

// The random walk of cell_long_running_fault_walk_test with more faults: the
// store's replies to writes are lost, or writes are executed seconds later;
// workers execute orders seconds later; instances announce a planned shutdown,
// or are killed and restart under their names. Checks the invariants of the
// simulated cell, above all that no task runs twice at a time, and not whether
// jobs end.

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

#include "libdoorwood/cell/long_running_fault_walk.h"

namespace doorwood {
namespace {

constexpr int kSeeds = 1000;
constexpr int kSteps = 70;
// Share of an instance's writes or orders that are executed late, or of its
// writes whose replies are lost, while the respective fault is on.
constexpr double kFaultShare = 0.35;

class RestartWalk : public fakes::LongRunningFaultWalk {
 public:
  using LongRunningFaultWalk::LongRunningFaultWalk;

 private:
  void InjectFaultOrSubmit() override {
    const uint64_t fault = RandomBelow(22);
    switch (fault) {
      case 14:
        LeaderOrRandomInstance().store_faults.delayed_write_share = kFaultShare;
        return;
      case 15:
        LeaderOrRandomInstance().store_faults.lost_reply_share = kFaultShare;
        return;
      case 16:
        LeaderOrRandomInstance().delayed_order_share = kFaultShare;
        return;
      case 17:
        LeaderOrRandomInstance().live->AnnounceLeaving();
        return;
      case 18:
      case 19:
        return RestartInstance();
      default:
        InjectFault(fault);
    }
  }

  // Kills an instance and restarts it under its name. It keeps its
  // `unreachable_workers` and `unreachable_instances`; its other faults end.
  void RestartInstance() {
    auto& before = LeaderOrRandomInstance();
    const std::string name = before.name;
    const auto unreachable_workers = before.unreachable_workers;
    const auto unreachable_instances = before.unreachable_instances;
    world_.Kill(name);
    auto& after =
        world_.AddInstance(name, fakes::LeaderSuccession::DataCentreOf(name));
    after.unreachable_workers = unreachable_workers;
    after.unreachable_instances = unreachable_instances;
  }
};

BOOST_AUTO_TEST_CASE(Cells_LostRepliesLateCallsAndRestarts_NothingRunsTwice) {
  const char* only_seed = std::getenv("DOORWOOD_SEED");
  const int first = only_seed == nullptr ? 1 : std::atoi(only_seed);
  const int last = only_seed == nullptr ? kSeeds : first;
  fakes::ViolationReport violation_report;
  for (int seed = first; seed <= last; ++seed) {
    RestartWalk walk(static_cast<uint64_t>(seed));
    walk.Run(kSteps);
    violation_report.Add("seed " + std::to_string(seed), walk.world());
  }
}

}  // namespace
}  // namespace doorwood
