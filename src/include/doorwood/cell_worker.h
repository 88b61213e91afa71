// SPDX-License-Identifier: Apache-2.0

/// \file
/// What the leader of a cell keeps about one worker.

#ifndef DOORWOOD_CELL_WORKER_H_
#define DOORWOOD_CELL_WORKER_H_

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "doorwood/cell_journal.h"
#include "doorwood/cell_policy.h"
#include "doorwood/departure.h"
#include "doorwood/types.h"
#include "doorwood/worker_session.h"

namespace doorwood {

/// The leader's state for one worker of the cell.
struct CellWorker {
  /// Value of `submitted_version` that matches no version of a session.
  static constexpr uint64_t kNeverSubmitted =
      std::numeric_limits<uint64_t>::max();

  std::shared_ptr<WorkerSession> session;
  /// Number of `session`, unique in this process.
  uint64_t session_number = 0;
  /// The worker's record as last passed to the journal for the workers' key
  /// or, until then, as read at the takeover. Its address is empty if there
  /// is no such record.
  KnownWorker submitted_record;
  /// The worker's address under the workers' key in the store. Empty: the key
  /// does not name the worker.
  std::optional<std::string> recorded_address;
  /// `KnownWorker::started_at` there.
  int64_t recorded_started_at = 0;
  /// `KnownWorker::unsettled` there.
  bool recorded_unsettled = false;
  /// The worker's group, which it keeps as long as this entry exists, and its
  /// group under the workers' key in the store.
  WorkerGroup group = 0;
  WorkerGroup recorded_group = 0;
  /// The directory, as last read, has an entry for the worker, and that entry
  /// is not rejected (see `entry_rejected`).
  bool listed = false;
  /// Since when the directory has no entry for the worker; zero: it has one,
  /// or was not read yet.
  Instant unlisted_since{};
  /// The directory entry is unreadable, names a data centre outside the cell,
  /// or contradicts this incarnation. Another process is then assumed to have
  /// written the entry. The worker gets no new work; its runs continue.
  bool entry_rejected = false;
  /// What the worker's directory entries say of its departure.
  Departure departure;
  /// No new work is placed on the worker before this time, because its
  /// machine is being evacuated for upkeep. Extended while the evacuation
  /// continues.
  Instant evacuated_until{};
  /// The worker was added from an earlier leader's record. A task that may
  /// still run there is not started while the worker is unaccounted (see
  /// `UnaccountedWorkers`).
  bool from_takeover = false;
  /// `KnownWorker::deductible_wait` of the worker at the takeover, which
  /// shortens the wait for the worker's runs. If not zero, this time includes
  /// the age of the record, as far as the age is known.
  Millis predecessors_waited{0};
  /// `KnownWorker::tasks` of the worker at the takeover. Empty optional: any
  /// task may run there.
  std::optional<std::vector<std::string>> inherited_tasks;
  /// The record in the store may have a `KnownWorker::deductible_wait`
  /// above zero. Since a successor relies on that time, no lease is extended
  /// on the worker until a newer record has the time zero.
  bool renewals_blocked = false;
  /// Whether the worker was closed to new work when `submitted_record` was
  /// passed to the journal. If `IsUncontacted` was true then, or the record
  /// is from the takeover: whether the record has a task list.
  bool submitted_as_closed = false;
  /// `WorkerSession::tasks_version` when `submitted_record` was passed to the
  /// journal; kNeverSubmitted if `IsUncontacted` was true then.
  uint64_t submitted_version = kNeverSubmitted;
  /// The record in the store may list all tasks that may run on the worker.
  /// Since a successor relies on the list, nothing is started on the worker
  /// until a newer record has no such list.
  bool starts_blocked = false;
  /// The incarnation is proven to have ended, and `HandleDeadWorkers` has
  /// confirmed or added the crash notes for it.
  bool death_processed = false;
  /// The worker has responded again, and a record that says so was requested.
  /// Reset when a record of the worker with a `KnownWorker::deductible_wait`
  /// above zero is passed to the journal.
  bool contact_record_pending = false;
  /// The worker gets no new work before this time, because it refused a
  /// start.
  Instant backoff_until{};
  /// The worker's free capacity as last computed for placement.
  CandidateWorker candidate;
  /// `WorkerSession::version` from which `candidate` was computed.
  uint64_t candidate_version = 0;
  /// When `candidate` was computed.
  Instant candidate_at{};
};

}  // namespace doorwood

#endif  // DOORWOOD_CELL_WORKER_H_
