// SPDX-License-Identifier: Apache-2.0

// Moving work off workers that leave, or whose machine is wanted for upkeep.

#include <algorithm>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// An emptied worker is closed for this long after the last word about it.
constexpr Millis kEmptiedFor{1000};
// A lasting task is at work at this progress.
constexpr int kAtWork = 100;

}  // namespace

void CellLeader::EvacuateLeaving() {
  for (const auto& [id, member] : members_) {
    if (member.listed && member.session->life().draining) {
      EvacuateDraining(id, member);
    } else if (!member.listed && !member.session->dead()) {
      EvacuateUnlisted(id, member);
    }
  }
}

void CellLeader::EvacuateDraining(const std::string& id, const Member& member) {
  const auto& session = member.session;
  const Millis remaining = session->life().remaining;
  std::vector<std::string> leave;
  for (const auto& [task, run] : session->runs()) {
    const Task* known = jobs_.FindTask(task);
    if (known == nullptr || run.phase != RunPhase::kRunning) {
      continue;
    }
    const auto rest = run.estimate * (100 - run.progress) / 100;
    const bool saves = known->plan().checkpoints;
    if (run.lasting || (saves && rest > remaining)) {
      leave.push_back(task);
    }
  }
  StopToLeave(id, session, leave, "it drains");
}

// Some workers leave without a word: their entry goes, and they serve on for
// a while. How long is not told, so whatever can go on elsewhere goes at once.
// A worker that was cut off comes back to the list only after it has answered,
// so time in which nobody could hear it does not count.
void CellLeader::EvacuateUnlisted(const std::string& id, const Member& member) {
  const Instant since =
      std::max(member.unlisted_since, member.session->answers_since());
  const bool gone = member.unlisted_since != Instant{} &&
                    executor_.Now() - since >= options_.unlisted_patience;
  if (!gone || !member.session->responsive()) {
    return;
  }
  std::vector<std::string> leave;
  for (const auto& [task, run] : member.session->runs()) {
    const Task* known = jobs_.FindTask(task);
    if (known != nullptr && run.phase == RunPhase::kRunning &&
        (run.lasting || known->plan().checkpoints)) {
      leave.push_back(task);
    }
  }
  StopToLeave(id, member.session, leave, "it is no longer listed");
}

void CellLeader::StopToLeave(const std::string& id,
                             const std::shared_ptr<WorkerSession>& session,
                             const std::vector<std::string>& tasks,
                             std::string_view cause) {
  for (const std::string& task : tasks) {
    log_.Write("info", "cell", "run leaves its worker",
               {{"task", task},
                {"worker", id},
                {"cause", cause},
                {"remaining_ms", session->life().remaining.count()}});
    ++counters_.stops;
    session->Stop(task);
  }
}

bool CellLeader::MayTakeAway(const Task& task) const {
  const StepPlan& plan = task.plan();
  if (!plan.may_miss) {
    return true;
  }
  const std::string step = StepName(*task.job, task.time, task.step);
  int at_work = 0;
  for (const auto& [id, member] : members_) {
    for (const auto& [name, run] : member.session->runs()) {
      const bool works =
          run.phase == RunPhase::kRunning && run.progress >= kAtWork;
      at_work += run.step == step && name != task.name() && works ? 1 : 0;
    }
  }
  const int others_away = plan.count - 1 - at_work;
  return others_away < *plan.may_miss;
}

Occupancy CellLeader::EmptyWorker(const std::string& worker) {
  const auto found = members_.find(worker);
  if (found == members_.end()) {
    return Occupancy::kEmpty;
  }
  Member& member = found->second;
  member.emptied_until = executor_.Now() + kEmptiedFor;
  const auto session = member.session;
  Occupancy occupancy = Occupancy::kEmpty;
  std::vector<std::string> lasting;
  std::vector<std::string> saving;
  for (const auto& [task, run] : session->runs()) {
    const Task* known = jobs_.FindTask(task);
    const bool runs = known != nullptr && run.phase == RunPhase::kRunning;
    if (runs && run.lasting) {
      lasting.push_back(task);
    } else if (runs && known->plan().checkpoints) {
      saving.push_back(task);
    }
    occupancy =
        std::max(occupancy, run.lasting && run.phase != RunPhase::kStopping
                                ? Occupancy::kNeeded
                                : Occupancy::kExpendable);
  }
  StopToLeave(worker, session, saving, "its machine is wanted for upkeep");
  // One at a time: each one that goes is one more of its step that is away.
  for (const std::string& task : lasting) {
    if (MayTakeAway(*jobs_.FindTask(task))) {
      StopToLeave(worker, session, {task}, "its machine is wanted for upkeep");
    }
  }
  return occupancy;
}

}  // namespace doorwood
