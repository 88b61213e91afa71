// SPDX-License-Identifier: Apache-2.0

/// \file
/// Carries out the operators' upkeep waves: evacuates machines, takes them down
/// a few at a time, and reports to the operators when a wave is running and
/// when every machine of it that is still listed has been taken down.

#ifndef DOORWOOD_UPKEEP_WAVE_CONTROLLER_H_
#define DOORWOOD_UPKEEP_WAVE_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "doorwood/event_log.h"
#include "doorwood/executor.h"
#include "doorwood/machine_platform.h"
#include "doorwood/record_store.h"

namespace doorwood {

struct WaveOptions {
  /// How often the operators' waves are read.
  Millis read_interval{2000};
  /// How often machines are listed while a wave is not reported as completed.
  Millis list_interval{500};
  /// A new leader advances no wave for this long after `Open`, because orders
  /// of an earlier leader may still be in flight. Must be at least
  /// `EntrySettings::machine_holder_lease`, the minimum time before another
  /// leader may take over the handling of a machine.
  Millis holder_lease{3000};
  /// Once its evacuation has lasted this long, a machine that may go down is
  /// emptied of Occupancy::kRestartable work, which is mostly work that does
  /// not save its progress.
  Millis evacuation_grace{6000};
  /// A machine that is still not empty this much later is taken down
  /// nevertheless: its worker does not answer.
  Millis emptying_timeout{3000};
  /// Delay before an order that got no answer is sent again.
  Millis retry_pause{500};
};

/// Work that still runs on a worker that is being evacuated.
enum class Occupancy {
  /// Nothing runs there, and the ends of all runs there are recorded.
  kEmpty,
  /// Only work that is not long-running or was already being stopped when the
  /// call began, or ends that are not recorded yet.
  kRestartable,
  /// Long-running work that was not being stopped yet when the call began. The
  /// machine must not be taken down now.
  kMustNotStop,
};

/// Which work is stopped in order to be moved off a worker.
enum class EvacuationScope {
  /// Work that can continue elsewhere without loss.
  kMovable,
  /// All work, unless there is some that must not be stopped now.
  kAll,
};

/// Interface to the cell's evacuation of workers.
class WorkerEvacuator {
 public:
  virtual ~WorkerEvacuator() = default;

  /// Closes the worker to new work for a short time and moves work of the given
  /// scope away, as far as the limits of that work allow. Returns what ran
  /// there when this was called; kEmpty for an unknown worker. To be called a
  /// few times a second until upkeep of the machine is ordered.
  virtual Occupancy EvacuateWorker(const std::string& worker,
                                   EvacuationScope scope) = 0;
};

/// Advances the upkeep waves of one cell. Active only between `Open` and
/// `Close`, that is, while this process leads the cell.
class UpkeepWaveController {
 public:
  /// Without a `platform` (null) there are no waves.
  UpkeepWaveController(Executor& executor,
                       RecordStore& store,
                       MachinePlatform* platform,
                       WorkerEvacuator& evacuator,
                       EventLog& log,
                       const WaveOptions& options,
                       std::string cell);

  void Open(std::string holder, int64_t epoch);
  void Close();
  /// To be called a few times a second while the lead is confirmed (see
  /// `CellOptions::lead_confirmed_for`) and no takeover is under way.
  void Tick();

 private:
  enum class Stage {
    kWaiting,
    kEvacuating,
    /// The order was sent; it is not known whether it was carried out.
    kOrdered,
    /// Down for upkeep.
    kDown,
    /// Up again after upkeep, or taken down according to an earlier leader's
    /// record.
    kDone,
  };
  struct Progress {
    Stage stage = Stage::kWaiting;
    /// When the evacuation began; once down, when the order was confirmed.
    Instant since{};
    /// Since when the machine is emptied of all work; zero: it is not.
    Instant emptied_since{};
    bool order_in_flight = false;
    /// When an order that got no answer may be sent again.
    Instant retry_at{};
    /// Number of consecutive lists without the machine.
    int missed_lists = 0;
  };
  struct Wave {
    UpkeepWave plan;
    std::map<std::string, Progress> machines;
    bool reported_running = false;
    bool reported_completed = false;
    bool reporting = false;
    /// Store revision of the wave's status key, as far as this leader knows; 0:
    /// it knows of no such key.
    int64_t status_revision = 0;
  };

  void ReadWaves();
  void OnWaves(const std::vector<UpkeepWave>& waves);
  void LoadWave(const UpkeepWave& plan);
  void ListMachines();
  void OnMachines(const std::vector<Machine>& machines, Instant sent);
  void Advance(Wave* wave);
  void StartEvacuations(Wave* wave);
  void EvacuateOrOrderUpkeep(Wave* wave,
                             const std::string& machine,
                             Progress* progress);
  /// Number of machines of the wave that are or may be down.
  int CountDown(const Wave& wave) const;
  void OrderUpkeepOf(int64_t number, const std::string& machine);
  void OnOrdered(int64_t number,
                 const std::string& machine,
                 std::error_code error);
  void RecordMachinesTakenDown(const Wave& wave);
  void ReportState(Wave* wave, WaveState state);
  void OnStateReported(int64_t number,
                       WaveState state,
                       std::error_code error,
                       const StoreCommit& commit);
  bool HasOpenWave() const;
  static int CountInStages(const Wave& wave,
                           std::initializer_list<Stage> stages);

  Executor& executor_;
  RecordStore& store_;
  MachinePlatform* const platform_;
  WorkerEvacuator& evacuator_;
  EventLog& log_;
  const WaveOptions options_;
  const std::string cell_;

  bool open_ = false;
  /// Incremented by each Open and Close; answers to calls of an earlier
  /// generation are ignored.
  uint64_t generation_ = 0;
  std::string holder_;
  int64_t epoch_ = 0;
  Instant opened_{};
  Instant waves_read_{};
  bool reading_waves_ = false;
  Instant listed_{};
  bool listing_ = false;
  std::map<int64_t, Wave> waves_;
  /// Waves whose record is being read.
  std::set<int64_t> loading_waves_;
  /// The newest list, by machine id.
  std::map<std::string, Machine> machines_;
};

}  // namespace doorwood

#endif  // DOORWOOD_UPKEEP_WAVE_CONTROLLER_H_
