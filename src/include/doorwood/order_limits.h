// SPDX-License-Identifier: Apache-2.0

/// \file
/// Until when a leader may give orders, and from when the leases that they
/// grant count.

#ifndef DOORWOOD_ORDER_LIMITS_H_
#define DOORWOOD_ORDER_LIMITS_H_

#include <algorithm>

#include "doorwood/live_directory.h"
#include "doorwood/types.h"

namespace doorwood {

/// The latest time at which a leader provably led, by evidence that every
/// instance that may succeed it has as well. However late an order is sent or
/// carried out, no lease that it grants ends later than one run lease after
/// this time.
class LeaseBasis {
 public:
  void Reset() { *this = LeaseBasis(); }
  /// The store has taken a batch of this leader that was sent at `sent`. A
  /// successor finds the batch in the store.
  void NoteBatchStored(Instant sent) {
    batch_sent_ = std::max(batch_sent_, sent);
  }
  /// Each instance that may lead next was asked at `asked` or later, and stated
  /// that it cannot reach the store. It knows when it stated that. Ignored
  /// before the first batch is stored.
  void NoteOutageConfirmed(Instant asked) {
    if (batch_sent_ != Instant{}) {
      outage_confirmed_ = std::max(outage_confirmed_, asked);
    }
  }

  /// Zero: there is no evidence yet, and no lease may be granted.
  Instant time() const { return std::max(batch_sent_, outage_confirmed_); }
  /// Zero: no batch of this leader is known to be stored.
  Instant batch_sent() const { return batch_sent_; }
  /// Zero: no outage was confirmed since the first batch.
  Instant outage_confirmed() const { return outage_confirmed_; }

 private:
  Instant batch_sent_{};
  Instant outage_confirmed_{};
};

/// What the session with one worker may grant.
struct LeaseLimits {
  /// See WorkerSession::SetLeaseExtensionEnd.
  Instant extension_end{};
  /// See WorkerSession::SetLeaseBasis.
  Instant basis{};
};

/// A leader orders starts and extends leases until `order_grace` after the
/// newest batch that the store took, or as long as all other instances state
/// that they cannot reach the store either, so that none can take the lead. It
/// orders nothing before the first batch.
class OrderLimits {
 public:
  explicit OrderLimits(Millis order_grace) : order_grace_(order_grace) {}

  /// To be called at each takeover.
  void Begin();
  void NoteBatchStored(Instant sent);
  /// Applies the statements that are valid at `now`, unless the orders have
  /// stopped: another instance may have led since, and only the store proves
  /// the lead then. Returns whether they are applied.
  bool NoteStatements(Instant now, const StatedOutage& outage);
  /// After the process was paused, no orders are given until the lead is
  /// confirmed.
  void set_unconfirmed_after_pause(bool unconfirmed) {
    unconfirmed_after_pause_ = unconfirmed;
  }

  /// Time until which orders may be given; zero: none may be given.
  Instant deadline() const;
  /// The limits of a worker's session if orders may be given until `deadline`.
  /// `excluded`: the worker's record in the store may say that no lease is
  /// extended there. It binds unless all that may lead next have stated an
  /// outage since, because they deduct no time before that from their wait.
  LeaseLimits For(bool excluded, Instant deadline) const;
  /// Whether orders that extend leases may be sent to such a worker at `now`.
  bool MayExtendLeases(bool excluded, Instant now) const {
    return !excluded || now < excluded_deadline_;
  }
  const LeaseBasis& basis() const { return basis_; }

 private:
  Millis order_grace_;
  LeaseBasis basis_;
  /// Unless this process was paused. Use `deadline`, which takes pauses into
  /// account.
  Instant deadline_{};
  /// The same for workers whose record excludes extensions.
  Instant excluded_deadline_{};
  bool unconfirmed_after_pause_ = false;
};

}  // namespace doorwood

#endif  // DOORWOOD_ORDER_LIMITS_H_
