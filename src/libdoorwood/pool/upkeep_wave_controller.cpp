// SPDX-License-Identifier: Apache-2.0

#include "doorwood/upkeep_wave_controller.h"

#include <algorithm>
#include <utility>

#include "doorwood/cell_journal.h"
#include "doorwood/live_directory.h"

namespace doorwood {
namespace {

// A machine that is missing from this many consecutive lists is treated as
// removed until it is listed again.
constexpr int kMissedListsUntilRemoved = 3;

std::string WaveKey(std::string_view cell, int64_t wave) {
  return CellPrefix(cell) + "wave/" + std::to_string(wave);
}

std::set<std::string> DecodeMachinesTakenDown(std::string_view text) {
  std::set<std::string> done;
  const auto json = ParseJson(text);
  if (json && json->is_array()) {
    for (const Json& machine : *json) {
      if (machine.is_string()) {
        done.insert(machine.get<std::string>());
      }
    }
  }
  return done;
}

}  // namespace

UpkeepWaveController::UpkeepWaveController(Executor& executor,
                                           RecordStore& store,
                                           MachinePlatform* platform,
                                           WorkerEvacuator& evacuator,
                                           EventLog& log,
                                           const WaveOptions& options,
                                           std::string cell)
    : executor_(executor),
      store_(store),
      platform_(platform),
      evacuator_(evacuator),
      log_(log),
      options_(options),
      cell_(std::move(cell)) {}

void UpkeepWaveController::Open(std::string holder, int64_t epoch) {
  Close();
  open_ = true;
  holder_ = std::move(holder);
  epoch_ = epoch;
  opened_ = executor_.Now();
}

void UpkeepWaveController::Close() {
  open_ = false;
  ++generation_;
  waves_.clear();
  loading_waves_.clear();
  machines_.clear();
  reading_waves_ = false;
  listing_ = false;
  waves_read_ = Instant{};
  listed_ = Instant{};
}

bool UpkeepWaveController::HasOpenWave() const {
  return std::any_of(waves_.begin(), waves_.end(), [](const auto& entry) {
    return !entry.second.reported_completed;
  });
}

int UpkeepWaveController::CountInStages(const Wave& wave,
                                        std::initializer_list<Stage> stages) {
  return static_cast<int>(std::count_if(
      wave.machines.begin(), wave.machines.end(), [&](const auto& entry) {
        return std::find(stages.begin(), stages.end(), entry.second.stage) !=
               stages.end();
      }));
}

void UpkeepWaveController::Tick() {
  const Instant now = executor_.Now();
  if (!open_ || platform_ == nullptr) {
    return;
  }
  if (now - waves_read_ >= options_.read_interval) {
    ReadWaves();
  }
  if (!HasOpenWave()) {
    return;
  }
  if (now - listed_ >= options_.list_interval) {
    ListMachines();
  }
  if (now - opened_ < options_.holder_lease || machines_.empty()) {
    return;
  }
  for (auto& [number, wave] : waves_) {
    if (!wave.reported_completed) {
      Advance(&wave);
    }
  }
}

// --- Waves requested by the operators ---

void UpkeepWaveController::ReadWaves() {
  if (reading_waves_) {
    return;
  }
  reading_waves_ = true;
  platform_->ListWaves(
      [this, generation = generation_](std::error_code error,
                                       const std::vector<UpkeepWave>& waves) {
        if (generation != generation_) {
          return;
        }
        reading_waves_ = false;
        waves_read_ = executor_.Now();
        if (!error) {
          OnWaves(waves);
        }
      });
}

void UpkeepWaveController::OnWaves(const std::vector<UpkeepWave>& waves) {
  for (const UpkeepWave& plan : waves) {
    const auto known = waves_.find(plan.number);
    if (known == waves_.end()) {
      LoadWave(plan);
      continue;
    }
    Wave& wave = known->second;
    wave.plan = plan;
    for (const std::string& machine : plan.machines) {
      if (wave.machines.try_emplace(machine).second) {
        wave.reported_completed = false;
      }
    }
  }
}

// An earlier leader may already have taken some of the machines down.
void UpkeepWaveController::LoadWave(const UpkeepWave& plan) {
  if (!loading_waves_.insert(plan.number).second) {
    return;
  }
  store_.Get(WaveKey(cell_, plan.number),
             [this, plan, generation = generation_](std::error_code error,
                                                    const StoreItem& item) {
               if (generation != generation_) {
                 return;
               }
               loading_waves_.erase(plan.number);
               if (error && error != make_error_code(KvErrc::kNotFound)) {
                 return;  // read again with the next list of waves
               }
               const auto done =
                   DecodeMachinesTakenDown(error ? "" : item.value);
               Wave& wave = waves_[plan.number];
               wave.plan = plan;
               for (const std::string& machine : plan.machines) {
                 wave.machines[machine].stage =
                     done.contains(machine) ? Stage::kDone : Stage::kWaiting;
               }
               log_.Write("info", "pool", "upkeep wave loaded",
                          {{"wave", plan.number},
                           {"machines", plan.machines.size()},
                           {"done", done.size()},
                           {"most_at_once", plan.max_down},
                           {"duration_ms", plan.duration.count()},
                           {"epoch", epoch_}});
             });
}

// --- Progress of the machines ---

void UpkeepWaveController::ListMachines() {
  if (listing_) {
    return;
  }
  listing_ = true;
  platform_->ListMachines(
      [this, generation = generation_, sent = executor_.Now()](
          std::error_code error, const std::vector<Machine>& machines) {
        if (generation != generation_) {
          return;
        }
        listing_ = false;
        listed_ = executor_.Now();
        if (!error) {
          OnMachines(machines, sent);
        }
      });
}

void UpkeepWaveController::OnMachines(const std::vector<Machine>& machines,
                                      Instant sent) {
  machines_.clear();
  for (const Machine& machine : machines) {
    machines_[machine.id] = machine;
  }
  for (auto& [number, wave] : waves_) {
    for (auto& [id, progress] : wave.machines) {
      const auto listed = machines_.find(id);
      if (listed == machines_.end()) {
        ++progress.missed_lists;
        continue;
      }
      progress.missed_lists = 0;
      const bool up = listed->second.state == MachineState::kUp;
      if (progress.stage == Stage::kDown && up && progress.since < sent) {
        progress.stage = Stage::kDone;
        log_.Write("info", "pool", "machine is up again after upkeep",
                   {{"wave", number}, {"machine", id}});
      }
    }
  }
}

void UpkeepWaveController::Advance(Wave* wave) {
  if (!wave->reported_running) {
    ReportState(wave, WaveState::kRunning);
  }
  bool all_down = true;
  for (auto& [machine, progress] : wave->machines) {
    if (progress.missed_lists >= kMissedListsUntilRemoved) {
      continue;
    }
    if (progress.stage == Stage::kEvacuating) {
      EvacuateOrOrderUpkeep(wave, machine, &progress);
    } else if (progress.stage == Stage::kOrdered && !progress.order_in_flight &&
               executor_.Now() >= progress.retry_at) {
      OrderUpkeepOf(wave->plan.number, machine);
    }
    all_down = all_down && (progress.stage == Stage::kDown ||
                            progress.stage == Stage::kDone);
  }
  StartEvacuations(wave);
  if (all_down) {
    ReportState(wave, WaveState::kCompleted);
  }
}

void UpkeepWaveController::StartEvacuations(Wave* wave) {
  // Besides the machines that are down, as many are evacuated as may be down at
  // a time, so that the next ones are empty when the current ones are up again.
  int free_slots =
      wave->plan.max_down - CountInStages(*wave, {Stage::kEvacuating});
  for (auto& [machine, progress] : wave->machines) {
    const auto listed = machines_.find(machine);
    if (free_slots <= 0) {
      return;
    }
    if (progress.stage != Stage::kWaiting || listed == machines_.end()) {
      continue;
    }
    progress.stage = Stage::kEvacuating;
    progress.since = executor_.Now();
    --free_slots;
    log_.Write("info", "pool", "evacuating machine for upkeep",
               {{"wave", wave->plan.number},
                {"machine", machine},
                {"worker", listed->second.worker}});
  }
}

// A machine of the wave that is listed in upkeep without a current order of
// this leader, for example after an order of an earlier leader, also counts
// towards the wave's limit.
int UpkeepWaveController::CountDown(const Wave& wave) const {
  int down = CountInStages(wave, {Stage::kOrdered, Stage::kDown});
  for (const auto& [id, progress] : wave.machines) {
    const auto listed = machines_.find(id);
    const bool counted =
        progress.stage == Stage::kOrdered || progress.stage == Stage::kDown;
    down += !counted && listed != machines_.end() &&
                    listed->second.state == MachineState::kUpkeep
                ? 1
                : 0;
  }
  return down;
}

// The order ends all runs at once. What ends `done` between the last report of
// the worker and the order would be started again, so the worker is emptied
// first.
void UpkeepWaveController::EvacuateOrOrderUpkeep(Wave* wave,
                                                 const std::string& machine,
                                                 Progress* progress) {
  const auto listed = machines_.find(machine);
  if (listed == machines_.end()) {
    return;
  }
  const Instant now = executor_.Now();
  const bool may_go_down = CountDown(*wave) < wave->plan.max_down &&
                           listed->second.state == MachineState::kUp;
  if (may_go_down && progress->emptied_since == Instant{} &&
      now - progress->since >= options_.evacuation_grace) {
    progress->emptied_since = now;
  }
  const bool is_emptied = progress->emptied_since != Instant{};
  const Occupancy occupancy = evacuator_.EvacuateWorker(
      listed->second.worker,
      is_emptied ? EvacuationScope::kAll : EvacuationScope::kMovable);
  const bool is_overdue =
      is_emptied && now - progress->emptied_since >= options_.emptying_timeout;
  const bool may_end_work =
      occupancy == Occupancy::kEmpty ||
      (occupancy == Occupancy::kRestartable && is_overdue);
  if (may_end_work && may_go_down) {
    progress->stage = Stage::kOrdered;
    OrderUpkeepOf(wave->plan.number, machine);
  }
}

void UpkeepWaveController::OrderUpkeepOf(int64_t number,
                                         const std::string& machine) {
  waves_.at(number).machines.at(machine).order_in_flight = true;
  platform_->OrderUpkeep(
      {machine, number, holder_, static_cast<uint64_t>(epoch_)},
      [this, number, machine, generation = generation_](std::error_code error) {
        if (generation == generation_) {
          OnOrdered(number, machine, error);
        }
      });
}

void UpkeepWaveController::OnOrdered(int64_t number,
                                     const std::string& machine,
                                     std::error_code error) {
  Wave& wave = waves_.at(number);
  Progress& progress = wave.machines.at(machine);
  progress.order_in_flight = false;
  log_.Write(error ? "warn" : "info", "pool", "outcome of an upkeep order",
             {{"wave", number},
              {"machine", machine},
              {"epoch", epoch_},
              {"outcome", error ? error.message() : "begun"}});
  if (!error) {
    progress.stage = Stage::kDown;
    progress.since = executor_.Now();
    RecordMachinesTakenDown(wave);
    return;
  }
  // Without an answer the machine may already be down, so it still counts as
  // down. After a refusal it does not.
  progress.retry_at = executor_.Now() + options_.retry_pause;
  if (error != make_error_code(RunErrc::kNoAnswer)) {
    progress.stage = Stage::kEvacuating;
  }
}

// --- Records and status reports ---

void UpkeepWaveController::RecordMachinesTakenDown(const Wave& wave) {
  Json done = Json::array();
  for (const auto& [machine, progress] : wave.machines) {
    if (progress.stage == Stage::kDown || progress.stage == Stage::kDone) {
      done.push_back(machine);
    }
  }
  StoreTransaction transaction;
  transaction.expected.push_back({LeadKey(cell_), epoch_});
  transaction.puts.push_back({WaveKey(cell_, wave.plan.number), done.dump()});
  // If this write fails, a successor only evacuates the machines again: the
  // platform takes no machine down twice for one wave.
  store_.Commit(transaction, [this, number = wave.plan.number](
                                 std::error_code error, const StoreCommit&) {
    if (error) {
      log_.Write(
          "warn", "pool",
          "no confirmation that the progress of an upkeep wave was recorded",
          {{"wave", number}, {"error", error.message()}});
    }
  });
}

void UpkeepWaveController::ReportState(Wave* wave, WaveState state) {
  if (wave->reporting) {
    return;
  }
  wave->reporting = true;
  const int64_t number = wave->plan.number;
  StoreTransaction transaction;
  const StorePut put = platform_->EncodeWaveStatus(number, state);
  // With these conditions a delayed write cannot overwrite a newer one.
  transaction.expected.push_back({LeadKey(cell_), epoch_});
  transaction.expected.push_back({put.key, wave->status_revision});
  transaction.puts.push_back(put);
  store_.Commit(transaction,
                [this, number, state, generation = generation_](
                    std::error_code error, const StoreCommit& commit) {
                  if (generation == generation_) {
                    OnStateReported(number, state, error, commit);
                  }
                });
}

void UpkeepWaveController::OnStateReported(int64_t number,
                                           WaveState state,
                                           std::error_code error,
                                           const StoreCommit& commit) {
  Wave& wave = waves_.at(number);
  wave.reporting = false;
  if (error) {
    // `Advance` reports the state again, based on the current revision.
    for (const StoreItem& item : commit.current) {
      if (item.key == platform_->EncodeWaveStatus(number, state).key) {
        wave.status_revision = item.deleted ? 0 : item.revision;
      }
    }
    return;
  }
  wave.status_revision = commit.revision;
  wave.reported_running = true;
  wave.reported_completed = state == WaveState::kCompleted;
  log_.Write(
      "info", "pool", "upkeep wave state reported",
      {{"wave", number},
       {"state", state == WaveState::kCompleted ? "completed" : "running"}});
}

}  // namespace doorwood
