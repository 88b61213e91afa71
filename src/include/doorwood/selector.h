// SPDX-License-Identifier: Apache-2.0

/// \file
/// Selectors over labels: "rack=r1, accelerator, tier!=old, !draining".

#ifndef DOORWOOD_SELECTOR_H_
#define DOORWOOD_SELECTOR_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "doorwood/types.h"

namespace doorwood {

enum class RequirementKind { kEquals, kDiffers, kPresent, kAbsent };

struct Requirement {
  RequirementKind kind = RequirementKind::kPresent;
  std::string key;
  std::string value;
};

/// All requirements must hold. No requirement: everything matches.
struct Selector {
  std::vector<Requirement> requirements;
};

/// Parses comma-separated requirements. On failure gives nothing and puts a
/// sentence for the operator into `error`. Requirements that can never hold
/// together ("a=1,a=2") are a failure.
std::optional<Selector> ParseSelector(std::string_view text,
                                      std::string* error);

/// True if `labels` meet every requirement.
bool Matches(const Selector& selector, const Labels& labels);

}  // namespace doorwood

#endif  // DOORWOOD_SELECTOR_H_
