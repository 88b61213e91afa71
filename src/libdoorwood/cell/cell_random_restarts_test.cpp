// SPDX-License-Identifier: Apache-2.0

// The random walk of cell_long_running_fault_walk_test with more faults:
// replies of the store are lost, or writes are executed seconds later; workers
// execute orders seconds later; instances announce a planned shutdown, end, and
// restart under their names. Checks the invariants of the simulated cell, above
// all that no task runs twice at a time, and not whether jobs end.

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

#include "libdoorwood/cell/long_running_fault_walk.h"

namespace doorwood {
namespace {

constexpr int kSeeds = 1000;
constexpr int kSteps = 70;
// Share of replies that are lost, and of calls that are executed late.
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

  // Restarts an instance under its name. It remains partitioned from the same
  // workers and instances; its other faults end.
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

BOOST_AUTO_TEST_CASE(Cells_LostAndLateRepliesAndRestarts_NothingRunsTwice) {
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
