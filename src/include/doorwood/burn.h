// SPDX-License-Identifier: Apache-2.0

/// \file
/// Burn rates of service-level objectives: how fast each service consumes its
/// error budget, the fraction of requests that may miss the target.

#ifndef DOORWOOD_BURN_H_
#define DOORWOOD_BURN_H_

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "doorwood/config.h"
#include "doorwood/json_codec.h"

namespace doorwood {

/// Windows over which burn rates are reported, in minutes. In ascending order:
/// the last one determines how much history is kept.
inline constexpr std::array<int, 3> kBurnWindows = {5, 60, 360};

/// Requests of one service in one window, summed over the queried instances.
struct BurnRow {
  std::string service;
  int window_minutes = 0;
  uint64_t total = 0;
  /// Requests unanswered, with status 500 or above, or slower than the target.
  uint64_t bad = 0;
  double objective = 0;

  /// Fraction of bad requests divided by the fraction that is allowed. At 1 the
  /// error budget lasts exactly for the window. 0 if there were no requests or
  /// the objective allows no bad ones.
  double burn_rate() const;
  /// Remaining fraction of the window's error budget; negative if the budget is
  /// exceeded.
  double budget_left() const;
};

void to_json(Json& json, const BurnRow& row);
void from_json(const Json& json, BurnRow& row);

/// Sums up the rows of the same service and window. Each sum has the objective
/// of the first of its rows.
std::vector<BurnRow> MergeBurnRows(const std::vector<BurnRow>& rows);

/// Returns an HTML page with a table of the rows and a bar chart in each.
std::string RenderBurnPage(const std::vector<BurnRow>& rows);

/// Counts requests per minute. Thread-safe.
class BurnTracker {
 public:
  /// Counts one request. `minute` is the current minute of a monotonic clock.
  void Count(const std::string& service, bool good, int64_t minute);
  /// Returns one row for each service and window, ending at `minute`.
  std::vector<BurnRow> ComputeRows(const Configuration& config,
                                   int64_t minute) const;

 private:
  struct Minute {
    int64_t minute = -1;
    uint64_t total = 0;
    uint64_t bad = 0;
  };

  // Ring buffer with one bucket for each minute of the longest window.
  using Ring = std::array<Minute, kBurnWindows.back()>;

  mutable std::mutex mutex_;
  std::map<std::string, Ring> rings_;
};

}  // namespace doorwood

#endif  // DOORWOOD_BURN_H_
