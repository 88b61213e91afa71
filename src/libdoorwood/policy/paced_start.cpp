// SPDX-License-Identifier: Apache-2.0

#include "doorwood/paced_start.h"

namespace doorwood {

bool AllowsPacedStart(const StepPlan& step, const CandidateWorker& worker) {
  const Resources after = worker.reserved + step.size + step.size;
  return step.best_effort && !worker.has_new_paced_run &&
         after.memory_mib <= worker.capacity.memory_mib &&
         after.accelerators <= worker.capacity.accelerators;
}

}  // namespace doorwood
