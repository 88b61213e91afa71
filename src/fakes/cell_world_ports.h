// SPDX-License-Identifier: Apache-2.0

/// \file
/// The ports through which one instance of a `CellWorld` reaches the store,
/// workers, peers and machines, with the faults that the world injects.

#ifndef DOORWOOD_FAKES_CELL_WORLD_PORTS_H_
#define DOORWOOD_FAKES_CELL_WORLD_PORTS_H_

#include <memory>
#include <string>

#include "fakes/cell_world.h"

namespace doorwood::fakes {

std::unique_ptr<RecordStore> MakeWorldStore(CellWorld& world,
                                            WorldInstance& self);
std::unique_ptr<RunWorkerClient> MakeWorldWorkers(CellWorld& world,
                                                  WorldInstance& self);
std::unique_ptr<WorkerDirectory> MakeWorldDirectory(CellWorld& world,
                                                    WorldInstance& self);
std::unique_ptr<StoreAnswerPort> MakeWorldPeers(CellWorld& world,
                                                WorldInstance& self);
std::unique_ptr<MachinePlatform> MakeWorldMachines(CellWorld& world,
                                                   WorldInstance& self);
std::unique_ptr<EventLog> MakeWorldLog(CellWorld& world, std::string name);

}  // namespace doorwood::fakes

#endif  // DOORWOOD_FAKES_CELL_WORLD_PORTS_H_
