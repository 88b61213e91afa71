// SPDX-License-Identifier: Apache-2.0

/// \file
/// What orders that were meant for a worker's earlier life may still grant to
/// the life that follows it under the same id.

#ifndef DOORWOOD_EARLIER_LIFE_FENCE_H_
#define DOORWOOD_EARLIER_LIFE_FENCE_H_

#include <cstdint>
#include <optional>

#include "doorwood/types.h"

namespace doorwood {

/// A worker that starts again under its id accepts orders that were meant for
/// its earlier life. On its clock, which begins anew, their lease end is far
/// ahead, so that it grants its longest lease from the time at which it carries
/// them out. All its runs have that lease, also those that begin later.
///
/// The next life therefore gets orders with a higher fencing token. Once it has
/// answered a poll with that token, it refuses all orders for the earlier one,
/// and what they granted until then is bounded. Until it is settled, that is
/// until no such lease can outlast one that is granted now, the longest lease
/// counts, also for a successor (`KnownWorker::unsettled`).
class EarlierLifeFence {
 public:
  /// A worker carries out an order that it has not answered within seconds; no
  /// later than this.
  static constexpr Millis kLatestExecution{30'000};

  /// `longest_lease`: longest lease that the platform's workers grant.
  /// `run_lease`: lease that leaders grant. Both on the worker's clock.
  EarlierLifeFence(Millis longest_lease, Millis run_lease)
      : longest_lease_(longest_lease), run_lease_(run_lease) {}

  /// There was an earlier life, whose orders had tokens up to `token`.
  void Open(uint64_t token) { earlier_token_ = token; }
  /// Whether there was an earlier life whose orders may still be carried out.
  bool IsOpen() const { return earlier_token_ && closed_at_ == Instant{}; }
  /// Whether there was an earlier life.
  bool has_earlier_life() const { return earlier_token_.has_value(); }
  /// Highest token of orders for the earlier life; 0: there was none.
  uint64_t earlier_token() const { return earlier_token_.value_or(0); }
  /// Notes that the life has answered a poll with `token` at `now`. Returns
  /// whether this has closed the fence.
  bool NoteAnswer(uint64_t token, Instant now);
  /// Longest lease that the worker grants.
  Millis longest_lease() const { return longest_lease_; }
  /// How long a lease, on the worker's clock, an order for the earlier life may
  /// grant, counted from an answer or from the last such order: while the fence
  /// is open, the order may be carried out `kLatestExecution` later.
  Millis LongestGrant() const {
    return IsOpen() ? longest_lease_ + kLatestExecution : longest_lease_;
  }
  /// A lease that this leader grants at this time ends no earlier than any
  /// that orders for the earlier life have granted. Empty: the fence is open,
  /// or there was no earlier life.
  std::optional<Instant> settled_at() const;
  bool IsSettled(Instant now) const;

 private:
  Millis longest_lease_;
  Millis run_lease_;
  std::optional<uint64_t> earlier_token_;
  Instant closed_at_{};
};

}  // namespace doorwood

#endif  // DOORWOOD_EARLIER_LIFE_FENCE_H_
