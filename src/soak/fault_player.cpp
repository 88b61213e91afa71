// SPDX-License-Identifier: Apache-2.0

#include "soak/fault_player.h"

#include <utility>

#include "doorwood/live_directory.h"
#include "soak/scenario.h"

namespace doorwood::soak {
namespace {

constexpr Millis kDelay{150};
constexpr Millis kStoreDelay{300};
// How long the entry of a crashed worker stays in the store.
constexpr Millis kEntryTimeAfterCrash{4500};
constexpr Millis kMinDrainTime{2000};
// From the start of a new worker to the announcement that the old one leaves.
constexpr Millis kLeaveAnnounceDelay{300};
// How long the entry of a worker that left as planned stays in the store.
constexpr Millis kEntryTimeAfterLeave{600};

bool IsWorkerFault(FaultKind kind) {
  return kind == FaultKind::kCrashWorker || kind == FaultKind::kWorkerLeaves ||
         kind == FaultKind::kDropEntry;
}

bool IsCut(FaultKind kind) {
  return kind <= FaultKind::kCutInstance ||
         kind == FaultKind::kStoreUnreachable;
}

// Unless the end of the plan shortens the fault, the full partition lasts
// longer than a successor needs for the takeover.
StepwiseRecovery RecoveryOf(const Fault& fault) {
  StepwiseRecovery recovery;
  recovery.worker_partition_time = fault.duration * 2 / 5;
  recovery.full_partition_time = fault.duration * 2 / 5;
  recovery.other_links_delay = fault.duration / 5;
  recovery.resume_delay = fault.resume_delay;
  return recovery;
}

}  // namespace

void FaultPlayer::Play(const std::vector<Fault>& plan,
                       std::function<void()> done) {
  done_ = std::move(done);
  outstanding_ = plan.size() + 1;
  for (const Fault& fault : plan) {
    world_.After(fault.at, [this, fault] {
      if (fault.kind == FaultKind::kReplaceWorker) {
        Replace(fault);
      } else if (IsWorkerFault(fault.kind)) {
        InjectWorkerFault(fault);
      } else {
        InjectInstanceFault(fault);
      }
    });
  }
  OnFinished();
}

void FaultPlayer::OnFinished() {
  if (--outstanding_ == 0) {
    done_();
  }
}

size_t FaultPlayer::InstanceOf(const Fault& fault) const {
  const size_t picked = fault.pick % world_.instances();
  return fault.leader ? world_.Leader().value_or(picked) : picked;
}

void FaultPlayer::InjectInstanceFault(const Fault& fault) {
  const size_t instance = InstanceOf(fault);
  const std::string what = std::string(ToString(fault.kind)) + ", " +
                           world_.NameOf(instance) +
                           (world_.Leader() == instance ? " (leads)" : "");
  world_.Log("fault begins: " + what + ", " +
             std::to_string(fault.duration.count()) +
             " ms, direction (0 to server, 1 to caller, 2 both): " +
             std::to_string(static_cast<int>(fault.direction)) +
             ", ms from healing until surviving connections transfer again: " +
             std::to_string(fault.resume_delay.count()));
  if (fault.kind == FaultKind::kCutCentreInSteps) {
    PartitionInSteps(world_, World::DataCentreOf(instance), RecoveryOf(fault),
                     [this] { OnFinished(); });
    return;
  }
  const Undo undo = Begin(fault, instance);
  if (IsUnplanned(fault.kind)) {
    // A fault that needs no undo has no duration.
    const Millis resume_delay =
        IsCut(fault.kind) ? fault.resume_delay : Millis(0);
    world_.task_checker().OnFaultBegins();
    world_.After(undo ? fault.duration + resume_delay : Millis(0),
                 [this] { world_.task_checker().OnFaultEnds(world_.Now()); });
  }
  world_.After(fault.duration, [this, undo, what] {
    if (undo) {
      undo();
    }
    world_.Log("fault ended: " + what);
    OnFinished();
  });
}

Links FaultPlayer::LinksToCut(const Fault& fault, size_t instance) const {
  switch (fault.kind) {
    case FaultKind::kCutStore:
      return world_.StoreLinks(instance);
    case FaultKind::kCutWorkersElsewhere:
      return world_.LinksToWorkersInOtherDataCentres(
          World::DataCentreOf(instance));
    case FaultKind::kCutCentre:
      return world_.LinksAcrossDataCentre(World::DataCentreOf(instance));
    case FaultKind::kCutPeers:
      return world_.PeerLinks(instance);
    default:
      return world_.AllLinks(instance);
  }
}

FaultPlayer::Undo FaultPlayer::Cut(const Fault& fault, Links links) {
  for (Link* link : links) {
    link->Cut(fault.direction);
  }
  return [links = std::move(links), fault] {
    for (Link* link : links) {
      link->Heal(fault.direction, fault.resume_delay);
    }
  };
}

FaultPlayer::Undo FaultPlayer::Begin(const Fault& fault, size_t instance) {
  switch (fault.kind) {
    case FaultKind::kCutStore:
    case FaultKind::kCutWorkersElsewhere:
    case FaultKind::kCutCentre:
    case FaultKind::kCutPeers:
    case FaultKind::kCutInstance:
      return Cut(fault, LinksToCut(fault, instance));
    case FaultKind::kResetInstance:
      for (Link* link : world_.AllLinks(instance)) {
        link->Reset();
      }
      return nullptr;
    case FaultKind::kSilenceConnections:
      for (Link* link : world_.AllLinks(instance)) {
        link->Silence();
      }
      return nullptr;
    case FaultKind::kDelayInstance: {
      const Links links = world_.AllLinks(instance);
      for (Link* link : links) {
        link->Delay(kDelay);
      }
      return [links] {
        for (Link* link : links) {
          link->Delay(Millis(0));
        }
      };
    }
    case FaultKind::kConfigure:
      world_.Configure();
      return nullptr;
    case FaultKind::kKill:
    case FaultKind::kPause:
    case FaultKind::kPlannedStop:
    case FaultKind::kReloadSettings:
      return BeginProcessFault(fault, instance);
    default:
      return BeginStoreFault(fault, instance);
  }
}

FaultPlayer::Undo FaultPlayer::BeginStoreFault(const Fault& fault,
                                               size_t instance) {
  platform::SoakStore& store = world_.store();
  Link* const link = world_.StoreLinks(instance).front();
  switch (fault.kind) {
    case FaultKind::kResetStore:
      link->Reset();
      link->Refuse(true);
      return [link] { link->Refuse(false); };
    case FaultKind::kStoreRefuses:
      store.faults(instance).refuses = true;
      return [&store, instance] { store.faults(instance).refuses = false; };
    case FaultKind::kStoreRefusesAll:
      store.SetRefuseAll(true);
      return [&store] { store.SetRefuseAll(false); };
    case FaultKind::kStoreSlow:
      store.SetAnswerDelay(kStoreDelay);
      return [&store] { store.SetAnswerDelay(Millis(0)); };
    case FaultKind::kStoreUnreachable: {
      Links links;
      for (size_t i = 0; i < world_.instances(); ++i) {
        links.push_back(world_.StoreLinks(i).front());
      }
      return Cut(fault, links);
    }
    case FaultKind::kCompactStore:
      store.Compact();
      return nullptr;
    case FaultKind::kDropLeaseKeys:
      store.DropKeysWithSameLease(InstanceKey(World::NameOf(instance)));
      return nullptr;
    default:
      return nullptr;
  }
}

FaultPlayer::Undo FaultPlayer::BeginProcessFault(const Fault& fault,
                                                 size_t instance) {
  if (fault.kind == FaultKind::kKill) {
    world_.Kill(instance);
    return nullptr;
  }
  if (fault.kind == FaultKind::kPlannedStop) {
    world_.Stop(instance);
    return nullptr;
  }
  if (fault.kind == FaultKind::kReloadSettings) {
    world_.ReloadSettings(instance);
    return nullptr;
  }
  if (!world_.Pause(instance)) {
    return nullptr;
  }
  return [this, instance] { world_.Resume(instance); };
}

void FaultPlayer::InjectWorkerFault(const Fault& fault) {
  const size_t worker =
      (replaced_ + fault.pick % world_.serving()) % world_.workers();
  if (!busy_workers_.insert(worker).second) {
    OnFinished();
    return;
  }
  const std::string id = world_.WorkerId(worker);
  world_.Log("fault begins: " + std::string(ToString(fault.kind)) + ", " + id);
  if (IsUnplanned(fault.kind)) {
    world_.task_checker().OnFaultBegins();
  }
  if (fault.kind == FaultKind::kCrashWorker) {
    CrashAndRestartWorker(fault, worker);
    return;
  }
  if (fault.kind == FaultKind::kWorkerLeaves) {
    world_.AnnounceLeaving(worker);
  } else {
    world_.RemoveEntry(id);
  }
  world_.After(kMinDrainTime + fault.duration / 2,
               [this, fault, worker] { CrashAndRestartWorker(fault, worker); });
}

// The worker restarts as another incarnation. The entry of the old one is
// removed at the restart or, if the fault is a crash, `kEntryTimeAfterCrash`
// after the crash.
void FaultPlayer::CrashAndRestartWorker(const Fault& fault, size_t worker) {
  const std::string id = world_.WorkerId(worker);
  world_.Log(id + " has ended");
  world_.CrashWorker(worker);
  if (IsUnplanned(fault.kind)) {
    world_.task_checker().OnFaultEnds(world_.Now());
  }
  const Millis restart_delay = fault.duration / 4;
  world_.After(restart_delay, [this, worker] { world_.StartWorker(worker); });
  const bool crashed = fault.kind == FaultKind::kCrashWorker;
  world_.After(crashed ? kEntryTimeAfterCrash : restart_delay,
               [this, worker, id] {
                 world_.RemoveEntry(id);
                 busy_workers_.erase(worker);
                 OnFinished();
               });
}

// Starts a spare worker, and ends one of the serving workers later. Nothing
// answers at the address of the ended worker until it is started again.
void FaultPlayer::Replace(const Fault& fault) {
  const size_t old = replaced_ % world_.workers();
  const size_t fresh = (replaced_ + world_.serving()) % world_.workers();
  if (busy_workers_.contains(fresh) || !busy_workers_.insert(old).second) {
    OnFinished();
    return;
  }
  ++replaced_;
  const std::string id = world_.WorkerId(old);
  world_.StartWorker(fresh);
  world_.Log(world_.WorkerId(fresh) + " joins, " + id + " leaves");
  world_.After(kLeaveAnnounceDelay,
               [this, old] { world_.AnnounceLeaving(old); });
  world_.After(fault.duration, [this, old, id] {
    world_.Log(id + " has ended");
    world_.CrashWorker(old);
  });
  world_.After(fault.duration + kEntryTimeAfterLeave, [this, old, id] {
    world_.RemoveEntry(id);
    busy_workers_.erase(old);
    OnFinished();
  });
}

}  // namespace doorwood::soak
