// SPDX-License-Identifier: Apache-2.0

/// \file
/// When a worker that announced its departure may end.

#ifndef DOORWOOD_DEPARTURE_H_
#define DOORWOOD_DEPARTURE_H_

#include <optional>

#include "doorwood/types.h"

namespace doorwood {

/// Lower bound on the time at which one incarnation of a worker ends, from the
/// directory entries that announce its departure.
class Departure {
 public:
  /// Applies an entry that says that the worker stays for at least `remaining`
  /// from the time at which it wrote the entry. `written_after`: a time before
  /// the entry was written, usually the beginning of the last read of the
  /// directory that did not have it. An entry with the same `remaining` as the
  /// last one is taken for the same entry.
  void OnAnnounced(Millis remaining, Instant written_after);

  bool announced() const { return announced_.has_value(); }
  /// The worker has announced its departure and may end at any time after this
  /// one.
  Instant stays_until() const { return stays_until_; }

 private:
  /// `remaining` of the last entry.
  std::optional<Millis> announced_;
  Instant stays_until_{};
};

}  // namespace doorwood

#endif  // DOORWOOD_DEPARTURE_H_
