// SPDX-License-Identifier: Apache-2.0

#include "fakes/world.h"

#include <algorithm>

namespace doorwood::fakes {
namespace {

constexpr Millis kOperatorCallLimit{20000};
constexpr const char* kConfiguration =
    "services:\n  - name: stream\n    latency_target_ms: 50\n"
    "members:\n  - name: museum\n    quota: {cpu_millis: 100000, memory_mib: "
    "100000, accelerators: 64}\n";

}  // namespace

World::World(const WorldOptions& options) : options_(options) {
  for (const std::string& dc : options.data_centres) {
    for (int n = 1; n <= options.entries; ++n) {
      InstanceInfo info;
      info.id = dc + "-" + std::to_string(n);
      info.role = InstanceRole::kEntry;
      info.data_centre = dc;
      info.address = "http:" + info.id;
      info.peer_address = "peer:" + info.id;
      list_.push_back(info);
    }
    for (int n = 1; n <= options.workers; ++n) {
      InstanceInfo info;
      info.id = dc + "-w" + std::to_string(n);
      info.role = InstanceRole::kWorker;
      info.data_centre = dc;
      info.address = info.id;
      info.labels = {{"worker", info.id}};
      list_.push_back(info);
      fleet_[info.id] = std::make_shared<standin::WorkerModel>(
          info.id, options.capacity, options.workers_check_epoch,
          [this](const standin::WorkerEvent& event) { OnEvent(event); });
    }
  }
}

InstanceOptions World::OptionsFor(const std::string& id) {
  InstanceOptions options;
  for (const InstanceInfo& info : list_) {
    if (info.id == id) {
      options.self = info;
    }
  }
  options.incarnation = ++incarnation_;
  options.shard_count = 2;
  return options;
}

void World::Start(const std::string& id) {
  auto entry = std::make_unique<Entry>();
  const InstanceOptions options = OptionsFor(id);
  entry->id = id;
  entry->executor = std::make_unique<FakeExecutor>(
      time_, options_.seed * 1000 + options.incarnation);
  entry->kv = std::make_unique<FakeKv>(time_, *entry->executor, kv_);
  entry->workers = std::make_unique<FakeWorkers>(
      time_, *entry->executor, fleet_,
      id + "#" + std::to_string(options.incarnation), options.holder);
  entry->peers = std::make_unique<FakePeers>(time_, *entry->executor, network_,
                                             options.self.peer_address);
  entry->directory = std::make_unique<FakeDirectory>(*entry->executor, list_);
  entry->policy = MakeDefaultPolicy();
  entry->log = std::make_unique<FakeLog>(time_, id, trace_);
  entry->instance = std::make_unique<Instance>(
      options, InstancePorts{*entry->executor, *entry->kv, *entry->workers,
                             *entry->peers, *entry->directory, *entry->policy,
                             entry->routes, *entry->log});
  network_.Attach(options.self.peer_address,
                  {entry->instance.get(), entry->executor.get()});
  Instance* instance = entry->instance.get();
  entry->executor->Post([instance]() { instance->Start(); });
  entries_[id] = std::move(entry);
}

void World::StartAll() {
  for (const InstanceInfo& info : list_) {
    if (info.role == InstanceRole::kEntry) {
      Start(info.id);
    }
  }
}

void World::Kill(const std::string& id) {
  EntryOf(id).executor->Kill();
  killed_entries_.push_back(std::move(entries_.at(id)));
  entries_.erase(id);
}

void World::SetKvFault(Fault fault) {
  for (auto& [id, entry] : entries_) {
    entry->kv->set_fault(fault);
  }
}

void World::SetWorkerFault(const std::string& worker, Fault fault) {
  for (auto& [id, entry] : entries_) {
    entry->workers->set_fault(worker, fault);
  }
}

void World::RemoveFromList(const std::string& id) {
  std::erase_if(list_, [&](const InstanceInfo& info) { return info.id == id; });
}

void World::MarkLeaving(const std::string& id) {
  for (InstanceInfo& info : list_) {
    info.leaving = info.leaving || info.id == id;
  }
}

bool World::RunUntil(Millis limit, const std::function<bool()>& condition) {
  constexpr Millis kPollInterval{20};
  const Instant end = time_.now() + limit;
  while (time_.now() < end) {
    if (condition()) {
      return true;
    }
    Run(kPollInterval);
  }
  return condition();
}

OperatorReply World::CallOperatorMethod(const std::string& id,
                                        const std::string& method,
                                        const Json& body) {
  auto reply = std::make_shared<std::optional<OperatorReply>>();
  Entry& entry = EntryOf(id);
  Instance* instance = entry.instance.get();
  entry.executor->Post([instance, method, body, reply]() {
    instance->HandleOperatorCall(
        {method, body.dump()},
        [reply](const OperatorReply& answer) { *reply = answer; });
  });
  RunUntil(kOperatorCallLimit, [reply]() { return reply->has_value(); });
  return reply->value_or(OperatorReply{0, "{}"});
}

void World::Configure(const std::string& id) {
  RunUntil(kOperatorCallLimit, [&]() {
    return CallOperatorMethod(id, "config.apply", {{"text", kConfiguration}})
               .status == 200;
  });
  Run(Millis(1000));
}

std::string World::Submit(const std::string& id,
                          int count,
                          const std::string& payload,
                          const std::string& more) {
  const std::string manifest =
      "member: museum\ntasks:\n  - name: task\n    count: " +
      std::to_string(count) +
      "\n    size: {cpu_millis: 1000, memory_mib: 1000}\n    payload: \"" +
      payload + "\"\n" + more;
  const OperatorReply reply =
      CallOperatorMethod(id, "submit", {{"manifest", manifest}});
  const Json body = Json::parse(reply.body);
  if (reply.status != 200) {
    rejections_.push_back(reply.body);
  }
  return body.value("id", "");
}

Json World::JobStatus(const std::string& id, const std::string& job) {
  return Json::parse(CallOperatorMethod(id, "job.show", {{"id", job}}).body);
}

std::string World::JobPhase(const std::string& id, const std::string& job) {
  return JobStatus(id, job).value("phase", "");
}

void World::OnEvent(const standin::WorkerEvent& event) {
  constexpr const char* kKinds[] = {"acquired", "released", "start", "end"};
  events_.push_back(event);
  trace_.push_back(std::to_string(time_.now_ms()) + " " + event.worker + " " +
                   kKinds[static_cast<int>(event.kind)] + " " + event.holder +
                   " " + ToString(event.task) + " " + ToString(event.attempt) +
                   " " + std::string(ToString(event.end)));
  const std::string what = ToString(event.task) + " " + ToString(event.attempt);
  if (event.kind == standin::WorkerEventKind::kStart) {
    if (event.overcommitted) {
      violations_.push_back("overcommitted: " + event.worker + " by " + what);
    }
    // A worker model expires its leases only when it is called: update the
    // others first, or a run whose lease has expired would be taken for
    // running.
    for (auto& [name, model] : fleet_) {
      if (name != event.worker) {
        model->Tick(time_.now_ms());
      }
    }
    const auto [item, first] =
        running_.try_emplace(event.task, event.worker + " " + what);
    if (!first) {
      violations_.push_back("runs twice: " + what + " on " + event.worker +
                            " beside " + item->second);
    }
  } else if (event.kind == standin::WorkerEventKind::kEnd) {
    running_.erase(event.task);
  }
}

const std::vector<std::string>& World::violations() {
  for (auto& [name, model] : fleet_) {
    model->Tick(time_.now_ms());
  }
  return violations_;
}

int World::StartCount(const std::string& task_name) const {
  return static_cast<int>(
      std::count_if(events_.begin(), events_.end(), [&](const auto& event) {
        return event.kind == standin::WorkerEventKind::kStart &&
               event.task.name == task_name;
      }));
}

int World::SuccessCount(const std::string& task_name) const {
  return static_cast<int>(
      std::count_if(events_.begin(), events_.end(), [&](const auto& event) {
        return event.kind == standin::WorkerEventKind::kEnd &&
               event.end == AttemptEnd::kSucceeded &&
               event.task.name == task_name;
      }));
}

std::string World::LeaseHolderOf(const std::string& worker) const {
  std::string holder;
  for (const auto& event : events_) {
    if (event.kind == standin::WorkerEventKind::kAcquired &&
        event.worker == worker) {
      holder = event.holder.substr(0, event.holder.find('#'));
    }
  }
  return holder;
}

}  // namespace doorwood::fakes
