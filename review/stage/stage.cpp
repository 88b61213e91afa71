// SPDX-License-Identifier: Apache-2.0

#include "stage.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include "platform/standin/standin_codec.h"

namespace review {

using doorwood::HttpRequest;
using doorwood::HttpResponse;
using doorwood::HttpServer;

namespace {

constexpr char kService[] = "guide-forge";
constexpr int kFrontPort = 8161;
constexpr int kReadyPort = 8167;
constexpr int kStorePort = 8169;
constexpr int kWorkerPort = 8170;
constexpr int64_t kRestartMs = 700;
constexpr size_t kValueBytes = 1'048'576;

int64_t SteadyMs() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

void ReplaceAll(std::string* text,
                const std::string& from,
                const std::string& to) {
  for (size_t at = 0; (at = text->find(from, at)) != std::string::npos;
       at += to.size()) {
    text->replace(at, from.size(), to);
  }
}

int64_t MemoryKb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  while (status >> word) {
    if (word == "VmRSS:") {
      int64_t kb = 0;
      status >> kb;
      return kb;
    }
  }
  return 0;
}

HttpResponse JsonResponse(int status, const Json& body) {
  HttpResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

// A value may hold at most `value_bytes`.
bool HoldsTooLargeValue(const HttpRequest& request) {
  if (request.path != "/kv-txn" || request.body.size() < kValueBytes) {
    return false;
  }
  const auto body = doorwood::ParseJson(request.body);
  if (!body) {
    return true;
  }
  for (const Json& row : body->value("put", Json::array())) {
    constexpr size_t kBase64Letters = 4;
    constexpr size_t kBase64Bytes = 3;
    const size_t letters = row.value("value", "").size();
    if (letters / kBase64Letters * kBase64Bytes > kValueBytes + 2) {
      return true;
    }
  }
  return false;
}

}  // namespace

bool Trouble() {
  const char* value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string Config(int version, const std::vector<Route>& routes) {
  Json rows = Json::array();
  for (const Route& route : routes) {
    rows.push_back({{"name", route.name},
                    {"host", route.host},
                    {"pathPrefix", route.prefix},
                    {"type", "non_idempotent"},
                    {"timeoutMs", 3000},
                    {"targetLatencyMs", route.target_ms},
                    {"priority", 0},
                    {"service", kService},
                    {"maxAttempts", route.attempts},
                    {"stretch", route.stretch}});
  }
  return Json{{"version", version},
              {"routes", rows},
              {"services", {{{"name", kService}, {"rejectsOverload", true}}}},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", 262144},
                {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000}}}}
      .dump();
}

// --- Worker ---

Worker::Worker(Stage& stage,
               std::string machine,
               std::string rack,
               std::string address)
    : stage_(stage),
      machine_(std::move(machine)),
      rack_(std::move(rack)),
      address_(std::move(address)),
      server_(stage.context_,
              [this](const HttpRequest& request,
                     const HttpServer::Respond& respond) {
                Handle(request, respond);
              }) {
  server_.Listen(address_);
}

void Worker::Start() {
  if (left_) {
    server_.Listen(address_);
    left_ = false;
  }
  ++life_;
  id_ = machine_ + "-life" + std::to_string(life_);
  model_ = std::make_unique<doorwood::standin::RunWorkerModel>();
  model_->SetObserver(this);
  model_->SetStopDuration(Millis(200));
  model_->Advance(stage_.Now());
  started_at_.clear();
  up_ = true;
  stage_.Record("worker " + id_ + " is up");
  PutEntry("ready", 0);
}

void Worker::PutEntry(const std::string& state, int64_t remaining_ms) {
  Json entry{{"service", kService},
             {"address", address_},
             {"zone", "plaka"},
             {"version", "1"},
             {"slots", 8},
             {"state", state},
             {"coldRemainingMs", 0},
             {"callSeq", 1},
             {"machine", machine_},
             {"capacity",
              {{"cpu", stage_.worker_cpu_}, {"memMb", 128000}, {"gpu", 0}}},
             {"labels", {"a", rack_}}};
  if (state == "draining") {
    entry["remainingMs"] = remaining_ms;
  }
  stage_.Put("servers/" + id_, entry.dump());
}

void Worker::Announce(int64_t remaining_ms) {
  stage_.Record("worker " + id_ + " states draining, remainingMs " +
                std::to_string(remaining_ms));
  PutEntry("draining", remaining_ms);
}

