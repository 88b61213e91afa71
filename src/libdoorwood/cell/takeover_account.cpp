// SPDX-License-Identifier: Apache-2.0

#include "doorwood/takeover_account.h"

#include <algorithm>

namespace doorwood {
namespace {

Millis TimeSince(Instant then, Instant now) {
  return std::chrono::duration_cast<Millis>(now - then);
}

// An order that this leader sent after the worker's last response may have
// extended leases there.
Millis TimeWithoutResponse(const WorkerSession& session, Instant now) {
  return TimeSince(
      std::max(session.last_response_at(), session.last_lease_order_at()), now);
}

}  // namespace

TakeoverAccount::TakeoverAccount(const TakeoverWaitOptions& options)
    : wait_(options) {}

void TakeoverAccount::Begin(const TakeoverWait::Evidence& evidence,
                            Instant led_since) {
  wait_.Begin(evidence);
  led_since_ = led_since;
  finished_ = false;
}

Millis TakeoverAccount::TimeLeading(Instant now) const {
  return TimeSince(led_since_, now);
}

bool TakeoverAccount::IsUncontacted(const CellWorker& cell_worker) const {
  return cell_worker.from_takeover && !finished_ &&
         !cell_worker.session->fenced() &&
         !cell_worker.session->confirmed_dead();
}

// A report lists a limited number of ends. Until the worker has listed all of
// them, any task that may have run there may have an end that is not listed.
bool TakeoverAccount::HasUnlistedEnds(const CellWorker& cell_worker) const {
  const WorkerSession& session = *cell_worker.session;
  return cell_worker.from_takeover && !finished_ && session.fenced() &&
         !session.all_ends_listed() && !session.dead();
}

Millis TakeoverAccount::RemainingWait(const CellWorker& cell_worker,
                                      Instant now,
                                      Instant proved_at) const {
  if (HasUnlistedEnds(cell_worker)) {
    // While the worker responds, it is waited for until it has listed all its
    // ends; if it stops responding, until no run can be active there.
    return std::max(
        wait_.full() - TimeWithoutResponse(*cell_worker.session, now),
        Millis(0));
  }
  // Nothing runs on a worker whose recorded task list is empty.
  const bool is_empty =
      cell_worker.inherited_tasks && cell_worker.inherited_tasks->empty();
  if (!IsUncontacted(cell_worker) || is_empty) {
    return Millis(0);
  }
  // After the last proof of the lead, another leader may have adopted the runs
  // on the worker, so only the time up to that proof is deducted.
  const Millis waited =
      cell_worker.predecessors_waited + TimeSince(led_since_, proved_at);
  const Millis excess =
      cell_worker.session->settled() ? Millis(0) : wait_.excess_if_unsettled();
  return std::max(wait_.full() + excess + Millis(1) - waited, Millis(0));
}

UnaccountedWorkers TakeoverAccount::FindUnaccounted(
    const std::map<std::string, CellWorker>& workers,
    Instant now,
    Instant proved_at) const {
  UnaccountedWorkers unaccounted;
  for (const auto& [id, cell_worker] : workers) {
    if (RemainingWait(cell_worker, now, proved_at) > Millis(0)) {
      AddTo(id, cell_worker, now, proved_at, &unaccounted);
    }
  }
  return unaccounted;
}

void TakeoverAccount::AddTo(std::string_view worker,
                            const CellWorker& cell_worker,
                            Instant now,
                            Instant proved_at,
                            UnaccountedWorkers* unaccounted) const {
  const Millis left = RemainingWait(cell_worker, now, proved_at);
  const WorkerWait wait =
      HasUnlistedEnds(cell_worker)
          ? WorkerWait{WorkerWaitReason::kEndsNotListed,
                       TimeWithoutResponse(*cell_worker.session, now), left}
          : WorkerWait{WorkerWaitReason::kNotContacted,
                       cell_worker.predecessors_waited + TimeLeading(now),
                       left};
  if (cell_worker.inherited_tasks) {
    unaccounted->Add(worker, wait, *cell_worker.inherited_tasks);
  } else {
    unaccounted->Add(worker, wait, cell_worker.group);
  }
}

}  // namespace doorwood
