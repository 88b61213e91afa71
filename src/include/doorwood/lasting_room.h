// SPDX-License-Identifier: Apache-2.0

/// \file
/// How much lasting work a service takes in. Lasting work stays for minutes and
/// is not ended to make room, so what is taken too much costs other work for as
/// long; what is taken too little costs the callers who were refused.
///
/// No share of the processors is right for all work: with the same requests,
/// but another mix of them, callers got most in all at a share of 0.8 and at
/// one of 0.5 (docs/design/shifted-work.md). So a careful share is taken at
/// once; more only once other work was seen to leave room for a while, and
/// nothing while other work presses.

#ifndef DOORWOOD_LASTING_ROOM_H_
#define DOORWOOD_LASTING_ROOM_H_

#include "doorwood/types.h"

namespace doorwood {

struct LastingRoomOptions {
  /// Share of a service's processors that lasting work may reserve before it is
  /// known what other work needs.
  double unproved_share = 0.6;
  /// The same once other work was seen to leave room. From trials on three
  /// deployments: callers got most in all at 0.8 (20.1 thousand at 0.9, 21.0 at
  /// 0.8, 20.9 at 0.7, 20.6 at 0.6).
  double proved_share = 0.8;
  /// Above this use of what serving work leaves, other work presses: no more
  /// lasting work is taken. Uses seen on quiet days: 0.4 to 0.97, and 1.13 for
  /// a moment, where other work was in time; 1.15 rising to 1.68 where it was
  /// late.
  double pressed_use = 0.85;
  /// Below this use there is room for more lasting work.
  double slack_use = 0.65;
  /// How long other work must have been there before its use proves anything:
  /// nearly two of the swings of a day's load that were seen (11 s).
  Millis proof_time{20'000};
  /// Other work is there above this use.
  double seen_use = 0.1;
  /// A high use is remembered with this time constant.
  Millis memory{10'000};
};

/// Processors of a service, in thousandths.
struct ServiceLoad {
  /// What serving work leaves to other work.
  double left = 0;
  /// What other work asks for that runs, or waits for nothing but a place.
  double asked = 0;
};

class LastingRoom {
 public:
  explicit LastingRoom(const LastingRoomOptions& options) : options_(options) {}

  /// To be called a few times a second.
  void Observe(const ServiceLoad& load, Instant now);
  /// Whether a job that reserves `asked` for as long as it lasts may be taken
  /// beside `reserved` of its sort. A service whose workers are not known yet
  /// takes it.
  bool Allows(int64_t asked,
              int64_t reserved,
              int64_t capacity,
              Instant now) const;

  /// Use of what serving work leaves, the highest of late.
  double use() const { return use_; }
  /// Other work has been there for long enough.
  bool IsProved(Instant now) const;

 private:
  const LastingRoomOptions options_;
  double use_ = 0;
  Instant observed_{};
  /// Since when other work is there; zero: not yet.
  Instant seen_since_{};
};

}  // namespace doorwood

#endif  // DOORWOOD_LASTING_ROOM_H_
