// SPDX-License-Identifier: Apache-2.0

#include "doorwood/interference.h"

#include <algorithm>

namespace doorwood {
namespace {

// Keeps the correction finite where little filling work runs.
constexpr double kSmallLoad = 4.0;

}  // namespace

ImageId InterferenceModel::Intern(std::string_view image) {
  const auto known = ids_.find(image);
  if (known != ids_.end()) {
    return known->second;
  }
  const auto id = static_cast<ImageId>(ids_.size());
  ids_.emplace(image, id);
  base_.push_back(0);
  for (std::vector<double>& row : press_) {
    row.push_back(options_.unknown_press);
  }
  press_.emplace_back(ids_.size(), options_.unknown_press);
  return id;
}

double InterferenceModel::BaseOf(ImageId image, Millis target) const {
  const auto bound = static_cast<double>(target.count());
  if (base_[image] <= 0) {
    return bound * options_.first_base;
  }
  return std::max(base_[image], bound * options_.lowest_base);
}

double InterferenceModel::Strain(ImageId image,
                                 int64_t figure,
                                 Millis target) const {
  const double base = BaseOf(image, target);
  const double tail = std::max(base, static_cast<double>(figure));
  return 1.0 - base / tail;
}

double InterferenceModel::StrainAt(ImageId image,
                                   Millis target,
                                   double share) const {
  const double tail = static_cast<double>(target.count()) * share;
  return Strain(image, static_cast<int64_t>(tail), target);
}

void InterferenceModel::Relax(Millis passed) {
  const double kept = 1.0 - static_cast<double>(passed.count()) /
                                static_cast<double>(options_.memory.count());
  for (std::vector<double>& row : press_) {
    for (double& press : row) {
      const double above = press - options_.unknown_press;
      if (above > 0) {
        press = options_.unknown_press + above * kept;
      }
    }
  }
}

double InterferenceModel::Observe(ImageId serving,
                                  int64_t figure,
                                  Millis target,
                                  std::span<const FillLoad> fills,
                                  double load) {
  if (figure <= 0 || target <= Millis(0)) {
    return load;
  }
  const auto tail = static_cast<double>(figure);
  double& base = base_[serving];
  base = base > 0 ? std::min(base, tail) : tail;
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
    double& press = press_[serving][fill.image];
    press +=
        options_.learning_rate * error * fill.cores / (squares + kSmallLoad);
    press = std::clamp(press, 0.0, options_.highest_press);
  }
  const double rate =
      squares > 0 ? options_.load_rate : options_.load_rate_alone;
  return std::clamp(load + rate * error, 0.0, 1.0);
}

}  // namespace doorwood
