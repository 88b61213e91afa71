// SPDX-License-Identifier: Apache-2.0

#include "doorwood/cell_journal.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace doorwood {
namespace {

constexpr std::string_view kCellFolder = "doorwood/cell/";
constexpr std::string_view kJobFolder = "doorwood/job/";
constexpr std::string_view kChain = "chain";
// Jobs whose keys go in one batch; three keys each.
constexpr size_t kForgottenAtOnce = 4;
// Entries that accepting one job takes: one expectation, two puts.
constexpr size_t kEntriesOfAccept = 3;
constexpr size_t kEntriesOfForgotten = 3;
// Entries of a batch that new jobs leave to states that wait, so that ends are
// recorded while jobs pour in.
constexpr size_t kEntriesForStates = 8;

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

std::string ChainKey(std::string_view cell, size_t lane) {
  const std::string first = CellPrefix(cell) + std::string(kChain);
  return lane == 0 ? first : first + "/" + std::to_string(lane);
}

std::optional<size_t> LaneOfChainKey(std::string_view cell,
                                     std::string_view key) {
  const std::string first = ChainKey(cell, 0);
  if (key == first) {
    return 0;
  }
  if (!key.starts_with(first + "/")) {
    return std::nullopt;
  }
  const std::string_view number = key.substr(first.size() + 1);
  size_t lane = 0;
  const auto parsed =
      std::from_chars(number.data(), number.data() + number.size(), lane);
  return parsed.ec == std::errc() ? std::optional<size_t>(lane) : std::nullopt;
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
      cell_(std::move(cell)),
      flow_(options.flow) {}

void CellJournal::Open(int64_t lead_revision,
                       const std::map<size_t, ChainLink>& chains) {
  ++generation_;
  open_ = true;
  refusing_ = false;
  lead_revision_ = lead_revision;
  lanes_.assign(options_.flow.most_lanes, Lane{});
  for (const auto& [lane, chain] : chains) {
    // A later version may have had more lanes; nobody writes those now.
    if (lane < lanes_.size()) {
      lanes_[lane].chain = chain;
    }
  }
  flow_.Clear();
  last_success_ = Instant{};
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
  auto lanes = std::move(lanes_);
  lanes_.clear();
  dirty_.clear();
  dirty_order_.clear();
  urgent_.clear();
  under_way_.clear();
  to_forget_.clear();
  ends_.reset();
  workers_changed_ = false;
  workers_under_way_ = false;
  probing_ = false;
  flow_.Clear();
  for (PendingAccept& accept : waiting) {
    Answer(&accept, CoreErrc::kNoOwner, {});
  }
  for (Lane& lane : lanes) {
    if (!lane.batch) {
      continue;
    }
    for (PendingAccept& accept : lane.batch->accepts) {
      Answer(&accept, CoreErrc::kOutcomeUnknown, {});
    }
  }
}

bool CellJournal::IsRecording(std::string_view job) const {
  const auto is_it = [job](const PendingAccept& accept) {
    return accept.plan.id == job;
  };
  return std::any_of(accepts_.begin(), accepts_.end(), is_it) ||
         std::any_of(lanes_.begin(), lanes_.end(), [&](const Lane& lane) {
           return lane.batch && std::any_of(lane.batch->accepts.begin(),
                                            lane.batch->accepts.end(), is_it);
         });
}

bool CellJournal::idle() const {
  return flow_.under_way() == 0 && accepts_.empty() && dirty_.empty() &&
         !workers_changed_;
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
  // A job that a batch carries already is not refused: it may be taken.
  const Instant now = executor_.Now();
  const bool too_late =
      refusing_ || flow_.IsSilent(now) || !flow_.IsInTime(accepts_.size());
  if (too_late && !IsRecording(plan.id)) {
    done(CoreErrc::kStoreUnavailable, {});
    return;
  }
  accepts_.push_back(
      {std::move(plan), std::move(done), now + options_.patience});
  Wake(Millis(0));
}

void CellJournal::MarkDirty(const std::string& job, bool urgent) {
  if (!open_) {
    return;
  }
  if (dirty_.insert(job).second) {
    dirty_order_.push_back(job);
  }
  if (urgent) {
    urgent_.insert(job);
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

std::optional<size_t> CellJournal::LaneToSend() const {
  // While the store refuses, one batch at a time asks whether it still does.
  const bool may =
      refusing_ ? flow_.under_way() == 0 : flow_.MaySend(executor_.Now());
  if (!may) {
    return std::nullopt;
  }
  // A lane that must send goes first; otherwise the first that is free.
  std::optional<size_t> first;
  for (size_t lane = 0; lane < lanes_.size(); ++lane) {
    if (lanes_[lane].batch) {
      continue;
    }
    if (lanes_[lane].probing) {
      return lane;
    }
    first = first ? first : lane;
  }
  return first;
}

bool CellJournal::HasSomethingToSend() const {
  return !accepts_.empty() || !dirty_.empty() || !to_forget_.empty() ||
         (workers_changed_ && !workers_under_way_) || probing_ ||
         std::any_of(lanes_.begin(), lanes_.end(), [](const Lane& lane) {
           return lane.probing && !lane.batch;
         });
}

void CellJournal::Send() {
  if (!open_) {
    return;
  }
  AnswerOverdue();
  if (!HasSomethingToSend()) {
    return;
  }
  const auto lane = LaneToSend();
  if (!lane) {
    const Millis pause = flow_.SendPause(executor_.Now());
    if (pause > Millis(0)) {
      Wake(pause);  // otherwise an answer leads on
    }
    return;
  }
  lanes_[*lane].batch = Build(*lane);
  if (lanes_[*lane].batch) {
    Submit(*lane);
  }
}

std::optional<CellJournal::Batch> CellJournal::Build(size_t lane) {
  Batch batch;
  batch.number = ++batches_;
  batch.sequence = lanes_[lane].chain.sequence + 1;
  StoreTransaction& transaction = batch.transaction;
  transaction.expected.push_back({LeadKey(cell_), lead_revision_});
  transaction.expected.push_back(
      {ChainKey(cell_, lane), lanes_[lane].chain.revision});
  transaction.puts.push_back(
      {ChainKey(cell_, lane), EncodeSequence(batch.sequence)});
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
  lanes_[lane].chain.sequence = batch.sequence;
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
  const std::set<std::string> urgent = urgent_;
  for (const std::string& job : urgent) {
    if (batch->transaction.entries() >= kMostTransactionEntries) {
      return;
    }
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

void CellJournal::Submit(size_t lane) {
  ++commits_;
  Batch& batch = *lanes_[lane].batch;
  batch.sent = executor_.Now();
  if (batch.unanswered) {
    flow_.OnSentAgain(lane, batch.sent);
  } else {
    flow_.OnSent(lane, batch.sent);
  }
  store_.Commit(batch.transaction,
                [this, lane, generation = generation_](
                    std::error_code error, const StoreCommit& commit) {
                  if (generation == generation_) {
                    OnAnswer(lane, error, commit);
                  }
                });
  // What is left goes beside it; callers are told in time even if the store is
  // not heard of.
  Wake(HasSomethingToSend() ? options_.flow.spread
                            : options_.flow.silent_after);
}

// --- Answers ---

void CellJournal::OnAnswer(size_t lane,
                           std::error_code error,
                           const StoreCommit& commit) {
  if (!error) {
    Succeed(lane, commit.revision);
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
                {"sequence", batch.sequence},
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
    Answer(&accept, CoreErrc::kStoreUnavailable, {});
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
    if (stands == lanes_[lane].batch->sequence) {
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
    Answer(&accepts_.front(), CoreErrc::kStoreUnavailable, {});
    accepts_.pop_front();
  }
}

void CellJournal::RefuseWaiting() {
  // Never sent: these are surely not accepted.
  auto waiting = std::move(accepts_);
  accepts_.clear();
  for (PendingAccept& accept : waiting) {
    Answer(&accept, CoreErrc::kStoreUnavailable, {});
  }
}

}  // namespace doorwood
