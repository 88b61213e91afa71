// SPDX-License-Identifier: Apache-2.0

/// \file
/// Settings of an entry instance that owns job shards (program `doorwoodd`),
/// read from a YAML file. Format: docs/CONFIGURATION.md.

#ifndef DOORWOOD_SETTINGS_H_
#define DOORWOOD_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>

#include "doorwood/instance.h"
#include "doorwood/yaml_reader.h"

namespace doorwood {

/// Settings of an entry instance that owns job shards.
struct Settings {
  std::string instance;
  std::string data_centre;
  /// IP address and port to listen on for clients and operators.
  std::string listen;
  /// IP address and port to listen on for other entry instances.
  std::string peer_listen;
  /// Addresses of the platform's key-value service and instance list.
  std::string kv;
  std::string directory;
  std::string operator_token;
  std::string peer_token;
  std::string log_level = "info";
  /// Maximum number of connections served at a time.
  int connections = 96;
  /// Maximum size of a request body, in bytes.
  int64_t max_body_bytes = 8 * 1024 * 1024;
  /// Maximum size of the bodies of all requests of callers together; at least
  /// one body of the largest size is taken.
  int64_t total_body_bytes = 32 * 1024 * 1024;
  /// Maximum number of calls to the key-value service per second.
  int kv_calls = 50;
  /// Maximum time, from the start of a planned shutdown, to wait until all
  /// workers and shards are released. `shutdown_grace` follows.
  Millis shutdown_timeout{20000};
  /// Time for which requests are still accepted after the workers and shards
  /// are released or `shutdown_timeout` has elapsed, so that the load balancer
  /// can detect that this instance is not ready.
  Millis shutdown_grace{1000};
  int shard_count = 8;
  Millis heartbeat_interval{500};
  Millis heartbeat_timeout{2000};
  Millis membership_settle_time{1000};
  Millis list_interval{1000};
  Millis control_lease{3000};
  Millis task_lease{10000};
  Millis renew_interval{1300};
  Millis registration_lifetime{6000};
  Millis drift{300};
};

/// Parses and validates the settings. Returns nothing if there is any problem.
std::optional<Settings> ParseSettings(std::string_view text,
                                      Problems* problems);

/// Returns the options of the control core that follow from the settings.
InstanceOptions MakeInstanceOptions(const Settings& settings,
                                    uint64_t incarnation);

}  // namespace doorwood

#endif  // DOORWOOD_SETTINGS_H_
