// SPDX-License-Identifier: Apache-2.0

/// \file
/// How a cell is led, and what is counted meanwhile.

#ifndef DOORWOOD_CELL_OPTIONS_H_
#define DOORWOOD_CELL_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "doorwood/cell_journal.h"
#include "doorwood/cell_policy.h"
#include "doorwood/lead_proof.h"
#include "doorwood/wave_keeper.h"
#include "doorwood/worker_session.h"

namespace doorwood {

struct CellOptions {
  std::string cell;
  /// Whose workers and leaders the cell has; empty: those of all.
  std::string data_centre;
  WorkerSessionOptions sessions;
  JournalOptions journal;
  LeadProofOptions proof;
  PolicyOptions policy;
  WaveOptions waves;
  /// How often the list of workers is read while leading.
  Millis list_interval{450};
  /// How often it is read which data centres are closed to new work. The
  /// platform's bound is 5 s; with a store that takes 0.4 s to answer, what is
  /// known is 1.1 s old at most.
  Millis closed_interval{700};
  Millis tick{100};
  /// How long a finished job can be asked for.
  Millis keep_finished{150'000};
  /// Pause before a candidate tries again, a step of its rank.
  Millis campaign_step{120};
  /// An instance that has just registered waits so long for the keys of others
  /// that registered at the same time. Machines start within 0.3 s of each
  /// other; a leader of 0.12 processors in place of one of 0.5 cost 540 workers
  /// half of what callers got for as long as it led.
  Millis campaign_settle{300};
  /// How often a candidate, or a reader of the records, tries again.
  Millis retry_pause{150};
  /// How long after its key was last seen to stand a leader is sure enough to
  /// give orders that nothing fences.
  Millis sure_for{2000};
  /// How long after its key was last seen to stand a leader goes on giving
  /// orders, where others may hear the store and take the lead. A successor
  /// waits this long, and a run's lease, before it starts what an unheard
  /// worker may still run.
  Millis unsure_patience{3000};
  /// While workers are unheard after a takeover, or silent, how often that is
  /// recorded; and how long after a takeover for the first time, so that a
  /// leader that is lost soon has not waited in vain.
  Millis unheard_interval{1000};
  Millis first_unheard{250};
  /// A worker that nothing was promised for so long, since it does not answer,
  /// is recorded as unheard. Most of its runs' lease is over then: until the
  /// record says otherwise nothing is prolonged there, also if it answers again
  /// while the store does not.
  Millis silence_recorded{4000};
  /// Bytes that the names of tasks take at most under the workers' key: a third
  /// of the value that the store takes. Beyond it any task may run on the
  /// workers with most of them.
  size_t most_name_bytes = 320'000;
  /// Most looks a second that watching what disturbs what may take: a large
  /// cell looks less often. A look costs a leader some 60 us.
  int watching_looks = 700;
  /// A worker that the list has not named for so long is taken to be leaving:
  /// entries that an outage of the store took are back within 2 s.
  Millis unlisted_patience{2200};
};

/// Figures for the metrics page.
struct CellCounters {
  uint64_t accepted = 0;
  uint64_t starts = 0;
  uint64_t starts_refused = 0;
  uint64_t ends_done = 0;
  uint64_t ends_failed = 0;
  uint64_t ends_lost = 0;
  /// Workers that went down with runs, unasked; jobs given up for that.
  uint64_t worker_crashes = 0;
  uint64_t jobs_given_up = 0;
  /// Ends of runs that the leader had given up before, in the worker's words.
  uint64_t late_done = 0;
  uint64_t late_failed = 0;
  uint64_t late_other = 0;
  /// Times at which a run was found to take far longer than expected.
  uint64_t overdue = 0;
  uint64_t stops = 0;
  uint64_t paces = 0;
  uint64_t takeovers = 0;
  uint64_t step_downs = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_CELL_OPTIONS_H_
