// SPDX-License-Identifier: Apache-2.0

/// \file
/// Takes the machines of the operators' upkeep waves down, a few at a time,
/// after their work has left them, and tells the operators when all had it.

#ifndef DOORWOOD_WAVE_KEEPER_H_
#define DOORWOOD_WAVE_KEEPER_H_

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
  /// How often machines are read while a wave is open.
  Millis list_interval{500};
  /// A new leader orders nothing before: an earlier one's orders may still be
  /// under way. The platform's lease of a machine's holder.
  Millis holder_lease{3000};
  /// Work that neither saves nor lasts may finish for so long before its
  /// machine goes down.
  Millis empty_patience{6000};
  /// Pause before an order is sent again.
  Millis retry_pause{500};
};

/// What still runs on a worker that is to be emptied.
enum class Occupancy {
  kEmpty,
  /// Only work that may be lost and run again.
  kExpendable,
  /// Work that must not be ended now.
  kNeeded,
};

/// The cell, as the keeper needs it.
class WaveHost {
 public:
  virtual ~WaveHost() = default;

  /// Gives the worker nothing new and moves its work away, as far as the work
  /// may be missed. To be called again until it is empty.
  virtual Occupancy EmptyWorker(const std::string& worker) = 0;
};

/// Works only between `Open` and `Close`, that is, while this process leads.
class WaveKeeper {
 public:
  /// `platform` may be null: then there are no waves.
  WaveKeeper(Executor& executor,
             RecordStore& store,
             MachinePlatform* platform,
             WaveHost& host,
             EventLog& log,
             const WaveOptions& options,
             std::string cell);

  void Open(std::string holder, int64_t epoch);
  void Close();
  /// To be called a few times a second while orders may be given.
  void Tick();

 private:
  enum class Stage {
    kWaiting,
    kEmptying,
    /// Ordered; not known to be carried out.
    kOrdered,
    /// Down for its upkeep.
    kDown,
    kDone,
  };
  struct Progress {
    Stage stage = Stage::kWaiting;
    Instant since{};
    bool order_out = false;
    Instant retry_at{};
    /// Lists in a row that did not name the machine.
    int missed_lists = 0;
  };
  struct Wave {
    UpkeepWave plan;
    std::map<std::string, Progress> machines;
    bool told_running = false;
    bool told_completed = false;
    bool telling = false;
    /// Revision of the key that tells the operators; 0: not there yet.
    int64_t status_revision = 0;
  };

  void ReadWaves();
  void OnWaves(const std::vector<UpkeepWave>& waves);
  void ReadRecord(const UpkeepWave& plan);
  void ListMachines();
  void OnMachines(const std::vector<Machine>& machines, Instant sent);
  void Advance(Wave* wave);
  void StartEmptying(Wave* wave);
  void Empty(Wave* wave, const std::string& machine, Progress* progress);
  void Order(int64_t number, const std::string& machine);
  void OnOrdered(int64_t number,
                 const std::string& machine,
                 std::error_code error);
  void Record(const Wave& wave);
  void Tell(Wave* wave, WaveState state);
  void OnTold(int64_t number,
              WaveState state,
              std::error_code error,
              const StoreCommit& commit);
  bool AnyOpen() const;
  static int CountIn(const Wave& wave, std::initializer_list<Stage> stages);

  Executor& executor_;
  RecordStore& store_;
  MachinePlatform* const platform_;
  WaveHost& host_;
  EventLog& log_;
  const WaveOptions options_;
  const std::string cell_;

  bool open_ = false;
  /// Rises with each opening and closing; answers to earlier calls are dropped.
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
  std::set<int64_t> reading_records_;
  /// By machine, as listed last.
  std::map<std::string, Machine> machines_;
};

}  // namespace doorwood

#endif  // DOORWOOD_WAVE_KEEPER_H_
