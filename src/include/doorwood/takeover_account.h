// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which workers a new leader has not accounted for yet: earlier leaders may
/// have left runs there that are active, or have ended unreported.

#ifndef DOORWOOD_TAKEOVER_ACCOUNT_H_
#define DOORWOOD_TAKEOVER_ACCOUNT_H_

#include <map>
#include <string>
#include <string_view>

#include "doorwood/cell_worker.h"
#include "doorwood/takeover_wait.h"
#include "doorwood/types.h"
#include "doorwood/unaccounted_workers.h"

namespace doorwood {

class TakeoverAccount {
 public:
  explicit TakeoverAccount(const TakeoverWaitOptions& options);

  /// To be called when a leader has read the records of earlier ones.
  void Begin(const TakeoverWait::Evidence& evidence, Instant led_since);
  /// No worker is unaccounted any more: every run from before the takeover is
  /// known to this leader or has certainly ended.
  void Finish() { finished_ = true; }
  bool finished() const { return finished_; }
  const TakeoverWait& wait() const { return wait_; }
  Millis TimeLeading(Instant now) const;

  /// Whether the worker is not yet contacted: it was added from an earlier
  /// leader's record, has not answered this leader, is not proven to have
  /// ended, and the takeover goes on. This leader has extended no lease there.
  /// Not the same as unaccounted (see `UnaccountedWorkers`): a worker can be
  /// either one without the other.
  bool IsUncontacted(const CellWorker& cell_worker) const;
  /// Whether the worker was added from an earlier leader's record, has answered
  /// this leader and is not dead, but has not yet listed all its ended runs.
  /// False once the takeover is over.
  bool HasUnlistedEnds(const CellWorker& cell_worker) const;
  /// How much longer the takeover waits for the worker if it does not respond
  /// meanwhile; zero: the worker is accounted for. `proved_at`: time up to
  /// which this leader provably led.
  Millis RemainingWait(const CellWorker& cell_worker,
                       Instant now,
                       Instant proved_at) const;
  /// Workers for which the takeover still waits.
  UnaccountedWorkers FindUnaccounted(
      const std::map<std::string, CellWorker>& workers,
      Instant now,
      Instant proved_at) const;
  /// Adds the worker to `unaccounted`, with what `RemainingWait` counts.
  void AddTo(std::string_view worker,
             const CellWorker& cell_worker,
             Instant now,
             Instant proved_at,
             UnaccountedWorkers* unaccounted) const;

 private:
  TakeoverWait wait_;
  Instant led_since_{};
  bool finished_ = true;
};

}  // namespace doorwood

#endif  // DOORWOOD_TAKEOVER_ACCOUNT_H_
