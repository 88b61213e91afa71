// SPDX-License-Identifier: Apache-2.0

/// \file
/// Model of the effect of best-effort work on the serving tasks beside it. It
/// is learned for each pair of images, that of a serving task and that of
/// best-effort work, from delayed, noisy latency reports.
///
/// The tail latency of a serving task is modelled as that of a queue, by
/// B / (1 - x): B is the task's lowest tail latency and x its utilization, from
/// 0 (idle) to 1 (saturated). Best-effort work adds to the utilization in
/// proportion to the cores it uses. The factor of each pair of images is fitted
/// by normalized least mean squares as reports arrive. Each serving task also
/// has a load of its own that drifts over seconds. Each report corrects the
/// estimate of this load by only a share of the error, so that part of a sudden
/// change is left to be attributed to the best-effort work.

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
  /// Utilization assumed per core of best-effort work before there are reports.
  /// On one simulated day, typical pairs added 0.01 to 0.03.
  double default_interference = 0.025;
  /// Largest share of an error that one report corrects in the factors; the
  /// share is smaller where little best-effort work runs. The factor of a pair
  /// is constant over hours, and reports scatter by a tenth. Over 27 days of
  /// three deployments, simulated twice, the total value for callers was 0.9%
  /// and 0.8% higher at 0.15 than at 0.25.
  double learning_rate = 0.15;
  /// Upper bound of a pair's factor, in utilization per core. On simulated days
  /// most pairs had 0.00 to 0.02, and disturbing ones 0.03 to 0.11.
  double max_interference = 0.12;
  /// A factor above its initial value decays towards it with this time
  /// constant, because a pair that is kept apart yields no reports that would
  /// correct it.
  Millis decay_time{15'000};
  /// Lower bound of the lowest tail latency, as a share of the target, so that
  /// a single outlier does not distort the model.
  double min_base_share = 0.1;
  /// Lowest tail latency, as a share of the target, assumed before there are
  /// reports.
  double initial_base_share = 0.2;
  /// Weight of a new report in a task's own load, with and without best-effort
  /// work beside it.
  double load_learning_rate = 0.3;
  double load_learning_rate_alone = 0.6;
  /// Utilization assumed for a task without a report. For a new task, at least
  /// this utilization is assumed.
  double initial_load = 0.45;
};

/// Number of an image in the model, from 0. A name is looked up once for each
/// step in a scheduling pass and once for each run. Looking names up for each
/// pair of images on each worker took a sixth of a leader's processor time on
/// days with 490 workers.
using ImageId = int;

/// One best-effort run on a worker: its image and the cores it uses.
struct BestEffortLoad {
  ImageId image = 0;
  double cores = 0;
};

class InterferenceModel {
 public:
  explicit InterferenceModel(const InterferenceOptions& options)
      : options_(options) {}

  /// Returns the image's number and assigns one to an unknown image.
  ImageId Intern(std::string_view image);

  /// Utilization of a task of `image` whose tail latency is `tail_latency_ms`.
  double Utilization(ImageId image,
                     int64_t tail_latency_ms,
                     Millis target) const;
  /// Utilization at which the tail latency equals `share` of the target.
  double UtilizationAtShare(ImageId image, Millis target, double share) const;
  /// Utilization that a core of `best_effort_image` adds to tasks of `serving`.
  double InterferencePerCore(ImageId serving, ImageId best_effort_image) const {
    return interference_[serving][best_effort_image];
  }

  /// Updates the model from one report of a serving task and the best-effort
  /// work beside it. `load` is the current estimate of the task's own
  /// utilization, negative if there is none yet; the factors are then left
  /// unchanged. Returns the new estimate, or `load`, without any update, if the
  /// latency or the target is not positive.
  double Observe(ImageId serving,
                 int64_t tail_latency_ms,
                 Millis target,
                 std::span<const BestEffortLoad> best_effort,
                 double load);

  /// Decays the factors above their initial value. To be called periodically;
  /// the decay is linear in `passed`, which must be short against `decay_time`.
  void Decay(Millis passed);

 private:
  double BaseLatency(ImageId image, Millis target) const;

  const InterferenceOptions options_;
  std::map<std::string, ImageId, std::less<>> ids_;
  /// Lowest tail latency seen for each serving image, in milliseconds; 0: none.
  std::vector<double> base_latency_;
  /// Utilization per core, by serving image, then by best-effort image.
  std::vector<std::vector<double>> interference_;
};

}  // namespace doorwood

#endif  // DOORWOOD_INTERFERENCE_H_