void Worker::Leave() {
  up_ = false;
  left_ = true;
  server_.StopListening();
  stage_.left_at[id_] = stage_.Now();
  stage_.Record("worker " + id_ + " leaves; " +
                std::to_string(started_at_.size()) + " runs die there");
  for (const auto& [task, at] : started_at_) {
    stage_.Record("dies: " + task + ", since " + std::to_string(at));
  }
  started_at_.clear();
  stage_.Remove("servers/" + id_);
}

void Worker::Crash() {
  Advance();
  up_ = false;
  started_at_.clear();
  stage_.Record("worker " + id_ + " is gone; what ran there is dead");
  stage_.executor_.Schedule(Millis(3 * stage_.bounds_.beat_ms),
                            [this, id = id_] {
                              stage_.Record("the store forgets servers/" + id);
                              stage_.Remove("servers/" + id);
                            });
}

void Worker::Advance() {
  if (up_) {
    model_->Advance(stage_.Now());
  }
}

std::map<std::string, int64_t> Worker::Running() const {
  std::map<std::string, int64_t> running;
  for (const auto& [task, at] : started_at_) {
    running[task] = stage_.Now() - at;
  }
  return running;
}

void Worker::OnStarted(const doorwood::StartOrder& order) {
  started_at_[order.task] = stage_.Now();
  ++stage_.starts[order.task];
  const auto done = stage_.done.find(order.task);
  if (done != stage_.done.end()) {
    const Stage::Done& end = done->second;
    const auto left = stage_.left_at.find(end.worker);
    stage_.started_after_done.push_back(order.task);
    stage_.Record("STARTED AGAIN: " + order.task + ", run " +
                  std::to_string(order.run) + " on " + id_ + ", " +
                  std::to_string(stage_.Now() - end.at) + " ms after its run " +
                  std::to_string(end.run) + " had ended done on " + end.worker +
                  (left == stage_.left_at.end()
                       ? ""
                       : ", " + std::to_string(left->second - end.at) +
                             " ms before that worker left") +
                  (end.acknowledged ? "; acknowledged" : "; not acknowledged"));
  }
  if (!stage_.brief_runs) {
    stage_.Record("run " + std::to_string(order.run) + " of " + order.task +
                  " starts on " + id_ + ", fence " +
                  std::to_string(order.token));
  }
}

void Worker::OnEnded(const doorwood::EndedRun& end) {
  const int64_t started = started_at_[end.task];
  started_at_.erase(end.task);
  if (end.end == doorwood::RunEnd::kDone) {
    stage_.done[end.task] = {end.run, id_, stage_.Now(), false};
  }
  ++stage_.ends[end.task + " " + std::string(doorwood::ToString(end.end))];
  const std::string how(doorwood::ToString(end.end));
  const std::string run = std::to_string(end.run);
  stage_.Record(stage_.brief_runs
                    ? end.task + " run " + run + " on " + id_ + " since " +
                          std::to_string(started) + ": " + how
                    : "run " + run + " of " + end.task + " ends on " + id_ +
                          ": " + how);
}

void Worker::OnEndAcknowledged(const doorwood::EndedRun& end) {
  const auto found = stage_.done.find(end.task);
  if (found != stage_.done.end() && found->second.run == end.run) {
    found->second.acknowledged = true;
  }
}

void Worker::Handle(const HttpRequest& request,
                    const HttpServer::Respond& respond) {
  if (!up_) {
    return;  // Nobody answers.
  }
  const std::string_view expected = request.header("Expect-Instance");
  if (!expected.empty() && expected != id_) {
    respond(JsonResponse(421, Json::object()));
    return;
  }
  auto body = doorwood::ParseJson(request.body);
  if (!body) {
    respond(JsonResponse(400, Json::object()));
    return;
  }
  Advance();
  const auto until = body->find("untilMs");
  if (until != body->end()) {
    *until = std::min(until->get<int64_t>(),
                      stage_.Now() + stage_.bounds_.max_hold_ms);
  }
  if (request.path == "/hold") {
    AnswerHold(life_, doorwood::platform::DecodePollOrder(*body),
               stage_.Now() + body->value("waitMs", int64_t{0}), respond);
    return;
  }
  if (request.path == "/run-start" && stage_.task_ms) {
    (*body)["spec"] =
        "ms=" + std::to_string(stage_.task_ms(body->value("taskId", "")));
  }
  if (request.path == "/run-stop") {
    const std::string task = body->value("taskId", "");
    stage_.Record("order to stop " + task + " at " + id_);
    if (stage_.on_stop && model_->IsRunning(task)) {
      stage_.on_stop(*this, task);
    }
  }
  respond(doorwood::platform::AnswerOrder(request.path, *body, model_.get()));
}

