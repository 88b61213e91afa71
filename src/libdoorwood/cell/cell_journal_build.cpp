// SPDX-License-Identifier: Apache-2.0

// Builds batches. `Build` calls the functions that add entries in order of
// priority.

#include <algorithm>
#include <utility>

#include "doorwood/cell_journal.h"
#include "doorwood/ended_jobs.h"

namespace doorwood {
namespace {

// Maximum number of jobs whose keys are removed in one batch.
constexpr size_t kRemovalsPerBatch = 4;
// Entries needed to accept one job: one expectation, two puts; and one removal
// if the job was withdrawn.
constexpr size_t kEntriesPerAccept = 3;
constexpr size_t kEntriesPerWithdrawnAccept = 4;
// Entries needed to withdraw one job: one expectation, two puts.
constexpr size_t kEntriesPerWithdrawal = 3;
// Maximum number of jobs that one batch withdraws while others wait to be
// accepted.
constexpr size_t kWithdrawalsBesideAccepts = 4;
// Entries needed to archive one job: one put, two removals.
constexpr size_t kEntriesPerArchivedJob = 3;
constexpr size_t kEntriesPerRemoval = 2;
// Maximum number of entries of a batch that new jobs leave free for pending
// states, so that ends are recorded even while many jobs arrive.
constexpr size_t kEntriesReservedForStates = 8;

}  // namespace

std::optional<CellJournal::Batch> CellJournal::Build(size_t lane) {
  Batch batch;
  batch.number = ++batches_;
  ChainLink& chain = lanes_[lane].chain;
  const uint64_t sequence = chain.sequence + 1;
  StoreTransaction& transaction = batch.transaction;
  transaction.expected.push_back({LeadKey(cell_), lead_revision_});
  transaction.expected.push_back({ChainKey(cell_, lane), chain.revision});
  transaction.puts.push_back({ChainKey(cell_, lane), ""});
  const size_t base_entries = transaction.entries();
  CaptureEnds();
  AddWorkers(&batch);
  AddUrgentStates(&batch);
  AddWithdrawals(&batch);
  AddAccepts(&batch);
  AddStates(&batch);
  AddArchived(&batch);
  AddRemovals(&batch);
  if (transaction.entries() == base_entries && !force_commit_ &&
      !lanes_[lane].force_commit) {
    return std::nullopt;
  }
  force_commit_ = false;
  lanes_[lane].force_commit = false;
  chain.sequence = sequence;
  // A successor reads the end of the term together with the workers, so the
  // newest records of these have to be stored no later than it.
  const bool workers_stored_with_it =
      !workers_changed_ && (!workers_in_flight_ || batch.workers);
  const auto term_end =
      workers_stored_with_it ? owner_.PlannedTermEnd() : std::nullopt;
  batch.has_term_end = term_end.has_value();
  transaction.puts.front().value =
      EncodeChainValue({sequence, owner_.PlacementsValidTo(), term_end,
                        owner_.AreGroupsKept(), owner_.BoundedLeasesEpoch()});
  return batch;
}

void CellJournal::CaptureEnds() {
  if (ends_) {
    return;
  }
  ends_ = EndsToRecord{owner_.HighestUnrecordedEnds(), {}};
  // A job that is being archived or removed has ended, so that no end of its
  // runs needs a record.
  for (const Lane& lane : lanes_) {
    for (const std::string& job :
         lane.batch ? lane.batch->states : std::vector<std::string>()) {
      ends_->jobs[job] = 0;
    }
  }
  for (const std::string& job : dirty_) {
    ends_->jobs[job] = batches_;
  }
}

void CellJournal::AddWorkers(Batch* batch) {
  if (!workers_changed_ || workers_in_flight_) {
    return;
  }
  workers_changed_ = false;
  workers_in_flight_ = true;
  batch->workers = workers_;
  batch->transaction.puts.push_back(
      {WorkersKey(cell_), EncodeWorkers(workers_)});
  const bool any_deductible_wait = std::any_of(
      workers_.begin(), workers_.end(),
      [](const auto& worker) { return worker.deductible_wait > Millis(0); });
  if (any_deductible_wait) {
    batch->transaction.puts.push_back(
        {DeductibleWaitsKey(cell_), std::to_string(batch->number)});
  }
}

// A batch that holds as many entries as fit is followed by another one at once,
// so ended jobs leave at least one entry free.
void CellJournal::AddArchived(Batch* batch) {
  if (!MayArchive()) {
    return;
  }
  StoreTransaction& transaction = batch->transaction;
  for (auto it = to_archive_.begin();
       it != to_archive_.end() &&
       transaction.entries() + kEntriesPerArchivedJob <
           kMaxTransactionEntries;) {
    const auto& [job, record] = *it;
    if (dirty_.contains(job) || !in_flight_jobs_.insert(job).second) {
      ++it;
      continue;
    }
    transaction.puts.push_back({EndedJobKey(cell_, job), record});
    transaction.removes.push_back(PlanKey(cell_, job));
    transaction.removes.push_back(StateKey(cell_, job));
    batch->archived.insert(to_archive_.extract(it++));
  }
}

void CellJournal::AddRemovals(Batch* batch) {
  StoreTransaction& transaction = batch->transaction;
  for (auto it = to_remove_.begin();
       it != to_remove_.end() && batch->removals.size() < kRemovalsPerBatch &&
       transaction.entries() + kEntriesPerRemoval <= kMaxTransactionEntries;) {
    // A withdrawn job may be accepted by a batch in flight; its key then stays.
    if (IsInFlight(*it) || !in_flight_jobs_.insert(*it).second) {
      ++it;
      continue;
    }
    batch->removals.push_back(*it);
    transaction.removes.push_back(JobIdKey(*it));
    transaction.removes.push_back(EndedJobKey(cell_, *it));
    it = to_remove_.erase(it);
  }
}

void CellJournal::AddWithdrawals(Batch* batch) {
  StoreTransaction& transaction = batch->transaction;
  const size_t limit =
      accepts_.empty() ? kMaxTransactionEntries : kWithdrawalsBesideAccepts;
  while (!to_withdraw_.empty() && batch->withdrawals.size() < limit &&
         transaction.entries() + kEntriesPerWithdrawal <=
             kMaxTransactionEntries) {
    auto withdrawal = to_withdraw_.extract(to_withdraw_.begin());
    const std::string& job = withdrawal.key();
    const Withdrawal& details = withdrawal.mapped();
    transaction.expected.push_back({JobIdKey(job), details.withdrawn_at});
    transaction.puts.push_back({JobIdKey(job), WithdrawnValue(cell_)});
    transaction.puts.push_back({EndedJobKey(cell_, job), details.record});
    batch->withdrawals.insert(std::move(withdrawal));
  }
}

void CellJournal::AddAccepts(Batch* batch) {
  StoreTransaction& transaction = batch->transaction;
  const size_t reserved_for_states =
      std::min(kEntriesReservedForStates, dirty_.size());
  const size_t limit = kMaxTransactionEntries - reserved_for_states;
  while (!accepts_.empty()) {
    const size_t entries = accepts_.front().withdrawn_at == 0
                               ? kEntriesPerAccept
                               : kEntriesPerWithdrawnAccept;
    if (transaction.entries() + entries > limit) {
      break;
    }
    PendingAccept accept = std::move(accepts_.front());
    accepts_.pop_front();
    const std::string& id = accept.plan.id;
    const auto duplicate = std::find_if(
        batch->accepts.begin(), batch->accepts.end(),
        [&id](const PendingAccept& other) { return other.plan.id == id; });
    if (duplicate != batch->accepts.end()) {
      // The same job twice in one batch: the second call gets the answer of the
      // first.
      auto both = [first = std::move(duplicate->done), second = accept.done](
                      std::error_code error, AcceptOutcome outcome) {
        first(error, outcome);
        second(error, outcome);
      };
      duplicate->done = std::move(both);
      continue;
    }
    if (accept.withdrawn_at != 0) {
      if (to_remove_.contains(id) || in_flight_jobs_.contains(id)) {
        RejectAccept(&accept);  // The key is about to be removed.
        continue;
      }
      transaction.removes.push_back(EndedJobKey(cell_, id));
    }
    transaction.expected.push_back({JobIdKey(id), accept.withdrawn_at});
    transaction.puts.push_back({JobIdKey(id), cell_});
    transaction.puts.push_back({PlanKey(cell_, id), Json(accept.plan).dump()});
    batch->accepts.push_back(std::move(accept));
  }
}

void CellJournal::AddState(const std::string& job, Batch* batch) {
  dirty_.erase(job);
  urgent_.erase(job);
  in_flight_jobs_.insert(job);
  batch->transaction.puts.push_back(
      {StateKey(cell_, job), owner_.EncodeState(job)});
  batch->states.push_back(job);
}

void CellJournal::AddUrgentStates(Batch* batch) {
  for (auto it = urgent_.begin();
       it != urgent_.end() &&
       batch->transaction.entries() < kMaxTransactionEntries;) {
    const std::string job = *it++;  // AddState erases it.
    if (!in_flight_jobs_.contains(job)) {
      AddState(job, batch);
    }
  }
}

void CellJournal::AddStates(Batch* batch) {
  std::deque<std::string> later;
  while (!dirty_order_.empty() &&
         batch->transaction.entries() < kMaxTransactionEntries) {
    const std::string job = std::move(dirty_order_.front());
    dirty_order_.pop_front();
    if (!dirty_.contains(job)) {
      continue;  // Already added to this or an earlier batch.
    }
    if (in_flight_jobs_.contains(job)) {
      later.push_back(job);
    } else {
      AddState(job, batch);
    }
  }
  dirty_order_.insert(dirty_order_.begin(), later.begin(), later.end());
}

}  // namespace doorwood
