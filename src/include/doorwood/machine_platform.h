// SPDX-License-Identifier: Apache-2.0

/// \file
/// Port to the platform that runs the workers' machines. It lists the machines
/// and takes orders to take one down for upkeep or to move it to another pool.
/// Upkeep is planned maintenance of a machine by the platform, during which the
/// machine is down.

#ifndef DOORWOOD_MACHINE_PLATFORM_H_
#define DOORWOOD_MACHINE_PLATFORM_H_

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

#include "doorwood/error.h"
#include "doorwood/record_store.h"
#include "doorwood/types.h"

namespace doorwood {

enum class MachineState { kUp, kMoving, kUpkeep, kDown };

struct Machine {
  std::string id;
  /// Pool of workers that the machine belongs to.
  std::string pool;
  MachineState state = MachineState::kDown;
  std::string data_centre;
  std::vector<std::string> labels;
  Resources capacity;
  /// Id of the machine's current worker incarnation; may be empty.
  std::string worker;
};

/// Machines that the operators want taken down for upkeep, each of them once.
struct UpkeepWave {
  int64_t number = 0;
  std::vector<std::string> machines;
  /// Time within which all machines should have been down.
  Millis duration{0};
  /// Most machines of the wave that may be down at the same time.
  int max_down = 1;
};

enum class WaveState { kRunning, kCompleted };

struct UpkeepOrder {
  std::string machine;
  int64_t wave = 0;
  /// The ordering leader and the fencing token of its term.
  std::string holder;
  uint64_t token = 0;
};

struct MoveOrder {
  std::string machine;
  std::string pool;
  std::string holder;
  uint64_t token = 0;
};

/// Callbacks run on the control thread, exactly once. Orders fail with a
/// RunErrc: kNoAnswer (the order may be carried out, now or later), kFenced,
/// kBusy (not possible now), kRejected (no such machine, or it is not part of
/// that wave). Reads fail with a KvErrc or PeerErrc.
class MachinePlatform {
 public:
  using ListCallback =
      std::function<void(std::error_code, std::vector<Machine>)>;
  using OrderCallback = std::function<void(std::error_code)>;
  using WavesCallback =
      std::function<void(std::error_code, std::vector<UpkeepWave>)>;

  virtual ~MachinePlatform() = default;

  virtual void ListMachines(ListCallback done) = 0;
  /// Stops everything that runs on the machine at once. Succeeds also if the
  /// order was carried out before.
  virtual void OrderUpkeep(const UpkeepOrder& order, OrderCallback done) = 0;
  virtual void OrderMove(const MoveOrder& order, OrderCallback done) = 0;
  /// Lists the operators' upkeep waves.
  virtual void ListWaves(WavesCallback done) = 0;
  /// Key and value that report the state of a wave to the operators.
  virtual StorePut EncodeWaveStatus(int64_t wave, WaveState state) const = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_MACHINE_PLATFORM_H_
