// SPDX-License-Identifier: Apache-2.0

#include "doorwood/burn.h"

#include <algorithm>
#include <cstdio>

namespace doorwood {
namespace {

std::string FormatDecimal(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.2f", value);
  return text.data();
}

std::string EscapeHtml(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

// Draws a bar that is full at a burn rate of 2 and has a mark at 1.
std::string BurnRateBarSvg(double burn_rate) {
  constexpr double kWidth = 200;
  constexpr double kFullAt = 2;
  const double width = std::min(burn_rate / kFullAt, 1.0) * kWidth;
  const char* colour = burn_rate > 1 ? "#b03030" : "#307040";
  return "<svg width=\"200\" height=\"14\"><rect width=\"200\" height=\"14\" "
         "fill=\"#e8e8e8\"/><rect width=\"" +
         FormatDecimal(width) + "\" height=\"14\" fill=\"" + colour +
         "\"/><line x1=\"100\" x2=\"100\" y1=\"0\" y2=\"14\" "
         "stroke=\"#000\"/></svg>";
}

}  // namespace

double BurnRow::burn_rate() const {
  const double allowed = 1 - objective;
  if (total == 0 || allowed <= 0) {
    return 0;
  }
  return static_cast<double>(bad) / static_cast<double>(total) / allowed;
}

double BurnRow::budget_left() const {
  return 1 - burn_rate();
}

void to_json(Json& json, const BurnRow& row) {
  json = Json{{"service", row.service},
              {"window_minutes", row.window_minutes},
              {"total", row.total},
              {"bad", row.bad},
              {"objective", row.objective},
              {"burn_rate", row.burn_rate()},
              {"budget_left", row.budget_left()}};
}

void from_json(const Json& json, BurnRow& row) {
  json.at("service").get_to(row.service);
  json.at("window_minutes").get_to(row.window_minutes);
  json.at("total").get_to(row.total);
  json.at("bad").get_to(row.bad);
  json.at("objective").get_to(row.objective);
}

std::vector<BurnRow> MergeBurnRows(const std::vector<BurnRow>& rows) {
  std::map<std::pair<std::string, int>, BurnRow> merged;
  for (const BurnRow& row : rows) {
    const std::pair<std::string, int> key(row.service, row.window_minutes);
    const auto [item, inserted] = merged.try_emplace(key, row);
    if (!inserted) {
      item->second.total += row.total;
      item->second.bad += row.bad;
    }
  }
  std::vector<BurnRow> result;
  for (auto& [key, row] : merged) {
    result.push_back(std::move(row));
  }
  return result;
}

std::string RenderBurnPage(const std::vector<BurnRow>& rows) {
  std::string page =
      "<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\"><title>Service-"
      "level burn</title><style>body{font-family:sans-serif}td,th{padding:4px "
      "10px;text-align:right}</style></head><body>\n<h1>Service-level "
      "burn</h1>\n<p>A burn rate of 1 uses up exactly what the objective "
      "allows.</p>\n<table>\n<tr><th>service</th><th>window</th><th>requests"
      "</th><th>missed</th><th>objective</th><th>burn rate</th><th>budget "
      "left</th><th></th></tr>\n";
  for (const BurnRow& row : rows) {
    page += "<tr><td>" + EscapeHtml(row.service) + "</td><td>" +
            std::to_string(row.window_minutes) + " min</td><td>" +
            std::to_string(row.total) + "</td><td>" + std::to_string(row.bad) +
            "</td><td>" + FormatDecimal(row.objective) + "</td><td>" +
            FormatDecimal(row.burn_rate()) + "</td><td>" +
            FormatDecimal(row.budget_left()) + "</td><td>" +
            BurnRateBarSvg(row.burn_rate()) + "</td></tr>\n";
  }
  page += "</table>\n</body></html>\n";
  return page;
}

void BurnTracker::Count(const std::string& service, bool good, int64_t minute) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Minute& bucket = rings_[service][minute % kBurnWindows.back()];
  if (bucket.minute != minute) {
    bucket = Minute{.minute = minute};
  }
  ++bucket.total;
  if (!good) {
    ++bucket.bad;
  }
}

std::vector<BurnRow> BurnTracker::ComputeRows(const Configuration& config,
                                              int64_t minute) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<BurnRow> rows;
  for (const ServiceConfig& service : config.services) {
    const auto ring = rings_.find(service.name);
    for (const int window : kBurnWindows) {
      BurnRow row{.service = service.name,
                  .window_minutes = window,
                  .objective = service.objective};
      if (ring != rings_.end()) {
        for (const Minute& bucket : ring->second) {
          const bool inside =
              bucket.minute >= 0 && bucket.minute > minute - window;
          row.total += inside ? bucket.total : 0;
          row.bad += inside ? bucket.bad : 0;
        }
      }
      rows.push_back(row);
    }
  }
  return rows;
}

}  // namespace doorwood
