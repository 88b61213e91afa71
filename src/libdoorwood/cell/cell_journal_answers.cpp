// SPDX-License-Identifier: Apache-2.0

// How the store's answers to batches are handled, and what callers are
// answered.

#include <algorithm>
#include <utility>

#include "doorwood/cell_journal.h"

namespace doorwood {
namespace {

const StoreItem* FindItem(const StoreCommit& commit, std::string_view key) {
  const auto found =
      std::find_if(commit.current.begin(), commit.current.end(),
                   [key](const StoreItem& item) { return item.key == key; });
  return found == commit.current.end() ? nullptr : &*found;
}

int64_t RevisionOf(const StoreItem* item) {
  return item == nullptr || item->deleted ? 0 : item->revision;
}

}  // namespace

void CellJournal::OnAnswer(size_t lane,
                           std::error_code error,
                           const StoreCommit& commit) {
  if (!error) {
    const Instant sent = lanes_[lane].batch->sent;
    OnCommitted(lane, commit.revision);
    owner_.OnLeadConfirmed(sent);
    return;
  }
  if (error == make_error_code(KvErrc::kConflict)) {
    OnConflict(lane, commit);
    return;
  }
  const bool unknown = error == make_error_code(KvErrc::kUnknown);
  Batch& batch = *lanes_[lane].batch;
  // A lost answer does not make the store unavailable if the store has
  // confirmed another batch since this one was sent.
  const bool no_success_since_sent = last_success_ < batch.sent;
  if (!store_unavailable_ && (!unknown || no_success_since_sent)) {
    log_.Write("warn", "journal", "store refused a batch or did not answer",
               {{"cell", cell_},
                {"lane", lane},
                {"sequence", lanes_[lane].chain.sequence},
                {"waiting", waiting()},
                {"answer_ms", flow_.answer_time().count()},
                {"error", error.message()}});
    store_unavailable_ = true;
  }
  batch.unanswered = batch.unanswered || unknown;
  if (batch.unanswered) {
    ScheduleResend(lane);
  } else {
    OnRejected(lane);
  }
}

void CellJournal::ScheduleResend(size_t lane) {
  AnswerExpiredAccepts();
  executor_.Schedule(options_.retry_pause,
                     [this, lane, generation = generation_] {
                       if (generation == generation_ && lanes_[lane].batch) {
                         Submit(lane);
                       }
                     });
}

void CellJournal::OnRejected(size_t lane) {
  // The batch certainly had no effect. Its new jobs and all queued ones are
  // rejected at once; changes that have already happened go into a later batch.
  Batch batch = DetachBatch(lane);
  for (PendingAccept& accept : batch.accepts) {
    RejectAccept(&accept);
  }
  batch.accepts.clear();
  RejectQueuedAccepts();
  force_commit_ = true;  // Finds out whether the store accepts batches again.
  Requeue(std::move(batch));
  ScheduleSend(options_.retry_pause);
}

CellJournal::Batch CellJournal::DetachBatch(size_t lane) {
  Batch batch = std::move(*lanes_[lane].batch);
  lanes_[lane].batch.reset();
  flow_.OnAnswered(lane, executor_.Now());
  if (batch.workers) {
    workers_in_flight_ = false;
  }
  for (const std::string& job : batch.states) {
    in_flight_jobs_.erase(job);
  }
  for (const auto& [job, record] : batch.archived) {
    in_flight_jobs_.erase(job);
  }
  for (const std::string& job : batch.removals) {
    in_flight_jobs_.erase(job);
  }
  return batch;
}

void CellJournal::Requeue(Batch batch) {
  workers_changed_ = workers_changed_ || batch.workers.has_value();
  for (const std::string& job : batch.states) {
    if (dirty_.insert(job).second) {
      dirty_order_.push_front(job);
    }
  }
  to_archive_.merge(batch.archived);
  for (const std::string& job : batch.removals) {
    to_remove_.insert(job);
  }
  to_withdraw_.merge(batch.withdrawals);
  for (PendingAccept& accept : batch.accepts) {
    if (IsWithdrawing(accept.plan.id)) {
      RejectAccept(&accept);
    } else if (!accept.answered) {
      accepts_.push_front(std::move(accept));
    }
  }
}

void CellJournal::OnConflict(size_t lane, const StoreCommit& commit) {
  store_unavailable_ = false;
  const StoreItem* lead = FindItem(commit, LeadKey(cell_));
  if (RevisionOf(lead) != lead_revision_) {
    owner_.OnLeadLost("the lead key was changed or removed");
    return;
  }
  const StoreItem* chain = FindItem(commit, ChainKey(cell_, lane));
  const int64_t chain_revision = RevisionOf(chain);
  if (chain_revision != lanes_[lane].chain.revision) {
    const uint64_t stored_sequence =
        DecodeSequence(chain == nullptr ? "" : chain->value);
    if (stored_sequence == lanes_[lane].chain.sequence) {
      // An earlier attempt, which got no answer, took effect.
      OnCommitted(lane, chain_revision);
      return;
    }
    owner_.OnLeadLost("another process changed or removed a chain key");
    return;
  }
  // Some of the new jobs have been accepted or withdrawn before, here or in
  // another cell; or some of the jobs to withdraw have been.
  Batch batch = DetachBatch(lane);
  ResolveWithdrawals(commit, &batch);
  std::vector<PendingAccept> new_accepts;
  for (PendingAccept& accept : batch.accepts) {
    const StoreItem* job_key = FindItem(commit, JobIdKey(accept.plan.id));
    if (RevisionOf(job_key) == accept.withdrawn_at ||
        ResolveAccept(job_key == nullptr ? StoreItem{} : *job_key, &accept)) {
      new_accepts.push_back(std::move(accept));
    }
  }
  batch.accepts = std::move(new_accepts);
  lanes_[lane].force_commit = true;
  Requeue(std::move(batch));
  ScheduleSend(Millis(0));
}

void CellJournal::ResolveWithdrawals(const StoreCommit& commit, Batch* batch) {
  for (auto it = batch->withdrawals.begin(); it != batch->withdrawals.end();) {
    const std::string job = it->first;
    const StoreItem* job_key = FindItem(commit, JobIdKey(job));
    const int64_t revision = RevisionOf(job_key);
    const bool withdrawn = revision != 0 && IsWithdrawnValue(job_key->value);
    if (revision == 0 || (withdrawn && IsInFlight(job))) {
      it->second.withdrawn_at = revision;
      ++it;
      continue;
    }
    it = batch->withdrawals.erase(it);
    if (withdrawn) {
      owner_.OnWithdrawn(job);
    } else if (IsInFlight(job)) {
      recorded_unanswered_.insert(job);
    } else {
      owner_.OnWithdrawalRefused(job);
    }
  }
}

bool CellJournal::ResolveAccept(const StoreItem& job_key,
                                PendingAccept* accept) {
  const int64_t revision = RevisionOf(&job_key);
  if (revision == 0) {
    // The record of the withdrawal was removed.
    accept->withdrawn_at = 0;
    return true;
  }
  if (!IsWithdrawnValue(job_key.value)) {
    CompleteAccept(accept, {}, AcceptOutcome::kAlreadyKnown);
    return false;
  }
  const bool received_later = accept->plan.known_revision >= revision;
  log_.Write("info", "journal", "submission of a withdrawn job",
             {{"job", accept->plan.id},
              {"known_revision", accept->plan.known_revision},
              {"withdrawn_at", revision},
              {"received_later", received_later}});
  if (!received_later || job_key.value != WithdrawnValue(cell_)) {
    RejectAccept(accept);
    return false;
  }
  accept->withdrawn_at = revision;
  return true;
}

void CellJournal::OnAcceptCommitted(PendingAccept* accept) {
  const std::string& job = accept->plan.id;
  to_remove_.erase(job);
  owner_.OnAccepted(accept->plan);
  CompleteAccept(accept, {}, AcceptOutcome::kAccepted);
  if (IsWithdrawing(job)) {
    to_withdraw_.erase(job);
    recorded_unanswered_.erase(job);
    owner_.OnWithdrawalRefused(job);
  }
}

void CellJournal::OnCommitted(size_t lane, int64_t revision) {
  last_success_ = executor_.Now();
  if (store_unavailable_) {
    store_unavailable_ = false;
    log_.Write("info", "journal", "store accepts batches again",
               {{"cell", cell_}, {"lane", lane}, {"revision", revision}});
  }
  lanes_[lane].chain.revision = revision;
  Batch batch = DetachBatch(lane);
  int64_t& newest =
      batch.has_term_end ? newest_with_term_end_ : newest_without_term_end_;
  newest = std::max(newest, revision);
  if (!batch.has_term_end && owner_.PlannedTermEnd()) {
    RequestCommit();  // The newest batch has to have the TermEnd.
  }
  for (PendingAccept& accept : batch.accepts) {
    OnAcceptCommitted(&accept);
  }
  for (const auto& [job, withdrawal] : batch.withdrawals) {
    owner_.OnWithdrawn(job);
  }
  for (const std::string& job : batch.states) {
    owner_.OnEncodedStateStored(job);
    if (!dirty_.contains(job)) {
      owner_.OnNewestStateStored(job);
    }
  }
  for (const auto& [job, record] : batch.archived) {
    DropState(job);
    owner_.OnArchived(job);
  }
  UpdateRecordedEnds(batch);
  if (batch.workers) {
    owner_.OnWorkersRecorded(*batch.workers);
  }
  // New jobs, workers, urgent states, and states that did not fit are sent at
  // once; otherwise changes are gathered again for `JournalOptions::delay`.
  const bool was_full = batch.transaction.entries() >= kMaxTransactionEntries;
  if (!accepts_.empty() || !to_withdraw_.empty() || workers_changed_ ||
      !urgent_.empty() || (was_full && !dirty_.empty())) {
    ScheduleSend(Millis(0));
  } else if (!dirty_.empty() || !to_remove_.empty()) {
    ScheduleSend(options_.delay);
  } else if (!to_archive_.empty()) {
    // Those that did not fit have waited already.
    ScheduleSend(batch.archived.empty() ? options_.archive_delay
                                        : options_.delay);
  }
}

void CellJournal::DropState(const std::string& job) {
  dirty_.erase(job);
  urgent_.erase(job);
  if (ends_) {
    ends_->jobs.erase(job);
  }
}

void CellJournal::UpdateRecordedEnds(const Batch& batch) {
  if (!ends_) {
    return;
  }
  for (const std::string& job : batch.states) {
    const auto awaited = ends_->jobs.find(job);
    if (awaited != ends_->jobs.end() && batch.number >= awaited->second) {
      ends_->jobs.erase(awaited);
    }
  }
  if (ends_->jobs.empty()) {
    owner_.OnEndsRecorded(ends_->ends);
    ends_.reset();
  }
}

void CellJournal::AnswerExpiredAccepts() {
  const Instant now = executor_.Now();
  for (Lane& lane : lanes_) {
    if (!lane.batch) {
      continue;
    }
    for (PendingAccept& accept : lane.batch->accepts) {
      if (accept.deadline <= now) {
        CompleteAccept(&accept, CoreErrc::kOutcomeUnknown, {});
      }
    }
  }
  if (store_unavailable_ || flow_.IsUnresponsive(now)) {
    RejectQueuedAccepts();
  }
  while (!accepts_.empty() && accepts_.front().deadline <= now) {
    RejectAccept(&accepts_.front());
    accepts_.pop_front();
  }
}

void CellJournal::RejectQueuedAccepts() {
  auto waiting = std::move(accepts_);
  accepts_.clear();
  for (PendingAccept& accept : waiting) {
    RejectAccept(&accept);
  }
}

// The call was not sent, or certainly had no effect. The job is therefore not
// accepted, unless a batch in flight carries the same job for an earlier call.
void CellJournal::RejectAccept(PendingAccept* accept) {
  const bool may_be_stored = IsInFlight(accept->plan.id);
  CompleteAccept(
      accept,
      may_be_stored ? CoreErrc::kOutcomeUnknown : CoreErrc::kStoreUnavailable,
      {});
}

}  // namespace doorwood
