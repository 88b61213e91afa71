// SPDX-License-Identifier: Apache-2.0

/// \file
/// A small world for tests of cells, in virtual time: a store, workers and
/// entry instances, with switches for what goes wrong between them. It keeps
/// its own record of what ran, which tests trust.

#ifndef DOORWOOD_FAKES_CELL_WORLD_H_
#define DOORWOOD_FAKES_CELL_WORLD_H_

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "doorwood/cell_leader.h"
#include "doorwood/machine_platform.h"
#include "fakes/fakes.h"
#include "standin/record_store_model.h"
#include "standin/run_worker_model.h"

namespace doorwood::fakes {

class CellWorld;

/// Faults between one instance and the store.
struct StoreFaults {
  bool down = false;
  /// Calls are neither answered nor carried out.
  bool silent = false;
  /// Share of writes that are carried out but not answered, and of those that
  /// are carried out seconds later if they still hold.
  double answer_lost = 0;
  double late = 0;
};

/// One entry instance of the world.
struct WorldInstance {
  std::string name;
  std::unique_ptr<FakeExecutor> executor;
  std::unique_ptr<RecordStore> store;
  std::unique_ptr<WorkerDirectory> directory;
  std::unique_ptr<RunWorkers> workers;
  std::unique_ptr<StoreHearing> hearing;
  std::unique_ptr<Adviser> adviser;
  std::unique_ptr<MachinePlatform> machines;
  std::unique_ptr<EventLog> log;
  std::unique_ptr<LiveDirectory> live;
  std::unique_ptr<CellLeader> cell;
  StoreFaults store_faults;
  /// Share of orders to workers that get no answer and are carried out
  /// seconds later.
  double late_orders = 0;
  Millis orders_late_by{6000};
  /// Share of orders to workers that are carried out at once, but not answered.
  double order_answers_lost = 0;
  /// The next so many orders to machines are carried out but not answered.
  int machine_answers_lost = 0;
  /// Workers that it can't reach.
  std::set<std::string> cut_from;
  /// It and the other instances don't reach each other.
  bool cut_from_peers = false;
  /// Single instances that it doesn't reach, nor they it.
  std::set<std::string> cut_from_instances;
  bool alive = true;
};

/// Notes which tasks were done on a worker.
class DoneWatcher : public standin::RunWatcher {
 public:
  DoneWatcher(const standin::RunWorkerModel& model,
              std::set<std::string>* noted)
      : model_(model), noted_(noted) {}

  void OnStarted(const StartOrder&) override {}
  void OnEnded(const EndedRun& end) override;
  void OnNoted(const EndedRun& end) override;
  /// It was done here, and whoever holds the worker has not noted that yet.
  bool Lists(const std::string& task) const { return listed_.contains(task); }

 private:
  const standin::RunWorkerModel& model_;
  std::set<std::string>* noted_;
  std::multiset<std::string> listed_;
};

struct WorldWorker {
  WorkerLife life;
  standin::RunWorkerModel model;
  std::unique_ptr<DoneWatcher> done;
  bool up = true;
  /// Not up, and its machine says so at once.
  bool refuses = false;
  /// The directory names it.
  bool listed = true;
  /// Address that the directory names, if not its own: another life answers
  /// there.
  std::string listed_address;
  /// Calls that reached it, and runs that it began.
  int calls = 0;
  int started = 0;
  std::vector<Instant> starts{};
};

/// A machine of the world; its worker's id rises with each life.
struct WorldMachine {
  std::string worker;
  MachineState state = MachineState::kUp;
  /// Waves of which it has had its upkeep, each with how often.
  std::map<int64_t, int> upkeeps;
};

class CellWorld {
 public:
  explicit CellWorld(uint64_t seed);
  ~CellWorld();

  WorldInstance& AddInstance(const std::string& name,
                             const std::string& data_centre,
                             double cpu_share = 1.0);
  WorldWorker& AddWorker(const std::string& id, int64_t cpu_millis);
  /// Ends a process at once; its name may be added again.
  void Kill(const std::string& name);
  void CrashWorker(const std::string& id);
  /// What runs there dies and nobody answers; its entry goes a moment later,
  /// and after a while its machine has another life, with a "+" behind its id.
  void CrashAndReturn(const std::string& id);
  /// After a crash nobody uses the worker's address again.
  void KeepAddressesFree() { addresses_reused_ = false; }
  /// A crashed worker's machine does not refuse calls: it does not answer.
  void KeepCrashedSilent() { crashed_refuse_ = false; }
  /// What runs there dies, and nobody answers at its address any more.
  void TakeAway(const std::string& id);
  /// Makes a machine of each worker, named "m-" and the worker's id.
  void MakeMachines();
  void SetTable(const std::vector<Queue>& queues);

