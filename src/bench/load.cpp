// SPDX-License-Identifier: Apache-2.0

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

#include "bench/bench.h"
#include "doorwood/json_codec.h"
#include "http.adapter/http_call.h"
#include "http.adapter/http_sender.h"

namespace doorwood::bench {
namespace {

using Clock = std::chrono::steady_clock;

constexpr Millis kReconnectPause{20};

// Result of a request as the caller sees it.
enum Outcome {
  kCorrect,
  // A reply, but not the expected one for this request.
  kWrong,
  kNotRun,
  kUnknown,
  // The connection broke or timed out before a complete reply; the request may
  // have run.
  kBroken,
  // No connection was made, so the request did not run.
  kNoConnection,
  kOutcomeCount,
};

constexpr const char* kOutcomeNames[] = {"whole",   "wrong",  "not_run",
                                         "unknown", "broken", "no_connection"};

struct Totals {
  std::mutex mutex;
  std::vector<double> latencies_us;
  std::vector<uint64_t> outcomes = std::vector<uint64_t>(kOutcomeCount, 0);
  std::ofstream record;
};

// One connection that sends its requests in a closed loop.
class LoadConnection {
 public:
  LoadConnection(const LoadOptions& options, int number, Totals& totals)
      : options_(options), number_(number), totals_(totals) {
    target_index_ = static_cast<size_t>(number);
    prefix_ = std::to_string(Clock::now().time_since_epoch().count()) + "-" +
              std::to_string(number) + "-";
  }

  void Run() {
    const auto end = Clock::now() + std::chrono::seconds(options_.seconds);
    for (int n = 0; n < options_.requests && Clock::now() < end; ++n) {
      const std::string id = prefix_ + std::to_string(n);
      const auto begin = Clock::now();
      const Outcome outcome = SendRequest(id);
      const std::chrono::duration<double, std::micro> took =
          Clock::now() - begin;
      RecordOutcome(id, outcome, took.count());
      if (outcome == kNoConnection || outcome == kBroken) {
        client_.reset();
        ++target_index_;
        std::this_thread::sleep_for(kReconnectPause);
      }
      if (options_.pause_ms > 0) {
        std::this_thread::sleep_for(Millis(options_.pause_ms));
      }
    }
    const std::lock_guard<std::mutex> lock(totals_.mutex);
    totals_.latencies_us.insert(totals_.latencies_us.end(),
                                latencies_us_.begin(), latencies_us_.end());
  }

 private:
  Outcome SendRequest(const std::string& id) {
    if (!client_) {
      const HostPort target = ParseHostPort(
          options_.targets[target_index_ % options_.targets.size()]);
      client_ = std::make_unique<httplib::Client>(target.host, target.port);
      client_->set_tcp_nodelay(true);
      client_->set_keep_alive(true);
      client_->set_read_timeout(Millis(options_.deadline_ms * 2));
    }
    httplib::Headers headers = {
        {kRequestIdHeader, id},
        {kRepeatableHeader, options_.repeatable ? "yes" : "no"},
        {kDeadlineHeader, std::to_string(options_.deadline_ms)}};
    if (options_.keys) {
      headers.emplace(kIdempotencyHeader, "key-" + id);
    }
    std::string path = options_.prefix + "/work";
    if (options_.run_ms >= 0) {
      path += "?ms=" + std::to_string(options_.run_ms);
    }
    const std::string body = "body of " + id;
    const httplib::Result result =
        client_->Post(path.c_str(), headers, body, "text/plain");
    if (!result) {
      return IsNotSent(result.error()) ? kNoConnection : kBroken;
    }
    const std::string outcome = result->get_header_value(kOutcomeHeader);
    if (outcome == "not-run") {
      return kNotRun;
    }
    if (outcome == "unknown") {
      return kUnknown;
    }
    return result->body.ends_with(" ran " + id + ": " + body) ? kCorrect
                                                              : kWrong;
  }

  void RecordOutcome(const std::string& id,
                     Outcome outcome,
                     double latency_us) {
    if (outcome == kCorrect) {
      latencies_us_.push_back(latency_us);
    }
    const std::lock_guard<std::mutex> lock(totals_.mutex);
    ++totals_.outcomes[outcome];
    if (totals_.record) {
      totals_.record << Json{{"request", id},
                             {"outcome", kOutcomeNames[outcome]}}
                     << "\n";
    }
  }

  const LoadOptions& options_;
  int number_;
  Totals& totals_;
  size_t target_index_ = 0;
  std::string prefix_;
  std::unique_ptr<httplib::Client> client_;
  std::vector<double> latencies_us_;
};

double Quantile(const std::vector<double>& sorted, double probability) {
  if (sorted.empty()) {
    return 0;
  }
  const double position = probability * static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<size_t>(std::lround(position))];
}

}  // namespace

int RunLoad(const LoadOptions& options) {
  Totals totals;
  if (!options.record.empty()) {
    totals.record.open(options.record, std::ios::app);
  }
  const auto begin = Clock::now();
  std::vector<std::thread> threads;
  for (int n = 0; n < options.connections; ++n) {
    threads.emplace_back(
        [&options, &totals, n]() { LoadConnection(options, n, totals).Run(); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::chrono::duration<double> took = Clock::now() - begin;
  std::sort(totals.latencies_us.begin(), totals.latencies_us.end());
  Json result;
  for (int outcome = 0; outcome < kOutcomeCount; ++outcome) {
    result[kOutcomeNames[outcome]] = totals.outcomes[outcome];
  }
  result["per_second"] =
      static_cast<double>(totals.latencies_us.size()) / took.count();
  result["p50_us"] = Quantile(totals.latencies_us, 0.5);
  result["p99_us"] = Quantile(totals.latencies_us, 0.99);
  std::cout << result.dump() << std::endl;
  return 0;
}

}  // namespace doorwood::bench
