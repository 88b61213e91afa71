// SPDX-License-Identifier: Apache-2.0

/// \file
/// What one worker carries, counted by the holder of its lease.

#ifndef DOORWOOD_LEDGER_H_
#define DOORWOOD_LEDGER_H_

#include <compare>
#include <map>

#include "doorwood/types.h"

namespace doorwood {

/// An attempt named across shards.
struct AttemptKey {
  ShardId shard;
  AttemptId attempt;

  friend auto operator<=>(const AttemptKey&, const AttemptKey&) = default;
};

/// Reservations against a worker's capacity. A reservation is made before the
/// start order leaves and released only when the worker confirms the end or
/// its lease has surely lapsed.
class Ledger {
 public:
  void set_capacity(const Resources& capacity) { capacity_ = capacity; }
  const Resources& capacity() const { return capacity_; }
  Resources free() const { return capacity_ - used_; }

  /// True if reserved now. False without effect if there is no room, or if
  /// the attempt has a reservation already.
  bool Reserve(const AttemptKey& key, const Resources& size);
  /// Counts what runs already, room or not.
  void Adopt(const AttemptKey& key, const Resources& size);
  /// Does nothing for an unknown attempt.
  void Release(const AttemptKey& key);
  void Clear();

 private:
  Resources capacity_;
  Resources used_;
  std::map<AttemptKey, Resources> reserved_;
};

}  // namespace doorwood

#endif  // DOORWOOD_LEDGER_H_
