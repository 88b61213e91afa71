// SPDX-License-Identifier: Apache-2.0

/// \file
/// Settings of an entry instance that schedules cells (program
/// `doorwood-celld`), read from a YAML file. Format: docs/CONFIGURATION.md.

#ifndef DOORWOOD_ENTRY_SETTINGS_H_
#define DOORWOOD_ENTRY_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>

#include "doorwood/cell_leader.h"
#include "doorwood/ingress.h"
#include "doorwood/live_directory.h"
#include "doorwood/yaml_reader.h"

namespace doorwood {

/// Which workers belong to one cell.
enum class CellScope {
  /// Workers of all data centres: one leader places all work. Suitable for up
  /// to a few hundred workers.
  kEverywhere,
  /// Workers of one data centre.
  kDataCentre,
};

struct EntrySettings {
  std::string instance;
  std::string data_centre;
  /// Addresses (IP address and port) to listen on: for clients, for the load
  /// balancer's readiness checks, for other entry instances, and for metrics.
  std::string client_address;
  std::string readiness_address;
  std::string peer_address;
  std::string metrics_address;
  /// Address of the platform's key-value store.
  std::string store_address;
  /// Address of the adviser service, for queues that use one; empty if there is
  /// none.
  std::string adviser_address;
  /// Address of the platform's service that manages the workers' machines;
  /// empty if there is none.
  std::string machine_service_address;
  std::string log_level = "info";
  CellScope cell_scope = CellScope::kEverywhere;
  /// CPU share available to this entry instance, in processors. Instances with
  /// a larger share campaign for a cell's lead earlier.
  double cpu_share = 1.0;
  /// Rate of the network link of this machine in each direction, in megabits a
  /// second; 0: not limited.
  double link_mbps = 0;
  /// Time between the request to stop and forced termination.
  Millis shutdown_grace{6000};
  /// Longest lease that a worker grants to a run.
  Millis max_run_lease{10000};
  /// Longest time that a worker takes to stop a run.
  Millis longest_stop{900};
  /// Time for which a finished job can still be queried.
  Millis finished_job_retention{120'000};
  /// Minimum time before another leader may take over the handling of a
  /// machine, so that two leaders do not alternate on it.
  Millis machine_holder_lease{3000};
  /// Maximum number of submissions that wait in this instance while no leader
  /// accepts jobs; 0: none does.
  int max_held_submissions = 0;
  /// Maximum memory for the requests and responses of all connections of
  /// clients, in megabytes.
  int client_memory_mb = 32;
  /// The same for connections of other instances, which may all read the
  /// configuration of this one.
  int peer_memory_mb = 96;
  /// Maximum memory for the answers of the store, workers and other instances
  /// that are being received, in megabytes.
  int answer_memory_mb = 64;
  /// Largest share of a service's workers that is set aside because they fail
  /// or slow their runs; 0: none is.
  double set_aside_share = 0;
  /// Share of a service's free processors that backup copies of slow runs may
  /// use, for steps that allow copies; 0: no copies.
  double backup_share = 0;
};

/// Parses and validates the settings. Returns nothing if there is any problem.
std::optional<EntrySettings> ParseEntrySettings(std::string_view text,
                                                Problems* problems);

/// Rate of the machine's network link in bytes a second; 0: not limited.
double LinkRate(const EntrySettings& settings);
/// Returns the cell options that follow from the settings.
CellOptions MakeCellOptions(const EntrySettings& settings);
/// Returns the ingress options that follow from the settings.
IngressOptions MakeIngressOptions(const EntrySettings& settings);

}  // namespace doorwood

#endif  // DOORWOOD_ENTRY_SETTINGS_H_
