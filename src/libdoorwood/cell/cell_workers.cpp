// SPDX-License-Identifier: Apache-2.0

// The workers of a cell: which workers belong to it, how their directory
// entries are applied, and which data centres are closed to new work.

#include <algorithm>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// A list of workers is logged as late if it is older than this, or if reading
// it failed, when it is read again.
constexpr Millis kLateListAge{1500};

bool AreSetAndDiffer(const std::string& known, const std::string& reported) {
  return !known.empty() && !reported.empty() && known != reported;
}

// Returns how a directory entry contradicts the known incarnation; empty: not
// at all. An id names one incarnation of a worker, and none of these fields
// changes within an incarnation, so another process wrote this entry or the one
// from which the incarnation became known.
std::string_view FindContradiction(const WorkerIncarnation& known,
                                   const WorkerIncarnation& reported) {
  if (AreSetAndDiffer(known.address, reported.address)) {
    return "another address";
  }
  if (AreSetAndDiffer(known.service, reported.service)) {
    return "another service";
  }
  if (AreSetAndDiffer(known.data_centre, reported.data_centre)) {
    return "another data centre";
  }
  return AreSetAndDiffer(known.machine, reported.machine) ? "another machine"
                                                          : "";
}

enum class Lifetime { kSame, kEarlier, kLater };

// Which incarnation of the session's worker the directory entry describes. Of a
// worker that has not answered yet, a later one is not told apart: the first
// answer decides.
Lifetime CompareStartTimes(const WorkerSession& session,
                           const WorkerIncarnation& entry) {
  const int64_t known = session.started_at();
  if (!entry.is_valid || entry.started_at == 0 || known == 0 ||
      entry.started_at == known) {
    return Lifetime::kSame;
  }
  if (entry.started_at < known) {
    return Lifetime::kEarlier;
  }
  return session.fenced() ? Lifetime::kLater : Lifetime::kSame;
}

}  // namespace

void CellLeader::ReadWorkers() {
  if (reading_workers_) {
    return;
  }
  reading_workers_ = true;
  directory_.ListWorkers(
      [this, epoch = epoch_, began = executor_.Now()](
          std::error_code error, std::vector<WorkerIncarnation> incarnations) {
        reading_workers_ = false;
        if (epoch != epoch_) {
          return;
        }
        if (stage_ == Stage::kReading && !error) {
          early_workers_ = {std::move(incarnations), began, executor_.Now()};
          return;
        }
        if (!leading()) {
          return;
        }
        if (error) {
          ++workers_reads_failed_;
          ++counters_.directory_reads_failed;
          workers_read_error_ = error;
          return;
        }
        LogLateWorkers(began);
        workers_read_ = executor_.Now();
        OnWorkers(std::move(incarnations), began);
      });
}

void CellLeader::LogLateWorkers(Instant began) {
  const Instant now = executor_.Now();
  const uint64_t failed = std::exchange(workers_reads_failed_, 0);
  const bool is_late =
      workers_read_ != Instant{} && now - workers_read_ > kLateListAge;
  if (!is_late && failed == 0) {
    return;
  }
  const auto millis = [](Instant::duration duration) {
    return std::chrono::duration_cast<Millis>(duration).count();
  };
  log_.Write("warn", "cell", "the list of workers was read late",
             {{"cell", options_.cell},
              {"age_ms", millis(now - std::max(workers_read_, led_since_))},
              {"taken_ms", millis(now - began)},
              {"failed_reads", failed},
              {"last_error", failed > 0 ? workers_read_error_.message() : ""},
              {"epoch", epoch_}});
}

void CellLeader::ReadClosedDataCentres() {
  if (reading_closed_) {
    return;
  }
  reading_closed_ = true;
  directory_.ListClosedDataCentres(
      [this, epoch = epoch_, began = executor_.Now()](
          std::error_code error, std::set<std::string> closed) {
        if (epoch != epoch_) {
          return;
        }
        reading_closed_ = false;
        if (stage_ == Stage::kReading && !error) {
          early_closed_ = {std::move(closed), began, executor_.Now()};
          return;
        }
        if (leading() && !error) {
          closed_read_ = executor_.Now();
          OnClosedDataCentres(std::move(closed));
        }
      });
}