void Worker::AnswerHold(int life,
                        doorwood::PollOrder order,
                        int64_t until,
                        const HttpServer::Respond& respond) {
  // A worker that leaves answers a call that it holds if an end is to be told.
  const bool leaves = left_ && life == life_;
  if ((!up_ && !leaves) || life != life_) {
    return;
  }
  Advance();
  doorwood::WorkerReport report;
  const auto error = model_->Poll(order, &report);
  if (leaves && report.ended.empty()) {
    return;
  }
  if (error || !report.ended.empty() || stage_.Now() >= until) {
    HttpResponse response = doorwood::platform::EncodeReport(error, report);
    if (!error) {
      // These pages know of no start time in a worker's lists.
      auto json = doorwood::ParseJson(response.body);
      json->erase("born");
      response.body = json->dump();
    }
    respond(response);
    return;
  }
  order.lease_end = 0;  // The lease runs from the arrival of the call.
  stage_.executor_.Schedule(Millis(10), [this, life, order, until, respond] {
    AnswerHold(life, order, until, respond);
  });
}

// --- Stage ---

Stage::Stage(std::string root, std::string folder)
    : root_(std::move(root)),
      folder_(std::move(folder)),
      began_(SteadyMs() - 5000),
      record_(folder_ + "/record.txt"),
      executor_(context_),
      client_(context_) {
  std::random_device random;
  char temp[] = "/tmp/review-XXXXXX";
  if (mkdtemp(temp) == nullptr) {
    Finish(2, "no temporary folder");
  }
  temp_ = temp;
  const std::string deploy = ReadFile(root_ + "/deploy/system.toml");
  const std::string key = "\nrun = \"";
  const size_t at = deploy.find(key);
  if (at == std::string::npos) {
    Finish(2, "no run line in the deploy file");
  }
  const size_t begin = at + key.size();
  std::istringstream words(
      deploy.substr(begin, deploy.find('"', begin) - begin));
  for (std::string word; words >> word;) {
    run_.push_back(word);
  }
  for (int tries = 0; tries < 50 && !store_server_; ++tries) {
    net_ = "127." + std::to_string(16 + random() % 200) + "." +
           std::to_string(random() % 250) + ".";
    try {
      auto store = std::make_unique<HttpServer>(
          context_, [this](const HttpRequest& request,
                           const HttpServer::Respond& respond) {
            HandleStore(request, respond);
          });
      doorwood::HttpServerLimits limits;
      limits.body_bytes = 64 * kValueBytes;  // up to 32 entries, in base64
      store->SetLimits(limits);
      store->Listen(Address(200, kStorePort));
      store_server_ = std::move(store);
    } catch (const std::exception&) {
    }
  }
  if (!store_server_) {
    Finish(2, "no free address");
  }
  machine_server_ = std::make_unique<HttpServer>(
      context_,
      [this](const HttpRequest& request, const HttpServer::Respond& respond) {
        HandleMachines(request, respond);
      });
  machine_server_->Listen(Address(201, kStorePort));
  Record(std::string("trouble: ") + (Trouble() ? "yes" : "no"));
}

Stage::~Stage() {
  KillAll();
}

std::string Stage::Address(int host, int port) const {
  return net_ + std::to_string(host) + ":" + std::to_string(port);
}

int64_t Stage::Now() const {
  return SteadyMs() - began_;
}

void Stage::Record(const std::string& line) {
  record_ << Now() << " ms: " << line << "\n" << std::flush;
}

void Stage::Finish(int code, const std::string& why) {
  Record("result " + std::to_string(code) + ": " + why);
  std::cout << (code == 0   ? "held: "
                : code == 1 ? "BROKEN: "
                            : "not run: ")
            << why << "\n";
  KillAll();
  const char* keep = getenv("KEEP_LOGS");
  if (keep != nullptr) {
    std::cout << "logs in " << temp_ << "\n";
  } else if (!temp_.empty()) {
    std::error_code ignored;
    std::filesystem::remove_all(temp_, ignored);
  }
  record_.flush();
  std::cout.flush();
  _exit(code);
}

void Stage::KillAll() {
  for (Instance& instance : instances_) {
    if (instance.pid > 0) {
      kill(instance.pid, SIGKILL);
      waitpid(instance.pid, nullptr, 0);
      instance.pid = 0;
    }
  }
}

