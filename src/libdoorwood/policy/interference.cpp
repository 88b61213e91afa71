// SPDX-License-Identifier: Apache-2.0

#include "doorwood/interference.h"

#include <algorithm>

namespace doorwood {
namespace {

// Keeps the correction finite where little filling work runs.
constexpr double kSmallLoad = 4.0;

}  // namespace

double InterferenceModel::BaseOf(std::string_view image, Millis target) const {
  const auto bound = static_cast<double>(target.count());
  const auto known = base_.find(image);
  if (known == base_.end()) {
    return bound * options_.first_base;
  }
  return std::max(known->second, bound * options_.lowest_base);
}

double InterferenceModel::Strain(std::string_view image,
                                 int64_t figure,
                                 Millis target) const {
  const double base = BaseOf(image, target);
  const double tail = std::max(base, static_cast<double>(figure));
  return 1.0 - base / tail;
}

double InterferenceModel::StrainAt(std::string_view image,
                                   Millis target,
                                   double share) const {
  const double tail = static_cast<double>(target.count()) * share;
  return Strain(image, static_cast<int64_t>(tail), target);
}

double InterferenceModel::Press(std::string_view serving,
                                std::string_view fill) const {
  const auto row = press_.find(serving);
  if (row == press_.end()) {
    return options_.unknown_press;
  }
  const auto found = row->second.find(fill);
  return found == row->second.end() ? options_.unknown_press : found->second;
}

void InterferenceModel::Relax(Millis passed) {
  const double kept = 1.0 - static_cast<double>(passed.count()) /
                                static_cast<double>(options_.memory.count());
  for (auto& [serving, row] : press_) {
    for (auto& [fill, press] : row) {
      const double above = press - options_.unknown_press;
      if (above > 0) {
        press = options_.unknown_press + above * kept;
      }
    }
  }
}

double InterferenceModel::Observe(std::string_view serving,
                                  int64_t figure,
                                  Millis target,
                                  std::span<const FillLoad> fills,
                                  double load) {
  if (figure <= 0 || target <= Millis(0)) {
    return load;
  }
  const auto tail = static_cast<double>(figure);
  const auto [base, added] = base_.try_emplace(std::string(serving), tail);
  base->second = std::min(base->second, tail);
  const double strain = Strain(serving, figure, target);
  double pressed = 0;
  double squares = 0;
  for (const FillLoad& fill : fills) {
    pressed += Press(serving, fill.image) * fill.cores;
    squares += fill.cores * fill.cores;
  }
  if (load < 0) {
    return std::max(0.0, strain - pressed);
  }
  const double error = strain - std::min(load + pressed, 1.0);
  for (const FillLoad& fill : fills) {
    double& press =
        press_[std::string(serving)]
            .try_emplace(std::string(fill.image), options_.unknown_press)
            .first->second;
    press +=
        options_.learning_rate * error * fill.cores / (squares + kSmallLoad);
    press = std::clamp(press, 0.0, options_.highest_press);
  }
  const double rate =
      squares > 0 ? options_.load_rate : options_.load_rate_alone;
  return std::clamp(load + rate * error, 0.0, 1.0);
}

}  // namespace doorwood
