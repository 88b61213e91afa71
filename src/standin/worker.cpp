// SPDX-License-Identifier: Apache-2.0

// Stand-in for one of the platform's workers. Faults: `fail_starts` (every task
// fails immediately after its start), `refuse_starts` (start orders are
// refused).

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

#include "doorwood/error.h"
#include "standin/standin.h"
#include "standin/worker_model.h"

namespace doorwood::standin {
namespace {

constexpr int kHeld = 409;
constexpr int kStale = 412;
constexpr int kTickMillis = 5;

Reply ReplyOf(std::error_code error, Json body = Json::object()) {
  if (!error) {
    return {200, std::move(body)};
  }
  return {error == make_error_code(WorkerErrc::kHeldByOther) ? kHeld : kStale};
}

Json EventJson(const WorkerEvent& event) {
  Json json{{"worker", event.worker}};
  switch (event.kind) {
    case WorkerEventKind::kAcquired:
      json["event"] = "acquired";
      json["holder"] = event.holder;
      json["epoch"] = event.epoch;
      return json;
    case WorkerEventKind::kReleased:
      json["event"] = "released";
      return json;
    case WorkerEventKind::kStart:
      json["event"] = "start";
      json["resumed_ms"] = event.resumed_ms;
      json["overcommitted"] = event.overcommitted;
      break;
    case WorkerEventKind::kEnd:
      json["event"] = "end";
      json["how"] = ToString(event.end);
      json["checkpoint"] = event.checkpoint;
      break;
  }
  json["task"] = ToString(event.task);
  json["attempt"] = ToString(event.attempt);
  return json;
}

}  // namespace

int RunWorker(const WorkerRole& role) {
  Server server(role.server);
  Recorder recorder(role.server.record);
  std::mutex mutex;
  WorkerModel model(role.name, role.capacity, role.fences,
                    [&recorder](const WorkerEvent& event) {
                      recorder.Write(EventJson(event));
                    });
  model.set_incarnation(static_cast<uint64_t>(MonotonicMillis()));
  server.AddCall("/worker/acquire", [&](const Json& body) {
    const std::lock_guard<std::mutex> lock(mutex);
    WorkerInventory inventory;
    const auto error =
        model.Acquire(body.at("holder"), body.at("control_lease_ms"),
                      body.at("task_lease_ms"), MonotonicMillis(), &inventory);
    return ReplyOf(error, Json(inventory));
  });
  server.AddCall("/worker/orders", [&](const Json& body) {
    const std::lock_guard<std::mutex> lock(mutex);
    WorkerAnswer answer;
    const auto orders = body.value("orders", std::vector<WorkerOrder>());
    const auto error =
        model.ApplyOrders(body.at("epoch"), orders, MonotonicMillis(), &answer);
    return ReplyOf(error, Json(answer));
  });
  server.AddCall("/worker/release", [&](const Json& body) {
    const std::lock_guard<std::mutex> lock(mutex);
    return ReplyOf(model.Release(body.at("epoch")));
  });
  server.AddCall("/fault", [&](const Json& body) {
    const std::lock_guard<std::mutex> lock(mutex);
    model.set_fail_starts(body.value("fail_starts", false));
    model.set_refuse_starts(body.value("refuse_starts", false));
    return Reply();
  });
  std::atomic<bool> stop = false;
  std::thread ticker([&]() {
    while (!stop) {
      {
        const std::lock_guard<std::mutex> lock(mutex);
        model.Tick(MonotonicMillis());
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(kTickMillis));
    }
  });
  const int code = server.Run();
  stop = true;
  ticker.join();
  return code;
}

}  // namespace doorwood::standin
