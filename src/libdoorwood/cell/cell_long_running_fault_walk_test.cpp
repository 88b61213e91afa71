// SPDX-License-Identifier: Apache-2.0

// Seeded random faults in a cell with long-running tasks. If a leader wrongly
// takes a run to have ended, the run overlaps with even a much later run of the
// task. Faults are, for example, a store that refuses some or all instances,
// and partitions of instances from each other and from workers. This test
// checks the invariants of CellWorld, for example that no task runs twice at a
// time. cell_random_faults_test checks that jobs end.

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

#include "libdoorwood/cell/long_running_fault_walk.h"

namespace doorwood {
namespace {

constexpr int kSeeds = 400;
constexpr int kSteps = 70;

class BasicFaultWalk : public fakes::LongRunningFaultWalk {
 public:
  using LongRunningFaultWalk::LongRunningFaultWalk;

 private:
  void InjectFaultOrSubmit() override { InjectFault(RandomBelow(16)); }
};

BOOST_AUTO_TEST_CASE(Cells_LongRunningTasksAndRandomFaults_NothingRunsTwice) {
  const char* only = std::getenv("DOORWOOD_SEED");
  const int first = only == nullptr ? 1 : std::atoi(only);
  const int last = only == nullptr ? kSeeds : first;
  fakes::ViolationReport violation_report;
  for (int seed = first; seed <= last; ++seed) {
    BasicFaultWalk walk(static_cast<uint64_t>(seed));
    walk.Run(kSteps);
    violation_report.Add("seed " + std::to_string(seed), walk.world());
  }
}

}  // namespace
}  // namespace doorwood
