// SPDX-License-Identifier: Apache-2.0

#include "doorwood/placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>

#include "doorwood/selector.h"

namespace doorwood {
namespace {

// Parsed selectors by their text. Selectors come from a few configurations
// and manifests, so the same text is seen over and over.
class SelectorCache {
 public:
  // Nothing if the text is not a selector: such work matches nowhere.
  const std::optional<Selector>& Parsed(const std::string& text) {
    const auto known = parsed_.find(text);
    if (known != parsed_.end()) {
      return known->second;
    }
    if (parsed_.size() >= kMostEntries) {
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
  static constexpr size_t kMostEntries = 4096;

  std::map<std::string, std::optional<Selector>> parsed_;
};

// The rules that labels and selectors set, shared by all policies.
class Rules {
 public:
  bool MayUse(const TaskSpec& spec, const WorkerView& worker) {
    return selectors_.Match(spec.on, worker.info->labels);
  }

  // Both sides must accept each other.
  bool MaySitBeside(const TaskSpec& a, const TaskSpec& b) {
    return selectors_.Match(a.beside, b.labels) &&
           selectors_.Match(b.beside, a.labels);
  }

  bool AcceptsResidents(const TaskSpec& spec, const WorkerView& worker) {
    return std::all_of(worker.residents.begin(), worker.residents.end(),
                       [&](const Resident& resident) {
                         return MaySitBeside(spec, *resident.spec);
                       });
  }

  bool HasRoom(const TaskSpec& spec, const WorkerView& worker) const {
    return worker.open && Fits(spec.size, worker.free);
  }

  bool LabelsAllow(const TaskSpec& spec, const WorkerView& worker) {
    return MayUse(spec, worker) && AcceptsResidents(spec, worker);
  }

  bool CanStart(const TaskSpec& spec, const WorkerView& worker) {
    return HasRoom(spec, worker) && LabelsAllow(spec, worker);
  }

 private:
  SelectorCache selectors_;
};

std::string Describe(const Resources& size) {
  return std::to_string(size.cpu_millis) + " cpu_millis, " +
         std::to_string(size.memory_mib) + " memory_mib, " +
         std::to_string(size.accelerators) + " accelerators";
}

// Decides between "not now" and "never here".
Decision Refuse(const TaskSpec& spec,
                std::span<const WorkerView> workers,
                Rules* rules) {
  Decision decision;
  const bool selectable = std::any_of(
      workers.begin(), workers.end(),
      [&](const WorkerView& worker) { return rules->MayUse(spec, worker); });
  const bool possible = std::any_of(
      workers.begin(), workers.end(), [&](const WorkerView& worker) {
        return rules->MayUse(spec, worker) && Fits(spec.size, worker.capacity);
      });
  if (possible) {
    decision.reason = "no room now";
    return decision;
  }
  decision.never = true;
  decision.reason = selectable ? "larger than any worker it may use: needs " +
                                     Describe(spec.size)
                               : "no worker matches on: '" + spec.on + "'";
  return decision;
}

// A share of a worker's scarcest resource that is free, in thousandths.
int64_t Room(const WorkerView& worker) {
  const Resources& capacity = worker.capacity;
  const Resources& free = worker.free;
  constexpr int64_t kWhole = 1000;
  int64_t room = kWhole;
  if (capacity.cpu_millis > 0) {
    room = std::min(room, kWhole * free.cpu_millis / capacity.cpu_millis);
  }
  if (capacity.memory_mib > 0) {
    room = std::min(room, kWhole * free.memory_mib / capacity.memory_mib);
  }
  return room;
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
      if (!rules_.HasRoom(spec, worker)) {
        continue;
      }
      // Labels are looked at last, and only where the score would win: that
      // is what takes time at 1,500 workers.
      const int64_t room = Room(worker);
      const int64_t score = service ? room : -room;
      if (score > best_score && rules_.LabelsAllow(spec, worker)) {
        best_score = score;
        best.worker = static_cast<int>(i);
      }
    }
    if (best.worker >= 0) {
      best.reason = service ? "most room" : "fullest with room";
      return best;
    }
    if (service) {
      best = MakeRoom(spec, workers);
      if (best.make_room_on >= 0) {
        return best;
      }
    }
    return Refuse(spec, workers, &rules_);
  }

 private:
  // The worker where the fewest evictions make room.
  Decision MakeRoom(const TaskSpec& spec, std::span<const WorkerView> workers) {
    Decision best;
    for (size_t i = 0; i < workers.size(); ++i) {
      const WorkerView& worker = workers[i];
      if (!worker.open || !rules_.MayUse(spec, worker) ||
          !Fits(spec.size, worker.capacity)) {
        continue;
      }
      const auto victims = Victims(spec, worker);
      if (!victims) {
        continue;
      }
      const bool fewer =
          best.make_room_on < 0 || victims->size() < best.victims.size();
      if (fewer) {
        best.victims = *victims;
        best.make_room_on = static_cast<int>(i);
        best.reason = "makes room by evicting batch work";
      }
    }
    return best;
  }

  // Batch work to stop, highest `yields` first. Empty: enough is stopping
  // already. Nothing: evicting all of it would not make room.
  std::optional<std::vector<AttemptKey>> Victims(const TaskSpec& spec,
                                                 const WorkerView& worker) {
    Resources room = worker.free;
    std::vector<const Resident*> candidates;
    for (const Resident& resident : worker.residents) {
      const bool beside_ok = rules_.MaySitBeside(spec, *resident.spec);
      const bool evictable = resident.spec->work_class == WorkClass::kBatch &&
                             resident.spec->repeatable &&
                             resident.spec->yields > spec.yields;
      if (resident.stopping) {
        room = room + resident.spec->size;
      } else if (evictable) {
        candidates.push_back(&resident);
      } else if (!beside_ok) {
        return std::nullopt;
      }
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const Resident* a, const Resident* b) {
                       return a->spec->yields > b->spec->yields;
                     });
    std::vector<AttemptKey> victims;
    for (const Resident* resident : candidates) {
      const bool in_the_way = !rules_.MaySitBeside(spec, *resident->spec);
      if (Fits(spec.size, room) && !in_the_way) {
        continue;
      }
      victims.push_back(resident->key);
      room = room + resident->spec->size;
    }
    if (!Fits(spec.size, room)) {
      return std::nullopt;
    }
    return victims;
  }

  Rules rules_;
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
  Rules rules_;
};

}  // namespace

std::unique_ptr<PlacementPolicy> MakeDefaultPolicy() {
  return std::make_unique<DefaultPolicy>();
}

std::unique_ptr<PlacementPolicy> MakeFirstFitPolicy() {
  return std::make_unique<FirstFitPolicy>();
}

}  // namespace doorwood
