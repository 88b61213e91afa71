// SPDX-License-Identifier: Apache-2.0

/// \file
/// Burn of service-level objectives: how fast each service uses up the share
/// of requests that may miss its target.

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

/// Windows that burn is reported over, in minutes.
inline constexpr std::array<int, 3> kBurnWindows = {5, 60, 360};

/// One service over one window, summed over the instances asked.
struct BurnRow {
  std::string service;
  int window_minutes = 0;
  uint64_t total = 0;
  /// Slower than the target, or not answered.
  uint64_t bad = 0;
  double objective = 0;

  /// Share of bad requests, as a multiple of the share that is allowed: at 1
  /// the budget lasts exactly the window.
  double burn_rate() const;
  /// Share of the window's budget that is left; below 0 when overspent.
  double budget_left() const;
};

void to_json(Json& json, const BurnRow& row);
void from_json(const Json& json, BurnRow& row);

/// Adds rows of the same service and window.
std::vector<BurnRow> MergeBurn(const std::vector<BurnRow>& rows);

/// An HTML page with a table and a drawn bar for each row.
std::string BurnPage(const std::vector<BurnRow>& rows);

/// Counts requests by minute; may be used from any thread.
class BurnTracker {
 public:
  /// `minute` is a running number, as of a monotonic clock.
  void Count(const std::string& service, bool good, int64_t minute);
  std::vector<BurnRow> Rows(const Configuration& config, int64_t minute) const;

 private:
  struct Minute {
    int64_t minute = -1;
    uint64_t total = 0;
    uint64_t bad = 0;
  };

  // One bucket a minute of the longest window, used in turn.
  using Ring = std::array<Minute, kBurnWindows.back()>;

  mutable std::mutex mutex_;
  std::map<std::string, Ring> rings_;
};

}  // namespace doorwood

#endif  // DOORWOOD_BURN_H_
