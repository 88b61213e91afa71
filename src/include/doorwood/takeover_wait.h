// SPDX-License-Identifier: Apache-2.0

/// \file
/// For how long a new leader has to expect that runs of earlier leaders go on
/// on a worker that it cannot contact.

#ifndef DOORWOOD_TAKEOVER_WAIT_H_
#define DOORWOOD_TAKEOVER_WAIT_H_

#include <optional>

#include "doorwood/types.h"

namespace doorwood {

struct TakeoverWaitOptions {
  /// Longest lease that a leader of this version grants.
  Millis run_lease{0};
  /// The same for leaders of versions that count leases from each order. They
  /// give orders for `order_grace` after their lead was last confirmed.
  Millis earlier_run_lease{0};
  Millis order_grace{0};
  /// Longest lease that a worker grants.
  Millis longest_lease{0};
};

/// How long a new leader has to wait for the runs on a worker that it cannot
/// contact, counted from the last time at which another leader can have
/// extended a lease there.
class TakeoverWait {
 public:
  /// What the records of earlier leaders tell about their leases.
  struct Evidence {
    /// All leases were granted according to a `LeaseBasis`, and no leader
    /// granted any after the newest batch was stored, except by statements of
    /// all instances that they could not reach the store.
    bool leases_bounded = false;
    /// Lower bound on the time since the newest batch was stored.
    Millis since_newest_batch{0};
    /// Lower bound on the time since a leader may have extended leases because
    /// this instance stated that it could not reach the store. Limits what is
    /// deducted.
    Millis since_outage_statement = Millis::max();
    /// Set if the newest batch ended the term of a leader that stopped as
    /// planned: lower bound on the time since that leader extended a lease.
    std::optional<Millis> since_term_end;
  };

  explicit TakeoverWait(const TakeoverWaitOptions& options);

  /// To be called at each takeover.
  void Begin(const Evidence& evidence);
  /// The wait in full, on this process's clock: the longest lease, and margins.
  Millis full() const;
  /// What an unsettled worker (see `KnownWorker::unsettled`) adds to the wait.
  Millis excess_if_unsettled() const;
  /// `full` after leaders of earlier versions.
  Millis full_after_earlier_version() const;
  /// Time that can be deducted from `full` at the takeover for a worker whose
  /// record has this `KnownWorker::deductible_wait`, with the age of the record
  /// if it is above zero.
  Millis DeductibleFor(Millis recorded) const;
  const Evidence& evidence() const { return evidence_; }

 private:
  Millis full_if_bounded() const;

  TakeoverWaitOptions options_;
  Evidence evidence_;
};

}  // namespace doorwood

#endif  // DOORWOOD_TAKEOVER_WAIT_H_
