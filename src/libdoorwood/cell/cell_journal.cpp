// SPDX-License-Identifier: Apache-2.0

#include "doorwood/cell_journal.h"

#include <algorithm>
#include <utility>

namespace doorwood {
namespace {

constexpr std::string_view kCellFolder = "doorwood/cell/";
constexpr std::string_view kJobFolder = "doorwood/job/";
// Jobs whose keys go in one batch; three keys each.
constexpr size_t kForgottenAtOnce = 4;
// Entries that accepting one job takes: one expectation, two puts.
constexpr size_t kEntriesOfAccept = 3;
constexpr size_t kEntriesOfForgotten = 3;

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

std::string CellPrefix(std::string_view cell) {
  return std::string(kCellFolder) + std::string(cell) + "/";
}

std::string ChainKey(std::string_view cell) {
  return CellPrefix(cell) + "chain";
}

std::string WorkersKey(std::string_view cell) {
  return CellPrefix(cell) + "workers";
}

std::string PlanKey(std::string_view cell, std::string_view job) {
  return CellPrefix(cell) + "plan/" + std::string(job);
}

std::string StateKey(std::string_view cell, std::string_view job) {
  return CellPrefix(cell) + "state/" + std::string(job);
}

std::string JobIdKey(std::string_view job) {
  return std::string(kJobFolder) + std::string(job);
}

std::string EncodeSequence(uint64_t sequence) {
  return Json{{"sequence", sequence}}.dump();
}

uint64_t DecodeSequence(std::string_view text) {
  const auto json = ParseJson(text);
  return json && json->is_object() ? json->value("sequence", uint64_t{0}) : 0;
}

std::string EncodeWorkers(const std::vector<KnownWorker>& workers) {
  Json rows = Json::array();
  for (const KnownWorker& worker : workers) {
    rows.push_back({worker.id, worker.address});
  }
  return rows.dump();
}

std::vector<KnownWorker> DecodeWorkers(std::string_view text) {
  std::vector<KnownWorker> workers;
  const auto json = ParseJson(text);
  if (json && json->is_array()) {
    for (const Json& row : *json) {
      workers.push_back(
          {row.at(0).get<std::string>(), row.at(1).get<std::string>()});
    }
  }
  return workers;
}

CellJournal::CellJournal(Executor& executor,
                         RecordStore& store,
                         EventLog& log,
                         JournalOwner& owner,
                         const JournalOptions& options,
                         std::string cell)
    : executor_(executor),
      store_(store),
      log_(log),
      owner_(owner),
      options_(options),
      cell_(std::move(cell)) {}

void CellJournal::Open(int64_t lead_revision,
                       int64_t chain_revision,
                       uint64_t sequence) {
  ++generation_;
  open_ = true;
  refusing_ = false;
  lead_revision_ = lead_revision;
  chain_revision_ = chain_revision;
  sequence_ = sequence;
}

void CellJournal::Close() {
  open_ = false;
  ++generation_;
  if (timer_ != 0) {
    executor_.Cancel(timer_);
    timer_ = 0;
  }
  auto waiting = std::move(accepts_);
  accepts_.clear();
  auto batch = std::move(batch_);
  batch_.reset();
  dirty_.clear();
  dirty_order_.clear();
  to_forget_.clear();
  ends_.reset();
  workers_changed_ = false;
  probing_ = false;
  for (PendingAccept& accept : waiting) {
    Answer(&accept, CoreErrc::kNoOwner, {});
  }
  if (batch) {
    for (PendingAccept& accept : batch->accepts) {
      Answer(&accept, CoreErrc::kOutcomeUnknown, {});
    }
  }
}

bool CellJournal::IsRecording(std::string_view job) const {
  const auto is_it = [job](const PendingAccept& accept) {
    return accept.plan.id == job;
  };
  return std::any_of(accepts_.begin(), accepts_.end(), is_it) ||
         (batch_ &&
          std::any_of(batch_->accepts.begin(), batch_->accepts.end(), is_it));
}

bool CellJournal::idle() const {
  return !batch_ && accepts_.empty() && dirty_.empty() && !workers_changed_;
}

void CellJournal::Answer(PendingAccept* accept,
                         std::error_code error,
                         AcceptOutcome outcome) {
  if (!accept->answered) {
    accept->answered = true;
    accept->done(error, outcome);
  }
}

void CellJournal::Accept(JobPlan plan, AcceptCallback done) {
  if (!open_) {
    done(CoreErrc::kNoOwner, {});
    return;
  }
  if (refusing_) {
    done(CoreErrc::kStoreUnavailable, {});
    return;
  }
  accepts_.push_back(
      {std::move(plan), std::move(done), executor_.Now() + options_.patience});
  Wake(Millis(0));
}

void CellJournal::MarkDirty(const std::string& job, bool urgent) {
  if (!open_) {
    return;
  }
  if (dirty_.insert(job).second) {
    dirty_order_.push_back(job);
  }
  Wake(urgent ? Millis(0) : options_.delay);
}

void CellJournal::SetWorkers(std::vector<KnownWorker> workers) {
  if (open_) {
    workers_ = std::move(workers);
    workers_changed_ = true;
    Wake(Millis(0));
  }
}

void CellJournal::Forget(const std::string& job) {
  if (open_) {
    to_forget_.insert(job);
    Wake(options_.delay);
  }
}

void CellJournal::Wake(Millis delay) {
  const Instant at = executor_.Now() + delay;
  if (timer_ != 0) {
    if (timer_at_ <= at) {
      return;
    }
    executor_.Cancel(timer_);
  }
  timer_at_ = at;
  timer_ = executor_.Schedule(delay, [this] {
    timer_ = 0;
    Send();
  });
}

// --- Building and sending ---

void CellJournal::Send() {
  if (!open_) {
    return;
  }
  AnswerOverdue();
  if (batch_) {
    return;  // its answer leads on
  }
  if (accepts_.empty() && dirty_.empty() && to_forget_.empty() &&
      !workers_changed_ && !probing_) {
    return;
  }
  batch_ = Build();
  Submit();
}

CellJournal::Batch CellJournal::Build() {
  Batch batch;
  batch.sequence = ++sequence_;
  probing_ = false;
  StoreTransaction& transaction = batch.transaction;
  transaction.expected.push_back({LeadKey(cell_), lead_revision_});
  transaction.expected.push_back({ChainKey(cell_), chain_revision_});
  transaction.puts.push_back({ChainKey(cell_), EncodeSequence(sequence_)});
  if (workers_changed_) {
    workers_changed_ = false;
    batch.workers = workers_;
    transaction.puts.push_back({WorkersKey(cell_), EncodeWorkers(workers_)});
  }
  AddAccepts(&batch);
  AddStates(&batch);
  AddForgotten(&batch);
  return batch;
}

void CellJournal::AddForgotten(Batch* batch) {
  StoreTransaction& transaction = batch->transaction;
  for (auto it = to_forget_.begin();
       it != to_forget_.end() && batch->forgotten.size() < kForgottenAtOnce &&
       transaction.entries() + kEntriesOfForgotten <= kMostTransactionEntries;
       it = to_forget_.erase(it)) {
    batch->forgotten.push_back(*it);
    transaction.removes.push_back(JobIdKey(*it));
    transaction.removes.push_back(PlanKey(cell_, *it));
    transaction.removes.push_back(StateKey(cell_, *it));
  }
}

void CellJournal::AddAccepts(Batch* batch) {
  StoreTransaction& transaction = batch->transaction;
  while (!accepts_.empty() &&
         transaction.entries() + kEntriesOfAccept <= kMostTransactionEntries) {
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

void CellJournal::AddStates(Batch* batch) {
  if (!ends_) {
    ends_ = EndsToRecord{owner_.ListedEnds(), dirty_};
  }
  StoreTransaction& transaction = batch->transaction;
  while (!dirty_order_.empty() &&
         transaction.entries() < kMostTransactionEntries) {
    std::string job = std::move(dirty_order_.front());
    dirty_order_.pop_front();
    dirty_.erase(job);
    transaction.puts.push_back({StateKey(cell_, job), owner_.EncodeState(job)});
    batch->states.push_back(std::move(job));
  }
}

void CellJournal::Submit() {
  ++commits_;
  store_.Commit(batch_->transaction,
                [this, generation = generation_](std::error_code error,
                                                 const StoreCommit& commit) {
                  if (generation == generation_) {
                    OnAnswer(error, commit);
                  }
                });
  // Callers are told in time even if the store is not heard of.
  Wake(options_.patience);
}

// --- Answers ---

void CellJournal::OnAnswer(std::error_code error, const StoreCommit& commit) {
  if (!error) {
    Succeed(commit.revision);
    return;
  }
  if (error == make_error_code(KvErrc::kConflict)) {
    OnConflict(commit);
    return;
  }
  if (!refusing_) {
    log_.Write("warn", "journal", "the store does not take a batch",
               {{"cell", cell_},
                {"sequence", batch_->sequence},
                {"error", error.message()}});
  }
  refusing_ = true;
  if (error == make_error_code(KvErrc::kUnknown)) {
    batch_->unanswered = true;
  }
  if (!batch_->unanswered) {
    OnRefused();
    return;
  }
  AnswerOverdue();
  executor_.Schedule(options_.retry_pause, [this, generation = generation_] {
    if (generation == generation_ && batch_) {
      Submit();
    }
  });
}

void CellJournal::OnRefused() {
  // Surely nothing was done. New jobs are told so at once; what has happened
  // already is kept for the next batch.
  Batch batch = std::move(*batch_);
  batch_.reset();
  for (PendingAccept& accept : batch.accepts) {
    Answer(&accept, CoreErrc::kStoreUnavailable, {});
  }
  batch.accepts.clear();
  for (PendingAccept& accept : accepts_) {
    Answer(&accept, CoreErrc::kStoreUnavailable, {});
  }
  accepts_.clear();
  probing_ = true;  // keeps on asking until the store takes batches again
  TakeBack(std::move(batch));
  Wake(options_.retry_pause);
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

void CellJournal::OnConflict(const StoreCommit& commit) {
  refusing_ = false;
  const StoreItem* lead = FindItem(commit, LeadKey(cell_));
  if (RevisionOf(lead) != lead_revision_) {
    owner_.OnLeadLost("another revision of the lead key stands");
    return;
  }
  const StoreItem* chain = FindItem(commit, ChainKey(cell_));
  const int64_t chain_revision = RevisionOf(chain);
  if (chain_revision != chain_revision_) {
    const uint64_t stands =
        DecodeSequence(chain == nullptr ? "" : chain->value);
    if (stands == batch_->sequence) {
      Succeed(chain_revision);  // the sending without an answer took effect
      return;
    }
    owner_.OnLeadLost("the chain key was written by someone else");
    return;
  }
  // Some of the jobs are known already, here or in another cell.
  Batch batch = std::move(*batch_);
  batch_.reset();
  std::vector<PendingAccept> fresh;
  for (PendingAccept& accept : batch.accepts) {
    if (RevisionOf(FindItem(commit, JobIdKey(accept.plan.id))) != 0) {
      Answer(&accept, {}, AcceptOutcome::kKnownAlready);
    } else {
      fresh.push_back(std::move(accept));
    }
  }
  batch.accepts = std::move(fresh);
  probing_ = true;
  TakeBack(std::move(batch));
  Wake(Millis(0));
}

void CellJournal::Succeed(int64_t revision) {
  if (refusing_) {
    refusing_ = false;
    log_.Write("info", "journal", "the store takes batches again",
               {{"cell", cell_}, {"revision", revision}});
  }
  chain_revision_ = revision;
  Batch batch = std::move(*batch_);
  batch_.reset();
  for (PendingAccept& accept : batch.accepts) {
    owner_.OnAccepted(accept.plan);
    Answer(&accept, {}, AcceptOutcome::kAccepted);
  }
  for (const std::string& job : batch.states) {
    if (!dirty_.contains(job)) {
      owner_.OnStateRecorded(job);
    }
  }
  NoteRecorded(batch.states);
  if (batch.workers) {
    owner_.OnWorkersRecorded(*batch.workers);
  }
  // What did not fit goes at once; otherwise changes are gathered again.
  const bool was_full = batch.transaction.entries() >= kMostTransactionEntries;
  if (!accepts_.empty() || workers_changed_ || (was_full && !dirty_.empty())) {
    Wake(Millis(0));
  } else if (!dirty_.empty() || !to_forget_.empty()) {
    Wake(options_.delay);
  }
}

void CellJournal::NoteRecorded(const std::vector<std::string>& jobs) {
  if (!ends_) {
    return;
  }
  for (const std::string& job : jobs) {
    ends_->jobs.erase(job);
  }
  if (ends_->jobs.empty()) {
    owner_.OnEndsRecorded(ends_->ends);
    ends_.reset();
  }
}

void CellJournal::AnswerOverdue() {
  const Instant now = executor_.Now();
  if (batch_) {
    for (PendingAccept& accept : batch_->accepts) {
      if (accept.until <= now) {
        Answer(&accept, CoreErrc::kOutcomeUnknown, {});
      }
    }
  }
  // Never sent: these are surely not accepted.
  while (!accepts_.empty() && (accepts_.front().until <= now || refusing_)) {
    Answer(&accepts_.front(), CoreErrc::kStoreUnavailable, {});
    accepts_.pop_front();
  }
}

}  // namespace doorwood
