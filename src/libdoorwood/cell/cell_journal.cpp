// SPDX-License-Identifier: Apache-2.0

#include "doorwood/cell_journal.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

#include "doorwood/json_reader.h"

namespace doorwood {
namespace {

constexpr std::string_view kCellKeyPrefix = "doorwood/cell/";
constexpr std::string_view kJobKeyPrefix = "doorwood/job/";
// Not the begin of a cell's name, which has no colon.
constexpr std::string_view kWithdrawnPrefix = "withdrawn:";
// Limits the memory for withdrawals while the store does not answer.
constexpr size_t kMaxWithdrawals = 10'000;
constexpr std::string_view kChainKeySuffix = "chain";
constexpr const char* kKeepsToTaskListsField = "keeps_to_names";
constexpr const char* kKeepsToGroupsField = "keeps_to_groups";
constexpr const char* kPlacementsValidField = "places_hold_to";
constexpr const char* kTermEndField = "term_end";
constexpr const char* kBoundedLeasesField = "bounded_leases_epoch";

// Returns an empty optional, which means that any task may run on the worker,
// if the list is not of the form that leaders write.
std::optional<std::vector<std::string>> DecodeTasks(const Json& row) {
  std::vector<std::string> tasks;
  for (const Json& name : row) {
    if (!name.is_string()) {
      return std::nullopt;
    }
    tasks.push_back(name.get<std::string>());
  }
  return row.is_array() ? std::optional(std::move(tasks)) : std::nullopt;
}

// Returns 0, which means that the start time is not known, if the row has none
// of the form that leaders write. Earlier versions wrote none and ignore it.
int64_t DecodeStarted(const Json& row) {
  constexpr size_t kStarted = 4;
  if (row.size() <= kStarted || !row.at(kStarted).is_number_unsigned()) {
    return 0;
  }
  const auto started = row.at(kStarted).get<uint64_t>();
  return started <= static_cast<uint64_t>(kMaxExactInteger)
             ? static_cast<int64_t>(started)
             : 0;
}

bool IsTrue(std::string_view chain_value, const char* field) {
  const auto json = ParseJson(chain_value);
  const bool is_object = json && json->is_object();
  return is_object && json->contains(field) && json->at(field) == true;
}

// Returns 0 if the chain key's value has no valid revision in that field.
int64_t DecodeRevision(std::string_view chain_value, const char* field) {
  const auto revision = DecodeObject(chain_value, [field](const Json& json) {
    return ReadIntegerOr(json, field, 0);
  });
  return std::max<int64_t>(revision.value_or(0), 0);
}

// Returns 0, no group, if the row has none of the form that leaders write.
WorkerGroup DecodeGroup(const Json& row) {
  constexpr size_t kGroup = 6;
  constexpr int64_t kLargest = 1'000'000;
  if (row.size() <= kGroup || !row.at(kGroup).is_number_unsigned()) {
    return 0;
  }
  const auto group = row.at(kGroup).get<uint64_t>();
  return group <= kLargest ? static_cast<WorkerGroup>(group) : 0;
}

size_t SizeOfTaskList(const KnownWorker& worker) {
  constexpr size_t kQuotesAndComma = 3;
  size_t bytes = 0;
  if (worker.tasks) {
    for (const std::string& task : *worker.tasks) {
      bytes += task.size() + kQuotesAndComma;
    }
  }
  return bytes;
}

// An upper bound.
size_t SizeOfRowWithoutTasks(const KnownWorker& worker) {
  constexpr size_t kQuotesAndNumbers = 50;
  constexpr size_t kEvidence = 110;
  constexpr size_t kUnsettled = 16;
  return kQuotesAndNumbers + worker.id.size() + worker.address.size() +
         (worker.evidence ? kEvidence : 0) +
         (worker.unsettled ? kUnsettled : 0);
}

Json EncodeEvidence(const RunEvidence& evidence) {
  return {evidence.runs, evidence.failures, evidence.timed, evidence.log_ratio,
          evidence.log_ratio_squared};
}

// Returns nothing if the row has no evidence of the form that leaders write.
std::optional<RunEvidence> DecodeEvidence(const Json& row) {
  constexpr size_t kEvidence = 5;
  constexpr size_t kNumbers = 5;
  constexpr double kLargest = 1e6;
  if (row.size() <= kEvidence || !row.at(kEvidence).is_array() ||
      row.at(kEvidence).size() != kNumbers) {
    return std::nullopt;
  }
  std::array<double, kNumbers> numbers{};
  for (size_t i = 0; i < kNumbers; ++i) {
    const Json& number = row.at(kEvidence).at(i);
    if (!number.is_number() || std::abs(number.get<double>()) > kLargest) {
      return std::nullopt;
    }
    numbers[i] = number.get<double>();
  }
  const auto [runs, failures, timed, log_ratio, log_ratio_squared] = numbers;
  const bool valid =
      failures >= 0 && runs >= failures && timed >= 0 && log_ratio_squared >= 0;
  return valid ? std::optional(RunEvidence{runs, failures, timed, log_ratio,
                                           log_ratio_squared})
               : std::nullopt;
}

std::optional<KnownWorker> DecodeKnownWorker(const Json& row) {
  try {
    KnownWorker worker;
    worker.id = ToNonEmptyString(row.at(0), "id");
    worker.address = ToNonEmptyString(row.at(1), "address");
    // Earlier versions wrote no third element.
    const int64_t deductible_ms =
        row.size() > 2 ? ToInteger(row.at(2), "unheard", {0, kMaxMillis}) : 0;
    worker.deductible_wait = Millis(deductible_ms);
    if (row.size() > 3) {
      worker.tasks = DecodeTasks(row.at(3));
    }
    worker.started_at = DecodeStarted(row);
    worker.evidence = DecodeEvidence(row);
    worker.group = DecodeGroup(row);
    constexpr size_t kUnsettled = 7;
    worker.unsettled = row.size() > kUnsettled && row.at(kUnsettled) == true;
    const bool valid =
        IsVisibleAscii(worker.id) && IsVisibleAscii(worker.address);
    return valid ? std::optional(std::move(worker)) : std::nullopt;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string CellPrefix(std::string_view cell) {
  return std::string(kCellKeyPrefix) + std::string(cell) + "/";
}

std::string ChainKey(std::string_view cell, size_t lane) {
  const std::string first = CellPrefix(cell) + std::string(kChainKeySuffix);
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
  return std::string(kJobKeyPrefix) + std::string(job);
}

std::string WithdrawnValue(std::string_view cell) {
  return std::string(kWithdrawnPrefix) + std::string(cell);
}

bool IsWithdrawnValue(std::string_view value) {
  return value.starts_with(kWithdrawnPrefix);
}

std::string EncodeChainValue(const ChainValue& value) {
  Json json{{"sequence", value.sequence},
            {kKeepsToTaskListsField, true},
            {kKeepsToGroupsField, value.keeps_to_groups},
            {kPlacementsValidField, value.placements_valid_to},
            {kBoundedLeasesField, value.bounded_leases_epoch}};
  if (value.term_end) {
    json[kTermEndField] = {{"epoch", value.term_end->epoch},
                           {"since_lease_extension_ms",
                            value.term_end->since_lease_extension.count()}};
  }
  return json.dump();
}

uint64_t DecodeSequence(std::string_view text) {
  const auto sequence = DecodeObject(text, [](const Json& json) {
    return ReadInteger(json, "sequence", kIdentifierRange);
  });
  return static_cast<uint64_t>(sequence.value_or(0));
}

bool KeepsToTaskLists(std::string_view text) {
  return IsTrue(text, kKeepsToTaskListsField);
}

bool KeepsToGroups(std::string_view text) {
  return IsTrue(text, kKeepsToGroupsField);
}

int64_t DecodePlacementsValidTo(std::string_view text) {
  return DecodeRevision(text, kPlacementsValidField);
}

int64_t DecodeBoundedLeasesEpoch(std::string_view text) {
  return DecodeRevision(text, kBoundedLeasesField);
}

std::optional<TermEnd> DecodeTermEnd(std::string_view text) {
  const auto term_end =
      DecodeObject(text, [](const Json& json) -> std::optional<TermEnd> {
        const auto found = json.find(kTermEndField);
        if (found == json.end() || !found->is_object()) {
          return std::nullopt;
        }
        return TermEnd{ReadInteger(*found, "epoch", kIdentifierRange),
                       Millis(ReadInteger(*found, "since_lease_extension_ms",
                                          {0, kMaxMillis}))};
      });
  return term_end.value_or(std::nullopt);
}

std::string EncodeWorkers(const std::vector<KnownWorker>& workers) {
  Json rows = Json::array();
  for (const KnownWorker& worker : workers) {
    Json row = {worker.id, worker.address, worker.deductible_wait.count()};
    if (worker.tasks) {
      row.push_back(*worker.tasks);
    }
    if (worker.started_at != 0 || worker.evidence || worker.group != 0 ||
        worker.unsettled) {
      if (!worker.tasks) {
        row.push_back(nullptr);
      }
      row.push_back(worker.started_at);
    }
    if (worker.evidence) {
      row.push_back(EncodeEvidence(*worker.evidence));
    }
    if (worker.group != 0 || worker.unsettled) {
      if (!worker.evidence) {
        row.push_back(nullptr);
      }
      row.push_back(worker.group);
    }
    if (worker.unsettled) {
      row.push_back(true);
    }
    rows.push_back(std::move(row));
  }
  return rows.dump();
}

void LimitTaskLists(size_t max_list_bytes,
                    size_t max_bytes,
                    std::vector<KnownWorker>* workers) {
  size_t row_bytes = 0;
  std::vector<std::pair<size_t, KnownWorker*>> fewest_first;
  for (KnownWorker& worker : *workers) {
    row_bytes += SizeOfRowWithoutTasks(worker);
    fewest_first.emplace_back(SizeOfTaskList(worker), &worker);
  }
  std::stable_sort(
      fewest_first.begin(), fewest_first.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  const size_t left = max_bytes - std::min(row_bytes, max_bytes);
  const size_t limit = std::min(max_list_bytes, left);
  size_t total = 0;
  for (const auto& [bytes, worker] : fewest_first) {
    total += bytes;
    if (total > limit) {
      worker->tasks.reset();
    }
  }
}

std::vector<KnownWorker> DecodeWorkers(std::string_view text) {
  std::vector<KnownWorker> workers;
  const auto json = ParseJson(text);
  if (json && json->is_array()) {
    for (const Json& row : *json) {
      // Skip rows of another form; the other rows stay valid.
      if (auto worker = DecodeKnownWorker(row)) {
        workers.push_back(std::move(*worker));
      }
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
  is_held_ = false;
  store_unavailable_ = false;
  lead_revision_ = lead_revision;
  lanes_.assign(options_.flow.max_lanes, Lane{});
  for (const auto& [lane, chain] : chains) {
    // Another version may have used more lanes. The chain keys of the
    // additional lanes are no longer written.
    if (lane < lanes_.size()) {
      lanes_[lane].chain = chain;
    }
  }
  flow_.Clear();
  last_success_ = Instant{};
  newest_with_term_end_ = 0;
  newest_without_term_end_ = 0;
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
  sealed_urgent_.reset();
  in_flight_jobs_.clear();
  to_archive_.clear();
  to_remove_.clear();
  to_withdraw_.clear();
  recorded_unanswered_.clear();
  ends_.reset();
  workers_changed_ = false;
  workers_in_flight_ = false;
  force_commit_ = false;
  flow_.Clear();
  for (PendingAccept& accept : waiting) {
    CompleteAccept(&accept, CoreErrc::kNoOwner, {});
  }
  for (Lane& lane : lanes) {
    if (!lane.batch) {
      continue;
    }
    for (PendingAccept& accept : lane.batch->accepts) {
      CompleteAccept(&accept, CoreErrc::kOutcomeUnknown, {});
    }
  }
}

bool CellJournal::IsRecording(std::string_view job) const {
  return IsInFlight(job) || std::any_of(accepts_.begin(), accepts_.end(),
                                        [job](const PendingAccept& accept) {
                                          return accept.plan.id == job;
                                        });
}

bool CellJournal::IsInFlight(std::string_view job) const {
  const auto is_this_job = [job](const PendingAccept& accept) {
    return accept.plan.id == job;
  };
  return std::any_of(lanes_.begin(), lanes_.end(), [&](const Lane& lane) {
    return lane.batch && std::any_of(lane.batch->accepts.begin(),
                                     lane.batch->accepts.end(), is_this_job);
  });
}

bool CellJournal::idle() const {
  return flow_.in_flight() == 0 && accepts_.empty() && dirty_.empty() &&
         to_withdraw_.empty() && !workers_changed_;
}

void CellJournal::Seal() {
  if (!sealed_urgent_) {
    sealed_urgent_ = urgent_;
  }
}

bool CellJournal::HasSealedUrgentJobs() const {
  return sealed_urgent_ &&
         std::any_of(
             sealed_urgent_->begin(), sealed_urgent_->end(),
             [this](const std::string& job) { return urgent_.contains(job); });
}

bool CellJournal::is_term_end_stored() const {
  const bool may_be_replaced = std::any_of(
      lanes_.begin(), lanes_.end(),
      [](const Lane& lane) { return lane.batch && !lane.batch->has_term_end; });
  return newest_with_term_end_ > newest_without_term_end_ && !may_be_replaced;
}

bool CellJournal::may_have_term_end() const {
  return newest_with_term_end_ > newest_without_term_end_ ||
         std::any_of(lanes_.begin(), lanes_.end(), [](const Lane& lane) {
           return lane.batch && lane.batch->has_term_end;
         });
}

bool CellJournal::is_drained() const {
  return flow_.in_flight() == 0 && accepts_.empty() && to_withdraw_.empty() &&
         !HasSealedUrgentJobs();
}

void CellJournal::CompleteAccept(PendingAccept* accept,
                                 std::error_code error,
                                 AcceptOutcome outcome) {
  if (!accept->answered) {
    accept->answered = true;
    accept->done(error, outcome);
  }
}

void CellJournal::Accept(JobPlan plan, AcceptCallback done) {
  if (!open_ || (sealed_urgent_ && !IsRecording(plan.id))) {
    done(CoreErrc::kNoOwner, {});
    return;
  }
  // A job that is already being recorded is not refused, since the earlier call
  // may still record it.
  const Instant now = executor_.Now();
  if (IsWithdrawing(plan.id)) {
    PendingAccept refused{std::move(plan), std::move(done), now};
    RejectAccept(&refused);
    return;
  }
  const bool too_late = store_unavailable_ || flow_.IsUnresponsive(now) ||
                        !flow_.IsWithinMaxRecordWait(accepts_.size());
  if (too_late && !IsRecording(plan.id)) {
    done(CoreErrc::kStoreUnavailable, {});
    return;
  }
  accepts_.push_back(
      {std::move(plan), std::move(done), now + options_.caller_timeout});
  ScheduleSend(Millis(0));
}

std::error_code CellJournal::Withdraw(const std::string& job,
                                      std::string record) {
  if (!open_ || sealed_urgent_) {
    return CoreErrc::kNoOwner;
  }
  if (IsWithdrawing(job)) {
    return {};
  }
  if (to_withdraw_.size() >= kMaxWithdrawals) {
    return CoreErrc::kStoreUnavailable;
  }
  to_withdraw_.emplace(job, Withdrawal{std::move(record)});
  std::vector<PendingAccept> taken_back;
  std::erase_if(accepts_, [&](PendingAccept& accept) {
    const bool same = accept.plan.id == job;
    if (same) {
      taken_back.push_back(std::move(accept));
    }
    return same;
  });
  for (PendingAccept& accept : taken_back) {
    RejectAccept(&accept);
  }
  ScheduleSend(Millis(0));
  return {};
}

bool CellJournal::IsWithdrawing(const std::string& job) const {
  return to_withdraw_.contains(job) || recorded_unanswered_.contains(job) ||
         std::any_of(lanes_.begin(), lanes_.end(), [&job](const Lane& lane) {
           return lane.batch && lane.batch->withdrawals.contains(job);
         });
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
  ScheduleSend(urgent ? Millis(0) : options_.delay);
}

void CellJournal::SetWorkers(std::vector<KnownWorker> workers) {
  if (open_) {
    workers_ = std::move(workers);
    workers_changed_ = true;
    ScheduleSend(Millis(0));
  }
}

void CellJournal::Resume() {
  is_held_ = false;
  ScheduleSend(Millis(0));
}

void CellJournal::RequestCommit() {
  if (open_) {
    force_commit_ = true;
    ScheduleSend(Millis(0));
  }
}

void CellJournal::Archive(const std::string& job, std::string record) {
  if (open_) {
    to_archive_.insert_or_assign(job, std::move(record));
    ScheduleSend(options_.archive_delay);
  }
}

void CellJournal::RemoveArchivedJob(const std::string& job) {
  if (open_) {
    to_remove_.insert(job);
    ScheduleSend(options_.delay);
  }
}

void CellJournal::ScheduleSend(Millis delay) {
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

// --- Sending ---

std::optional<size_t> CellJournal::FindLaneToSend() const {
  // While the store does not accept batches, a new one is sent only if none is
  // in flight, to find out whether the store accepts batches again.
  const bool may_send = store_unavailable_ ? flow_.in_flight() == 0
                                           : flow_.MaySend(executor_.Now());
  if (!may_send) {
    return std::nullopt;
  }
  // Returns a free lane whose next batch is forced, or else the first free
  // lane.
  std::optional<size_t> first;
  for (size_t lane = 0; lane < lanes_.size(); ++lane) {
    if (lanes_[lane].batch) {
      continue;
    }
    if (lanes_[lane].force_commit) {
      return lane;
    }
    first = first ? first : lane;
  }
  return first;
}

bool CellJournal::MayArchive() const {
  return !to_archive_.empty() && !sealed_urgent_ && !store_unavailable_ &&
         !flow_.IsUnresponsive(executor_.Now()) &&
         flow_.answer_time() <= options_.max_archive_answer_time;
}

bool CellJournal::HasPendingWork() const {
  if (sealed_urgent_) {
    return !accepts_.empty() || !to_withdraw_.empty() || HasSealedUrgentJobs();
  }
  // Ended jobs alone open no further lane.
  const bool archives = MayArchive() && flow_.in_flight() == 0;
  return !accepts_.empty() || !to_withdraw_.empty() || !dirty_.empty() ||
         !to_remove_.empty() || archives ||
         (workers_changed_ && !workers_in_flight_) || force_commit_ ||
         std::any_of(lanes_.begin(), lanes_.end(), [](const Lane& lane) {
           return lane.force_commit && !lane.batch;
         });
}

void CellJournal::Send() {
  if (!open_) {
    return;
  }
  AnswerExpiredAccepts();
  if (is_held_ || !HasPendingWork()) {
    return;
  }
  const auto lane = FindLaneToSend();
  if (!lane) {
    // An answer or this timer triggers the next send. If no answer comes, the
    // timer lets callers be answered once their deadline has passed.
    const Millis pause = flow_.SendDelay(executor_.Now());
    ScheduleSend(pause > Millis(0) ? pause : options_.flow.min_stall_time);
    return;
  }
  lanes_[*lane].batch = Build(*lane);
  if (lanes_[*lane].batch) {
    Submit(*lane);
  }
}

void CellJournal::Submit(size_t lane) {
  ++commits_;
  Batch& batch = *lanes_[lane].batch;
  batch.sent = executor_.Now();
  if (batch.unanswered) {
    flow_.OnResent(lane, batch.sent);
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
  // Changes that the batch does not carry are sent on another lane. If the
  // store does not respond, the timer also answers callers whose deadline has
  // passed.
  ScheduleSend(HasPendingWork() ? options_.flow.send_interval
                                : options_.flow.unresponsive_after);
}

}  // namespace doorwood
