// SPDX-License-Identifier: Apache-2.0

#include "doorwood/cell_leader.h"

#include <algorithm>
#include <utility>

namespace doorwood {
namespace {

// A gap between two ticks that exceeds the tick by this much means that the
// process was paused.
constexpr Millis kPauseThreshold{700};
// Interval at which a leader that shuts down checks whether everything is
// recorded.
constexpr Millis kShutdownCheckInterval{30};
// After this time a leader that shuts down waits only for records that callers
// wait for. Workers report the rest to its successor.
constexpr Millis kFullRecordTimeout{300};
// All jobs are searched this often for old ones, which are kept for minutes,
// and for the summary that other instances request, each of them every 0.6 s.
// With 29 instances and thousands of jobs, a search for each tick and each
// request took 4% of a leader's processor time.
constexpr Millis kForgetInterval{1000};
constexpr Millis kSummaryInterval{300};

}  // namespace

CellLeader::CellLeader(Executor& executor,
                       RecordStore& store,
                       WorkerDirectory& directory,
                       RunWorkers& workers,
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
      journal_(executor, store, log, *this, options.journal, options.cell),
      proof_(executor, store, *this, options.proof, LeadKey(options.cell)),
      trust_(options.policy),
      trials_(options.policy.crashes),
      wave_(options.policy.crashes),
      interference_(options.policy.interference),
      run_times_(options.policy.run_times),
      tickets_(executor,
               adviser,
               log,
               TicketOptions{},
               [this] { WakeScheduler(); }),
      waves_(executor,
             store,
             machines,
             *this,
             log,
             options.waves,
             options.cell) {}

CellLeader::~CellLeader() = default;

void CellLeader::Start() {
  OnLiveChange();
}

void CellLeader::OnQueueTable(std::shared_ptr<const QueueTable> table) {
  table_ = std::move(table);
  for (const Queue& queue : table_->queues()) {
    known_queues_[queue.name] = queue;
  }
  if (leading()) {
    WakeScheduler();
  } else {
    OnLiveChange();
  }
}

// --- Stepping down ---

void CellLeader::OnLeadLost(std::string_view reason) {
  StepDown(reason);
}

void CellLeader::OnLeadDisproved(std::string_view reason) {
  StepDown(reason);
}

void CellLeader::OnFenced(WorkerSession& session) {
  log_.Write("warn", "cell",
             "a worker has seen the fencing token of a newer leader",
             {{"worker", session.life().id}, {"epoch", epoch_}});
  StepDown("a worker rejected this leader's fencing token");
}

void CellLeader::StepDown(std::string_view reason) {
  if (stage_ == Stage::kStandby || stage_ == Stage::kLeft) {
    return;
  }
  log_.Write("warn", "cell", "stepping down as leader",
             {{"cell", options_.cell}, {"epoch", epoch_}, {"reason", reason}});
  ++counters_.step_downs;
  GiveUpKey();
  ++generation_;
  stage_ = Stage::kStandby;
  for (auto& [id, member] : members_) {
    member.session->Close();
  }
  // Sessions may be on the call stack, so they are destroyed later.
  executor_.Post([members = std::move(members_)] {});
  members_.clear();
  if (tick_timer_ != 0) {
    executor_.Cancel(tick_timer_);
    tick_timer_ = 0;
  }
  journal_.Close();
  proof_.Close();
  tickets_.Clear();
  waves_.Close();
  auto cancels = std::move(cancels_);
  cancels_.clear();
  for (auto& [job, wait] : cancels) {
    wait.done(CoreErrc::kOutcomeUnknown);
  }
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
// until its lease expires, it asks one of them to remove the key.
void CellLeader::Resign(const LiveInstance& successor) {
  const LiveInstance target = successor;
  const int64_t epoch = epoch_;
  log_.Write("warn", "cell", "handing the lead over to another instance",
             {{"cell", options_.cell}, {"epoch", epoch}, {"to", target.name}});
  StepDown("this instance cannot reach the store, another one can");
  live_.HandOver(target, options_.cell, epoch);
}

void CellLeader::OnHandedOver(int64_t epoch) {
  if (stage_ != Stage::kStandby) {
    return;
  }
  StoreTransaction transaction;
  transaction.expected.push_back({LeadKey(options_.cell), epoch});
  transaction.removes.push_back(LeadKey(options_.cell));
  store_.Commit(transaction, [this, epoch](std::error_code error,
                                           const StoreCommit&) {
    log_.Write("info", "cell",
               "removal of the lead key of a leader that stepped down",
               {{"cell", options_.cell},
                {"epoch", epoch},
                {"outcome", error ? error.message() : "removed"}});
    const auto lead = live_.leads().find(options_.cell);
    if (!error && lead != live_.leads().end() && lead->second.epoch == epoch) {
      live_.DropLead(options_.cell);
    }
    if (error) {
      live_.Refresh();
    } else {
      // Campaigns only when it is its turn: the strongest instance that can
      // reach the store should lead.
      OnLiveChange();
    }
  });
}

void CellLeader::GiveUpKey() {
  // A key that still exists would keep other instances from the lead for as
  // long as this process lives.
  StoreTransaction transaction;
  transaction.expected.push_back({LeadKey(options_.cell), epoch_});
  transaction.removes.push_back(LeadKey(options_.cell));
  store_.Commit(transaction, [this](std::error_code error, const StoreCommit&) {
    if (!error) {
      live_.Refresh();
    }
    if (on_left_) {
      const auto done = std::move(on_left_);
      on_left_ = nullptr;
      done();
    }
  });
}

bool CellLeader::IsHandingOver() const {
  return leaving_since_ != Instant{} &&
         executor_.Now() - leaving_since_ >= kFullRecordTimeout;
}

void CellLeader::Leave(std::function<void()> done) {
  if (stage_ != Stage::kLeading) {
    ++generation_;
    stage_ = Stage::kLeft;
    done();
    return;
  }
  if (leaving_since_ == Instant{}) {
    leaving_since_ = executor_.Now();
  }
  // A busy leader never has everything recorded, since runs keep ending.
  // Without a limit it would lead until its grace period is over, and exit with
  // records under way.
  if (IsHandingOver()) {
    journal_.Seal();
  }
  if (journal_.idle() || (IsHandingOver() && journal_.settled())) {
    on_left_ = std::move(done);
    StepDown("leaving");
    stage_ = Stage::kLeft;
    return;
  }
  executor_.Schedule(
      kShutdownCheckInterval,
      [this, done = std::move(done)]() mutable { Leave(std::move(done)); });
}

// --- Time ---

Instant CellLeader::OrdersUntil() const {
  if (!leading() || unsure_after_pause_) {
    return Instant{};
  }
  return orders_until_;
}

void CellLeader::RenewOrders() {
  if (executor_.Now() < orders_until_) {
    orders_until_ = std::max(orders_until_, live_.OutageUntil());
  }
  orders_until_ =
      std::max(orders_until_, proof_.stood_at() + options_.unsure_patience);
}

bool CellLeader::MayOrder() const {
  return executor_.Now() < OrdersUntil();
}

std::optional<Millis> CellLeader::StoreHeardAgo(Instant now) const {
  const bool may_lead = stage_ != Stage::kStandby && stage_ != Stage::kLeft;
  if (may_lead && live_.IsDeaf(now)) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(now - live_.store_heard_at());
}

bool CellLeader::IsSure() const {
  return executor_.Now() < proof_.stood_at() + options_.sure_for;
}

void CellLeader::TellSession(const Member& member, Instant orders_until) const {
  member.session->SetExtendUntil(member.told_unheard ? Instant{}
                                                     : orders_until);
  member.session->SetLedUntil(proof_.stood_at());
}

void CellLeader::OnLeadShown(Instant sent) {
  proof_.NoteShown(sent);
}

void CellLeader::OnLeadProved() {
  if (!leading()) {
    return;
  }
  RenewOrders();
  const Instant orders_until = OrdersUntil();
  std::vector<std::shared_ptr<WorkerSession>> waiting;
  for (const auto& [id, member] : members_) {
    if (member.session->awaits_proof()) {
      waiting.push_back(member.session);
    }
    TellSession(member, orders_until);
  }
  for (const auto& session : waiting) {
    session->Conclude();
  }
}

Millis CellLeader::WatchingWait() const {
  constexpr int64_t kMillisPerSecond = 1000;
  const auto workers = static_cast<int64_t>(members_.size());
  const Millis interval(workers * kMillisPerSecond / options_.watching_looks);
  return std::clamp(interval, options_.sessions.short_wait,
                    options_.sessions.long_wait);
}

void CellLeader::Tick() {
  if (!leading()) {
    return;
  }
  const Instant now = executor_.Now();
  if (now - last_tick_ > options_.tick + kPauseThreshold && !IsSure()) {
    unsure_after_pause_ = true;
    log_.Write("warn", "cell",
               "this process was paused; sending no orders until the "
               "lead is confirmed",
               {{"cell", options_.cell}});
  }
  if (IsSure()) {
    unsure_after_pause_ = false;
  }
  last_tick_ = now;
  if (const LiveInstance* other = live_.FindInstanceThatHears()) {
    Resign(*other);
    return;
  }
  if (now - workers_read_ >= options_.list_interval) {
    ReadWorkers();
  }
  if (now - closed_read_ >= options_.closed_interval) {
    ReadClosed();
  }
  RecordUnheard();
  RecordTasks();
  const Millis watching_wait = WatchingWait();
  std::vector<std::shared_ptr<WorkerSession>> sessions;
  RenewOrders();
  const Instant orders_until = OrdersUntil();
  bool awaits_proof = false;
  for (const auto& [id, member] : members_) {
    TellSession(member, orders_until);
    member.session->SetShortWait(watching_wait);
    awaits_proof = awaits_proof || member.session->awaits_proof();
    sessions.push_back(member.session);
  }
  if (awaits_proof) {
    proof_.Demand();
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
  interference_.Relax(options_.tick);
  NoteDeaths();
  CheckTakeover();
  FollowTrials();
  ReleaseStarts();
  TellPlacesHold();
  if (accounted_ && IsSure()) {
    waves_.Tick();
  }
  AnswerCancels();
  if (now - forgot_ >= kForgetInterval) {
    forgot_ = now;
    ForgetOldJobs();
  }
  TellOverdue();
  if (now - summarized_ >= kSummaryInterval) {
    summarized_ = now;
    summary_ = Summarize();
    ObserveLoads();
  }
  WakeScheduler();
  tick_timer_ = executor_.Schedule(options_.tick, [this] {
    tick_timer_ = 0;
    Tick();
  });
}

void CellLeader::ForgetOldJobs() {
  const int64_t now = unix_millis_();
  std::vector<std::string> old;
  for (const auto& [id, job] : jobs_.jobs()) {
    if (job->outcome_recorded && job->finished_at > 0 &&
        now - job->finished_at > options_.keep_finished.count()) {
      old.push_back(id);
    }
  }
  for (const std::string& id : old) {
    journal_.Forget(id);
    jobs_.Remove(id);
  }
}

}  // namespace doorwood
