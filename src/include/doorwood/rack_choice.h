// SPDX-License-Identifier: Apache-2.0

/// \file
/// The rack that the tasks of a step with `same_rack` share. The tasks may run
/// on several racks, but then all of them are slow. Pure decisions: no calls,
/// no clock.

#ifndef DOORWOOD_RACK_CHOICE_H_
#define DOORWOOD_RACK_CHOICE_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "doorwood/step_room.h"

namespace doorwood {

/// A rack as a place for a step with `same_rack`.
struct RackRoom {
  std::string rack;
  /// The step's runs there.
  int running = 0;
  /// Number of tasks, at most those to be placed, that its suitable workers can
  /// take now, and could take if they were empty.
  int fitting = 0;
  int fitting_when_empty = 0;
  /// Of the most suitable worker.
  double best_score = 0;
};

/// The racks of the candidates, the preferred ones first, for `tasks` tasks
/// that are placed now. Racks with runs of the step precede others, the one
/// with the most runs first: a step is slow as soon as it is on two racks. Of
/// the others, those that can take all tasks precede those that cannot, ordered
/// by score and by room, so that a step that no rack can take is spread over
/// few.
std::vector<RackRoom> RankRacks(const StepPlacement& step, int tasks);

/// Whether the step has runs in several racks.
bool IsSpreadOverRacks(std::span<const RackRoom> racks);

/// Whether `tasks` tasks of the step may be placed in other racks than the
/// first, which makes the whole step slow. Long-running tasks do not wait for
/// room in a rack, and no task does if the step is spread already, or no rack
/// can take it. The others wait for as long as the lower speed would cost, at
/// most `PolicyOptions::longest_rack_wait`. `racks`: the result of RankRacks;
/// `run_time`: expected run time of one task; `waited`: for how long tasks have
/// waited that other racks had room for.
bool MaySpreadOverRacks(const StepPlan& plan,
                        std::span<const RackRoom> racks,
                        int tasks,
                        Millis run_time,
                        Millis waited,
                        const PolicyOptions& options);

/// The racks for the tasks of a step that are placed one after another: the
/// first one for as long as it has room, then the next.
class RackSearch {
 public:
  /// For a step whose tasks may run in any rack.
  RackSearch() = default;
  /// `racks`: the result of RankRacks. `may_spread`: that of
  /// MaySpreadOverRacks.
  RackSearch(std::vector<RackRoom> racks, bool may_spread)
      : racks_(std::move(racks)), may_spread_(may_spread) {}

  /// Sets the rack in `need`, which refers to this object.
  void Apply(TaskRequirements* need) const;
  /// Whether a worker in `rack` was found although another rack was looked for,
  /// which therefore has no room left; moves on to the next rack with room
  /// then, if there is one.
  bool MoveOnFrom(std::string_view rack);
  /// Whether racks other than the first have room for some of the tasks of a
  /// step with `same_rack` or, for a gang, all racks together for all `tasks`.
  bool HasRoomElsewhere(const StepPlan& plan, int tasks) const;
  /// Whether `MoveOnFrom` has left the first rack.
  bool has_moved_on() const { return current_ > 0; }
  const std::vector<RackRoom>& racks() const { return racks_; }

 private:
  std::vector<RackRoom> racks_;
  bool may_spread_ = true;
  size_t current_ = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_RACK_CHOICE_H_
