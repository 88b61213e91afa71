// SPDX-License-Identifier: Apache-2.0

#include "worker.adapter/http_workers.h"

#include "doorwood/error.h"
#include "doorwood/json_codec.h"

namespace doorwood {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kPreconditionFailed = 412;

std::error_code ErrorOf(const CallAnswer& answer) {
  if (answer.outcome != CallOutcome::kAnswered) {
    return WorkerErrc::kUnreachable;
  }
  switch (answer.status) {
    case kOk:
      return std::error_code();
    case kConflict:
      return WorkerErrc::kHeldByOther;
    case kPreconditionFailed:
      return WorkerErrc::kStaleEpoch;
    default:
      return WorkerErrc::kUnreachable;
  }
}

}  // namespace

HttpWorkers::HttpWorkers(const HttpWorkersOptions& options, Executor& executor)
    : options_(options),
      executor_(executor),
      caller_(options.connect_timeout, options.call_timeout),
      pool_(options.threads) {}

template <typename T>
void HttpWorkers::Start(const InstanceInfo& worker,
                        const std::string& path,
                        Json body,
                        Callback<T> done) {
  pool_.Run([this, address = worker.address, path, body = std::move(body),
             done = std::move(done)]() {
    const CallAnswer answer = caller_.Post(address, path, body);
    std::error_code error = ErrorOf(answer);
    T value{};
    try {
      if (!error) {
        answer.body.get_to(value);
      }
    } catch (const Json::exception&) {
      error = WorkerErrc::kUnreachable;
    }
    executor_.Post(
        [done, error, value = std::move(value)]() { done(error, value); });
  });
}

void HttpWorkers::Acquire(const InstanceInfo& worker,
                          Callback<WorkerInventory> done) {
  Start<WorkerInventory>(worker, "/worker/acquire",
                         {{"holder", options_.holder},
                          {"control_lease_ms", options_.control_lease.count()},
                          {"task_lease_ms", options_.task_lease.count()}},
                         std::move(done));
}

void HttpWorkers::Send(const InstanceInfo& worker,
                       uint64_t epoch,
                       std::vector<WorkerOrder> orders,
                       Callback<WorkerAnswer> done) {
  Json body{{"epoch", epoch}};
  if (!orders.empty()) {
    body["orders"] = orders;
  }
  Start<WorkerAnswer>(worker, "/worker/orders", std::move(body),
                      std::move(done));
}

void HttpWorkers::Release(const InstanceInfo& worker,
                          uint64_t epoch,
                          Callback<bool> done) {
  Start<Json>(
      worker, "/worker/release", {{"epoch", epoch}},
      [done](std::error_code error, const Json&) { done(error, !error); });
}

}  // namespace doorwood
