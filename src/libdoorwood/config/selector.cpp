// SPDX-License-Identifier: Apache-2.0

#include "doorwood/selector.h"

#include <algorithm>

namespace doorwood {
namespace {

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  const size_t last = text.find_last_not_of(" \t");
  return text.substr(first, last - first + 1);
}

bool IsValidLabelText(std::string_view text) {
  constexpr std::string_view kAllowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_./";
  return !text.empty() &&
         text.find_first_not_of(kAllowed) == std::string_view::npos;
}

std::optional<Requirement> ParseRequirement(std::string_view text) {
  Requirement requirement;
  const size_t equals = text.find('=');
  if (equals == std::string_view::npos) {
    const bool absent = text.starts_with('!');
    requirement.kind =
        absent ? RequirementKind::kAbsent : RequirementKind::kPresent;
    requirement.key = Trim(absent ? text.substr(1) : text);
  } else {
    const bool differs = equals > 0 && text[equals - 1] == '!';
    requirement.kind =
        differs ? RequirementKind::kDiffers : RequirementKind::kEquals;
    requirement.key = Trim(text.substr(0, differs ? equals - 1 : equals));
    requirement.value = Trim(text.substr(equals + 1));
    if (!IsValidLabelText(requirement.value)) {
      return std::nullopt;
    }
  }
  if (!IsValidLabelText(requirement.key)) {
    return std::nullopt;
  }
  return requirement;
}

bool IsMet(const Requirement& requirement, const Labels& labels) {
  const auto label = labels.find(requirement.key);
  const bool present = label != labels.end();
  switch (requirement.kind) {
    case RequirementKind::kEquals:
      return present && label->second == requirement.value;
    case RequirementKind::kDiffers:
      return !present || label->second != requirement.value;
    case RequirementKind::kPresent:
      return present;
    case RequirementKind::kAbsent:
      return !present;
  }
  return false;
}

// Returns true if no labels can meet both requirements. The order of the
// arguments matters; callers check both orders.
bool Contradicts(const Requirement& a, const Requirement& b) {
  if (a.key != b.key) {
    return false;
  }
  const bool a_needs_label =
      a.kind == RequirementKind::kEquals || a.kind == RequirementKind::kPresent;
  if (b.kind == RequirementKind::kAbsent) {
    return a_needs_label;
  }
  if (a.kind != RequirementKind::kEquals) {
    return false;
  }
  if (b.kind == RequirementKind::kEquals) {
    return a.value != b.value;
  }
  return b.kind == RequirementKind::kDiffers && a.value == b.value;
}

bool HasContradiction(const std::vector<Requirement>& requirements) {
  for (const Requirement& a : requirements) {
    for (const Requirement& b : requirements) {
      if (Contradicts(a, b)) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

std::optional<Selector> ParseSelector(std::string_view text,
                                      std::string* error) {
  Selector selector;
  if (Trim(text).empty()) {
    return selector;
  }
  size_t begin = 0;
  while (begin <= text.size()) {
    const size_t end = std::min(text.find(',', begin), text.size());
    const std::string_view part = Trim(text.substr(begin, end - begin));
    const auto requirement = ParseRequirement(part);
    if (!requirement) {
      *error = "'" + std::string(part) +
               "' is not a requirement; write key=value, key!=value, key or "
               "!key";
      return std::nullopt;
    }
    selector.requirements.push_back(*requirement);
    begin = end + 1;
  }
  if (HasContradiction(selector.requirements)) {
    *error =
        "'" + std::string(text) + "' contradicts itself and matches nothing";
    return std::nullopt;
  }
  return selector;
}

bool Matches(const Selector& selector, const Labels& labels) {
  return std::all_of(
      selector.requirements.begin(), selector.requirements.end(),
      [&](const Requirement& item) { return IsMet(item, labels); });
}

}  // namespace doorwood
