// SPDX-License-Identifier: Apache-2.0

// What the store's answers to batches mean, and what callers are told.

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
  return item == nullptr || item->gone ? 0 : item->revision;
}

}  // namespace

void CellJournal::OnAnswer(size_t lane,
                           std::error_code error,
                           const StoreCommit& commit) {
  if (!error) {
    const Instant sent = lanes_[lane].batch->sent;
    Succeed(lane, commit.revision);
    owner_.OnLeadShown(sent);
    return;
  }
  if (error == make_error_code(KvErrc::kConflict)) {
    OnConflict(lane, commit);
    return;
  }
  const bool unknown = error == make_error_code(KvErrc::kUnknown);
  Batch& batch = *lanes_[lane].batch;
  // An answer that was lost while others came says nothing of the store.
  const bool silent = last_success_ < batch.sent;
  if (!refusing_ && (!unknown || silent)) {
    log_.Write("warn", "journal", "the store does not take a batch",
               {{"cell", cell_},
                {"lane", lane},
                {"sequence", lanes_[lane].chain.sequence},
                {"waiting", waiting()},
                {"answer_ms", flow_.answer_time().count()},
                {"error", error.message()}});
    refusing_ = true;
  }
  batch.unanswered = batch.unanswered || unknown;
  if (batch.unanswered) {
    OnUnanswered(lane);
  } else {
    OnRefused(lane);
  }
}

void CellJournal::OnUnanswered(size_t lane) {
  AnswerOverdue();
  executor_.Schedule(options_.retry_pause,
                     [this, lane, generation = generation_] {
                       if (generation == generation_ && lanes_[lane].batch) {
                         Submit(lane);
                       }
                     });
}

void CellJournal::OnRefused(size_t lane) {
  // Surely nothing was done. New jobs are told so at once; what has happened
  // already is kept for the next batch.
  Batch batch = Settle(lane);
  for (PendingAccept& accept : batch.accepts) {
    Refuse(&accept);
  }
  batch.accepts.clear();
  RefuseWaiting();
  probing_ = true;  // keeps on asking until the store takes batches again
  TakeBack(std::move(batch));
  Wake(options_.retry_pause);
}

CellJournal::Batch CellJournal::Settle(size_t lane) {
  Batch batch = std::move(*lanes_[lane].batch);
  lanes_[lane].batch.reset();
  flow_.OnAnswered(lane, executor_.Now());
  if (batch.workers) {
    workers_under_way_ = false;
  }
  for (const std::string& job : batch.states) {
    under_way_.erase(job);
  }
  for (const std::string& job : batch.forgotten) {
    under_way_.erase(job);
  }
  return batch;
}

void CellJournal::TakeBack(Batch batch) {
  workers_changed_ = workers_changed_ || batch.workers.has_value();
  for (const std::string& job : batch.states) {
    if (dirty_.insert(job).second) {
      dirty_order_.push_front(job);
    }
  }
  for (const std::string& job : batch.forgotten) {
    to_forget_.insert(job);
  }
  for (PendingAccept& accept : batch.accepts) {
    if (!accept.answered) {
      accepts_.push_front(std::move(accept));
    }
  }
}

void CellJournal::OnConflict(size_t lane, const StoreCommit& commit) {
  refusing_ = false;
  const StoreItem* lead = FindItem(commit, LeadKey(cell_));
  if (RevisionOf(lead) != lead_revision_) {
    owner_.OnLeadLost("another revision of the lead key stands");
    return;
  }
  const StoreItem* chain = FindItem(commit, ChainKey(cell_, lane));
  const int64_t chain_revision = RevisionOf(chain);
  if (chain_revision != lanes_[lane].chain.revision) {
    const uint64_t stands =
        DecodeSequence(chain == nullptr ? "" : chain->value);
    if (stands == lanes_[lane].chain.sequence) {
      // The sending without an answer took effect.
      Succeed(lane, chain_revision);
      return;
    }
    owner_.OnLeadLost("the chain key was written by someone else");
    return;
  }
  // Some of the jobs are known already, here or in another cell.
  Batch batch = Settle(lane);
  std::vector<PendingAccept> fresh;
  for (PendingAccept& accept : batch.accepts) {
    if (RevisionOf(FindItem(commit, JobIdKey(accept.plan.id))) != 0) {
      Answer(&accept, {}, AcceptOutcome::kKnownAlready);
    } else {
      fresh.push_back(std::move(accept));
    }
  }
  batch.accepts = std::move(fresh);
  lanes_[lane].probing = true;
  TakeBack(std::move(batch));
  Wake(Millis(0));
}

void CellJournal::Succeed(size_t lane, int64_t revision) {
  last_success_ = executor_.Now();
  if (refusing_) {
    refusing_ = false;
    log_.Write("info", "journal", "the store takes batches again",
               {{"cell", cell_}, {"lane", lane}, {"revision", revision}});
  }
  lanes_[lane].chain.revision = revision;
  Batch batch = Settle(lane);
  for (PendingAccept& accept : batch.accepts) {
    owner_.OnAccepted(accept.plan);
    Answer(&accept, {}, AcceptOutcome::kAccepted);
  }
  for (const std::string& job : batch.states) {
    owner_.OnStateWritten(job);
    if (!dirty_.contains(job)) {
      owner_.OnStateRecorded(job);
    }
  }
  NoteRecorded(batch);
  if (batch.workers) {
    owner_.OnWorkersRecorded(*batch.workers);
  }
  // What did not fit goes at once; otherwise changes are gathered again.
  const bool was_full = batch.transaction.entries() >= kMostTransactionEntries;
  if (!accepts_.empty() || workers_changed_ || !urgent_.empty() ||
      (was_full && !dirty_.empty())) {
    Wake(Millis(0));
  } else if (!dirty_.empty() || !to_forget_.empty()) {
    Wake(options_.delay);
  }
}

void CellJournal::NoteRecorded(const Batch& batch) {
  if (!ends_) {
    return;
  }
  for (const std::string& job : batch.states) {
    const auto waited_for = ends_->jobs.find(job);
    if (waited_for != ends_->jobs.end() && batch.number >= waited_for->second) {
      ends_->jobs.erase(waited_for);
    }
  }
  if (ends_->jobs.empty()) {
    owner_.OnEndsRecorded(ends_->ends);
    ends_.reset();
  }
}

void CellJournal::AnswerOverdue() {
  const Instant now = executor_.Now();
  for (Lane& lane : lanes_) {
    if (!lane.batch) {
      continue;
    }
    for (PendingAccept& accept : lane.batch->accepts) {
      if (accept.until <= now) {
        Answer(&accept, CoreErrc::kOutcomeUnknown, {});
      }
    }
  }
  if (refusing_ || flow_.IsSilent(now)) {
    RefuseWaiting();
  }
  while (!accepts_.empty() && accepts_.front().until <= now) {
    Refuse(&accepts_.front());
    accepts_.pop_front();
  }
}

void CellJournal::RefuseWaiting() {
  auto waiting = std::move(accepts_);
  accepts_.clear();
  for (PendingAccept& accept : waiting) {
    Refuse(&accept);
  }
}

// Never sent, or surely without effect: not accepted, unless another lane
// carries the same job for an earlier call.
void CellJournal::Refuse(PendingAccept* accept) {
  const bool unsure = IsUnderWay(accept->plan.id);
  Answer(accept,
         unsure ? CoreErrc::kOutcomeUnknown : CoreErrc::kStoreUnavailable, {});
}

}  // namespace doorwood
