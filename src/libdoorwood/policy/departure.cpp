// SPDX-License-Identifier: Apache-2.0

#include "doorwood/departure.h"

#include <algorithm>

namespace doorwood {

void Departure::OnAnnounced(Millis remaining, Instant written_after) {
  if (announced_ == remaining) {
    return;
  }
  announced_ = remaining;
  // Each entry states a minimum, so the latest of the bounds holds.
  stays_until_ = std::max(stays_until_, written_after + remaining);
}

}  // namespace doorwood
