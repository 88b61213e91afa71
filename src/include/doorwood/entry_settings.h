// SPDX-License-Identifier: Apache-2.0

/// \file
/// Settings of one entry instance that schedules cells, from a YAML file.
/// Format: docs/CONFIGURATION.md.

#ifndef DOORWOOD_ENTRY_SETTINGS_H_
#define DOORWOOD_ENTRY_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>

#include "doorwood/cell_leader.h"
#include "doorwood/live_directory.h"
#include "doorwood/yaml_reader.h"

namespace doorwood {

/// Which workers one cell has.
enum class CellSpan {
  /// Those of all data centres: one leader packs all work. Up to some hundred
  /// workers.
  kEverywhere,
  /// Those of one data centre.
  kDataCentre,
};

struct EntrySettings {
  std::string instance;
  std::string data_centre;
  /// IP number and port: for callers, for the balancer's readiness question,
  /// for other entry instances, for metrics.
  std::string front;
  std::string ready;
  std::string peer;
  std::string metrics;
  /// The platform's store.
  std::string store;
  /// The adviser of queues that need one; empty: none.
  std::string adviser;
  /// The platform's service for the workers' machines; empty: none.
  std::string machines;
  std::string log_level = "info";
  CellSpan cell_span = CellSpan::kEverywhere;
  /// Share of a processor that the machine has.
  double cpu_share = 1.0;
  /// Time between the order to stop and the end by force.
  Millis grace{6000};
  /// The longest lease a worker grants to what it runs.
  Millis longest_run_lease{10000};
  /// How long a finished job can be asked for.
  Millis keep_finished{120'000};
  /// Two leaders do not take turns at one machine within this time.
  Millis machine_holder_lease{3000};
};

/// Parses and checks. Gives nothing if there is any problem.
std::optional<EntrySettings> ParseEntrySettings(std::string_view text,
                                                Problems* problems);

CellOptions MakeCellOptions(const EntrySettings& settings);

}  // namespace doorwood

#endif  // DOORWOOD_ENTRY_SETTINGS_H_
