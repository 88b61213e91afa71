// SPDX-License-Identifier: Apache-2.0

// What a leader records of its workers for a successor: their addresses, how
// long no lease was extended on those that it cannot reach, and which tasks may
// run on those that get no new work.

#include <algorithm>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// Minimum time between two records of the workers, for each worker and each
// listed task in the first record. Applies only if the second record is due to
// changed task lists, or to workers that were closed to new work or opened
// again. All workers are always recorded together, under one key; the pause
// bounds the load on a small machine's network link.
constexpr std::chrono::microseconds kWriteDelayPerEntry{250};
// Delay of the record that says that workers are in contact again, for each
// worker of the cell. Each record names all workers, and after a takeover or an
// outage all of them may report within a second.
constexpr std::chrono::microseconds kContactRecordDelayPerWorker{50};
// While workers are still being contacted for the first time, those that have
// not answered are not recorded as uncontacted for this long: each one recorded
// needs a further record, and a further poll, once it answers.
constexpr Millis kMaxContactingTime{3000};
// Unresponsive workers are recorded only while the newest batch that the store
// took is not older than this.
constexpr Millis kMaxBatchAge{1000};

size_t CountTasks(const KnownWorker& worker) {
  return worker.tasks ? worker.tasks->size() : 0;
}

}  // namespace

std::vector<KnownWorker> CellLeader::BuildWorkerRecords() const {
  std::vector<KnownWorker> known;
  known.reserve(cell_workers_.size());
  for (const auto& [id, cell_worker] : cell_workers_) {
    KnownWorker worker;
    worker.id = id;
    worker.address = cell_worker.session->incarnation().address;
    worker.started_at = cell_worker.session->started_at();
    worker.unsettled = !cell_worker.session->settled();
    worker.deductible_wait = DeductibleWaitToRecord(cell_worker);
    worker.tasks = TasksToRecord(cell_worker);
    worker.group = cell_worker.group;
    if (const RunEvidence* evidence = reliability_.EvidenceToRecord(id)) {
      worker.evidence = *evidence;
    }
    known.push_back(std::move(worker));
  }
  LimitTaskLists(options_.max_name_bytes, kMaxStoredValueBytes, &known);
  return known;
}

void CellLeader::RecordWorkers() {
  std::vector<KnownWorker> known = BuildWorkerRecords();
  size_t entries = known.size();
  for (const KnownWorker& worker : known) {
    CellWorker& cell_worker = cell_workers_.at(worker.id);
    entries += CountTasks(worker);
    if (worker.deductible_wait > Millis(0)) {
      cell_worker.renewals_blocked = true;
      cell_worker.contact_record_pending = false;
      cell_worker.session->SetLeaseExtensionEnd(Instant{});
    }
    cell_worker.starts_blocked =
        cell_worker.starts_blocked || worker.tasks.has_value();
    cell_worker.submitted_record = worker;
    cell_worker.submitted_as_closed = takeover_.IsUncontacted(cell_worker)
                                          ? worker.tasks.has_value()
                                          : IsClosedToNewWork(cell_worker);
    cell_worker.submitted_version = takeover_.IsUncontacted(cell_worker)
                                        ? CellWorker::kNeverSubmitted
                                        : cell_worker.session->tasks_version();
  }
  next_tasks_record_ = executor_.Now() + entries * kWriteDelayPerEntry;
  journal_.SetWorkers(std::move(known));
}

void CellLeader::RequestWorkersRecord() {
  if (workers_record_requested_) {
    return;
  }
  workers_record_requested_ = true;
  const auto delay = std::chrono::duration_cast<Millis>(
      cell_workers_.size() * kContactRecordDelayPerWorker);
  executor_.Schedule(delay, [this, epoch = epoch_] {
    if (leading() && epoch == epoch_ &&
        std::exchange(workers_record_requested_, false)) {
      RecordWorkers();
    }
  });
}