void Stage::AddWorkers(int count, int cpu) {
  worker_cpu_ = cpu;
  for (int i = 1; i <= count; ++i) {
    const std::string machine = "machine-" + std::to_string(i);
    machines_[machine] = {};
    workers_.push_back(std::make_unique<Worker>(
        *this, machine, "rack-" + std::to_string((i + 7) / 8),
        Address(100 + i, kWorkerPort)));
    workers_.back()->Start();
  }
}

std::string Stage::FillSettings(const Instance& instance) const {
  std::string text = ReadFile(root_ + "/deploy/settings.yaml");
  const std::pair<std::string, std::string> gaps[] = {
      {"{{nodeName|json}}", Json(instance.name).dump()},
      {"{{zone|json}}", Json(instance.zone).dump()},
      {"{{listen.front|json}}",
       Json(instance.ip + ":" + std::to_string(kFrontPort)).dump()},
      {"{{listen.ready|json}}",
       Json(instance.ip + ":" + std::to_string(kReadyPort)).dump()},
      {"{{ip}}", instance.ip},
      {"{{portRange.0}}", "7720"},
      {"{{portRange.1}}", "7735"},
      {"{{platform.address|json}}", Json(Address(200, kStorePort)).dump()},
      {"{{advice}}", Address(202, kStorePort)},
      {"{{cloudApi.address}}", Address(201, kStorePort)},
      {"{{limits.cpuShare}}", "0.25"},
      {"{{#limits.linkMbps}}\n", ""},
      {"{{limits.linkMbps}}", "1000"},
      {"{{/limits.linkMbps}}\n", ""},
      {"{{bounds.graceS|json}}", std::to_string(bounds_.grace_s)},
      {"{{bounds.maxHoldMs}}", std::to_string(bounds_.max_hold_ms)},
      {"{{bounds.status_s}}", std::to_string(bounds_.status_s)},
      {"{{#bounds.leaseMs}}\n", ""},
      {"{{bounds.leaseMs}}", std::to_string(bounds_.lease_ms)},
      {"{{/bounds.leaseMs}}\n", ""}};
  for (const auto& [gap, value] : gaps) {
    ReplaceAll(&text, gap, value);
  }
  return text;
}

void Stage::AddInstances(int count) {
  const char* zones[] = {"plaka", "kerameikos", "pireas"};
  for (int i = 1; i <= count; ++i) {
    Instance instance;
    instance.name = "edge-" + std::to_string(i);
    instance.zone = zones[(i - 1) % 3];
    instance.ip = net_ + std::to_string(i);
    instance.settings = temp_ + "/" + instance.name + ".yaml";
    instance.log = temp_ + "/" + instance.name + ".log";
    const std::string text = FillSettings(instance);
    if (text.find("{{") != std::string::npos) {
      Finish(2, "a gap of the settings template is not filled");
    }
    std::ofstream(instance.settings) << text;
    instances_.push_back(instance);
  }
  for (Instance& instance : instances_) {
    StartProcess(instance);
  }
}

void Stage::StartProcess(Instance& instance) {
  ++instance.starts;
  Record("process of " + instance.name + " starts");
  const std::string variable = "DOORWOOD_SETTINGS=" + instance.settings;
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent || chdir(root_.c_str()) != 0) {
      _exit(127);
    }
    const int log =
        open(instance.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, 1);
    dup2(log, 2);
    std::vector<char*> args;
    for (std::string& word : run_) {
      args.push_back(word.data());
    }
    args.push_back(nullptr);
    std::string path = "PATH=/usr/bin:/bin";
    std::string home = "HOME=/tmp";
    std::string settings = variable;
    char* env[] = {path.data(), home.data(), settings.data(), nullptr};
    for (int fd = 3; fd < 4096; ++fd) {
      close(fd);
    }
    execve(args[0], args.data(), env);
    _exit(127);
  }
  instance.pid = pid;
}

void Stage::Restart(Instance& instance) {
  Record("SIGTERM to " + instance.name);
  const pid_t pid = instance.pid;
  instance.pid = 0;  // Not an end by itself.
  kill(pid, SIGTERM);
  int status = 0;
  const bool ended = Await(bounds_.grace_s * 1000, [&] {
    return waitpid(pid, &status, WNOHANG) == pid;
  });
  if (!ended) {
    Record("SIGKILL to " + instance.name + " after the grace");
    kill(pid, SIGKILL);
    waitpid(pid, &status, 0);
  }
  Record("process of " + instance.name + " has ended, status " +
         std::to_string(status));
  Run(kRestartMs);
  StartProcess(instance);
}

