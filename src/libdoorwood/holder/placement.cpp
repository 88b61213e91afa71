// SPDX-License-Identifier: Apache-2.0

#include "doorwood/placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>

#include "doorwood/selector.h"

namespace doorwood {
namespace {

// Cache of parsed selectors by their text. Selectors come from a few
// configurations and manifests, so the same texts recur often.
class SelectorCache {
 public:
  // Returns nullopt if the text is not a valid selector. An invalid selector
  // matches no labels.
  const std::optional<Selector>& Parsed(const std::string& text) {
    const auto known = parsed_.find(text);
    if (known != parsed_.end()) {
      return known->second;
    }
    if (parsed_.size() >= kMaxEntries) {
      parsed_.clear();
    }
    std::string error;
    return parsed_.emplace(text, ParseSelector(text, &error)).first->second;
  }

  bool Match(const std::string& text, const Labels& labels) {
    if (text.empty()) {
      return true;
    }
    const std::optional<Selector>& selector = Parsed(text);
    return selector && Matches(*selector, labels);
  }

 private:
  static constexpr size_t kMaxEntries = 4096;

  std::map<std::string, std::optional<Selector>> parsed_;
};

// Constraints set by labels, selectors and capacity; used by each policy.
class PlacementRules {
 public:
  bool SelectsWorker(const TaskSpec& spec, const WorkerView& worker) {
    return selectors_.Match(spec.on, worker.info->labels);
  }

  // The `beside` selector of each task must match the labels of the other.
  bool MayColocate(const TaskSpec& a, const TaskSpec& b) {
    return selectors_.Match(a.beside, b.labels) &&
           selectors_.Match(b.beside, a.labels);
  }

  bool MayColocateWithResidents(const TaskSpec& spec,
                                const WorkerView& worker) {
    return std::all_of(worker.residents.begin(), worker.residents.end(),
                       [&](const ResidentAttempt& resident) {
                         return MayColocate(spec, *resident.spec);
                       });
  }

  bool IsOpenAndFits(const TaskSpec& spec, const WorkerView& worker) const {
    return worker.open && Fits(spec.size, worker.free);
  }

  bool SelectorsAllow(const TaskSpec& spec, const WorkerView& worker) {
    return SelectsWorker(spec, worker) &&
           MayColocateWithResidents(spec, worker);
  }

  bool CanStart(const TaskSpec& spec, const WorkerView& worker) {
    return IsOpenAndFits(spec, worker) && SelectorsAllow(spec, worker);
  }

 private:
  SelectorCache selectors_;
};

std::string ResourcesToString(const Resources& size) {
  return std::to_string(size.cpu_millis) + " cpu_millis, " +
         std::to_string(size.memory_mib) + " memory_mib, " +
         std::to_string(size.accelerators) + " accelerators";
}

// Decision if the task cannot start now. It is marked as impossible if the task
// could not run on any of these workers even if they were empty: the labels of
// none match its selector `on`, or it is larger than each one that matches.
Decision Refuse(const TaskSpec& spec,
                std::span<const WorkerView> workers,
                PlacementRules* rules) {
  Decision decision;
  const bool selectable = std::any_of(
      workers.begin(), workers.end(), [&](const WorkerView& worker) {
        return rules->SelectsWorker(spec, worker);
      });
  const bool fits_when_empty = std::any_of(
      workers.begin(), workers.end(), [&](const WorkerView& worker) {
        return rules->SelectsWorker(spec, worker) &&
               Fits(spec.size, worker.capacity);
      });
  if (fits_when_empty) {
    decision.reason = "no room now";
    return decision;
  }
  decision.impossible = true;
  decision.reason = selectable ? "larger than any worker of the refusing "
                                 "holder that it may use: needs " +
                                     ResourcesToString(spec.size)
                               : "the labels of no worker of the refusing "
                                 "holder match the task's `on` selector '" +
                                     spec.on + "'";
  return decision;
}

// The smaller one of the worker's free shares of CPU and memory, in
// thousandths.
int64_t FreePermille(const WorkerView& worker) {
  const Resources& capacity = worker.capacity;
  const Resources& free = worker.free;
  constexpr int64_t kPermille = 1000;
  int64_t available = kPermille;
  if (capacity.cpu_millis > 0) {
    available =
        std::min(available, kPermille * free.cpu_millis / capacity.cpu_millis);
  }
  if (capacity.memory_mib > 0) {
    available =
        std::min(available, kPermille * free.memory_mib / capacity.memory_mib);
  }
  return available;
}

class DefaultPolicy : public PlacementPolicy {
 public:
  Decision Decide(const TaskSpec& spec,
                  std::span<const WorkerView> workers) override {
    const bool service = spec.work_class == WorkClass::kService;
    Decision best;
    int64_t best_score = std::numeric_limits<int64_t>::min();
    for (size_t i = 0; i < workers.size(); ++i) {
      const WorkerView& worker = workers[i];
      if (!rules_.IsOpenAndFits(spec, worker)) {
        continue;
      }
      // Selectors are evaluated last and only for a worker with a better
      // score, because they take most of the time at 1,500 workers.
      const int64_t available = FreePermille(worker);
      const int64_t score = service ? available : -available;
      if (score > best_score && rules_.SelectorsAllow(spec, worker)) {
        best_score = score;
        best.worker = static_cast<int>(i);
      }
    }
    if (best.worker >= 0) {
      best.reason = service ? "most room" : "fullest with room";
      return best;
    }
    if (service) {
      best = PlanEviction(spec, workers);
      if (best.evict_on >= 0) {
        return best;
      }
    }
    return Refuse(spec, workers, &rules_);
  }

