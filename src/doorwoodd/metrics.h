// SPDX-License-Identifier: Apache-2.0

/// \file
/// Metrics of one process in Prometheus text format.

#ifndef DOORWOOD_DOORWOODD_METRICS_H_
#define DOORWOOD_DOORWOODD_METRICS_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "doorwood/burn.h"
#include "doorwood/router.h"

namespace doorwood {

/// One sample of a metric.
struct MetricSample {
  std::string name;
  /// Label name to value.
  std::map<std::string, std::string> labels;
  double value = 0;
};

/// Returns the samples in Prometheus text format, grouped by name. All metrics
/// are gauges.
std::string ToPrometheusText(const std::vector<MetricSample>& samples);

/// Tracks finished requests by outcome, latency quantiles, and error-budget
/// burn, each by service. Thread-safe.
class RequestMetrics {
 public:
  RequestMetrics();
  ~RequestMetrics();

  void SetConfiguration(std::shared_ptr<const Configuration> configuration);
  void OnRequest(const CallerRequest& request,
                 const CallerResponse& response,
                 Millis took);

  /// Appends the current samples to `samples`.
  void AddSamples(std::vector<MetricSample>* samples) const;
  /// Error-budget burn of each service and window.
  std::vector<BurnRow> Burn() const;

 private:
  class Latency;

  mutable std::mutex mutex_;
  std::shared_ptr<const Configuration> configuration_;
  std::map<std::string, std::unique_ptr<Latency>> latencies_;
  std::map<std::pair<std::string, std::string>, uint64_t> outcomes_;
  BurnTracker burn_;
};

}  // namespace doorwood

#endif  // DOORWOOD_DOORWOODD_METRICS_H_
