// SPDX-License-Identifier: Apache-2.0

// Attempts on held workers: placement, stops, ends, and the census of a
// shard's attempts.

#include <algorithm>

#include "doorwood/holder.h"

namespace doorwood {
namespace {

// How long capacity is reserved for a service after batch work was evicted for
// it.
constexpr Millis kServiceReservation{2000};

}  // namespace

PlaceReply WorkerHolder::Place(const PlaceRequest& request) {
  const AttemptKey key{request.shard, request.attempt};
  if (const auto held = FindWorkerOfAttempt(key)) {
    return {.placed = true, .worker = held->info.id};
  }
  const auto floor = fence_floors_.find(request.shard);
  if (floor != fence_floors_.end() && request.attempt < floor->second) {
    return {.placed = false, .reason = "fenced by a newer owner or census"};
  }
  std::vector<WorkerView> views;
  std::vector<std::shared_ptr<HeldWorker>> candidates;
  views.reserve(held_.size());
  candidates.reserve(held_.size());
  for (const auto& [name, held] : held_) {
    if (!held->acquired_once) {
      continue;
    }
    views.push_back({.info = &held->info,
                     .capacity = held->ledger.capacity(),
                     .free = held->ledger.free(),
                     .open = AcceptsNewAttempt(*held, request.spec),
                     .residents = held->residents});
    candidates.push_back(held);
  }
  const Decision decision = policy_.Decide(request.spec, views);
  if (decision.worker >= 0) {
    return StartOn(candidates[decision.worker], request);
  }
  if (decision.evict_on >= 0) {
    return EvictVictims(candidates[decision.evict_on], decision);
  }
  const std::string prefix = decision.impossible ? "never: " : "";
  return {.placed = false, .reason = prefix + decision.reason};
}

PlaceReply WorkerHolder::StartOn(const std::shared_ptr<HeldWorker>& held,
                                 const PlaceRequest& request) {
  const AttemptKey key{request.shard, request.attempt};
  if (!held->ledger.Reserve(key, request.spec.size)) {
    return {.placed = false, .reason = "no room now"};
  }
  held->attempts.emplace(key, Attempt{.shard = request.shard,
                                      .id = request.attempt,
                                      .task = request.task,
                                      .spec = request.spec,
                                      .checkpoint = request.checkpoint});
  worker_of_[key] = held->info.id;
  held->pending_orders.push_back({.kind = OrderKind::kStart,
                                  .shard = request.shard,
                                  .attempt = request.attempt,
                                  .task = request.task,
                                  .spec = request.spec,
                                  .checkpoint = request.checkpoint});
  RebuildResidents(*held);
  RenewAndSendOrders(held);
  return {.placed = true, .worker = held->info.id};
}

PlaceReply WorkerHolder::EvictVictims(const std::shared_ptr<HeldWorker>& held,
                                      const Decision& decision) {
  for (const AttemptKey& key : decision.victims) {
    const auto attempt = held->attempts.find(key);
    if (attempt != held->attempts.end()) {
      QueueStopOrder(*held, attempt->second, /*take_checkpoint=*/true);
    }
  }
  held->reserved_until = executor_.Now() + kServiceReservation;
  RenewAndSendOrders(held);
  return {.placed = false, .reason = decision.reason};
}

StopReply WorkerHolder::Stop(const StopRequest& request) {
  const AttemptKey key{request.shard, request.attempt};
  const auto held = FindWorkerOfAttempt(key);
  if (!held) {
    return {.known = false};
  }
  QueueStopOrder(*held, held->attempts.at(key), request.take_checkpoint);
  if (held->state == HoldState::kHeld) {
    RenewAndSendOrders(held);
  }
  return {.known = true};
}

CensusReply WorkerHolder::Census(const CensusRequest& request) {
  Fence(request.shard, request.min_attempt);
  CensusReply reply;
  const Instant now = executor_.Now();
  reply.uptime = std::chrono::duration_cast<Millis>(now - started_);
  const auto age_of = [now](Instant sent) {
    return std::chrono::duration_cast<Millis>(now - sent);
  };
  for (const auto& [name, held] : held_) {
    if (!IsHeld(name)) {
      // Another instance may have changed the attempts on this worker, or may
      // soon do so, so they are not reported.
      if (held->acquired_once) {
        reply.released.push_back({name, age_of(held->last_renewal_sent)});
      }
      continue;
    }
    reply.held.push_back(name);
    for (const auto& [key, attempt] : held->attempts) {
      if (key.shard == request.shard) {
        reply.reports.push_back(MakeAttemptReport(*held, attempt));
      }
    }
  }
  for (const auto& [name, sent] : last_renewal_sent_) {
    reply.released.push_back({name, age_of(sent)});
  }
  return reply;
}

void WorkerHolder::AcknowledgeEnds(const ShardId& shard,
                                   std::span<const AttemptId> attempts) {
  for (const AttemptId& attempt : attempts) {
    const AttemptKey key{shard, attempt};
    const auto held = FindWorkerOfAttempt(key);
    if (!held || held->attempts.at(key).state != RunState::kEnded) {
      continue;
    }
    held->attempts.erase(key);
    worker_of_.erase(key);
    // Sent with the next renewal, because the order is not urgent.
    held->pending_orders.push_back(
        {.kind = OrderKind::kForget, .shard = shard, .attempt = attempt});
  }
}

void WorkerHolder::Fence(const ShardId& shard, const AttemptId& floor) {
  AttemptId& known = fence_floors_[shard];
  known = std::max(known, floor);
}

void WorkerHolder::QueueStopOrder(HeldWorker& held,
                                  Attempt& attempt,
                                  bool take_checkpoint) {
  if (attempt.stopping || attempt.state != RunState::kRunning) {
    return;
  }
  attempt.stopping = true;
  held.pending_orders.push_back({.kind = OrderKind::kStop,
                                 .shard = attempt.shard,
                                 .attempt = attempt.id,
                                 .take_checkpoint = take_checkpoint});
  RebuildResidents(held);
}

void WorkerHolder::MarkEnded(HeldWorker& held,
                             Attempt& attempt,
                             AttemptEnd end,
                             const std::string& checkpoint) {
  attempt.state = RunState::kEnded;
  attempt.end = end;
  if (!checkpoint.empty()) {
    attempt.checkpoint = checkpoint;
  }
  held.ledger.Release({attempt.shard, attempt.id});
}

void WorkerHolder::ReportEndedAttempts(const HeldWorker& held) {
  // Copied first, because the listener may call `AcknowledgeEnds`, which erases
  // attempts.
  std::vector<std::pair<ShardId, AttemptReport>> ended;
  for (const auto& [key, attempt] : held.attempts) {
    if (attempt.state == RunState::kEnded) {
      ended.emplace_back(key.shard, MakeAttemptReport(held, attempt));
    }
  }
  for (const auto& [shard, report] : ended) {
    listener_.OnAttemptEnded(shard, report);
  }
}

void WorkerHolder::RebuildResidents(HeldWorker& held) {
  held.residents.clear();
  for (const auto& [key, attempt] : held.attempts) {
    if (attempt.state == RunState::kRunning) {
      held.residents.push_back(
          {.key = key, .spec = &attempt.spec, .stopping = attempt.stopping});
    }
  }
}

}  // namespace doorwood