void CellLeader::OnClosedDataCentres(std::set<std::string> closed) {
  if (closed != closed_data_centres_) {
    log_.Write("info", "cell",
               "the set of data centres closed to new work has changed",
               {{"cell", options_.cell},
                {"before", closed_data_centres_},
                {"now", closed}});
    closed_data_centres_ = std::move(closed);
  }
  RequestSchedulingPass();
}

bool CellLeader::IsInClosedDataCentre(const CellWorker& cell_worker) const {
  return closed_data_centres_.contains(
      cell_worker.session->incarnation().data_centre);
}

bool CellLeader::AreAllWorkersInClosedDataCentres(
    const std::string& queue) const {
  const Queue* known = known_queues_.Find(queue);
  if (closed_data_centres_.empty() || known == nullptr) {
    return false;
  }
  bool any = false;
  for (const auto& [id, cell_worker] : cell_workers_) {
    if (cell_worker.session->incarnation().service == known->service) {
      any = true;
      if (!IsInClosedDataCentre(cell_worker)) {
        return false;
      }
    }
  }
  return any;
}

void CellLeader::OnWorkers(std::vector<WorkerIncarnation> incarnations,
                           Instant began) {
  for (auto& [id, cell_worker] : cell_workers_) {
    cell_worker.listed = false;
    cell_worker.entry_rejected = false;
  }
  bool to_record = false;
  listed_workers_ = incarnations.size();
  for (const WorkerIncarnation& incarnation : incarnations) {
    const auto known = cell_workers_.find(incarnation.id);
    if (incarnation.is_valid && known != cell_workers_.end()) {
      groups_.SetKind(known->second.group, incarnation.service,
                      incarnation.data_centre);
    }
  }
  for (const WorkerIncarnation& incarnation : incarnations) {
    const auto found = cell_workers_.find(incarnation.id);
    if (found != cell_workers_.end()) {
      ApplyDirectoryEntry(incarnation, began, &found->second);
      const WorkerSession& session = *found->second.session;
      const KnownWorker& submitted = found->second.submitted_record;
      to_record |= submitted.address != session.incarnation().address ||
                   submitted.started_at != session.started_at();
    } else if (MayAddWorker(incarnation)) {
      AddWorker(incarnation, /*recorded=*/nullptr);
      to_record = true;
    }
  }
  former_workers_.ForgetUnlisted(incarnations);
  MarkUnlistedWorkers();
  RemoveGoneWorkers();
  if (to_record) {
    RecordWorkers();
  }
  workers_read_began_ = began;
  EvacuateDrainingWorkers();
  EvacuateUnlistedWorkers();
  RequestSchedulingPass();
}

// Unlike expired leases or the answer of another incarnation, an entry that
// another process wrote does not prove that the worker's runs have ended. The
// runs continue, but the worker gets no new work.
void CellLeader::ApplyDirectoryEntry(const WorkerIncarnation& incarnation,
                                     Instant began,
                                     CellWorker* cell_worker) {
  const WorkerIncarnation& known = cell_worker->session->incarnation();
  const Lifetime lifetime =
      CompareStartTimes(*cell_worker->session, incarnation);
  if (lifetime == Lifetime::kLater) {
    // The entry may be of another writer, so the worker is asked.
    cell_worker->session->CheckIncarnation();
  }
  if (incarnation.is_valid && lifetime != Lifetime::kEarlier) {
    // The session uses the address at once if it knows of no address where this
    // incarnation has answered; otherwise once this incarnation answers there.
    WorkerIncarnation readdressed = known;
    readdressed.address = incarnation.address;
    cell_worker->session->UpdateFromDirectory(readdressed);
  }
  // "unreadable" also stands for a data centre outside the cell.
  const bool usable =
      incarnation.is_valid && BelongsToCell(incarnation.data_centre);
  std::string_view problem =
      usable ? FindContradiction(known, incarnation) : "unreadable";
  if (lifetime != Lifetime::kSame) {
    problem = "another start time";
  }
  cell_worker->unlisted_since = Instant{};
  cell_worker->entry_rejected = !problem.empty();
  if (cell_worker->entry_rejected) {
    rejected_entries_.Record(incarnation.id, problem);
    return;
  }
  if (incarnation.draining && !known.draining) {
    log_.Write("info", "cell", "a worker is leaving",
               {{"worker", incarnation.id},
                {"remaining_ms", incarnation.min_time_to_leave.count()}});
  }
  if (!incarnation.draining) {
    cell_worker->departure = Departure();
  } else {
    // A new leader has no earlier read to tell the age of the entry.
    cell_worker->departure.OnAnnounced(incarnation.min_time_to_leave,
                                       workers_read_began_ != Instant{}
                                           ? workers_read_began_
                                           : began - options_.max_entry_age);
  }
  cell_worker->session->UpdateFromDirectory(incarnation);
  cell_worker->listed = true;
}

