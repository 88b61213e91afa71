// SPDX-License-Identifier: Apache-2.0

#include "doorwood/order_limits.h"

namespace doorwood {

void OrderLimits::Begin() {
  *this = OrderLimits(order_grace_);
}

void OrderLimits::NoteBatchStored(Instant sent) {
  basis_.NoteBatchStored(sent);
  deadline_ = std::max(deadline_, basis_.batch_sent() + order_grace_);
}

bool OrderLimits::NoteStatements(Instant now, const StatedOutage& outage) {
  if (now >= deadline_ || outage.valid_until == Instant{}) {
    return false;
  }
  basis_.NoteOutageConfirmed(outage.asked);
  deadline_ = std::max(deadline_, outage.valid_until);
  if (outage.all_remember) {
    excluded_deadline_ = outage.valid_until;
  }
  return true;
}

Instant OrderLimits::deadline() const {
  const bool may_order =
      !unconfirmed_after_pause_ && basis_.time() != Instant{};
  return may_order ? deadline_ : Instant{};
}

LeaseLimits OrderLimits::For(bool excluded, Instant deadline) const {
  return excluded ? LeaseLimits{std::min(deadline, excluded_deadline_),
                                basis_.outage_confirmed()}
                  : LeaseLimits{deadline, basis_.time()};
}

}  // namespace doorwood
