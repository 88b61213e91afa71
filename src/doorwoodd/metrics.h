// SPDX-License-Identifier: Apache-2.0

/// \file
/// Figures of one process, shown as Prometheus text.

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

/// Prometheus text of the samples, grouped by name.
std::string ToPrometheusText(const std::vector<MetricSample>& samples);

/// Counts finished requests, their latency by quantile, and burn. May be used
/// from any thread.
class RequestMetrics {
 public:
  RequestMetrics();
  ~RequestMetrics();

  void SetConfiguration(std::shared_ptr<const Configuration> configuration);
  void OnRequest(const CallerRequest& request,
                 const CallerResponse& response,
                 Millis took);

  void AddSamples(std::vector<MetricSample>* samples) const;
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
