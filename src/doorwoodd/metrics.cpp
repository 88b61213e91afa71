// SPDX-License-Identifier: Apache-2.0

#include "doorwoodd/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace doorwood {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.9, 0.99};

int64_t CurrentMinute() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::minutes>(now).count();
}

}  // namespace

// Streaming latency quantiles of one service, in milliseconds.
class RequestMetrics::Latency {
 public:
  Latency() : set_(acc::extended_p_square_probabilities = kQuantiles) {}

  void Add(double millis) { set_(millis); }
  double Quantile(double probability) const {
    return acc::quantile(set_, acc::quantile_probability = probability);
  }

 private:
  acc::accumulator_set<
      double,
      acc::stats<acc::tag::count, acc::tag::extended_p_square_quantile>>
      set_;
};

std::string ToPrometheusText(const std::vector<MetricSample>& samples) {
  std::map<std::string, prometheus::MetricFamily> families;
  for (const MetricSample& sample : samples) {
    prometheus::MetricFamily& family = families[sample.name];
    family.name = sample.name;
    family.type = prometheus::MetricType::Gauge;
    prometheus::ClientMetric metric;
    for (const auto& [name, value] : sample.labels) {
      metric.label.push_back({name, value});
    }
    metric.gauge.value = sample.value;
    family.metric.push_back(std::move(metric));
  }
  std::vector<prometheus::MetricFamily> list;
  for (auto& [name, family] : families) {
    list.push_back(std::move(family));
  }
  return prometheus::TextSerializer().Serialize(list);
}

RequestMetrics::RequestMetrics()
    : configuration_(std::make_shared<Configuration>()) {}

RequestMetrics::~RequestMetrics() = default;

void RequestMetrics::SetConfiguration(
    std::shared_ptr<const Configuration> configuration) {
  const std::lock_guard<std::mutex> lock(mutex_);
  configuration_ = std::move(configuration);
}

void RequestMetrics::OnRequest(const CallerRequest& request,
                               const CallerResponse& response,
                               Millis took) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const ServiceConfig* service = FindService(*configuration_, request.service);
  if (service == nullptr) {
    // Service names come from callers; unknown ones are not counted, so that
    // callers cannot grow these tables without bound.
    return;
  }
  auto& latency = latencies_[request.service];
  if (latency == nullptr) {
    latency = std::make_unique<Latency>();
  }
  latency->Add(static_cast<double>(took.count()));
  ++outcomes_[{request.service, std::string(ToString(response.outcome))}];
  if (response.status == kStatusKeyUsed) {
    // The caller reused an idempotency key; this does not count against the
    // service's objective.
    return;
  }
  const bool good = response.outcome == RequestOutcome::kAnswered &&
                    response.status < 500 && took <= service->latency_target;
  burn_.Count(request.service, good, CurrentMinute());
}

void RequestMetrics::AddSamples(std::vector<MetricSample>* samples) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [name, latency] : latencies_) {
    for (const double quantile : kQuantiles) {
      samples->push_back(
          {"doorwood_request_latency_ms",
           {{"service", name}, {"quantile", std::to_string(quantile)}},
           latency->Quantile(quantile)});
    }
  }
  for (const auto& [key, count] : outcomes_) {
    samples->push_back({"doorwood_requests",
                        {{"service", key.first}, {"outcome", key.second}},
                        static_cast<double>(count)});
  }
}

std::vector<BurnRow> RequestMetrics::Burn() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return burn_.ComputeRows(*configuration_, CurrentMinute());
}

}  // namespace doorwood
