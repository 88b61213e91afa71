// SPDX-License-Identifier: Apache-2.0

#include "doorwood/cell_leader.h"

#include <algorithm>
#include <utility>

#include "doorwood/link_load.h"

namespace doorwood {
namespace {

// If the time between two ticks exceeds the tick interval by more than this,
// the process is taken to have been paused.
constexpr Millis kPauseThreshold{700};
// Interval at which a leader that shuts down checks whether everything is
// recorded.
constexpr Millis kShutdownCheckInterval{30};
// After this time a leader that shuts down waits only for the records of new
// jobs and of urgent changes. Workers report the rest to its successor.
constexpr Millis kFullRecordTimeout{300};
// A leader that shuts down waits at most this long for the record that says
// that it orders nothing more; if the store was away, less, since the lead has
// to be released first.
constexpr Millis kTermEndTimeout{300};
constexpr Millis kTermEndTimeoutAfterOutage{150};
// With less than this left of its grace, a leader releases the lead without
// waiting for records.
constexpr Millis kShortGrace{1000};
// During a planned shutdown the lead key is read again and again. A slow store
// answers within 0.4 s; one that has not answered for this long is away.
constexpr Millis kStoreSilence{600};
// Orders end only within this time after an answer of the store. Longer than
// `kShutdownCheckInterval`.
constexpr Millis kFreshAnswer{100};
// Intervals at which all jobs are visited: to remove old ones, which are kept
// for minutes, and to update the summary, which each other instance requests
// every 0.6 s. With 29 instances and thousands of jobs, a visit for each tick
// and each request took 4% of a leader's processor time.
constexpr Millis kOldJobRemovalInterval{1000};
constexpr Millis kSummaryInterval{300};
// In a large cell the list of workers is read less often, so that reading it
// takes a bounded share of the processor. The platform's shortest bound after
// which a leaving worker may get no new work is 2 s.
constexpr std::chrono::microseconds kListIntervalPerWorker{300};
constexpr Millis kLongestListInterval{1000};

// Size of a worker's entry in the list, and of a poll with its report.
constexpr size_t kListBytesPerWorker = 420;
constexpr size_t kPollBytes = 900;
// Shares of the network link that the list of workers, and polls that observe
// interference, may take. Most of the link is left for orders and for polls
// that report ends.
constexpr double kListLinkShare = 0.2;
constexpr double kInterferenceLinkShare = 0.2;

Millis ListInterval(const CellOptions& options,
                    size_t workers,
                    double link_rate) {
  const auto for_size =
      std::chrono::duration_cast<Millis>(workers * kListIntervalPerWorker);
  const Millis for_link = IntervalForShare(
      link_rate, workers * kListBytesPerWorker, kListLinkShare);
  return std::max(options.list_interval,
                  std::min(std::max(for_size, for_link), kLongestListInterval));
}

}  // namespace

CellLeader::CellLeader(Executor& executor,
                       RecordStore& store,
                       WorkerDirectory& directory,
                       RunWorkerClient& workers,
                       Adviser* adviser,
                       MachinePlatform* machines,
                       LiveDirectory& live,
                       EventLog& log,
                       std::function<int64_t()> unix_millis,
                       const CellOptions& options)
    : executor_(executor),
      store_(store),
      directory_(directory),
      workers_(workers),
      live_(live),
      log_(log),
      unix_millis_(std::move(unix_millis)),
      options_(options),
      nonce_(executor.Random()),
      vacancy_(options.vacancy),
      journal_(executor, store, log, *this, options.journal, options.cell),
      ended_jobs_(executor, store, log, EndedJobsOptions{}, options.cell),
      proof_(executor, store, *this, options.proof, LeadKey(options.cell)),
      order_limits_(options.order_grace),
      takeover_({options.sessions.run_lease, options.sessions.earlier_run_lease,
                 options.order_grace, options.sessions.longest_lease}),
      quarantine_(options.policy),
      reliability_(options.policy.reliability),
      trials_(options.policy.crashes),
      mass_crash_detector_(options.policy.crashes),
      interference_(options.policy.interference),
      run_times_(options.policy.run_times),
      tickets_(executor,
               adviser,
               log,
               TicketOptions{},
               [this] { RequestSchedulingPass(); }),
      upkeep_waves_(executor,
                    store,
                    machines,
                    *this,
                    log,
                    options.waves,
                    options.cell),
      groups_(options.groups) {}

CellLeader::~CellLeader() = default;

void CellLeader::Start() {
  OnLiveChange();
}

// --- Stepping down ---

void CellLeader::OnLeadLost(std::string_view reason) {
  StepDown(reason);
}

void CellLeader::OnLeadDisproved(std::string_view reason) {
  StepDown(reason);
}

void CellLeader::OnHigherTokenSeen(WorkerSession& session) {
  log_.Write("warn", "cell",
             "a worker has seen the fencing token of a newer leader",
             {{"worker", session.incarnation().id}, {"epoch", epoch_}});
  StepDown("fenced off by a worker");
}

void CellLeader::StepDown(std::string_view reason) {
  if (stage_ == Stage::kStandby || stage_ == Stage::kShutDown) {
    return;
  }
  log_.Write("warn", "cell", "stepping down as leader",
             {{"cell", options_.cell}, {"epoch", epoch_}, {"reason", reason}});
  ++counters_.step_downs;
  orders_ended_ = Instant{};
  releasing_since_ = Instant{};
  ReleaseLeadKey();
  ++generation_;
  stage_ = Stage::kStandby;
  for (auto& [id, cell_worker] : cell_workers_) {
    cell_worker.session->Close();
  }
  contacts_.Clear();
  // Sessions may be on the call stack, so they are destroyed later.
  executor_.Post([members = std::move(cell_workers_)] {});
  cell_workers_.clear();
  former_workers_.Clear();
  groups_.Clear();
  jobs_to_spread_.clear();
  if (tick_timer_ != 0) {
    executor_.Cancel(tick_timer_);
    tick_timer_ = 0;
  }
  journal_.Close();
  ended_jobs_.Close();
  to_archive_.clear();
  proof_.Close();
  counters_.held_tasks = {};
  tickets_.Clear();
  upkeep_waves_.Close();
  cancel_waiters_.Close();
  // Jobs may be on the call stack, too.
  executor_.Post([this, generation = generation_] {
    if (generation == generation_) {
      jobs_.Clear();
    }
  });
  live_.Refresh();
  executor_.Schedule(options_.retry_pause, [this] { OnLiveChange(); });
}

// The store answers other instances, but not this leader. Instead of waiting
// until the lease of the lead key expires, this leader asks one of them to
// remove the key.
void CellLeader::HandOverLead(const LiveInstance& other) {
  const LiveInstance target = other;
  const int64_t epoch = epoch_;
  log_.Write("warn", "cell", "handing the lead over to another instance",
             {{"cell", options_.cell}, {"epoch", epoch}, {"to", target.name}});
  StepDown("this instance cannot reach the store, but another one can");
  live_.HandOverLead(target, options_.cell, epoch);
}

void CellLeader::OnLeadHandedOver(int64_t epoch) {
  if (stage_ != Stage::kStandby) {
    return;
  }
  RemoveLeadKeyOf(epoch, {},
                  "tried to remove the lead key of a leader that stepped down",
                  [](std::error_code) {});
}

void CellLeader::ReleaseLeadKey() {
  // A key that still exists would keep other instances from taking the lead for
  // as long as this process renews its lease.
  StoreTransaction transaction;
  transaction.expected.push_back({LeadKey(options_.cell), epoch_});
  transaction.removes.push_back(LeadKey(options_.cell));
  store_.Commit(transaction, [this](std::error_code error, const StoreCommit&) {
    if (!error) {
      live_.Refresh();
    }
    const bool is_decided =
        !error || error == make_error_code(KvErrc::kConflict);
    if (!is_decided && stage_ == Stage::kShutDown) {
      executor_.Schedule(options_.retry_pause, [this] { ReleaseLeadKey(); });
      return;
    }
    if (on_shut_down_) {
      const auto done = std::move(on_shut_down_);
      on_shut_down_ = nullptr;
      done();
    }
  });
}

bool CellLeader::WasStoreAwayAtShutdown() const {
  return releasing_since_ != Instant{} &&
         releasing_since_ - shutdown_since_ >= kStoreSilence;
}

// A store that answers may be silent a moment later, and a leader that has
// recorded the end of its orders must not order again. So the proof of an
// earlier moment does not count.
void CellLeader::UpdateRelease() {
  const Instant now = executor_.Now();
  const bool answers = proof_.confirmed_at() >= shutdown_since_ &&
                       now - store_answered_at_ < kStoreSilence;
  if (answers && releasing_since_ == Instant{}) {
    releasing_since_ = now;
    UpdateAllSessionLimits();
    return;
  }
  if (answers || releasing_since_ == Instant{} ||
      journal_.may_have_term_end()) {
    return;
  }
  releasing_since_ = Instant{};
  const bool resumes = std::exchange(orders_ended_, Instant{}) != Instant{};
  log_.Write("warn", "cell",
             "the store is away during a planned shutdown; extending leases",
             {{"cell", options_.cell},
              {"epoch", epoch_},
              {"orders_resumed", resumes}});
  UpdateAllSessionLimits();
  RequestSchedulingPass();
}

bool CellLeader::MayEndOrders() const {
  const Instant now = executor_.Now();
  return releasing_since_ != Instant{} &&
         now - store_answered_at_ <= kFreshAnswer &&
         (journal_.idle() || WasStoreAwayAtShutdown() ||
          now - releasing_since_ >= kFullRecordTimeout);
}

void CellLeader::ShutDown(std::function<void()> done, Millis grace) {
  if (stage_ == Stage::kReading) {
    // It has ordered nothing, so it has nothing to record.
    on_shut_down_ = std::move(done);
    StepDown("leaving");
    stage_ = Stage::kShutDown;
    return;
  }
  if (stage_ != Stage::kLeading) {
    // If a campaign is under way and succeeds, `OnLiveChange` releases the key.
    ++generation_;
    stage_ = Stage::kShutDown;
    done();
    return;
  }
  const Instant now = executor_.Now();
  const bool begins = shutdown_since_ == Instant{};
  if (begins) {
    shutdown_since_ = now;
    EvacuateDrainingWorkers();
  }
  UpdateRelease();
  if (begins || releasing_since_ != Instant{}) {
    proof_.RequestRead();
  }
  if (orders_ended_ == Instant{} && MayEndOrders()) {
    EndOrders();
  }
  if (orders_ended_ != Instant{} && MayRelease(grace)) {
    on_shut_down_ = std::move(done);
    StepDown("leaving");
    stage_ = Stage::kShutDown;
    return;
  }
  executor_.Schedule(kShutdownCheckInterval,
                     [this, grace, done = std::move(done)]() mutable {
                       ShutDown(std::move(done), grace);
                     });
}

// A busy leader never has everything recorded, since runs keep ending. Without
// a limit it would lead until its grace has elapsed, and exit with records in
// flight.
bool CellLeader::MayRelease(Millis grace) {
  const Instant now = executor_.Now();
  const bool was_away = WasStoreAwayAtShutdown();
  const bool hurries = now - shutdown_since_ > grace - kShortGrace;
  const Millis timeout =
      was_away ? kTermEndTimeoutAfterOutage : kTermEndTimeout;
  const bool awaits_term_end = !hurries && !journal_.is_term_end_stored() &&
                               now - orders_ended_ < timeout;
  if (awaits_term_end) {
    return false;
  }
  journal_.Seal();
  return was_away || hurries || journal_.is_drained();
}

// The next leader waits for a worker that it cannot contact for as long as
// leases there may last. It can count that time from the last lease extension
// of this leader only if the store says when that was.
void CellLeader::EndOrders() {
  orders_ended_ = executor_.Now();
  UpdateAllSessionLimits();
  RecordWorkers();
  journal_.RequestCommit();
  log_.Write("info", "cell",
             "ordering nothing more before the planned release of the lead",
             {{"cell", options_.cell},
              {"epoch", epoch_},
              {"workers", cell_workers_.size()}});
}

std::optional<TermEnd> CellLeader::PlannedTermEnd() {
  if (!leading() || orders_ended_ == Instant{}) {
    return std::nullopt;
  }
  Instant last_extension{};
  for (const auto& [id, cell_worker] : cell_workers_) {
    last_extension =
        std::max(last_extension, cell_worker.session->last_lease_order_at());
  }
  const Instant since =
      last_extension == Instant{} ? shutdown_since_ : last_extension;
  // A lease that an order for an earlier life may have granted counts as
  // granted later; see `EarlierLifeFence`.
  return TermEnd{
      epoch_,
      std::max(std::chrono::duration_cast<Millis>(executor_.Now() - since),
               Millis(0))};
}

// --- Time ---

Instant CellLeader::OrderDeadline() const {
  const bool may_order = leading() && orders_ended_ == Instant{};
  return may_order ? order_limits_.deadline() : Instant{};
}

void CellLeader::ApplyOutageStatements() {
  const Instant now = executor_.Now();
  if (order_limits_.NoteStatements(now, live_.OutageStatements())) {
    stated_store_unreachable_at_ = now;  // May succeed itself.
  }
}

// A successor that cannot contact a worker counts its wait from the newest
// batch of its predecessors. If that batch has every worker that this leader
// has not contacted, the successor knows that this leader extended no lease
// there. The batch is not worth the wait if the workers are contacted in turns.
void CellLeader::SendFirstBatchIfDue() {
  if (!journal_.is_held()) {
    return;
  }
  const bool all_contacted = std::none_of(
      cell_workers_.begin(), cell_workers_.end(), [this](const auto& entry) {
        return takeover_.IsUncontacted(entry.second);
      });
  const bool in_turns = contacts_.are_waiting();
  if (!all_contacted && !in_turns &&
      takeover_.TimeLeading(executor_.Now()) < options_.first_contact_time) {
    return;
  }
  if (!all_contacted && !in_turns) {
    RecordWorkers();
  }
  journal_.RequestCommit();
  journal_.Resume();
}

void CellLeader::RenewLeaseBasis() {
  if (!journal_.is_held() && journal_.flow().in_flight() == 0 &&
      executor_.Now() - order_limits_.basis().batch_sent() >=
          options_.lease_basis_interval) {
    journal_.RequestCommit();
  }
}

bool CellLeader::MayOrderStarts() const {
  return executor_.Now() < OrderDeadline();
}

std::optional<Millis> CellLeader::ReportTimeSinceStoreAnswer(Instant now) {
  const bool may_lead = stage_ != Stage::kStandby && stage_ != Stage::kShutDown;
  if (may_lead && live_.IsStoreUnresponsive(now)) {
    return std::nullopt;
  }
  if (live_.IsStoreUnresponsive(now)) {
    stated_store_unreachable_at_ = now;
  }
  return std::chrono::duration_cast<Millis>(now - live_.last_store_answer_at());
}

bool CellLeader::IsLeadConfirmed() const {
  return executor_.Now() < proof_.confirmed_at() + options_.lead_confirmed_for;
}

void CellLeader::UpdateSessionLimits(const CellWorker& cell_worker,
                                     Instant order_deadline) const {
  // A planned shutdown extends no leases, so that the next leader has to wait
  // for less time. While the store does not answer, the lead can't be released.
  const Instant extension_end = releasing_since_ != Instant{}
                                    ? std::min(order_deadline, releasing_since_)
                                    : order_deadline;
  const LeaseLimits limits =
      order_limits_.For(cell_worker.renewals_blocked, extension_end);
  cell_worker.session->SetLeaseExtensionEnd(limits.extension_end);
  cell_worker.session->SetLeaseBasis(limits.basis);
  cell_worker.session->SetLeadConfirmedUntil(proof_.confirmed_at());
}

void CellLeader::UpdateAllSessionLimits() const {
  const Instant order_deadline = OrderDeadline();
  for (const auto& [id, cell_worker] : cell_workers_) {
    UpdateSessionLimits(cell_worker, order_deadline);
  }
}

void CellLeader::OnLeadConfirmed(Instant sent) {
  const bool begins_orders = order_limits_.basis().time() == Instant{};
  order_limits_.NoteBatchStored(sent);
  if (sent > proof_.confirmed_at()) {
    proof_.NoteConfirmed(sent);
  } else {
    UpdateAllSessionLimits();
  }
  if (begins_orders && leading()) {
    PollAllWorkersWithRuns();
    RequestSchedulingPass();
  }
}

// The polls before the first batch extended no lease.
void CellLeader::PollAllWorkersWithRuns() {
  std::vector<std::shared_ptr<WorkerSession>> sessions;
  for (const auto& [id, cell_worker] : cell_workers_) {
    sessions.push_back(cell_worker.session);
  }
  for (const auto& session : sessions) {
    session->PollNow();
  }
}

void CellLeader::OnLeadProved() {
  store_answered_at_ = executor_.Now();
  if (!leading()) {
    return;
  }
  ApplyOutageStatements();
  const Instant order_deadline = OrderDeadline();
  std::vector<std::shared_ptr<WorkerSession>> waiting;
  for (const auto& [id, cell_worker] : cell_workers_) {
    if (cell_worker.session->awaits_lead_confirmation()) {
      waiting.push_back(cell_worker.session);
    }
    UpdateSessionLimits(cell_worker, order_deadline);
  }
  for (const auto& session : waiting) {
    session->EndRunsIfWorkerLost();
  }
  if (std::exchange(takeover_awaits_proof_, false)) {
    CheckTakeover();
  }
}

Millis CellLeader::InterferencePollWait() const {
  constexpr int64_t kMillisPerSecond = 1000;
  const auto workers = static_cast<int64_t>(cell_workers_.size());
  const Millis interval(workers * kMillisPerSecond /
                        options_.max_interference_polls);
  const Millis for_link =
      IntervalForShare(workers_.link_rate(), cell_workers_.size() * kPollBytes,
                       kInterferenceLinkShare);
  return std::clamp(std::max(interval, for_link),
                    options_.sessions.short_poll_wait,
                    options_.sessions.long_poll_wait);
}

void CellLeader::Tick() {
  if (!leading()) {
    return;
  }
  const Instant now = executor_.Now();
  if (now - last_tick_ > options_.tick + kPauseThreshold &&
      !IsLeadConfirmed()) {
    order_limits_.set_unconfirmed_after_pause(true);
    log_.Write("warn", "cell",
               "this process was paused or delayed; starting no tasks and "
               "extending no leases until the lead is confirmed",
               {{"cell", options_.cell}});
  }
  if (IsLeadConfirmed()) {
    order_limits_.set_unconfirmed_after_pause(false);
  }
  last_tick_ = now;
  if (const LiveInstance* other = live_.FindInstanceReachingStore()) {
    HandOverLead(*other);
    return;
  }
  if (now - workers_read_ >=
      ListInterval(options_, cell_workers_.size(), workers_.link_rate())) {
    ReadWorkers();
  }
  if (now - closed_read_ >= options_.closed_interval) {
    ReadClosedDataCentres();
  }
  SendFirstBatchIfDue();
  RenewLeaseBasis();
  RecordUnreachableWorkers();
  RecordTasksOfClosedWorkers();
  RecordBoundedLeases();
  const Millis watching_wait = InterferencePollWait();
  std::vector<std::shared_ptr<WorkerSession>> sessions;
  ApplyOutageStatements();
  const Instant order_deadline = OrderDeadline();
  bool awaits_proof = false;
  for (const auto& [id, cell_worker] : cell_workers_) {
    UpdateSessionLimits(cell_worker, order_deadline);
    cell_worker.session->SetShortPollWait(watching_wait);
    awaits_proof =
        awaits_proof || cell_worker.session->awaits_lead_confirmation();
    sessions.push_back(cell_worker.session);
  }
  if (awaits_proof) {
    proof_.RequestRead();
  }
  proof_.Tick();
  for (const auto& session : sessions) {
    if (!leading()) {
      return;
    }
    session->Tick();
  }
  if (!leading()) {
    return;
  }
  interference_.Decay(options_.tick);
  if (journal_.idle()) {
    OnEndsRecorded(HighestUnrecordedEnds());
  }
  EvacuateDrainingWorkers();
  HandleDeadWorkers();
  ReplaceRestartedWorkers();
  RaiseTokensOfLaterLives();
  RecordChangedIncarnations();
  CheckTakeover();
  UpdateTrials();
  SendDeferredStarts();
  PublishRecordedPlacements();
  // A predecessor whose key was removed while it lived may order upkeep of
  // other machines of a wave for this long.
  if (takeover_.finished() && IsLeadConfirmed() &&
      takeover_.TimeLeading(executor_.Now()) >= options_.lead_confirmed_for) {
    upkeep_waves_.Tick();
  }
  cancel_waiters_.Expire(now);
  ArchiveEndedJobs();
  if (now - old_jobs_removed_ >= kOldJobRemovalInterval) {
    old_jobs_removed_ = now;
    RemoveOldJobs();
  }
  LogOverdueRuns();
  if (now - summarized_ >= kSummaryInterval) {
    summarized_ = now;
    summary_ = Summarize();
    UpdateGroupLoads();
    ObserveLoads();
    UpdateReliability();
  }
  UpdateRepetitions();
  RequestSchedulingPass();
  tick_timer_ = executor_.Schedule(options_.tick, [this] {
    tick_timer_ = 0;
    Tick();
  });
}

}  // namespace doorwood
