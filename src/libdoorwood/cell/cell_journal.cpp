// SPDX-License-Identifier: Apache-2.0

#include "doorwood/cell_journal.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "doorwood/json_reader.h"

namespace doorwood {
namespace {

constexpr std::string_view kCellFolder = "doorwood/cell/";
constexpr std::string_view kJobFolder = "doorwood/job/";
constexpr std::string_view kChain = "chain";
constexpr const char* kKeepsToNames = "keeps_to_names";
constexpr const char* kPlacesHoldTo = "places_hold_to";

// Names of another form than a leader writes: any task may run there.
std::optional<std::vector<std::string>> DecodeTasks(const Json& row) {
  std::vector<std::string> runs;
  for (const Json& name : row) {
    if (!name.is_string()) {
      return std::nullopt;
    }
    runs.push_back(name.get<std::string>());
  }
  return row.is_array() ? std::optional(std::move(runs)) : std::nullopt;
}

std::optional<KnownWorker> DecodeKnownWorker(const Json& row) {
  try {
    KnownWorker worker;
    worker.id = ToText(row.at(0), "id");
    worker.address = ToText(row.at(1), "address");
    // Earlier versions wrote no third field.
    const int64_t unheard =
        row.size() > 2 ? ToWhole(row.at(2), "unheard", {0, kMostMillis}) : 0;
    worker.unheard = Millis(unheard);
    if (row.size() > 3) {
      worker.tasks = DecodeTasks(row.at(3));
    }
    const bool usable = IsPlainWord(worker.id) && IsPlainWord(worker.address);
    return usable ? std::optional(std::move(worker)) : std::nullopt;
  } catch (const std::exception&) {
    return std::nullopt;
  }
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

std::string EncodeSequence(uint64_t sequence, int64_t places_hold_to) {
  return Json{{"sequence", sequence},
              {kKeepsToNames, true},
              {kPlacesHoldTo, places_hold_to}}
      .dump();
}

uint64_t DecodeSequence(std::string_view text) {
  const auto sequence = DecodeObject(text, [](const Json& json) {
    return ReadWhole(json, "sequence", kAnyName);
  });
  return static_cast<uint64_t>(sequence.value_or(0));
}

bool KeepsToNames(std::string_view text) {
  const auto json = ParseJson(text);
  const bool is_object = json && json->is_object();
  return is_object && json->contains(kKeepsToNames) &&
         json->at(kKeepsToNames) == true;
}

int64_t DecodePlacesHoldTo(std::string_view text) {
  const auto revision = DecodeObject(text, [](const Json& json) {
    return ReadWholeOr(json, kPlacesHoldTo, 0);
  });
  return std::max<int64_t>(revision.value_or(0), 0);
}

std::string EncodeWorkers(const std::vector<KnownWorker>& workers) {
  Json rows = Json::array();
  for (const KnownWorker& worker : workers) {
    Json row = {worker.id, worker.address, worker.unheard.count()};
    if (worker.tasks) {
      row.push_back(*worker.tasks);
    }
    rows.push_back(std::move(row));
  }
  return rows.dump();
}

std::vector<KnownWorker> DecodeWorkers(std::string_view text) {
  std::vector<KnownWorker> workers;
  const auto json = ParseJson(text);
  if (json && json->is_array()) {
    for (const Json& row : *json) {
      // A row of another form names no worker; the others hold.
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
  last_urgent_.reset();
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
  return IsUnderWay(job) || std::any_of(accepts_.begin(), accepts_.end(),
                                        [job](const PendingAccept& accept) {
                                          return accept.plan.id == job;
                                        });
}

bool CellJournal::IsUnderWay(std::string_view job) const {
  const auto is_it = [job](const PendingAccept& accept) {
    return accept.plan.id == job;
  };
  return std::any_of(lanes_.begin(), lanes_.end(), [&](const Lane& lane) {
    return lane.batch && std::any_of(lane.batch->accepts.begin(),
                                     lane.batch->accepts.end(), is_it);
  });
}

bool CellJournal::idle() const {
  return flow_.under_way() == 0 && accepts_.empty() && dirty_.empty() &&
         !workers_changed_;
}

void CellJournal::Seal() {
  if (!last_urgent_) {
    last_urgent_ = urgent_;
  }
}

bool CellJournal::HasLastUrgent() const {
  return last_urgent_ && std::any_of(last_urgent_->begin(), last_urgent_->end(),
                                     [this](const std::string& job) {
                                       return urgent_.contains(job);
                                     });
}

bool CellJournal::settled() const {
  return flow_.under_way() == 0 && accepts_.empty() && !HasLastUrgent();
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
  if (!open_ || (last_urgent_ && !IsRecording(plan.id))) {
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

void CellJournal::Touch() {
  if (open_) {
    probing_ = true;
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
  if (last_urgent_) {
    return !accepts_.empty() || HasLastUrgent();
  }
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
    // An answer leads on; without one, callers are still told in time.
    const Millis pause = flow_.SendPause(executor_.Now());
    Wake(pause > Millis(0) ? pause : options_.flow.doubt_after);
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

}  // namespace doorwood
