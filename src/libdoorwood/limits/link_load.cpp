// SPDX-License-Identifier: Apache-2.0

#include "doorwood/link_load.h"

#include <algorithm>

namespace doorwood {
namespace {

constexpr double kMillisPerSecond = 1000;

}  // namespace

double LinkLoad::Queue::BytesAt(const LinkLoad& link, Instant now) const {
  const std::chrono::duration<double> passed = now - updated;
  return std::max(0.0, bytes - passed.count() * link.bytes_per_second_);
}

void LinkLoad::Queue::Add(const LinkLoad& link, size_t added, Instant now) {
  if (!link.is_limited()) {
    return;
  }
  bytes = BytesAt(link, now) + static_cast<double>(added);
  updated = now;
}

Millis LinkLoad::QueueTime(Instant now) const {
  if (!is_limited()) {
    return Millis(0);
  }
  const double bytes =
      std::max(outgoing_.BytesAt(*this, now), incoming_.BytesAt(*this, now));
  return TransferTime(static_cast<size_t>(bytes));
}

Millis LinkLoad::TransferTime(size_t bytes) const {
  return IntervalForShare(bytes_per_second_, bytes, 1);
}

Millis IntervalForShare(double bytes_per_second, size_t bytes, double share) {
  if (bytes_per_second <= 0) {
    return Millis(0);
  }
  return Millis(
      static_cast<int64_t>(static_cast<double>(bytes) * kMillisPerSecond /
                           (bytes_per_second * share)));
}

}  // namespace doorwood
