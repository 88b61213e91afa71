// SPDX-License-Identifier: Apache-2.0

/// \file
/// A job as its submitter writes it, in YAML or JSON. Format:
/// docs/CONFIGURATION.md.

#ifndef DOORWOOD_MANIFEST_H_
#define DOORWOOD_MANIFEST_H_

#include <optional>
#include <string_view>

#include "doorwood/types.h"
#include "doorwood/yaml_reader.h"

namespace doorwood {

/// Most tasks of one job: keeps a job far below one value of the key-value
/// service.
inline constexpr int kMostTasksOfJob = 500;

/// Parses and checks a manifest. Gives nothing if there is any problem. The
/// job's id stays empty; `home` is empty unless the manifest names it.
std::optional<JobSpec> ParseManifest(std::string_view text, Problems* problems);

}  // namespace doorwood

#endif  // DOORWOOD_MANIFEST_H_