  /// In steps of 50 ms; the last one is not cut short.
  void Run(Millis duration);
  void RunExactly(Millis duration);
  /// The instance that leads, if any.
  WorldInstance* Leader();
  /// Runs until somebody leads, at most ten seconds.
  WorldInstance* WaitForLeader();
  /// Hands a job in at the leader; true if it was accepted.
  bool Submit(const JobPlan& plan);
  std::optional<JobPhase> StateOf(const std::string& job);

  /// Of instances that are added from now on.
  CellOptions& options() { return options_; }
  VirtualTime& time() { return time_; }
  standin::RecordStoreModel& store() { return store_; }
  std::map<std::string, WorldInstance*>& instances() { return by_name_; }
  std::map<std::string, std::unique_ptr<WorldWorker>>& workers() {
    return workers_;
  }
  std::map<std::string, WorldMachine>& machines() { return machines_; }
  std::vector<UpkeepWave>& waves() { return waves_; }
  /// Data centres that the operators have closed to new work.
  std::set<std::string>& closed() { return closed_; }
  /// Entries of other writers in the directory.
  std::vector<WorkerLife>& foreign() { return foreign_; }
  std::mt19937_64& random() { return random_; }
  /// Rules that were broken, in words.
  const std::vector<std::string>& broken() const { return broken_; }
  int starts(const std::string& task) const;
  /// Machines that crash with each start.
  std::set<std::string>& crashing_machines() { return crashing_machines_; }
  /// Workers that crashed while the task ran there.
  int crashes_under(const std::string& task) const;
  /// All crashes, and the runs that they ended.
  int crashes() const { return crashes_; }
  int runs_crashed() const { return runs_crashed_; }
  /// Crashes of workers on which several runs had begun within 0.4 s before.
  int crowded_crashes() const { return crowded_crashes_; }
  /// Starts of tasks that were done: noted as done, or listed as done by a
  /// worker whose lease still holds. Not those that a worker carried out late.
  const std::vector<std::string>& started_done() const { return started_done_; }
  /// Calls that another life or nobody answered.
  int calls_elsewhere() const { return calls_elsewhere_; }
  /// Lines of the log with this message, of all instances.
  int logged(const std::string& message) const;
  /// Runs that machines' upkeep ended.
  int lost_runs() const { return lost_runs_; }
  /// Ticket that the task's newest start carried.
  std::string ticket(const std::string& task) const;
  /// What is logged, where DOORWOOD_TRACE is set.
  void Trace(const std::string& line) const;

  // For the fakes.
  void TakeDown(const std::string& machine, int64_t wave);
  void OnStarted(const std::string& worker, const StartOrder& order, bool late);
  void AdvanceAll();
  double Chance();
  void CountCallElsewhere() { ++calls_elsewhere_; }
  void CountLine(const std::string& message) { ++logged_[message]; }

 private:
  void CheckRuns(const std::string& task);
  void CheckNamed(const std::string& worker, const std::string& task);
  void CheckDone(const std::string& task);
  void CheckCrashes(const std::string& task);

  CellOptions options_;
  VirtualTime time_;
  std::mt19937_64 random_;
  standin::RecordStoreModel store_;
  std::vector<std::unique_ptr<WorldInstance>> instances_;
  std::map<std::string, WorldInstance*> by_name_;
  std::map<std::string, std::unique_ptr<WorldWorker>> workers_;
  std::map<std::string, WorldMachine> machines_;
  std::vector<UpkeepWave> waves_;
  std::set<std::string> closed_;
  std::vector<WorkerLife> foreign_;
  int lost_runs_ = 0;
  int calls_elsewhere_ = 0;
  std::map<std::string, int> logged_;
  std::shared_ptr<const QueueTable> table_;
  std::map<std::string, int> starts_;
  std::map<std::string, std::string> tickets_;
  std::map<std::string, int> crashes_under_;
  std::map<std::string, int> starts_since_third_crash_;
  std::set<std::string> crashing_machines_;
  int crashes_ = 0;
  int runs_crashed_ = 0;
  int crowded_crashes_ = 0;
  bool addresses_reused_ = true;
  bool crashed_refuse_ = true;
  std::vector<std::string> broken_;
  std::set<std::string> noted_done_;
  std::vector<std::string> started_done_;
};

/// A plan of `steps` dependent steps of `count` tasks each.
JobPlan MakePlan(const std::string& id,
                 int steps,
                 int count,
                 const std::string& payload);
Queue MakeQueue(const std::string& name, int max_attempts);

}  // namespace doorwood::fakes

#endif  // DOORWOOD_FAKES_CELL_WORLD_H_
