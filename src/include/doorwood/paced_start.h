// SPDX-License-Identifier: Apache-2.0

/// \file
/// Starts of best-effort work that would disturb serving tasks on every worker.
///
/// Such work is not placed where the model expects it to disturb others. If
/// that is so on all workers, it would wait for as long as they serve, with
/// most of their memory free. So once a step has waited for long enough and
/// none of its tasks runs, one task is started at pace 0 on the worker where it
/// disturbs least; `DecidePaces` speeds it up as soon as there is headroom that
/// no other work takes.

#ifndef DOORWOOD_PACED_START_H_
#define DOORWOOD_PACED_START_H_

#include "doorwood/cell_policy.h"

namespace doorwood {

/// Whether the best-effort task may be started on `worker` at pace 0 if it may
/// not at full speed. There must be memory and accelerators for it twice over,
/// so that other work finds room beside it, and a pause since the last such
/// start there.
bool AllowsPacedStart(const StepPlan& step, const CandidateWorker& worker);

}  // namespace doorwood

#endif  // DOORWOOD_PACED_START_H_
