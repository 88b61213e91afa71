// SPDX-License-Identifier: Apache-2.0

/// \file
/// Simulates a cell in virtual time for tests: a key-value store, workers and
/// entry instances, with fault injection on the connections between them. It
/// records what ran independently of the code under test, and tests check the
/// scheduler against that record.

#ifndef DOORWOOD_FAKES_CELL_WORLD_H_
#define DOORWOOD_FAKES_CELL_WORLD_H_

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "doorwood/cell_leader.h"
#include "doorwood/link_load.h"
#include "doorwood/machine_platform.h"
#include "doorwood/metered_store.h"
#include "doorwood/paced_workers.h"
#include "fakes/fakes.h"
#include "fakes/limited_link.h"
#include "fakes/serial_adviser.h"
#include "standin/record_store_model.h"
#include "standin/run_worker_model.h"

namespace doorwood::fakes {

class CellWorld;

/// Faults between one instance and the store.
struct StoreFaults {
  /// Calls fail at once as unavailable, except that watches time out.
  bool unavailable = false;
  /// Calls are neither answered nor executed; they time out, except that the
  /// lists of workers and of closed data centres fail at once.
  bool unresponsive = false;
  /// Share (0 to 1) of writes that are executed but not answered, and of those
  /// that are not answered and executed seconds later, if their conditions
  /// still hold.
  double lost_reply_share = 0;
  double delayed_write_share = 0;
  /// Added to the time until an executed call is answered.
  Millis answer_delay{0};
};

/// One simulated entry instance.
struct WorldInstance {
  std::string name;
  std::unique_ptr<FakeExecutor> executor;
  std::unique_ptr<RecordStore> store;
  std::unique_ptr<WorkerDirectory> directory;
  std::unique_ptr<RunWorkerClient> workers;
  /// Set if the instance's link is limited (see `CellWorld::LimitLinks`): the
  /// link, the ports behind it, and the product's parts that pace the calls.
  std::unique_ptr<LimitedLink> link;
  std::unique_ptr<RecordStore> linked_store;
  std::unique_ptr<RunWorkerClient> linked_workers;
  std::unique_ptr<LinkLoad> link_load;
  std::unique_ptr<MeteredStore> metered_store;
  std::unique_ptr<PacedWorkers> paced_workers;
  std::unique_ptr<StoreAnswerPort> peer_calls;
  std::unique_ptr<SerialAdviser> adviser;
  std::unique_ptr<MachinePlatform> machines;
  std::unique_ptr<EventLog> log;
  std::unique_ptr<LiveDirectory> live;
  std::unique_ptr<CellLeader> cell;
  StoreFaults store_faults;
  /// Share of orders to workers that get no answer and are executed after
  /// `order_delay`.
  double delayed_order_share = 0;
  Millis order_delay{6000};
  /// Share of orders to workers that are executed at once but not answered.
  double lost_order_reply_share = 0;
  /// Number of further orders to machines that are executed but not answered.
  int machine_replies_to_lose = 0;
  /// Idle connections for polls, by worker: the life of the worker that each
  /// belongs to.
  std::map<std::string, std::vector<int>> poll_connections;
  /// Workers that the instance cannot reach.
  std::set<std::string> unreachable_workers;
  /// The instance is partitioned from all other instances.
  bool partitioned_from_peers = false;
  /// Instances that this one is partitioned from, in both directions.
  std::set<std::string> unreachable_instances;
  bool alive = true;
};

/// Records the completions of tasks on one worker.
class CompletionRecorder : public standin::RunObserver {
 public:
  CompletionRecorder(const standin::RunWorkerModel& model,
                     std::set<std::string>* acknowledged)
      : model_(model), acknowledged_(acknowledged) {}

  void OnStarted(const StartOrder&) override {}
  void OnEnded(const EndedRun& end) override;
  void OnEndAcknowledged(const EndedRun& end) override;
  /// The task completed on this worker, and no leader has acknowledged that
  /// yet.
  bool IsUnacknowledged(const std::string& task) const {
    return unacknowledged_.contains(task);
  }
  const std::multiset<std::string>& unacknowledged() const {
    return unacknowledged_;
  }

 private:
  const standin::RunWorkerModel& model_;
  std::set<std::string>* acknowledged_;
  std::multiset<std::string> unacknowledged_;
};

struct WorldWorker {
  WorkerIncarnation incarnation;
  standin::RunWorkerModel model;
  std::unique_ptr<CompletionRecorder> completions;
  bool up = true;
  /// Number of starts under this id. Connections to an earlier life are broken.
  int life = 1;
  /// World time at which the worker's steady clock was 0.
  int64_t clock_origin = 0;
  /// The worker's clock runs 2% slow, the most that the platform allows.
  bool slow_clock = false;
  /// The worker is down, and its machine refuses calls at once instead of
  /// letting them time out.
  bool refuses_calls = false;
  /// The worker directory has an entry for it.
  bool listed = true;
  /// Address in the directory entry, if it is not the worker's own: another
  /// process answers there.
  std::string listed_address;
  /// Number of calls that reached the worker, and of runs that it started. A
  /// poll that waits counts again every 20 ms, and a delayed order counts again
  /// when it is executed.
  int calls_received = 0;
  int runs_started = 0;
  std::vector<Instant> start_times{};

