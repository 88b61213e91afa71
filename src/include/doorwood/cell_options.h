// SPDX-License-Identifier: Apache-2.0

/// \file
/// Options and counters of a cell's leader.

#ifndef DOORWOOD_CELL_OPTIONS_H_
#define DOORWOOD_CELL_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "doorwood/cell_journal.h"
#include "doorwood/cell_policy.h"
#include "doorwood/held_tasks.h"
#include "doorwood/job_repetitions.h"
#include "doorwood/lead_proof.h"
#include "doorwood/lead_vacancy.h"
#include "doorwood/upkeep_wave_controller.h"
#include "doorwood/worker_contacts.h"
#include "doorwood/worker_groups.h"
#include "doorwood/worker_session.h"

namespace doorwood {

struct CellOptions {
  std::string cell;
  /// Data centre whose workers and instances belong to the cell; empty: those
  /// of all data centres do.
  std::string data_centre;
  WorkerSessionOptions sessions;
  JournalOptions journal;
  LeadProofOptions proof;
  LeadVacancyOptions vacancy;
  WorkerGroupOptions groups;
  PolicyOptions policy;
  WaveOptions waves;
  JobMemoryLimits job_memory;
  /// Interval between reads of the worker list while leading.
  Millis list_interval{450};
  /// Once the last answer with the closed data centres is this old, the next
  /// tick reads them again. The platform's bound for a closure to take effect
  /// is 5 s. With a store that takes 0.4 s to answer, and unless a read fails,
  /// the state in use is at most 1.6 s old: a read (0.4 s), this interval (0.7
  /// s), a tick (0.1 s) and the next read (0.4 s).
  Millis closed_interval{700};
  Millis tick{100};
  /// How long the state of a finished job is kept.
  Millis finished_job_retention{150'000};
  /// Delay of a candidate's campaign for each candidate on a stronger machine.
  Millis campaign_delay_per_stronger{120};
  /// The same for each candidate that is equally strong and ranks before it.
  /// Shorter, since it matters little which of them leads: the delay only keeps
  /// them from writing at once.
  Millis campaign_delay_per_equal{40};
  /// Delay of a campaign after the instance has registered, or after the store
  /// answers it again, so that it sees the keys of instances that registered at
  /// the same time. Machines start within 0.3 s of each other, and learn within
  /// `LiveOptions::failing_renewal_interval` that the store answers again.
  /// Without the delay an instance on a weak machine can win: while one with
  /// 0.12 processors led 540 workers, callers got half as many results as while
  /// one with 0.5 led.
  Millis campaign_registration_delay{300};
  /// Delay before the next attempt after a failed campaign, a failed read of
  /// the records, or a step-down.
  Millis retry_pause{150};
  /// How long after its key was last confirmed a leader may act without the
  /// protection of a fencing token, for example take a machine down for upkeep.
  Millis lead_confirmed_for{2000};
  /// How long after its newest stored batch was sent a leader continues to
  /// order starts and extend leases; longer only while all other instances have
  /// answered that they cannot reach the store either, so that none can take
  /// the lead. The leases count from that batch, see `LeaseBasis`.
  Millis order_grace{3000};
  /// Interval between records of workers that are not yet contacted after a
  /// takeover or are unresponsive.
  Millis unreachable_record_interval{1000};
  /// Delay of the first such record after a takeover. Short, so that the next
  /// leader can deduct this leader's wait even if this leader is lost soon.
  Millis first_unreachable_record{250};
  /// An unreachable worker whose leases were not extended for this long is
  /// closed to new work: its record lists the tasks that may run there, and
  /// nothing is started there until a newer record does not. Most of the run
  /// lease has elapsed by then. In an outage of the store, a worker that is
  /// closed stays closed.
  Millis unresponsive_close_delay{4000};
  /// A new leader sends its first batch, before which it gives no orders, once
  /// it has contacted all workers, or after this time.
  Millis first_contact_time{150};
  /// A leader sends a batch if none was stored for this long, since leases
  /// count from the newest one.
  Millis lease_basis_interval{200};
  /// Maximum total size of the task names under the workers' key, in bytes: a
  /// third of the largest value that the store accepts. If the names are
  /// longer, the workers with the longest lists in bytes are recorded without a
  /// list, and a successor assumes that any task may run there.
  size_t max_name_bytes = 320'000;
  /// Maximum rate of worker polls for observing interference, per second: in a
  /// large cell each worker is polled less often. The wait between such polls
  /// is limited to `WorkerSessionOptions::long_poll_wait`, so a very large cell
  /// exceeds the rate. A poll costs a leader about 60 us.
  int max_interference_polls = 700;
  WorkerContactOptions contacts;
  /// Upper bound of the platform on the time that a worker takes to stop a run.
  Millis longest_stop{900};
  /// The platform removes an entry that its worker has not written again for
  /// this long.
  Millis max_entry_age{4500};
  /// A worker that was not listed for this long is treated as leaving. Entries
  /// that were lost in an outage of the store are back within 2 s.
  Millis unlisted_grace{2200};
};

/// Counters for the metrics page.
struct CellCounters {
  uint64_t accepted = 0;
  /// Jobs refused because of `JobMemoryLimits`.
  uint64_t refused_for_memory = 0;
  /// Estimated memory of all jobs, as of the last tick.
  uint64_t job_memory_bytes = 0;
  uint64_t starts = 0;
  uint64_t starts_refused = 0;
  /// Starts that were not sent because the network link was full.
  uint64_t starts_not_sent = 0;
  uint64_t ends_done = 0;
  uint64_t ends_failed = 0;
  /// Counted ends of any other kind: stopped runs, expired leases, and runs of
  /// gangs that ended because another member ended or the gang did not start
  /// completely.
  uint64_t ends_lost = 0;
  /// Runs that ended without a report on workers that had announced their
  /// departure or were no longer listed.
  uint64_t runs_lost_at_departure = 0;
  /// Workers that crashed or disappeared while they had runs, except those
  /// evacuated for upkeep.
  uint64_t worker_crashes = 0;
  /// Jobs that were given up because of worker crashes.
  uint64_t jobs_given_up = 0;
  /// Ends that workers reported for runs that the leader did not know or had
  /// considered lost.
  uint64_t late_done = 0;
  uint64_t late_failed = 0;
  uint64_t late_other = 0;
  /// Log lines about runs that take far longer than expected.
  uint64_t overdue = 0;
  /// Backup copies that were started; that ended `done` before the run that
  /// they backed up; that were stopped because that run was done first; and
  /// runs that got none because copies had used up their budget.
  uint64_t copies_started = 0;
  uint64_t copies_won = 0;
  uint64_t copies_stopped = 0;
  uint64_t copies_over_budget = 0;
  uint64_t stops = 0;
  uint64_t paces = 0;
  /// Reads of the list of workers that failed.
  uint64_t directory_reads_failed = 0;
  uint64_t jobs_archived = 0;
  /// Jobs that were not known when they were cancelled; see
  /// `CellJournal::Withdraw`.
  uint64_t jobs_withdrawn = 0;
  /// Time that the newest takeover took to read the records, in ms.
  uint64_t takeover_read_ms = 0;
  /// Tasks that are held back after a takeover, as of the newest line about
  /// them in the log.
  HeldTaskCounts held_tasks;
  /// Times that a worker was set aside; see `WorkerReliability`.
  uint64_t workers_set_aside = 0;
  uint64_t takeovers = 0;
  uint64_t step_downs = 0;
  /// Lead keys that this instance removed because their leader's process was
  /// gone.
  uint64_t leads_removed = 0;
  /// Time for which this instance knew of no lead key, not counting the present
  /// vacancy.
  Millis without_leader{0};
};

}  // namespace doorwood

#endif  // DOORWOOD_CELL_OPTIONS_H_
