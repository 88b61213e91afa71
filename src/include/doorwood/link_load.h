// SPDX-License-Identifier: Apache-2.0

/// \file
/// Estimate of how much data is queued on the network link of this machine, and
/// the rates of calls that the link bears. Reads no clock and makes no calls.

#ifndef DOORWOOD_LINK_LOAD_H_
#define DOORWOOD_LINK_LOAD_H_

#include <cstddef>

#include "doorwood/types.h"

namespace doorwood {

/// A queue for each direction of the link, which the link empties at its rate.
class LinkLoad {
 public:
  /// `bytes_per_second`: rate in each direction; 0: the link is not limited.
  explicit LinkLoad(double bytes_per_second)
      : bytes_per_second_(bytes_per_second) {}

  bool is_limited() const { return bytes_per_second_ > 0; }
  double bytes_per_second() const { return bytes_per_second_; }

  /// Counts data that this machine sends.
  void AddOutgoing(size_t bytes, Instant now) {
    outgoing_.Add(*this, bytes, now);
  }
  /// Counts data that this machine has asked for, as soon as it has asked.
  void AddIncoming(size_t bytes, Instant now) {
    incoming_.Add(*this, bytes, now);
  }
  /// Time until the link has transferred all that was counted, in the direction
  /// that takes longer.
  Millis QueueTime(Instant now) const;
  /// Time that the link needs for so many bytes.
  Millis TransferTime(size_t bytes) const;

 private:
  struct Queue {
    double bytes = 0;
    Instant updated{};

    void Add(const LinkLoad& link, size_t added, Instant now);
    double BytesAt(const LinkLoad& link, Instant now) const;
  };

  double bytes_per_second_;
  Queue outgoing_;
  Queue incoming_;
};

/// Interval of calls of `bytes` each that together take `share` (0 to 1) of a
/// link of `bytes_per_second`; zero if the link is not limited.
Millis IntervalForShare(double bytes_per_second, size_t bytes, double share);

}  // namespace doorwood

#endif  // DOORWOOD_LINK_LOAD_H_