void Stage::CheckProcesses() {
  for (Instance& instance : instances_) {
    if (instance.pid > 0) {
      const int64_t kb = MemoryKb(instance.pid);
      instance.peak_kb = std::max(instance.peak_kb, kb);
      int status = 0;
      if (watch_ && kb > bounds_.memory_mb * 1024) {
        Record("process of " + instance.name + " takes " +
               std::to_string(kb / 1024) + " MB, above " +
               std::to_string(bounds_.memory_mb) + " MB: killed");
        kill(instance.pid, SIGKILL);
        waitpid(instance.pid, &status, 0);
        ++instance.over_memory;
        instance.pid = 0;
        restart_at_[instance.name] = Now() + kRestartMs;
      } else if (waitpid(instance.pid, &status, WNOHANG) == instance.pid) {
        Record("process of " + instance.name + " ended by itself, status " +
               std::to_string(status));
        ++instance.own_ends;
        instance.pid = 0;
        restart_at_[instance.name] = Now() + kRestartMs;
      }
    }
    const auto due = restart_at_.find(instance.name);
    if (due != restart_at_.end() && due->second <= Now()) {
      restart_at_.erase(due);
      StartProcess(instance);
    }
  }
}

void Stage::Pump() {
  if (context_.stopped()) {
    context_.restart();
  }
  context_.run_for(Millis(5));
  const int64_t now = Now();
  if (now - checked_ >= 10) {
    checked_ = now;
    for (const auto& worker : workers_) {
      worker->Advance();
    }
    CheckProcesses();
  }
  if (now > 5000 + 117'000) {
    Finish(2, "out of time");
  }
}

void Stage::Run(int64_t ms) {
  const int64_t until = Now() + ms;
  while (Now() < until) {
    Pump();
  }
}

bool Stage::Await(int64_t ms, const std::function<bool()>& condition) {
  const int64_t until = Now() + ms;
  while (!condition()) {
    if (Now() >= until) {
      return false;
    }
    Pump();
  }
  return true;
}

// --- The store ---

void Stage::Put(const std::string& key, const std::string& value) {
  store_.Advance(SteadyMs());
  doorwood::StoreTransaction transaction;
  transaction.puts.push_back({key, value, 0});
  doorwood::StoreCommit ignored;
  store_.Commit(transaction, &ignored);
}

void Stage::Remove(const std::string& key) {
  store_.Advance(SteadyMs());
  doorwood::StoreTransaction transaction;
  transaction.removes.push_back(key);
  doorwood::StoreCommit ignored;
  store_.Commit(transaction, &ignored);
}

std::string Stage::Value(const std::string& key) const {
  doorwood::StoreItem item;
  return store_.Get(key, &item) ? "" : item.value;
}

void Stage::HandleStore(const HttpRequest& request,
                        const HttpServer::Respond& respond) {
  store_.Advance(SteadyMs());
  const auto query = doorwood::platform::DecodeQuery(request.query);
  if (request.path == "/kv-watch") {
    AnswerWatch(query.prefix, query.after, Now() + query.wait, respond);
    return;
  }
  HttpResponse response;
  if (HoldsTooLargeValue(request)) {
    Record("the store refuses a value above value_bytes");
    response = JsonResponse(400, Json::object());
  } else {
    response = doorwood::platform::AnswerStoreCall(request, query, &store_);
  }
  executor_.Schedule(Millis(4), [respond, response] { respond(response); });
}

void Stage::AnswerWatch(const std::string& prefix,
                        int64_t after,
                        int64_t until,
                        const HttpServer::Respond& respond) {
  store_.Advance(SteadyMs());
  doorwood::StoreItems events;
  const auto error = store_.ChangesAfter(prefix, after, &events);
  if (error || !events.items.empty() || Now() >= until) {
    respond(doorwood::platform::EncodeEvents(error, events));
    return;
  }
  executor_.Schedule(Millis(10), [this, prefix, after, until, respond] {
    AnswerWatch(prefix, after, until, respond);
  });
}

// --- Machines ---

