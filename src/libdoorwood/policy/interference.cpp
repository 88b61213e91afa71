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
  const auto known = serving_.find(image);
  if (known == serving_.end() || known->second.base <= 0) {
    return bound * options_.first_base;
  }
  return std::max(known->second.base, bound * options_.lowest_base);
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
  const auto found = press_.find({std::string(serving), std::string(fill)});
  return found == press_.end() ? options_.unknown_press : found->second;
}

void InterferenceModel::Observe(std::string_view serving,
                                int64_t figure,
                                Millis target,
                                std::span<const FillLoad> fills) {
  if (figure <= 0 || target <= Millis(0)) {
    return;
  }
  const auto [place, added] =
      serving_.try_emplace(std::string(serving), Serving{});
  Serving& known = place->second;
  const auto tail = static_cast<double>(figure);
  if (added) {
    known.load = options_.first_load;
  }
  known.base = known.base <= 0 ? tail : std::min(known.base, tail);
  const double strain = Strain(serving, figure, target);
  if (fills.empty()) {
    known.load += options_.load_rate * (strain - known.load);
    return;
  }
  double expected = known.load;
  double squares = 0;
  for (const FillLoad& fill : fills) {
    expected += Press(serving, fill.image) * fill.cores;
    squares += fill.cores * fill.cores;
  }
  const double error = strain - std::min(expected, 1.0);
  for (const FillLoad& fill : fills) {
    double& press =
        press_
            .try_emplace({std::string(serving), std::string(fill.image)},
                         options_.unknown_press)
            .first->second;
    press +=
        options_.learning_rate * error * fill.cores / (squares + kSmallLoad);
    press = std::clamp(press, 0.0, options_.highest_press);
  }
}

}  // namespace doorwood
