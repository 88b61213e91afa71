// SPDX-License-Identifier: Apache-2.0

// Job shards of an instance: opening, closing and verifying owned shards, and
// finding the owners of other shards.

#include <algorithm>

#include "doorwood/instance.h"

namespace doorwood {
namespace {

constexpr Millis kOpenRetry{1000};

}  // namespace

void Instance::OpenShard(const ShardId& shard) {
  const Instant now = executor_.Now();
  const bool backing_off = now < next_open_attempt_[shard];
  // A shard whose current owner sends heartbeats is opened only after that
  // owner has handed it over.
  if (backing_off || !registered_ || !FindOwningPeer(shard).empty()) {
    return;
  }
  next_open_attempt_[shard] = now + kOpenRetry;
  auto owner = std::make_shared<ShardOwner>(
      options_.owner, shard, options_.self.id, options_.incarnation, executor_,
      kv_, static_cast<OwnerEnvironment&>(*this));
  shards_[shard].owner = owner;
  owner->set_lease_valid([this, alive = alive_]() {
    return *alive && executor_.Now() < registration_valid_until_;
  });
  owner->set_on_fenced([this, alive = alive_, shard]() {
    if (*alive) {
      log_.Write("warn", "owner", "fenced", {{"shard", ToString(shard)}});
      AbandonShard(shard);
    }
  });
  owner->Open([this, alive = alive_, shard, owner](std::error_code error) {
    const bool stale =
        !*alive || !shards_.contains(shard) || shards_[shard].owner != owner;
    if (stale) {
      return;
    }
    if (error) {
      log_.Write("debug", "owner", "could not acquire shard",
                 {{"shard", ToString(shard)}, {"error", error.message()}});
      AbandonShard(shard);
      return;
    }
    shards_[shard].active = true;
    holder_.Fence(shard, {owner->epoch(), 0});
    log_.Write("info", "owner", "shard acquired",
               {{"shard", ToString(shard)},
                {"epoch", owner->epoch()},
                {"open_tasks", owner->open_tasks()}});
    SendHeartbeats();
  });
}

// Returns true if the registration was renewed recently: more than half of its
// lifetime remains.
bool Instance::IsStoreReachable() const {
  return executor_.Now() + options_.registration_lifetime / 2 <
         registration_valid_until_;
}

void Instance::CloseShard(const ShardId& shard) {
  ShardOwnership& ownership = shards_[shard];
  // Without the store a shard cannot be handed over, and closing it would only
  // delay its jobs.
  if (ownership.closing || !ownership.active || !IsStoreReachable()) {
    return;
  }
  ownership.closing = true;
  ownership.owner->Close([this, alive = alive_, shard](std::error_code error) {
    if (!*alive || !shards_.contains(shard)) {
      return;
    }
    if (error) {
      shards_[shard].closing = false;
      return;
    }
    log_.Write("info", "owner", "shard handed over",
               {{"shard", ToString(shard)}});
    AbandonShard(shard);
  });
}

void Instance::AbandonShard(const ShardId& shard) {
  const auto ownership = shards_.find(shard);
  if (ownership == shards_.end()) {
    return;
  }
  const std::shared_ptr<ShardOwner> owner = ownership->second.owner;
  owner->StopImmediately();
  shards_.erase(ownership);
}

// Called when the store no longer knows the lease of this instance's
// registration: other instances may have taken over its shards since it ended.
void Instance::MarkAllShardsUnverified() {
  for (auto& [shard, ownership] : shards_) {
    ownership.needs_verification = true;
  }
}

void Instance::VerifyShard(const ShardId& shard) {
  ShardOwnership& ownership = shards_[shard];
  if (!ownership.active || !ownership.needs_verification ||
      ownership.verifying) {
    return;
  }
  ownership.verifying = true;
  const std::shared_ptr<ShardOwner> owner = ownership.owner;
  owner->VerifyOwnership(
      [this, alive = alive_, shard, owner](std::error_code error) {
        const bool stale = !*alive || !shards_.contains(shard) ||
                           shards_[shard].owner != owner;
        if (stale) {
          return;
        }
        shards_[shard].verifying = false;
        shards_[shard].needs_verification = static_cast<bool>(error);
      });
}

ShardOwner* Instance::ActiveOwner(const ShardId& shard) {
  const auto ownership = shards_.find(shard);
  const bool active = ownership != shards_.end() && ownership->second.active &&
                      !ownership->second.closing;
  return active ? ownership->second.owner.get() : nullptr;
}

std::string Instance::FindOwningPeer(const ShardId& shard) const {
  std::string best;
  uint64_t best_epoch = 0;
  for (const auto& [id, peer] : membership_.peers()) {
    for (const OwnedShard& owned : peer.heartbeat.shards) {
      if (owned.shard == shard && owned.epoch > best_epoch) {
        best = id;
        best_epoch = owned.epoch;
      }
    }
  }
  return best;
}

std::vector<ShardId> Instance::owned_shards() const {
  std::vector<ShardId> owned;
  for (const auto& [shard, ownership] : shards_) {
    if (ownership.active) {
      owned.push_back(shard);
    }
  }
  return owned;
}

std::vector<const ShardOwner*> Instance::owners() const {
  std::vector<const ShardOwner*> owners;
  for (const auto& [shard, ownership] : shards_) {
    if (ownership.active) {
      owners.push_back(ownership.owner.get());
    }
  }
  return owners;
}

}  // namespace doorwood
