// SPDX-License-Identifier: Apache-2.0

/// \file
/// Job manifests as clients submit them, in YAML or JSON. Format:
/// docs/CONFIGURATION.md.

#ifndef DOORWOOD_MANIFEST_H_
#define DOORWOOD_MANIFEST_H_

#include <optional>
#include <string_view>

#include "doorwood/types.h"
#include "doorwood/yaml_reader.h"

namespace doorwood {

/// Maximum number of tasks in one job. It keeps a stored job far below the
/// maximum size of a value in the key-value service.
inline constexpr int kMaxTasksPerManifest = 500;

/// Parses and validates a manifest. Returns nothing if there is any problem.
/// The job's id stays empty; `home` is empty unless the manifest names it.
std::optional<JobSpec> ParseManifest(std::string_view text, Problems* problems);

}  // namespace doorwood

#endif  // DOORWOOD_MANIFEST_H_
