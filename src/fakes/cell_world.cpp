// SPDX-License-Identifier: Apache-2.0

#include "fakes/cell_world.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <utility>

#include "fakes/cell_world_ports.h"

namespace doorwood::fakes {
namespace {

// Steady clock of a worker that has started again, in milliseconds.
constexpr int64_t kClockAtStart = 10;

}  // namespace

void CompletionRecorder::OnEnded(const EndedRun& end) {
  if (end.end == RunEnd::kDone) {
    unacknowledged_.insert(end.task);
  }
}

void CompletionRecorder::OnEndAcknowledged(const EndedRun& end) {
  if (end.end == RunEnd::kDone) {
    // An acknowledgement after the worker's lease has expired is ignored.
    if (end.number > model_.last_end_at_lease_expiry()) {
      acknowledged_->insert(end.task);
    }
    unacknowledged_.erase(unacknowledged_.find(end.task));
  }
}

CellWorld::CellWorld(uint64_t seed) : random_(seed) {
  adviser_->permits = [](const std::string&, const std::string& worker) {
    return !worker.ends_with("x");
  };
}

CellWorld::~CellWorld() = default;

void CellWorld::Trace(const std::string& line) const {
  static const bool enabled = std::getenv("DOORWOOD_TRACE") != nullptr;
  if (enabled) {
    std::cerr << time_.now_ms() << " " << line << "\n";
  }
}

WorldInstance& CellWorld::AddInstance(const std::string& name,
                                      const std::string& data_centre,
                                      double cpu_share) {
  auto instance = std::make_unique<WorldInstance>();
  WorldInstance& self = *instance;
  self.name = name;
  self.executor = std::make_unique<FakeExecutor>(time_, random_());
  self.store = MakeWorldStore(*this, self);
  self.directory = MakeWorldDirectory(*this, self);
  self.workers = MakeWorldWorkers(*this, self);
  self.peer_calls = MakeWorldPeers(*this, self);
  self.adviser =
      std::make_unique<SerialAdviser>(time_, *self.executor, adviser_);
  self.machines = MakeWorldMachines(*this, self);
  self.log = MakeWorldLog(*this, name);
  LiveInstance live;
  live.name = name;
  live.data_centre = data_centre;
  live.address = name;
  live.cpu_share = cpu_share;
  if (link_rate_ > 0) {
    LimitLinkOf(&self);
  }
  RecordStore& store = self.metered_store ? *self.metered_store : *self.store;
  RunWorkerClient& workers =
      self.paced_workers ? *self.paced_workers : *self.workers;
  self.live = std::make_unique<LiveDirectory>(
      *self.executor, store, *self.peer_calls, *self.log, LiveOptions{}, live);
  options_.cell = "all";
  self.cell = std::make_unique<CellLeader>(
      *self.executor, store, *self.directory, workers, self.adviser.get(),
      self.machines.get(), *self.live, *self.log,
      [this] { return time_.now_ms(); }, options_);
  by_name_[name] = &self;
  instances_.push_back(std::move(instance));
  if (table_) {
    self.cell->OnQueueTable(table_);
  }
  self.live->Start([&self] { self.cell->OnLiveChange(); });
  self.cell->Start();
  return self;
}

void CellWorld::LimitLinkOf(WorldInstance* self) {
  self->link = std::make_unique<LimitedLink>(time_, link_rate_);
  self->linked_store =
      MakeLinkedStore(time_, *self->executor, *self->link, *self->store);
  self->linked_workers =
      MakeLinkedWorkers(time_, *self->executor, *self->link, *self->workers);
  self->link_load = std::make_unique<LinkLoad>(link_rate_ * known_link_share_);
  self->metered_store = std::make_unique<MeteredStore>(
      *self->executor, *self->linked_store, *self->link_load);
  self->paced_workers =
      std::make_unique<PacedWorkers>(*self->executor, *self->linked_workers,
                                     *self->link_load, WorkerPacingOptions{});
}

WorldWorker& CellWorld::AddWorker(const std::string& id, int64_t cpu_millis) {
  auto worker = std::make_unique<WorldWorker>();
  worker->incarnation.id = id;
  worker->incarnation.address = id;
  worker->incarnation.data_centre = "plaka";
  worker->incarnation.service = "pool";
  worker->incarnation.capacity = {cpu_millis, 1'000'000, 0};
  worker->incarnation.labels = {"a", "r1"};
  worker->incarnation.started_at = start_times_hidden_ ? 0 : NextStartTime();
  worker->Advance(time_.now_ms());
  worker->completions = std::make_unique<CompletionRecorder>(
      worker->model, &acknowledged_completions_);
  worker->model.SetObserver(worker->completions.get());
  WorldWorker& added = *worker;
  workers_[id] = std::move(worker);
  return added;
}

void CellWorld::Kill(const std::string& name) {
  WorldInstance* instance = by_name_[name];
  instance->executor->Kill();
  instance->alive = false;
  by_name_.erase(name);
}

void CellWorld::CrashWorker(const std::string& id) {
  workers_.erase(id);
}

void CellWorld::CrashAndRestart(const std::string& id) {
  constexpr Millis kEntryRemovalDelay{600};
  constexpr Millis kRestartDelay{2000};
  WorldWorker& worker = *workers_.at(id);
  const bool was_listed = worker.listed;
  constexpr Millis kRecentStart{400};
  const auto recent_starts = std::count_if(
      worker.start_times.begin(), worker.start_times.end(),
      [&](Instant start) { return time_.now() - start <= kRecentStart; });
  crashes_after_several_starts_ += recent_starts > 1 ? 1 : 0;
  Trace("world: " + id + " crashes");
  ++crashes_;
  for (const std::string& task : worker.model.running_tasks()) {
    ++crashes_while_running_[task];
    ++runs_crashed_;
  }
  ShutDownWorker(id);
  worker.refuses_calls = crashed_refuse_calls_;
  worker.listed = was_listed;
  time_.RunAt(time_.now() + kEntryRemovalDelay,
              [this, id] { workers_.at(id)->listed = false; });
  time_.RunAt(time_.now() + kRestartDelay, [this, id] {
    const WorkerIncarnation incarnation = workers_.at(id)->incarnation;
    if (addresses_reused_) {
      CrashWorker(id);
    }
    WorldWorker& restarted =
        AddWorker(id + "+", incarnation.capacity.cpu_millis);
    restarted.incarnation.machine = incarnation.machine;
    restarted.incarnation.data_centre = incarnation.data_centre;
    restarted.incarnation.labels = incarnation.labels;
  });
}

void CellWorld::ShutDownWorker(const std::string& id) {
  WorldWorker& worker = *workers_.at(id);
  worker.model = standin::RunWorkerModel();
  worker.completions = std::make_unique<CompletionRecorder>(
      worker.model, &acknowledged_completions_);
  worker.up = false;
  worker.listed = false;
}

void CellWorld::KeepCompletionsOf(const WorldWorker& worker) {
  const auto& tasks = worker.completions->unacknowledged();
  completions_at_departure_.insert(tasks.begin(), tasks.end());
}

void CellWorld::EndWorkerAsPlanned(const std::string& id) {
  WorldWorker& worker = *workers_.at(id);
  worker.Advance(time_.now_ms());
  Trace("world: " + id + " ends as planned");
  KeepCompletionsOf(worker);
  ShutDownWorker(id);
}

void CellWorld::RestartWorkerInPlace(const std::string& id,
                                     Millis down,
                                     EntryWhileDown entry) {
  WorldWorker& worker = *workers_.at(id);
  if (!worker.up) {
    return;
  }
  Trace("world: " + id + " restarts in place, down for " +
        std::to_string(down.count()) + " ms");
  ShutDownWorker(id);
  worker.listed = entry == EntryWhileDown::kKept;
  worker.refuses_calls = crashed_refuse_calls_;
  time_.RunAt(time_.now() + down, [this, id] {
    WorldWorker& started = *workers_.at(id);
    ++started.life;
    started.clock_origin = time_.now_ms() - kClockAtStart;
    started.Advance(time_.now_ms());
    started.model.SetObserver(started.completions.get());
    if (started.incarnation.started_at != 0) {
      started.incarnation.started_at = NextStartTime();
    }
    started.up = true;
    started.listed = true;
    started.refuses_calls = false;
    Trace("world: " + id + " answers again");
  });
}

// Later than that of each earlier start, also of one in the same millisecond.
int64_t CellWorld::NextStartTime() {
  constexpr int64_t kUnixMillisAtStart = 1'700'000'000'000;
  latest_start_time_ =
      std::max(latest_start_time_ + 1, kUnixMillisAtStart + time_.now_ms());
  return latest_start_time_;
}

void CellWorld::AddMachines() {
  for (const auto& [id, worker] : workers_) {
    machines_["m-" + id].worker = id;
  }
}

void CellWorld::StartUpkeep(const std::string& name, int64_t wave) {
  constexpr Millis kUpkeep{2000};
  WorldMachine& machine = machines_.at(name);
  if (machine.upkeep_counts.contains(wave)) {
    return;
  }
  const auto plan = std::find_if(
      waves_.begin(), waves_.end(),
      [wave](const UpkeepWave& known) { return known.number == wave; });
  const auto down = std::count_if(
      plan->machines.begin(), plan->machines.end(), [&](const auto& id) {
        const auto known = machines_.find(id);
        return known != machines_.end() &&
               known->second.state == MachineState::kUpkeep;
      });
  if (down >= plan->max_down) {
    violations_.push_back("more machines of a wave are down than it allows");
  }
  ++machine.upkeep_counts[wave];
  machine.state = MachineState::kUpkeep;
  const WorkerIncarnation incarnation =
      workers_.at(machine.worker)->incarnation;
  runs_lost_to_upkeep_ +=
      static_cast<int>(workers_.at(machine.worker)->model.running_count());
  KeepCompletionsOf(*workers_.at(machine.worker));
  CrashWorker(machine.worker);
  time_.RunAt(time_.now() + kUpkeep, [this, name, incarnation] {
    WorldMachine& restarted = machines_.at(name);
    restarted.state = MachineState::kUp;
    restarted.worker += "+";
    AddWorker(restarted.worker, incarnation.capacity.cpu_millis)
        .incarnation.labels = incarnation.labels;
  });
}

void CellWorld::SetTable(const std::vector<Queue>& queues) {
  table_ = std::make_shared<const QueueTable>(1, queues, HttpLimits{},
                                              std::vector<std::string>());
  for (const auto& [name, instance] : by_name_) {
    instance->cell->OnQueueTable(table_);
  }
}

int CellWorld::log_count(const std::string& message) const {
  const auto found = log_counts_.find(message);
  return found == log_counts_.end() ? 0 : found->second;
}

void CellWorld::AdvanceModelsToNow() {
  store_.Advance(time_.now_ms());
  for (const auto& [id, worker] : workers_) {
    worker->Advance(time_.now_ms());
  }
}

double CellWorld::RandomFraction() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

void CellWorld::RunExactly(Millis duration) {
  time_.Run(duration);
  AdvanceModelsToNow();
}

void CellWorld::Run(Millis duration) {
  constexpr Millis kStep{50};
  for (Millis passed{0}; passed < duration; passed += kStep) {
    RunExactly(kStep);
  }
}

WorldInstance* CellWorld::Leader() {
  for (const auto& [name, instance] : by_name_) {
    if (instance->cell->leading() && !instance->executor->frozen()) {
      return instance;
    }
  }
  return nullptr;
}

WorldInstance* CellWorld::WaitForLeader() {
  constexpr int kMaxSteps = 100;
  for (int i = 0; i < kMaxSteps && Leader() == nullptr; ++i) {
    Run(Millis(100));
  }
  return Leader();
}

bool CellWorld::Submit(const JobPlan& plan) {
  WorldInstance* leader = Leader();
  if (leader == nullptr) {
    return false;
  }
  JobPlan stamped = plan;
  stamped.accepted_at = time_.now_ms();
  for (size_t step = 0; step < plan.steps.size(); ++step) {
    if (AllowsCopies(plan.steps[step])) {
      steps_with_copies_.insert(plan.id + "." + std::to_string(step));
    }
  }
  const Queue* queue = table_ ? table_->FindByName(plan.queue) : nullptr;
  if (queue != nullptr && queue->advice) {
    advised_jobs_.insert(plan.id);
  }
  auto accepted = std::make_shared<bool>(false);
  leader->cell->Submit(
      stamped,
      [accepted](std::error_code error, AcceptOutcome) { *accepted = !error; });
  Run(Millis(100));
  return *accepted;
}

std::optional<JobPhase> CellWorld::StateOf(const std::string& job) {
  WorldInstance* leader = Leader();
  return leader == nullptr ? std::nullopt : leader->cell->FindJobPhase(job);
}

int CellWorld::starts(const std::string& task) const {
  const auto found = starts_.find(task);
  return found == starts_.end() ? 0 : found->second;
}

std::string CellWorld::latest_ticket(const std::string& task) const {
  const auto found = tickets_.find(task);
  return found == tickets_.end() ? "" : found->second;
}

bool CellWorld::AcceptsTicket(const std::string& worker,
                              const StartOrder& order) const {
  if (!advised_jobs_.contains(order.task.substr(0, order.task.find('.')))) {
    return true;
  }
  const std::string step = order.task.substr(0, order.task.rfind('.'));
  return std::any_of(
      instances_.begin(), instances_.end(), [&](const auto& instance) {
        return instance->adviser->IsValid(order.ticket, step, worker);
      });
}

void CellWorld::OnStarted(const std::string& worker,
                          const StartOrder& order,
                          bool late) {
  ++starts_[order.task];
  tickets_[order.task] = order.ticket;
  Trace("world: " + order.task + " run " + std::to_string(order.run) +
        " starts on " + worker);
  AdvanceModelsToNow();
  CheckSingleRun(order.task);
  CheckWorkersRecord(worker, order.task);
  CheckCrashLimit(order.task);
  workers_.at(worker)->start_times.push_back(time_.now());
  if (!late) {
    CheckNotCompleted(order.task);
  }
  std::optional<Millis> after = standin::CrashDelay(order);
  if (crashing_machines_.contains(workers_.at(worker)->incarnation.machine)) {
    after = Millis(10);
  }
  if (after) {
    time_.RunAt(time_.now() + *after, [this, worker, task = order.task] {
      const auto found = workers_.find(worker);
      if (found != workers_.end() && found->second->model.IsRunning(task)) {
        CrashAndRestart(worker);
      }
    });
  }
}

int CellWorld::crashes_while_running(const std::string& task) const {
  const auto found = crashes_while_running_.find(task);
  return found == crashes_while_running_.end() ? 0 : found->second;
}

void CellWorld::CheckCrashLimit(const std::string& task) {
  constexpr int kCrashLimit = 3;
  constexpr int kFurtherStarts = 3;
  if (crashes_while_running(task) >= kCrashLimit &&
      ++starts_after_three_crashes_[task] == kFurtherStarts) {
    violations_.push_back(
        task +
        " was started three more times after three workers had "
        "crashed while running it, at " +
        std::to_string(time_.now_ms()));
  }
}

// A successor of the leader assumes that a worker runs only tasks that its row
// in the workers' record names.
void CellWorld::CheckWorkersRecord(const std::string& worker,
                                   const std::string& task) {
  StoreItem record;
  if (store_.Get(WorkersKey("all"), &record)) {
    return;
  }
  for (const KnownWorker& row : DecodeWorkers(record.value)) {
    if (row.id == worker && row.tasks &&
        std::find(row.tasks->begin(), row.tasks->end(), task) ==
            row.tasks->end()) {
      violations_.push_back("the record of tasks that may run on " + worker +
                            " does not name " + task + " at " +
                            std::to_string(time_.now_ms()));
    }
  }
}

int CellWorld::CountRuns(const std::string& task) const {
  return static_cast<int>(std::count_if(
      workers_.begin(), workers_.end(),
      [&](const auto& entry) { return entry.second->model.IsRunning(task); }));
}

bool CellWorld::MayHaveCopy(const std::string& task) const {
  const auto name = ParseTaskName(task);
  return steps_with_copies_.contains(std::string(name->job) + "." +
                                     std::to_string(name->step));
}

void CellWorld::CheckSingleRun(const std::string& task) {
  if (CountRuns(task) > 1 && !MayHaveCopy(task)) {
    violations_.push_back("two runs of " + task + " at " +
                          std::to_string(time_.now_ms()));
  }
}

// A worker whose lease has expired and that has not been contacted since may
// have been declared lost, so its unacknowledged completions are ignored. A
// copy may start before the leader hears of the completion.
void CellWorld::CheckNotCompleted(const std::string& task) {
  const bool reported =
      !MayHaveCopy(task) &&
      std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
        const WorldWorker& worker = *entry.second;
        return worker.completions->IsUnacknowledged(task) &&
               worker.model.lease_until() > worker.model.now();
      });
  const bool acknowledged = acknowledged_completions_.contains(task);
  const bool ended_with_worker =
      !MayHaveCopy(task) && completions_at_departure_.contains(task);
  if (reported || acknowledged || ended_with_worker) {
    const std::string how = reported       ? " reported as completed"
                            : acknowledged ? " acknowledged as completed"
                                           : " completed on a worker that left";
    completed_task_starts_.push_back(task + how + ", started at " +
                                     std::to_string(time_.now_ms()));
  }
}

JobPlan MakePlan(const std::string& id,
                 int steps,
                 int count,
                 const std::string& payload) {
  JobPlan plan;
  plan.id = id;
  plan.queue = "queue";
  plan.payload = payload;
  for (int i = 0; i < steps; ++i) {
    StepPlan step;
    step.count = count;
    step.size = {1000, 100, 0};
    step.estimate = Millis(300);
    if (i > 0) {
      step.depends_on = {i - 1};
    }
    plan.steps.push_back(step);
  }
  return plan;
}

Queue MakeQueue(const std::string& name, int max_attempts) {
  Queue queue;
  queue.name = name;
  queue.host = "host";
  queue.path_prefix = "/" + name + "/";
  queue.service = "pool";
  queue.max_attempts = max_attempts;
  queue.max_slowdown = 2.0;
  queue.latency_target = Millis(1000);
  return queue;
}

}  // namespace doorwood::fakes