// A successor that cannot reach a worker holds back every task that may run
// there. For a worker that gets no new work, those tasks are known and can only
// become fewer: a task whose end there is recorded need not be held back.
std::optional<std::vector<std::string>> CellLeader::TasksToRecord(
    const CellWorker& cell_worker) const {
  if (takeover_.IsUncontacted(cell_worker) ||
      takeover_.HasUnlistedEnds(cell_worker)) {
    return cell_worker.inherited_tasks;
  }
  if (!IsClosedToNewWork(cell_worker)) {
    return std::nullopt;
  }
  return cell_worker.session->OutstandingTasks();
}

bool CellLeader::IsClosedToNewWork(const CellWorker& cell_worker) const {
  const WorkerSession& session = *cell_worker.session;
  const Instant now = executor_.Now();
  // If `fenced` is false, the worker has not answered a poll of this leader,
  // which therefore started nothing there. Since `IsUncontacted` is false, what
  // earlier leaders may have left there is accounted for.
  if (session.dead() || IsLongUnresponsive(cell_worker) || !session.fenced()) {
    return true;
  }
  if (cell_worker.listed) {
    return session.incarnation().draining;
  }
  const bool gone = cell_worker.unlisted_since != Instant{} &&
                    now - cell_worker.unlisted_since >= options_.unlisted_grace;
  return gone || cell_worker.starts_blocked;
}

bool CellLeader::HasUnrecordedTaskChanges(const CellWorker& cell_worker) const {
  if (takeover_.IsUncontacted(cell_worker)) {
    return false;
  }
  const bool closed = IsClosedToNewWork(cell_worker);
  const bool changed =
      cell_worker.session->tasks_version() != cell_worker.submitted_version;
  return closed != cell_worker.submitted_as_closed || (closed && changed);
}

void CellLeader::RecordTasksOfClosedWorkers() {
  if (!IsLeadConfirmed() || executor_.Now() < next_tasks_record_) {
    return;
  }
  const bool needs_record = std::any_of(
      cell_workers_.begin(), cell_workers_.end(), [this](const auto& entry) {
        return HasUnrecordedTaskChanges(entry.second);
      });
  if (needs_record) {
    RecordWorkers();
  }
}

// If another incarnation answers at the recorded address, a successor takes the
// worker to be dead. Before a worker gets work, the recorded address therefore
// has to be one at which this incarnation has answered. The same holds for the
// start time: a successor takes an incarnation with a later one for the next.
// It looks for a confined job's runs only on workers that the record has in the
// job's group. It counts longer leases only where the record says so.
bool CellLeader::IsIncarnationRecorded(const CellWorker& cell_worker) {
  const WorkerSession& session = *cell_worker.session;
  return session.is_fenced_from_earlier_life() &&
         (session.settled() || cell_worker.recorded_unsettled) &&
         cell_worker.recorded_address == session.incarnation().address &&
         cell_worker.recorded_group == cell_worker.group &&
         (cell_worker.recorded_started_at == 0 ||
          cell_worker.recorded_started_at == session.started_at());
}

void CellLeader::RecordChangedIncarnations() {
  const bool any = std::any_of(
      cell_workers_.begin(), cell_workers_.end(), [](const auto& entry) {
        const CellWorker& cell_worker = entry.second;
        const WorkerSession& session = *cell_worker.session;
        const KnownWorker& submitted = cell_worker.submitted_record;
        return session.fenced() && !session.dead() &&
               ((submitted.started_at != 0 &&
                 submitted.started_at != session.started_at()) ||
                submitted.unsettled == session.settled());
      });
  if (any) {
    RecordWorkers();
  }
}

bool CellLeader::IsLongUnresponsive(const CellWorker& cell_worker) const {
  const WorkerSession& session = *cell_worker.session;
  return session.is_unreachable() &&
         executor_.Now() - session.last_lease_order_at() >=
             options_.unresponsive_close_delay;
}

