// SPDX-License-Identifier: Apache-2.0

/// \file
/// Ledger of the capacity that attempts reserve on one worker, kept by the
/// holder of the worker's lease.

#ifndef DOORWOOD_LEDGER_H_
#define DOORWOOD_LEDGER_H_

#include <compare>
#include <map>

#include "doorwood/types.h"

namespace doorwood {

/// Identifies an attempt among all shards.
struct AttemptKey {
  ShardId shard;
  AttemptId attempt;

  friend auto operator<=>(const AttemptKey&, const AttemptKey&) = default;
};

/// Reservations of a worker's capacity. A reservation is made before the start
/// order is sent. It is released only when the worker reports that the attempt
/// has ended or will never start, or when a new inventory of the worker
/// replaces all reservations.
class Ledger {
 public:
  void set_capacity(const Resources& capacity) { capacity_ = capacity; }
  const Resources& capacity() const { return capacity_; }
  Resources free() const { return capacity_ - used_; }

  /// Reserves `size` for the attempt. Returns false, without effect, if there
  /// is not enough free capacity or the attempt already has a reservation.
  bool Reserve(const AttemptKey& key, const Resources& size);
  /// Adds a reservation for an attempt that already runs, even if it exceeds
  /// the capacity.
  void Adopt(const AttemptKey& key, const Resources& size);
  /// Releases a reservation; no effect if the attempt has none.
  void Release(const AttemptKey& key);
  void Clear();

 private:
  Resources capacity_;
  Resources used_;
  std::map<AttemptKey, Resources> reserved_;
};

}  // namespace doorwood

#endif  // DOORWOOD_LEDGER_H_
