// SPDX-License-Identifier: Apache-2.0

/// \file
/// What filling work does to serving work beside it, learned for each pair of
/// images from late and rough figures.
///
/// The tail T of a serving task is taken as that of a queue: B / (1 - x), with
/// B its best tail and x its strain, 0 (idle) to 1 (stands still). Filling
/// work adds to the strain in proportion to the processors it uses; the factor
/// of each pair of images is fitted as reports come, by normalised least mean
/// squares. Each serving task has a load of its own that drifts over seconds;
/// it is followed slowly, so that sudden changes are put down to what fills.

#ifndef DOORWOOD_INTERFERENCE_H_
#define DOORWOOD_INTERFERENCE_H_

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "doorwood/types.h"

namespace doorwood {

struct InterferenceOptions {
  /// Strain a core of filling work is taken to add before anything is known.
  /// From a trial day: the median pair adds 0.01 to 0.03.
  double unknown_press = 0.025;
  /// Share of an error that one report corrects. What a pair adds is constant
  /// over hours; reports scatter by a tenth. 27 days of three sites, played
  /// twice: callers got 0.9% and 0.8% more in all at 0.15 than at 0.25.
  double learning_rate = 0.15;
  /// Bounds of a pair's factor, strain a core. From trial days: 0.00 to 0.02
  /// for most pairs, 0.03 to 0.11 for those that disturb.
  double highest_press = 0.12;
  /// A factor above the one taken first falls back to it within about this
  /// time, since a pair that is kept apart is never seen to have improved.
  Millis memory{15'000};
  /// A best tail is no lower than this share of the target, so that one odd
  /// report does not spoil it.
  double lowest_base = 0.1;
  /// Best tail as a share of the target before anything is known.
  double first_base = 0.2;
  /// Weight of a new report in a task's load, beside filling work and without.
  double load_rate = 0.3;
  double load_rate_alone = 0.6;
  double first_load = 0.45;
};

/// An image as the model numbers it, from 0. Names are compared once a step and
/// a run, not for each pair on each worker: that was a sixth of a leader's
/// processor time in days of 490 workers.
using ImageId = int;

/// Filling work on one worker: its image and the cores it uses.
struct FillLoad {
  ImageId image = 0;
  double cores = 0;
};

class InterferenceModel {
 public:
  explicit InterferenceModel(const InterferenceOptions& options)
      : options_(options) {}

  /// The image's number, a new one if it is not known yet.
  ImageId Intern(std::string_view image);

  /// Strain that stands for the tail `figure` of an image's task.
  double Strain(ImageId image, int64_t figure, Millis target) const;
  /// Strain at which the tail stands at `share` of the target.
  double StrainAt(ImageId image, Millis target, double share) const;
  /// Strain a core of `fill` adds to tasks of `serving`.
  double Press(ImageId serving, ImageId fill) const {
    return press_[serving][fill];
  }

  /// Learns from one report of a serving task and the filling work beside it.
  /// `load` is the task's own strain so far, below 0 if not known yet; gives
  /// the new one.
  double Observe(ImageId serving,
                 int64_t figure,
                 Millis target,
                 std::span<const FillLoad> fills,
                 double load);

  /// To be called as time goes by.
  void Relax(Millis passed);

 private:
  double BaseOf(ImageId image, Millis target) const;

  const InterferenceOptions options_;
  std::map<std::string, ImageId, std::less<>> ids_;
  /// Best tail seen of each serving image, in milliseconds; 0: none yet.
  std::vector<double> base_;
  /// By serving image, then by filling image: strain a core.
  std::vector<std::vector<double>> press_;
};

}  // namespace doorwood

#endif  // DOORWOOD_INTERFERENCE_H_