bool CellLeader::MayAddWorker(const WorkerIncarnation& incarnation) {
  if (!incarnation.is_valid || !BelongsToCell(incarnation.data_centre)) {
    return false;
  }
  if (!known_queues_.NamesService(incarnation.service)) {
    rejected_entries_.Record(incarnation.id, "no queue names its service");
    return false;
  }
  return !former_workers_.IsReplaced(incarnation);
}

void CellLeader::MarkUnlistedWorkers() {
  for (auto& [id, cell_worker] : cell_workers_) {
    if (!cell_worker.listed && !cell_worker.entry_rejected &&
        cell_worker.unlisted_since == Instant{}) {
      cell_worker.unlisted_since = executor_.Now();
      log_.Write(
          "info", "cell", "a worker is no longer listed",
          {{"worker", id}, {"runs", cell_worker.session->runs().size()}});
    }
  }
}

void CellLeader::AddWorker(const WorkerIncarnation& incarnation,
                           const KnownWorker* recorded) {
  const bool from_takeover = recorded != nullptr;
  CellWorker cell_worker;
  auto earlier_token =
      former_workers_.LatestToken(incarnation.id, executor_.Now());
  if (recorded != nullptr && recorded->unsettled) {
    // Orders of earlier leaders have lower tokens than this epoch.
    earlier_token = static_cast<uint64_t>(epoch_) - 1;
  }
  cell_worker.session = MakeSession(incarnation, earlier_token);
  cell_worker.session_number = ++session_count_;
  cell_worker.listed = !from_takeover;
  // A worker that only the directory names runs nothing that an earlier leader
  // of this cell ordered, since leaders record a worker under the workers' key
  // before they order a start there. It may run what another cell's leader
  // ordered.
  cell_worker.from_takeover = from_takeover;
  UpdateSessionLimits(cell_worker, OrderDeadline());
  if (!from_takeover) {
    cell_worker.group = groups_.Assign(
        incarnation.service, incarnation.data_centre, listed_workers_);
  }
  if (from_takeover) {
    cell_worker.submitted_record.address = incarnation.address;
    cell_worker.recorded_address = incarnation.address;
    cell_worker.recorded_started_at = incarnation.started_at;
    cell_worker.recorded_unsettled = recorded->unsettled;
    cell_worker.session->MarkVerified();
  }
  const auto session = cell_worker.session;
  cell_workers_.emplace(incarnation.id, std::move(cell_worker));
  contacts_.Add(session);
}

// Each batch that the store has taken expects the lead key, so every later
// epoch is above its revision: a successor fences off sessions with this token
// as well.
uint64_t CellLeader::NewestToken() const {
  return static_cast<uint64_t>(std::max(epoch_, journal_.newest_revision()));
}

std::shared_ptr<WorkerSession> CellLeader::MakeSession(
    const WorkerIncarnation& incarnation,
    std::optional<uint64_t> earlier_token) {
  // Also without an earlier life: the worker may have had a session with a
  // higher token than the epoch before it was removed.
  auto session = std::make_shared<WorkerSession>(executor_, workers_, log_,
                                                 *this, SessionOptions(),
                                                 incarnation, NewestToken());
  if (earlier_token) {
    session->FollowEarlierLife(*earlier_token);
  }
  return session;
}