 private:
  // Selects the worker on which the fewest evictions free enough capacity.
  Decision PlanEviction(const TaskSpec& spec,
                        std::span<const WorkerView> workers) {
    Decision best;
    for (size_t i = 0; i < workers.size(); ++i) {
      const WorkerView& worker = workers[i];
      if (!worker.open || !rules_.SelectsWorker(spec, worker) ||
          !Fits(spec.size, worker.capacity)) {
        continue;
      }
      const auto victims = SelectVictims(spec, worker);
      if (!victims) {
        continue;
      }
      const bool fewer =
          best.evict_on < 0 || victims->size() < best.victims.size();
      if (fewer) {
        best.victims = *victims;
        best.evict_on = static_cast<int>(i);
        best.reason = "makes room by evicting batch work";
      }
    }
    return best;
  }

  // Batch attempts to evict, highest `yields` first. An empty list: enough
  // attempts are already stopping. Nullopt: evicting all evictable attempts
  // would not free enough capacity, or an attempt that cannot be evicted may
  // not run beside the task.
  std::optional<std::vector<AttemptKey>> SelectVictims(
      const TaskSpec& spec,
      const WorkerView& worker) {
    Resources available = worker.free;
    std::vector<const ResidentAttempt*> candidates;
    for (const ResidentAttempt& resident : worker.residents) {
      const bool may_colocate = rules_.MayColocate(spec, *resident.spec);
      const bool evictable = resident.spec->work_class == WorkClass::kBatch &&
                             resident.spec->repeatable &&
                             resident.spec->yields > spec.yields;
      if (resident.stopping) {
        available = available + resident.spec->size;
      } else if (evictable) {
        candidates.push_back(&resident);
      } else if (!may_colocate) {
        return std::nullopt;
      }
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const ResidentAttempt* a, const ResidentAttempt* b) {
                       return a->spec->yields > b->spec->yields;
                     });
    std::vector<AttemptKey> victims;
    for (const ResidentAttempt* resident : candidates) {
      const bool conflicts = !rules_.MayColocate(spec, *resident->spec);
      if (Fits(spec.size, available) && !conflicts) {
        continue;
      }
      victims.push_back(resident->key);
      available = available + resident->spec->size;
    }
    if (!Fits(spec.size, available)) {
      return std::nullopt;
    }
    return victims;
  }

  PlacementRules rules_;
};

class FirstFitPolicy : public PlacementPolicy {
 public:
  Decision Decide(const TaskSpec& spec,
                  std::span<const WorkerView> workers) override {
    for (size_t i = 0; i < workers.size(); ++i) {
      if (rules_.CanStart(spec, workers[i])) {
        return {.worker = static_cast<int>(i), .reason = "first with room"};
      }
    }
    return Refuse(spec, workers, &rules_);
  }

 private:
  PlacementRules rules_;
};

}  // namespace

std::unique_ptr<PlacementPolicy> MakeDefaultPolicy() {
  return std::make_unique<DefaultPolicy>();
}

std::unique_ptr<PlacementPolicy> MakeFirstFitPolicy() {
  return std::make_unique<FirstFitPolicy>();
}

}  // namespace doorwood
