// SPDX-License-Identifier: Apache-2.0

#include "doorwood/ingress.h"

#include <algorithm>
#include <utility>

namespace doorwood {

Ingress::Ingress(Executor& executor,
                 RecordStore& store,
                 CellPeers& peers,
                 LiveDirectory& live,
                 EventLog& log,
                 std::vector<CellLeader*> local,
                 const IngressOptions& options)
    : executor_(executor),
      store_(store),
      peers_(peers),
      live_(live),
      log_(log),
      local_(std::move(local)),
      options_(options),
      forecast_(options.forecast),
      returns_(options.returns) {}

void Ingress::Start() {
  PollSummaries();
}

CellLeader* Ingress::LocalLeader(const std::string& cell) const {
  for (CellLeader* leader : local_) {
    if (leader->cell() == cell && leader->leading()) {
      return leader;
    }
  }
  return nullptr;
}

const CellLead* Ingress::ReachableLead(const std::string& cell) const {
  const auto lead = live_.leads().find(cell);
  if (lead == live_.leads().end() ||
      lead->second.instance == live_.self().name) {
    return nullptr;
  }
  const auto known = cells_.find(cell);
  if (known == cells_.end() ||
      known->second.polled_epoch != lead->second.epoch) {
    return &lead->second;  // a new leader that was not polled yet
  }
  const Instant last =
      std::max(known->second.polled_since, known->second.answered_at);
  const bool unresponsive =
      executor_.Now() - last >= options_.leader_answer_timeout;
  return unresponsive ? nullptr : &lead->second;
}

bool Ingress::HasReachableLeader() const {
  return std::any_of(live_.leads().begin(), live_.leads().end(),
                     [this](const auto& entry) {
                       return LocalLeader(entry.first) != nullptr ||
                              ReachableLead(entry.first) != nullptr;
                     });
}

// --- Choosing a cell ---

double Ingress::Load(const std::string& cell) const {
  const auto known = cells_.find(cell);
  if (known == cells_.end() || known->second.summary.cores <= 0) {
    return 0;
  }
  const KnownCell& state = known->second;
  return (state.summary.waiting_work + state.work_sent_since) /
         state.summary.cores;
}

std::vector<std::string> Ingress::CellsByLoad() const {
  std::vector<std::pair<double, std::string>> loads;
  for (const auto& [cell, lead] : live_.leads()) {
    const bool home = cell == live_.self().data_centre;
    loads.emplace_back(Load(cell) - (home ? options_.local_cell_bonus : 0.0),
                       cell);
  }
  std::sort(loads.begin(), loads.end());
  std::vector<std::string> cells;
  for (auto& [load, cell] : loads) {
    cells.push_back(std::move(cell));
  }
  return cells;
}

void Ingress::FindCell(const std::string& job, CellCallback done) {
  const auto known = cell_of_job_.find(job);
  if (known != cell_of_job_.end()) {
    done({}, known->second);
    return;
  }
  for (CellLeader* leader : local_) {
    if (leader->FindJobPhase(job)) {
      done({}, leader->cell());
      return;
    }
  }
  store_.Get(JobIdKey(job), [this, job, done = std::move(done)](
                                std::error_code error, const StoreItem& item) {
    const bool absent = error == make_error_code(KvErrc::kNotFound);
    if (absent || (!error && IsWithdrawnValue(item.value))) {
      log_.Write("info", "ingress", "the store has no such job",
                 {{"job", job},
                  {"withdrawn_at", absent ? 0 : item.revision},
                  {"submitted_here", MayBeAccepted(job)},
                  {"leads", live_.leads().size()}});
      done(CoreErrc::kNotFound, "");
      return;
    }
    if (error) {
      done(CoreErrc::kStoreUnavailable, "");
      return;
    }
    CacheCell(job, item.value);
    done({}, item.value);
  });
}

void Ingress::CacheCell(const std::string& job, const std::string& cell) {
  const auto [place, added] = cell_of_job_.insert_or_assign(job, cell);
  if (!added) {
    return;
  }
  cached_jobs_.push_back(job);
  if (cached_jobs_.size() > options_.max_cached_jobs) {
    cell_of_job_.erase(cached_jobs_.front());
    cached_jobs_.pop_front();
  }
}

// --- Submitting ---

void Ingress::Submit(JobPlan plan, const Caller& caller, SubmitCallback done) {
  ObserveLeads();
  auto submission = std::make_shared<Submission>();
  submission->plan = std::move(plan);
  submission->plan.known_revision = SettledRevision();
  submission->arrived_at = executor_.Now();
  if (caller.time_left) {
    submission->deadline = submission->arrived_at + *caller.time_left;
  }
  submission->is_gone = caller.is_gone;
  submission->done = std::move(done);
  Forward(submission);
}

void Ingress::Forward(const SubmissionPtr& submission) {
  std::vector<std::string> cells = CellsByLoad();
  // A repeated submission is sent to the cell that has the job.
  const auto known = cell_of_job_.find(submission->plan.id);
  if (known != cell_of_job_.end()) {
    cells = {known->second};
  }
  SubmitToFirstAvailableCell(submission, std::move(cells));
}

void Ingress::SubmitToFirstAvailableCell(const SubmissionPtr& submission,
                                         std::vector<std::string> cells) {
  if (cells.empty()) {
    HoldOrRefuse(submission);
    return;
  }
  const std::string cell = cells.front();
  cells.erase(cells.begin());
  SubmitToCell(
      cell, submission->plan,
      [this, submission, cell, cells = std::move(cells)](
          std::error_code error, AcceptOutcome outcome) mutable {
        const bool not_submitted =
            error == make_error_code(PeerErrc::kNotSent) ||
            error == make_error_code(CoreErrc::kNoOwner);
        if (not_submitted) {
          live_.Refresh();
          SubmitToFirstAvailableCell(submission, std::move(cells));
          return;
        }
        if (error == make_error_code(CoreErrc::kNoCapacity) && !cells.empty()) {
          SubmitToFirstAvailableCell(submission, std::move(cells));
          return;
        }
        OnSubmitAnswer(submission, cell, error, outcome);
      });
}

void Ingress::SubmitToCell(const std::string& cell,
                           const JobPlan& plan,
                           CellPeers::SubmitCallback done) {
  if (CellLeader* leader = LocalLeader(cell)) {
    leader->Submit(plan, std::move(done));
    return;
  }
  const CellLead* lead = ReachableLead(cell);
  if (lead == nullptr || IsKnownNotToServe(cell)) {
    done(CoreErrc::kNoOwner, {});
    return;
  }
  peers_.Submit(*lead, plan,
                [this, cell, epoch = lead->epoch, done = std::move(done)](
                    std::error_code error, AcceptOutcome outcome) {
                  if (error) {
                    OnLeaderFails(cell, epoch, error);
                  } else {
                    OnLeaderServes(cell, epoch);
                  }
                  done(error, outcome);
                });
}

void Ingress::OnSubmitAnswer(const SubmissionPtr& submission,
                             const std::string& cell,
                             std::error_code error,
                             AcceptOutcome outcome) {
  const JobPlan& plan = submission->plan;
  if (error == make_error_code(CoreErrc::kStoreUnavailable) ||
      error == make_error_code(CoreErrc::kNoCapacity)) {
    RefuseByLeader(*submission, error);
    return;
  }
  if (error == make_error_code(PeerErrc::kNoAnswer)) {
    error = CoreErrc::kOutcomeUnknown;
  }
  if (error == make_error_code(CoreErrc::kOutcomeUnknown)) {
    RememberUnknownOutcome(plan.id);
  }
  if (!error && outcome == AcceptOutcome::kAccepted) {
    CacheCell(plan.id, cell);
    cells_[cell].work_sent_since += EstimatedWork(plan);
  }
  return_counters_.accepted_after_hold +=
      !error && submission->was_held ? 1 : 0;
  submission->done({error, outcome, Seconds(0)});
}

// --- Calls about existing jobs ---

const CellLead* Ingress::LeadToAskBeforeStore(const std::string& job) const {
  if (live_.leads().size() != 1 || cell_of_job_.contains(job)) {
    return nullptr;
  }
  return ReachableLead(live_.leads().begin()->first);
}

void Ingress::Cancel(const std::string& job, CancelCallback done) {
  const CellLead* lead = LeadToAskBeforeStore(job);
  if (lead == nullptr) {
    CancelInRecordedCell(job, false, std::move(done));
    return;
  }
  peers_.Cancel(*lead, job,
                [this, job, cell = lead->cell,
                 done = std::move(done)](std::error_code error) {
                  if (error == make_error_code(CoreErrc::kNotFound)) {
                    CancelInRecordedCell(job, true, done);
                    return;
                  }
                  if (!error) {
                    CacheCell(job, cell);
                  }
                  done(TranslateCancelError(error));
                });
}

std::error_code Ingress::TranslateCancelError(std::error_code error) {
  // The job is known to be in the cell, so kNotFound only means that the leader
  // has not loaded the job yet.
  if (error == make_error_code(CoreErrc::kNotFound) ||
      error == make_error_code(PeerErrc::kNotSent)) {
    return CoreErrc::kNoOwner;
  }
  if (error == make_error_code(PeerErrc::kNoAnswer)) {
    return CoreErrc::kOutcomeUnknown;
  }
  return error;
}

void Ingress::CancelInRecordedCell(const std::string& job,
                                   bool withdrawn,
                                   CancelCallback done) {
  const bool cached = cell_of_job_.contains(job);
  FindCell(job, [this, job, withdrawn, cached, done = std::move(done)](
                    std::error_code error, const std::string& cell) {
    if (error == make_error_code(CoreErrc::kNotFound) && !withdrawn) {
      Withdraw(job, done);
      return;
    }
    if (error) {
      done(error);
      return;
    }
    CancelInCell(cell, job, [this, job, cached, done](std::error_code result) {
      const bool not_found = result == make_error_code(CoreErrc::kNotFound);
      if (not_found && cached) {
        cell_of_job_.erase(job);
        CancelInRecordedCell(job, true, done);
        return;
      }
      done(TranslateCancelError(result));
    });
  });
}

void Ingress::CancelInCell(const std::string& cell,
                           const std::string& job,
                           CancelCallback done) {
  if (CellLeader* leader = LocalLeader(cell)) {
    leader->Cancel(job, std::move(done));
  } else if (const CellLead* lead = ReachableLead(cell)) {
    peers_.Cancel(*lead, job, std::move(done));
  } else {
    done(CoreErrc::kNoOwner);
  }
}

void Ingress::Withdraw(const std::string& job, CancelCallback done) {
  for (const std::string& cell : CellsByLoad()) {
    if (LocalLeader(cell) == nullptr && ReachableLead(cell) == nullptr) {
      continue;
    }
    CancelInCell(cell, job, [done = std::move(done)](std::error_code error) {
      const bool not_found = error == make_error_code(CoreErrc::kNotFound);
      done(not_found ? error : TranslateCancelError(error));
    });
    return;
  }
  done(CoreErrc::kNoOwner);
}

void Ingress::FetchJobState(const std::string& job, StateCallback done) {
  const CellLead* lead = LeadToAskBeforeStore(job);
  if (lead == nullptr) {
    FetchStateFromRecordedCell(job, false, std::move(done));
    return;
  }
  peers_.FetchJobState(
      *lead, job,
      [this, job, cell = lead->cell, done = std::move(done)](
          std::error_code error, JobPhase phase) {
        if (error == make_error_code(CoreErrc::kNotFound)) {
          FetchStateFromRecordedCell(job, true, done);
          return;
        }
        if (!error) {
          CacheCell(job, cell);
        }
        done(error ? make_error_code(CoreErrc::kNoOwner) : error, phase);
      });
}

void Ingress::FetchStateFromRecordedCell(const std::string& job,
                                         bool denied,
                                         StateCallback done) {
  const bool cached = cell_of_job_.contains(job);
  FindCell(job, [this, job, denied, cached, done = std::move(done)](
                    std::error_code error, const std::string& cell) {
    if (error == make_error_code(CoreErrc::kNotFound) && !denied) {
      FetchStateOfUnrecordedJob(job, CellsByLoad(), done);
      return;
    }
    if (error) {
      done(error, {});
      return;
    }
    FetchStateFromCell(
        cell, job,
        [this, job, cached, done](std::error_code result, JobPhase phase) {
          const bool not_found = result == make_error_code(CoreErrc::kNotFound);
          if (not_found && cached) {
            cell_of_job_.erase(job);
            FetchStateFromRecordedCell(job, true, done);
            return;
          }
          done(result ? make_error_code(CoreErrc::kNoOwner) : result, phase);
        });
  });
}

void Ingress::FetchStateFromCell(const std::string& cell,
                                 const std::string& job,
                                 StateCallback done) {
  if (CellLeader* leader = LocalLeader(cell)) {
    leader->FetchJobPhase(job, std::move(done));
  } else if (const CellLead* lead = ReachableLead(cell)) {
    peers_.FetchJobState(*lead, job, std::move(done));
  } else {
    done(CoreErrc::kNoOwner, {});
  }
}

void Ingress::FetchStateOfUnrecordedJob(const std::string& job,
                                        std::vector<std::string> cells,
                                        StateCallback done) {
  if (cells.empty()) {
    done(CoreErrc::kNoOwner, {});
    return;
  }
  const std::string cell = std::move(cells.back());
  cells.pop_back();
  FetchStateFromCell(
      cell, job,
      [this, job, cells = std::move(cells), done = std::move(done)](
          std::error_code error, JobPhase phase) mutable {
        const bool denied = error == make_error_code(CoreErrc::kNotFound);
        if (denied && !cells.empty()) {
          FetchStateOfUnrecordedJob(job, std::move(cells), std::move(done));
          return;
        }
        const bool unknown = error && !denied;
        done(unknown ? make_error_code(CoreErrc::kNoOwner) : error, phase);
      });
}

std::optional<int> Ingress::PendingJobCount(const std::string& queue) const {
  int pending = 0;
  if (cells_.empty()) {
    return std::nullopt;
  }
  for (const auto& [cell, known] : cells_) {
    const CellLeader* leader = LocalLeader(cell);
    const bool is_recent =
        known.answered_at != Instant{} &&
        executor_.Now() - known.answered_at <= options_.max_summary_age;
    if (leader == nullptr && !is_recent) {
      return std::nullopt;
    }
    const CellSummary summary =
        leader != nullptr ? leader->summary() : known.summary;
    const auto found = summary.pending.find(queue);
    pending += found == summary.pending.end() ? 0 : found->second;
  }
  return pending;
}

int64_t Ingress::NewestConfigVersion() const {
  int64_t newest = 0;
  for (const auto& [cell, known] : cells_) {
    newest = std::max(newest, known.summary.config_version);
  }
  return newest;
}

void Ingress::OnSummary(const std::string& cell, const CellSummary& summary) {
  KnownCell& known = cells_[cell];
  known.summary = summary;
  known.revision = std::max(known.revision, summary.revision);
  known.work_sent_since = 0;
  known.answered_at = executor_.Now();
}

void Ingress::ReportCall(const CellLead& lead,
                         Instant sent,
                         std::error_code error) {
  for (CellLeader* leader : local_) {
    if (leader->cell() == lead.cell) {
      leader->OnLeaderCalled(lead, sent, error);
    }
  }
}

int64_t Ingress::SettledRevision() const {
  int64_t revision = 0;
  for (const auto& [cell, known] : cells_) {
    revision = std::max(revision, known.settled_revision);
  }
  return revision;
}

void Ingress::PollSummaries() {
  ObserveLeads();
  for (auto& [cell, known] : cells_) {
    known.settled_revision = known.revision;
  }
  for (const auto& [cell, lead] : live_.leads()) {
    if (CellLeader* leader = LocalLeader(cell)) {
      OnSummary(cell, leader->summary());
      continue;
    }
    if (lead.instance == live_.self().name) {
      continue;
    }
    KnownCell& known = cells_[cell];
    if (known.polled_epoch != lead.epoch) {
      known.polled_epoch = lead.epoch;
      known.polled_since = executor_.Now();
    }
    peers_.FetchCellSummary(
        lead, [this, lead = lead, cell = cell, epoch = lead.epoch,
               sent = executor_.Now()](std::error_code error,
                                       const CellSummary& summary) {
          ReportCall(lead, sent, error);
          // A late answer of an earlier leader is ignored, because it does not
          // show that the current one answers.
          if (error) {
            OnLeaderFails(cell, epoch, error);
          } else if (cells_[cell].polled_epoch == epoch) {
            OnSummary(cell, summary);
            OnLeaderServes(cell, epoch);
          }
        });
  }
  executor_.Schedule(options_.summary_interval, [this] { PollSummaries(); });
}

}  // namespace doorwood