// The store may have been away when the session was opened.
void CellLeader::RaiseTokensOfLaterLives() {
  const uint64_t token = NewestToken();
  for (auto& [id, cell_worker] : cell_workers_) {
    if (cell_worker.session->NeedsHigherToken()) {
      cell_worker.session->RaiseToken(token);
    }
  }
}

WorkerSessionOptions CellLeader::SessionOptions() const {
  WorkerSessionOptions options = options_.sessions;
  if (leases_bounded_) {
    options.earlier_run_lease = options.run_lease;
  }
  return options;
}

void CellLeader::ReplaceRestartedWorkers() {
  bool any = false;
  for (auto& [id, cell_worker] : cell_workers_) {
    const WorkerSession& session = *cell_worker.session;
    if (session.restarted() && cell_worker.death_processed) {
      ReplaceSession(id, &cell_worker);
      any = true;
    }
  }
  if (any) {
    ReadWorkers();
  }
}

void CellLeader::ReplaceSession(const std::string& id,
                                CellWorker* cell_worker) {
  const std::shared_ptr<WorkerSession> ended = cell_worker->session;
  ended->EndRunsIfWorkerLost();
  CellWorker next;
  next.session = MakeSession(ended->next_incarnation(), ended->token());
  next.session_number = ++session_count_;
  next.submitted_record = cell_worker->submitted_record;
  next.submitted_as_closed = cell_worker->submitted_as_closed;
  next.recorded_address = cell_worker->recorded_address;
  next.recorded_started_at = cell_worker->recorded_started_at;
  next.recorded_unsettled = cell_worker->recorded_unsettled;
  next.group = cell_worker->group;
  next.recorded_group = cell_worker->recorded_group;
  next.renewals_blocked = cell_worker->renewals_blocked;
  next.starts_blocked = cell_worker->starts_blocked;
  next.contact_record_pending = cell_worker->contact_record_pending;
  // Orders of earlier leaders may have reached this incarnation, too, so it is
  // waited for as the recorded one was.
  next.from_takeover = cell_worker->from_takeover;
  next.predecessors_waited = cell_worker->predecessors_waited;
  next.inherited_tasks = cell_worker->inherited_tasks;
  // Gets no new work until the directory lists it.
  next.entry_rejected = true;
  UpdateSessionLimits(next, OrderDeadline());
  next.session->AddUnsettledRuns(ended->TakeUnsettledRuns());
  ended->Close();
  quarantine_.RemoveWorker(id);
  reliability_.RemoveWorker(id);
  tickets_.Forget(id);
  *cell_worker = std::move(next);
  cell_worker->session->Open();
}

void CellLeader::RemoveGoneWorkers() {
  bool removed_any = false;
  for (auto it = cell_workers_.begin(); it != cell_workers_.end();) {
    const WorkerSession& session = *it->second.session;
    const bool is_replaced = session.dead() && !session.restarted();
    const bool is_gone = is_replaced || !it->second.listed;
    // A worker is kept until all ends that it has listed are recorded,
    // so that a successor learns of them.
    const bool is_still_needed = !session.runs().empty() ||
                                 session.has_unrecorded_ends() ||
                                 takeover_.IsUncontacted(it->second);
    if (is_gone && !is_still_needed) {
      log_.Write(
          "info", "cell",
          "removed a worker that is dead or has no valid directory entry",
          {{"worker", it->first}, {"dead", session.dead()}});
      if (is_replaced) {
        WorkerIncarnation replaced = session.incarnation();
        replaced.started_at = session.started_at();
        former_workers_.NoteReplaced(replaced);
      }
      former_workers_.NoteRemoved(it->first, session.token(), executor_.Now());
      it->second.session->Close();
      quarantine_.RemoveWorker(it->first);
      reliability_.RemoveWorker(it->first);
      groups_.Remove(it->second.group);
      it = cell_workers_.erase(it);
      removed_any = true;
    } else {
      ++it;
    }
  }
  if (removed_any) {
    RecordWorkers();
  }
}

}  // namespace doorwood