  /// Advances the model to the world time `now`.
  void Advance(int64_t now) {
    const int64_t passed = now - clock_origin;
    constexpr int64_t kSlowPercent = 98;
    constexpr int64_t kWhole = 100;
    model.Advance(slow_clock ? passed * kSlowPercent / kWhole : passed);
  }
};

/// How the entry of a worker that restarts in place appears while it is down.
enum class EntryWhileDown { kKept, kRemoved };

/// A simulated machine. Each restart of its worker gets a new worker id.
struct WorldMachine {
  std::string worker;
  MachineState state = MachineState::kUp;
  /// How often each upkeep wave, by its number, took this machine down.
  std::map<int64_t, int> upkeep_counts;
};

class CellWorld {
 public:
  explicit CellWorld(uint64_t seed);
  ~CellWorld();

  WorldInstance& AddInstance(const std::string& name,
                             const std::string& data_centre,
                             double cpu_share = 1.0);
  WorldWorker& AddWorker(const std::string& id, int64_t cpu_millis);
  /// Ends an instance's process at once; the name may be added again.
  void Kill(const std::string& name);
  /// Removes the worker: calls to it are answered by another incarnation.
  void CrashWorker(const std::string& id);
  /// All runs on the worker end and nothing answers at its address. Its
  /// directory entry disappears 0.6 s later, and 2 s after the crash its
  /// machine starts another incarnation, whose id is the old one with a "+"
  /// appended.
  void CrashAndRestart(const std::string& id);
  /// All runs on the worker end, and it answers nothing for `down`. It then
  /// starts anew under its id and at its address: its clock and its numbers of
  /// ends begin anew, it knows no token, and the start time in its entry and
  /// reports is later. Does nothing if the worker is down.
  void RestartWorkerInPlace(const std::string& id,
                            Millis down,
                            EntryWhileDown entry);
  /// Workers added from now on state no start time, as on older platforms.
  void HideStartTimes() { start_times_hidden_ = true; }
  /// A crashed worker's address is not used by another incarnation.
  void DisableAddressReuse() { addresses_reused_ = false; }
  /// Calls to a crashed worker's machine time out instead of being refused.
  void TimeOutCallsToCrashedWorkers() { crashed_refuse_calls_ = false; }
  /// All runs on the worker end, its directory entry is removed, and nothing
  /// answers at its address any more.
  void ShutDownWorker(const std::string& id);
  /// As `ShutDownWorker`. A task that completed there must not be started
  /// again, even if no leader has acknowledged the completion.
  void EndWorkerAsPlanned(const std::string& id);
  /// Adds one machine for each worker, named "m-" followed by the worker's id.
  void AddMachines();
  void SetTable(const std::vector<Queue>& queues);
  /// Instances that are added later have a link of this rate in each direction.
  /// `known_share`: the rate that the instance knows, as a share of the true
  /// one; 0: it knows of no limit.
  void LimitLinks(double bytes_per_second, double known_share) {
    link_rate_ = bytes_per_second;
    known_link_share_ = known_share;
  }

  /// Advances time in steps of 50 ms; the last step is not shortened.
  void Run(Millis duration);
  void RunExactly(Millis duration);
  /// The instance that leads and is not frozen; null if there is none.
  WorldInstance* Leader();
  /// Advances time until an instance leads, by ten seconds at most.
  WorldInstance* WaitForLeader();
  /// Submits a job to the leader; true if it was accepted within 0.1 s.
  bool Submit(const JobPlan& plan);
  std::optional<JobPhase> StateOf(const std::string& job);

