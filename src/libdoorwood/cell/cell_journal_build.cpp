// SPDX-License-Identifier: Apache-2.0

// What goes into a batch, and in which order of need.

#include <algorithm>
#include <utility>

#include "doorwood/cell_journal.h"

namespace doorwood {
namespace {

// Jobs whose keys go in one batch; three keys each.
constexpr size_t kForgottenAtOnce = 4;
// Entries that accepting one job takes: one expectation, two puts.
constexpr size_t kEntriesOfAccept = 3;
constexpr size_t kEntriesOfForgotten = 3;
// Entries of a batch that new jobs leave to states that wait, so that ends are
// recorded while jobs pour in.
constexpr size_t kEntriesForStates = 8;

}  // namespace

std::optional<CellJournal::Batch> CellJournal::Build(size_t lane) {
  Batch batch;
  batch.number = ++batches_;
  ChainLink& chain = lanes_[lane].chain;
  const uint64_t sequence = chain.sequence + 1;
  StoreTransaction& transaction = batch.transaction;
  transaction.expected.push_back({LeadKey(cell_), lead_revision_});
  transaction.expected.push_back({ChainKey(cell_, lane), chain.revision});
  transaction.puts.push_back(
      {ChainKey(cell_, lane), EncodeSequence(sequence, owner_.PlacesHoldTo())});
  const size_t bare = transaction.entries();
  NoteEnds();
  AddWorkers(&batch);
  AddUrgent(&batch);
  AddAccepts(&batch);
  AddStates(&batch);
  AddForgotten(&batch);
  if (transaction.entries() == bare && !probing_ && !lanes_[lane].probing) {
    return std::nullopt;
  }
  probing_ = false;
  lanes_[lane].probing = false;
  chain.sequence = sequence;
  return batch;
}

void CellJournal::NoteEnds() {
  if (ends_) {
    return;
  }
  ends_ = EndsToRecord{owner_.ListedEnds(), {}};
  for (const std::string& job : under_way_) {
    ends_->jobs[job] = 0;
  }
  for (const std::string& job : dirty_) {
    ends_->jobs[job] = batches_;
  }
}

void CellJournal::AddWorkers(Batch* batch) {
  if (!workers_changed_ || workers_under_way_) {
    return;
  }
  workers_changed_ = false;
  workers_under_way_ = true;
  batch->workers = workers_;
  batch->transaction.puts.push_back(
      {WorkersKey(cell_), EncodeWorkers(workers_)});
  const bool any_unheard = std::any_of(
      workers_.begin(), workers_.end(),
      [](const auto& worker) { return worker.unheard > Millis(0); });
  if (any_unheard) {
    batch->transaction.puts.push_back(
        {UnheardKey(cell_), std::to_string(batch->number)});
  }
}

void CellJournal::AddForgotten(Batch* batch) {
  StoreTransaction& transaction = batch->transaction;
  for (auto it = to_forget_.begin();
       it != to_forget_.end() && batch->forgotten.size() < kForgottenAtOnce &&
       transaction.entries() + kEntriesOfForgotten <=
           kMostTransactionEntries;) {
    if (!under_way_.insert(*it).second) {
      ++it;
      continue;
    }
    batch->forgotten.push_back(*it);
    transaction.removes.push_back(JobIdKey(*it));
    transaction.removes.push_back(PlanKey(cell_, *it));
    transaction.removes.push_back(StateKey(cell_, *it));
    it = to_forget_.erase(it);
  }
}

void CellJournal::AddAccepts(Batch* batch) {
  StoreTransaction& transaction = batch->transaction;
  const size_t left_to_states = std::min(kEntriesForStates, dirty_.size());
  const size_t most = kMostTransactionEntries - left_to_states;
  while (!accepts_.empty() &&
         transaction.entries() + kEntriesOfAccept <= most) {
    PendingAccept accept = std::move(accepts_.front());
    accepts_.pop_front();
    const std::string& id = accept.plan.id;
    const auto twin = std::find_if(
        batch->accepts.begin(), batch->accepts.end(),
        [&id](const PendingAccept& other) { return other.plan.id == id; });
    if (twin != batch->accepts.end()) {
      // The same job twice at once: the second shares the first one's fate.
      auto both = [first = std::move(twin->done), second = accept.done](
                      std::error_code error, AcceptOutcome outcome) {
        first(error, outcome);
        second(error, outcome);
      };
      twin->done = std::move(both);
      continue;
    }
    transaction.expected.push_back({JobIdKey(id), 0});
    transaction.puts.push_back({JobIdKey(id), cell_});
    transaction.puts.push_back({PlanKey(cell_, id), Json(accept.plan).dump()});
    batch->accepts.push_back(std::move(accept));
  }
}

void CellJournal::AddState(const std::string& job, Batch* batch) {
  dirty_.erase(job);
  urgent_.erase(job);
  under_way_.insert(job);
  batch->transaction.puts.push_back(
      {StateKey(cell_, job), owner_.EncodeState(job)});
  batch->states.push_back(job);
}

void CellJournal::AddUrgent(Batch* batch) {
  for (auto it = urgent_.begin();
       it != urgent_.end() &&
       batch->transaction.entries() < kMostTransactionEntries;) {
    const std::string job = *it++;  // adding it takes it out
    if (!under_way_.contains(job)) {
      AddState(job, batch);
    }
  }
}

void CellJournal::AddStates(Batch* batch) {
  std::deque<std::string> later;
  while (!dirty_order_.empty() &&
         batch->transaction.entries() < kMostTransactionEntries) {
    const std::string job = std::move(dirty_order_.front());
    dirty_order_.pop_front();
    if (!dirty_.contains(job)) {
      continue;  // went as an urgent one
    }
    if (under_way_.contains(job)) {
      later.push_back(job);
    } else {
      AddState(job, batch);
    }
  }
  dirty_order_.insert(dirty_order_.begin(), later.begin(), later.end());
}

}  // namespace doorwood
