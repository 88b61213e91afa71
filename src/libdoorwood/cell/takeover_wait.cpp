// SPDX-License-Identifier: Apache-2.0

#include "doorwood/takeover_wait.h"

#include <algorithm>

#include "doorwood/worker_session.h"

namespace doorwood {
namespace {

// Added to the wait after leaders of earlier versions, because the last orders
// of such a leader may take effect this long after they were sent, and the
// leases that they grant count from then.
constexpr Millis kLastOrderMargin{500};

// For rounding, and for a worker that ends its runs late.
constexpr Millis kExpiryMargin{100};

}  // namespace

TakeoverWait::TakeoverWait(const TakeoverWaitOptions& options)
    : options_(options) {}

void TakeoverWait::Begin(const Evidence& evidence) {
  evidence_ = evidence;
}

Millis TakeoverWait::full_if_bounded() const {
  return MaxOnLocalClock(options_.run_lease) + kExpiryMargin;
}

Millis TakeoverWait::excess_if_unsettled() const {
  return MaxOnLocalClock(
      std::max(options_.longest_lease - options_.run_lease, Millis(0)));
}

Millis TakeoverWait::full_after_earlier_version() const {
  return MaxOnLocalClock(
             std::max(options_.run_lease, options_.earlier_run_lease)) +
         options_.order_grace + kLastOrderMargin;
}

Millis TakeoverWait::full() const {
  return evidence_.leases_bounded ? full_if_bounded()
                                  : full_after_earlier_version();
}

Millis TakeoverWait::DeductibleFor(Millis recorded) const {
  if (evidence_.leases_bounded) {
    const Millis term_end = evidence_.since_term_end.value_or(Millis(0));
    const Millis since_orders =
        std::min(std::max(recorded, evidence_.since_newest_batch),
                 evidence_.since_outage_statement);
    return std::max(since_orders, term_end);
  }
  // A worker with a recorded time may not have been contacted by the leader
  // that stopped, so leaders before it may have extended leases there.
  if (recorded > Millis(0) || !evidence_.since_term_end) {
    return recorded;
  }
  // A leader that has ended its term orders nothing more.
  const Millis lease =
      MaxOnLocalClock(std::max(options_.run_lease, options_.earlier_run_lease));
  return full() - lease - kExpiryMargin + *evidence_.since_term_end;
}

}  // namespace doorwood