  /// Options of instances that are added later.
  CellOptions& options() { return options_; }
  VirtualTime& time() { return time_; }
  standin::RecordStoreModel& store() { return store_; }
  std::map<std::string, WorldInstance*>& instances() { return by_name_; }
  std::map<std::string, std::unique_ptr<WorldWorker>>& workers() {
    return workers_;
  }
  std::map<std::string, WorldMachine>& machines() { return machines_; }
  std::vector<UpkeepWave>& waves() { return waves_; }
  /// Data centres that operators have closed to new work.
  std::set<std::string>& closed_data_centres() { return closed_data_centres_; }
  /// Directory entries that were written by other programs.
  std::vector<WorkerIncarnation>& foreign_entries() { return foreign_entries_; }
  std::mt19937_64& random() { return random_; }
  /// Descriptions of violated invariants.
  const std::vector<std::string>& violations() const { return violations_; }
  int starts(const std::string& task) const;
  /// Number of workers that run the task.
  int CountRuns(const std::string& task) const;
  /// Machines whose workers crash 10 ms after each start of a run.
  std::set<std::string>& crashing_machines() { return crashing_machines_; }
  /// Number of worker crashes while the task ran there.
  int crashes_while_running(const std::string& task) const;
  /// Number of all crashes, and of the runs that they ended.
  int crashes() const { return crashes_; }
  int runs_crashed() const { return runs_crashed_; }
  /// Number of crashes of workers that had started several runs within the
  /// last 0.4 s.
  int crashes_after_several_starts() const {
    return crashes_after_several_starts_;
  }
  /// Starts of tasks that had completed: the completion was acknowledged, or
  /// is reported by a worker whose lease has not expired, or was on a worker
  /// that ended as planned or for upkeep. Excludes starts that a worker
  /// executed late.
  const std::vector<std::string>& completed_task_starts() const {
    return completed_task_starts_;
  }
  /// Number of calls that were answered by another incarnation or process.
  int misdirected_calls() const { return misdirected_calls_; }
  /// Number of log lines with this message, over all instances.
  int log_count(const std::string& message) const;
  /// Number of runs that ended because of upkeep of machines.
  int runs_lost_to_upkeep() const { return runs_lost_to_upkeep_; }
  /// Ticket that the task's latest start carried.
  std::string latest_ticket(const std::string& task) const;
  /// The adviser, which handles the calls of each instance in a queue of its
  /// own. By default it decides at once, and permits every worker whose id does
  /// not end in "x". Workers refuse starts for queues with advice without a
  /// valid ticket.
  SerialAdviser::Behavior& adviser() { return *adviser_; }
  /// Writes the line to stderr if DOORWOOD_TRACE is set in the environment.
  void Trace(const std::string& line) const;

  // Called by the fake ports.
  bool AcceptsTicket(const std::string& worker, const StartOrder& order) const;
  void StartUpkeep(const std::string& machine, int64_t wave);
  void OnStarted(const std::string& worker, const StartOrder& order, bool late);
  /// Advances the models of the store and of all workers to the current virtual
  /// time, so that leases and runs that are due end.
  void AdvanceModelsToNow();
  double RandomFraction();
  void CountMisdirectedCall() { ++misdirected_calls_; }
  void CountLogLine(const std::string& message) { ++log_counts_[message]; }

 private:
  int64_t NextStartTime();
  bool MayHaveCopy(const std::string& task) const;
  /// Puts the instance's link between its ports and the world.
  void LimitLinkOf(WorldInstance* self);
  void CheckSingleRun(const std::string& task);
  void CheckWorkersRecord(const std::string& worker, const std::string& task);
  void CheckNotCompleted(const std::string& task);
  /// The worker's completions count even if no leader has heard of them.
  void KeepCompletionsOf(const WorldWorker& worker);
  void CheckCrashLimit(const std::string& task);

  CellOptions options_;
  double link_rate_ = 0;
  double known_link_share_ = 0;
  VirtualTime time_;
  std::mt19937_64 random_;
  standin::RecordStoreModel store_;
  std::vector<std::unique_ptr<WorldInstance>> instances_;
  std::map<std::string, WorldInstance*> by_name_;
  std::map<std::string, std::unique_ptr<WorldWorker>> workers_;
  std::map<std::string, WorldMachine> machines_;
  std::vector<UpkeepWave> waves_;
  std::set<std::string> closed_data_centres_;
  std::vector<WorkerIncarnation> foreign_entries_;
  int runs_lost_to_upkeep_ = 0;
  int misdirected_calls_ = 0;
  std::map<std::string, int> log_counts_;
  std::shared_ptr<const QueueTable> table_;
  std::map<std::string, int> starts_;
  /// Steps of submitted jobs whose tasks may have two runs.
  std::set<std::string> steps_with_copies_;
  std::map<std::string, std::string> tickets_;
  std::shared_ptr<SerialAdviser::Behavior> adviser_ =
      std::make_shared<SerialAdviser::Behavior>();
  /// Submitted jobs of queues with advice.
  std::set<std::string> advised_jobs_;
  std::map<std::string, int> crashes_while_running_;
  std::map<std::string, int> starts_after_three_crashes_;
  std::set<std::string> crashing_machines_;
  int crashes_ = 0;
  int runs_crashed_ = 0;
  int crashes_after_several_starts_ = 0;
  bool addresses_reused_ = true;
  bool start_times_hidden_ = false;
  int64_t latest_start_time_ = 0;
  bool crashed_refuse_calls_ = true;
  std::vector<std::string> violations_;
  std::set<std::string> acknowledged_completions_;
  /// Tasks that completed on workers that have ended as planned, without an
  /// acknowledgement.
  std::set<std::string> completions_at_departure_;
  std::vector<std::string> completed_task_starts_;
};

/// A job plan of `steps` steps of `count` tasks each; each step depends on the
/// one before it.
JobPlan MakePlan(const std::string& id,
                 int steps,
                 int count,
                 const std::string& payload);
Queue MakeQueue(const std::string& name, int max_attempts);

}  // namespace doorwood::fakes

#endif  // DOORWOOD_FAKES_CELL_WORLD_H_