Millis CellLeader::DeductibleWaitToRecord(const CellWorker& cell_worker) const {
  if (takeover_.IsUncontacted(cell_worker)) {
    // Never zero: a successor that finds a TermEnd takes the worker as
    // contacted then.
    return std::max(cell_worker.predecessors_waited +
                        takeover_.TimeLeading(executor_.Now()),
                    Millis(1));
  }
  // Once this leader has ended its orders, it extends no lease on a worker that
  // does not respond, however short the time without response.
  const WorkerSession& session = *cell_worker.session;
  const bool extends_no_more = orders_ended_ != Instant{} && session.fenced() &&
                               session.last_poll_failed();
  if (!session.is_unreachable() && !extends_no_more) {
    return Millis(0);
  }
  return std::max(std::chrono::duration_cast<Millis>(
                      executor_.Now() - session.last_lease_order_at()),
                  Millis(1));
}

// Lets the next leader deduct from its wait the time in which no lease was
// extended, however soon this leader is lost.
void CellLeader::RecordUnreachableWorkers() {
  const Instant now = executor_.Now();
  if (now - order_limits_.basis().batch_sent() >= kMaxBatchAge ||
      now < next_tasks_record_ ||
      (contacts_.are_waiting() &&
       takeover_.TimeLeading(executor_.Now()) < kMaxContactingTime)) {
    return;
  }
  bool is_new = false;
  bool any = false;
  for (const auto& [id, cell_worker] : cell_workers_) {
    // For an unreachable worker without runs, the time makes no difference to
    // a successor.
    const WorkerSession& session = *cell_worker.session;
    const bool unreachable =
        session.is_unreachable() && !session.runs().empty();
    any = any || unreachable || takeover_.IsUncontacted(cell_worker);
    is_new = is_new || (unreachable && !cell_worker.renewals_blocked);
  }
  const bool is_due =
      now - unreachable_recorded_ >= options_.unreachable_record_interval;
  if (is_new || (any && is_due)) {
    unreachable_recorded_ = now;
    RecordWorkers();
  }
}

// A worker's record by a leader of an earlier version states a time that is too
// long for a successor that relies on `LeaseBasis`.
void CellLeader::RecordBoundedLeases() {
  if (!leases_bounded_ && HaveEarlierLeasesExpired()) {
    RequestWorkersRecord();
  }
}

bool CellLeader::HaveEarlierLeasesExpired() const {
  return takeover_.finished() &&
         takeover_.TimeLeading(executor_.Now()) >=
             takeover_.wait().full_after_earlier_version();
}

void CellLeader::OnWorkersRecorded(const std::vector<KnownWorker>& workers) {
  leases_bounded_ = leases_bounded_ || HaveEarlierLeasesExpired();
  bool changed = false;
  for (const KnownWorker& worker : workers) {
    const auto found = cell_workers_.find(worker.id);
    if (found == cell_workers_.end()) {
      continue;
    }
    CellWorker& cell_worker = found->second;
    // A record in the store also applies to a worker that was added after the
    // record was sent.
    cell_worker.starts_blocked =
        cell_worker.starts_blocked || worker.tasks.has_value();
    if (worker.deductible_wait > Millis(0) && !cell_worker.renewals_blocked) {
      cell_worker.renewals_blocked = true;
      UpdateSessionLimits(cell_worker, OrderDeadline());
    }
    // A newer record that states otherwise may already be pending.
    const KnownWorker& newest = cell_worker.submitted_record;
    if (!worker.tasks && !newest.tasks && cell_worker.starts_blocked) {
      cell_worker.starts_blocked = false;
      changed = true;
    }
    if (worker.deductible_wait == Millis(0) &&
        newest.deductible_wait == Millis(0) && cell_worker.renewals_blocked) {
      cell_worker.renewals_blocked = false;
      UpdateSessionLimits(cell_worker, OrderDeadline());
      cell_worker.session->PollNow();
      changed = true;
    }
    if (cell_worker.recorded_address != worker.address ||
        cell_worker.recorded_started_at != worker.started_at ||
        cell_worker.recorded_unsettled != worker.unsettled ||
        cell_worker.recorded_group != worker.group) {
      cell_worker.recorded_group = worker.group;
      cell_worker.recorded_address = worker.address;
      cell_worker.recorded_started_at = worker.started_at;
      cell_worker.recorded_unsettled = worker.unsettled;
      changed = true;
    }
  }
  if (changed) {
    RequestSchedulingPass();
  }
}

}  // namespace doorwood
