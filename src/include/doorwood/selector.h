// SPDX-License-Identifier: Apache-2.0

/// \file
/// Label selectors, for example "rack=r1, accelerator, tier!=old, !draining".

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

/// Matches labels that meet all requirements. A selector without requirements
/// matches everything.
struct Selector {
  std::vector<Requirement> requirements;
};

/// Parses comma-separated requirements. On failure returns nothing and sets
/// `error` to a message for the operator. Requirements that contradict each
/// other ("a=1,a=2") are an error.
std::optional<Selector> ParseSelector(std::string_view text,
                                      std::string* error);

/// True if `labels` meet every requirement.
bool Matches(const Selector& selector, const Labels& labels);

}  // namespace doorwood

#endif  // DOORWOOD_SELECTOR_H_