void Stage::HandleMachines(const HttpRequest& request,
                           const HttpServer::Respond& respond) {
  if (request.method == "GET" && request.path == "/machines") {
    Json rows = Json::array();
    for (const auto& worker : workers_) {
      const MachineState& machine = machines_.at(worker->machine());
      rows.push_back(
          {{"machine", worker->machine()},
           {"pool", kService},
           {"state", worker->up()                ? machine.state
                     : machine.state == "upkeep" ? "upkeep"
                                                 : "down"},
           {"zone", "plaka"},
           {"labels", {"a", worker->rack()}},
           {"capacity", {{"cpu", worker_cpu_}, {"memMb", 128000}, {"gpu", 0}}},
           {"id", worker->id()}});
    }
    respond(JsonResponse(200, {{"machines", rows}}));
    return;
  }
  const auto body = doorwood::ParseJson(request.body);
  if (!body || request.path != "/machine-upkeep") {
    respond(JsonResponse(400, Json::object()));
    return;
  }
  const std::string id = body->value("machine", "");
  const int64_t wave = body->value("wave", int64_t{0});
  const auto found =
      std::find_if(workers_.begin(), workers_.end(),
                   [&](const auto& worker) { return worker->machine() == id; });
  if (found == workers_.end()) {
    respond(JsonResponse(400, Json::object()));
    return;
  }
  Worker& worker = **found;
  MachineState& machine = machines_.at(id);
  const auto plan =
      doorwood::ParseJson(Value("op/wave/" + std::to_string(wave)));
  const Json named =
      plan ? plan->value("machines", Json::array()) : Json::array();
  Record("order of upkeep for " + id + ", wave " + std::to_string(wave) +
         ", holder " + std::string(request.header("Lease-Holder")) +
         ", token " + std::string(request.header("Fencing-Token")));
  if (machine.waves.contains(wave)) {
    respond(JsonResponse(200, Json::object()));
    return;
  }
  if (std::find(named.begin(), named.end(), Json(id)) == named.end()) {
    respond(JsonResponse(409, {{"reason", "wave"}}));
    return;
  }
  if (!worker.up()) {
    respond(JsonResponse(409, {{"reason", "busy"}}));
    return;
  }
  for (const auto& [task, ms] : worker.Running()) {
    if (on_stop) {
      on_stop(worker, task);
    }
  }
  machine.waves.insert(wave);
  machine.state = "upkeep";
  const std::string life = worker.id();
  worker.Crash();
  Remove("servers/" + life);
  executor_.Schedule(Millis(bounds_.upkeep_ms), [&machine, &worker] {
    machine.state = "up";
    worker.Start();
  });
  respond(JsonResponse(200, Json::object()));
}

// --- The requester ---

Answer Stage::Call(const Instance& instance,
                   const std::string& method,
                   const std::string& host,
                   const std::string& path,
                   const std::string& body) {
  doorwood::HttpCall call;
  call.address = instance.ip + ":" + std::to_string(kFrontPort);
  call.method = method;
  call.target = path;
  call.headers = {{"Host", host}, {"Deadline-Ms", "3000"}};
  call.body = body;
  call.timeout = Millis(3000);
  call.group = std::to_string(++calls_);  // a connection of its own
  call.repeatable = false;
  const auto answer = std::make_shared<Answer>();
  const auto done = std::make_shared<bool>(false);
  client_.Send(
      std::move(call),
      [answer, done](std::error_code error, const doorwood::HttpReply& reply) {
        *done = true;
        if (!error) {
          answer->status = reply.status;
          answer->body = reply.body;
        }
      });
  Await(8000, [done] { return *done; });
  Record(method + " " + path + " at " + instance.name + " -> " +
         (answer->status == 0 ? "no answer"
                              : std::to_string(answer->status) + " " +
                                    answer->body.substr(0, 100)));
  return *answer;
}

bool Stage::Submit(const std::string& host,
                   const std::string& path,
                   const std::string& body,
                   int64_t ms) {
  const int64_t until = Now() + ms;
  for (size_t next = 0; Now() < until; ++next) {
    const Answer answer =
        Call(instances_[next % instances_.size()], "POST", host, path, body);
    if (answer.status / 100 == 2) {
      return true;
    }
    Run(500);
  }
  return false;
}

bool Stage::AllReady() {
  for (const Instance& instance : instances_) {
    doorwood::HttpCall call;
    call.address = instance.ip + ":" + std::to_string(kReadyPort);
    call.target = "/ready";
    call.group = std::to_string(++calls_);
    call.timeout = Millis(1000);
    int status = 0;
    bool done = false;
    client_.Send(std::move(call),
                 [&](std::error_code error, const doorwood::HttpReply& reply) {
                   done = true;
                   status = error ? 0 : reply.status;
                 });
    while (!done) {
      Pump();
    }
    if (status != 200) {
      return false;
    }
  }
  return true;
}

}  // namespace review
