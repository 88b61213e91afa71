// SPDX-License-Identifier: Apache-2.0

/// \file
/// Settings of one process, from a YAML file. Format: docs/CONFIGURATION.md.

#ifndef DOORWOOD_SETTINGS_H_
#define DOORWOOD_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>

#include "doorwood/instance.h"
#include "doorwood/yaml_reader.h"

namespace doorwood {

/// Settings of an entry instance.
struct Settings {
  std::string instance;
  std::string data_centre;
  /// IP number and port for callers and operators.
  std::string listen;
  /// IP number and port for other entry instances.
  std::string peer_listen;
  /// Addresses of the platform's key-value service and instance list.
  std::string kv;
  std::string directory;
  std::string operator_token;
  std::string peer_token;
  std::string log_level = "info";
  /// Connections served at a time.
  int connections = 96;
  int64_t largest_body = 8 * 1024 * 1024;
  /// Calls to the key-value service that this instance may make, a second.
  int kv_calls = 50;
  /// How long a planned stop may take before it gives up waiting.
  Millis leave_patience{20000};
  /// How long requests are still taken after a planned stop began, so that
  /// the balancer can see that this instance is not ready.
  Millis leave_grace{1000};
  int shard_count = 8;
  Millis heartbeat_interval{500};
  Millis heartbeat_timeout{2000};
  Millis settle{1000};
  Millis list_interval{1000};
  Millis control_lease{3000};
  Millis task_lease{10000};
  Millis renew_interval{1300};
  Millis registration{6000};
  Millis drift{300};
};

/// Parses and checks. Gives nothing if there is any problem.
std::optional<Settings> ParseSettings(std::string_view text,
                                      Problems* problems);

/// Options of the control core that follow from the settings.
InstanceOptions MakeInstanceOptions(const Settings& settings,
                                    uint64_t incarnation);

}  // namespace doorwood

#endif  // DOORWOOD_SETTINGS_H_
