#include "world.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <iostream>

namespace {

const char kAlphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string Encode64(const std::string& in) {
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    uint32_t v = static_cast<unsigned char>(in[i]) << 16;
    if (i + 1 < in.size())
      v |= static_cast<unsigned char>(in[i + 1]) << 8;
    if (i + 2 < in.size())
      v |= static_cast<unsigned char>(in[i + 2]);
    out += kAlphabet[v >> 18];
    out += kAlphabet[(v >> 12) & 63];
    out += i + 1 < in.size() ? kAlphabet[(v >> 6) & 63] : '=';
    out += i + 2 < in.size() ? kAlphabet[v & 63] : '=';
  }
  return out;
}

std::string Decode64(const std::string& in) {
  static int table[256];
  static bool made = false;
  if (!made) {
    std::fill(table, table + 256, -1);
    for (int i = 0; i < 64; ++i)
      table[static_cast<unsigned char>(kAlphabet[i])] = i;
    made = true;
  }
  std::string out;
  uint32_t v = 0;
  int bits = 0;
  for (unsigned char c : in) {
    if (table[c] < 0)
      continue;
    v = (v << 6) | static_cast<uint32_t>(table[c]);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>((v >> bits) & 255);
    }
  }
  return out;
}

Response Text(int status, const Json& body) {
  return {status, body.dump()};
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

std::string HexId(int n) {
  char text[20];
  snprintf(text, sizeof(text), "%016x", n * 2654435761u + 17);
  return text;
}

// --- Store ---

Listener* Store::Open() {
  return world_.net.Listen([this](const Request& r, Respond respond) {
    Handle(r, std::move(respond));
  });
}

Json Store::Encode(const std::string& key, const Item& item) {
  return {{"privateKey", key},
          {"value", Encode64(item.value)},
          {"revision", item.revision},
          {"made", item.made},
          {"lease", item.lease}};
}

void Store::Write(const std::string& key,
                  const std::string& value,
                  int64_t lease,
                  int64_t revision) {
  auto found = items_.find(key);
  if (found != items_.end() && found->second.lease != 0 &&
      found->second.lease != lease) {
    auto old = leases_.find(found->second.lease);
    if (old != leases_.end())
      old->second.keys.erase(key);
  }
  Item& item = items_[key];
  item.value = value;
  item.revision = revision;
  if (item.made == 0)
    item.made = revision;
  item.lease = lease;
  if (lease != 0)
    leases_.at(lease).keys.insert(key);
  events_.push_back({revision, key, false});
}

void Store::Erase(const std::string& key, int64_t revision) {
  auto found = items_.find(key);
  if (found == items_.end())
    return;
  if (auto lease = leases_.find(found->second.lease); lease != leases_.end())
    lease->second.keys.erase(key);
  items_.erase(found);
  events_.push_back({revision, key, true});
}

void Store::Changed() {
  while (events_.size() > 20000)
    events_.pop_front();
  for (auto it = waiting_.begin(); it != waiting_.end();)
    it = (*it)() ? waiting_.erase(it) : std::next(it);
}

void Store::Put(const std::string& key, const std::string& value) {
  std::lock_guard lock(world_.net.mutex);
  Write(key, value, 0, ++revision_);
  Changed();
}

void Store::Remove(const std::string& key) {
  std::lock_guard lock(world_.net.mutex);
  Erase(key, ++revision_);
  Changed();
}

std::optional<std::string> Store::Get(const std::string& key) {
  std::lock_guard lock(world_.net.mutex);
  auto found = items_.find(key);
  return found == items_.end() ? std::nullopt
                               : std::optional(found->second.value);
}

void Store::EndLease(int64_t lease) {
  auto found = leases_.find(lease);
  if (found == leases_.end())
    return;
  const auto keys = found->second.keys;
  leases_.erase(found);
  ++revision_;
  for (const auto& key : keys)
    Erase(key, revision_);
  Changed();
}

void Store::RevokeLeaseOf(const std::string& key) {
  std::lock_guard lock(world_.net.mutex);
  auto found = items_.find(key);
  if (found != items_.end() && found->second.lease != 0)
    EndLease(found->second.lease);
}

void Store::Expire() {
  for (;;) {
    auto found =
        std::find_if(leases_.begin(), leases_.end(),
                     [](const auto& l) { return l.second.until <= NowMs(); });
    if (found == leases_.end())
      return;
    EndLease(found->first);
  }
}

Response Store::Txn(const Json& body) {
  Json current = Json::array();
  bool holds = true;
  for (const Json& row : body.value("expectedRev", Json::array())) {
    const std::string key = row.at("privateKey");
    auto found = items_.find(key);
    const int64_t revision = found == items_.end() ? 0 : found->second.revision;
    holds = holds && revision == row.at("revision").get<int64_t>();
    if (found != items_.end())
      current.push_back(Encode(key, found->second));
  }
  if (!holds)
    return Text(412, {{"items", current}, {"at", revision_}});
  for (const Json& row : body.value("put", Json::array())) {
    const std::string key = row.at("privateKey");
    if (key.starts_with("op/") || key.starts_with("servers/"))
      return Text(403, Json::object());
    const int64_t lease = row.value("lease", int64_t{0});
    if (lease != 0 && !leases_.count(lease))
      return Text(404, Json::object());
  }
  ++revision_;
  for (const Json& row : body.value("put", Json::array()))
    Write(row.at("privateKey"), Decode64(row.at("value")),
          row.value("lease", int64_t{0}), revision_);
  for (const Json& key : body.value("remove", Json::array()))
    Erase(key, revision_);
  Changed();
  return Text(200, {{"revision", revision_}});
}

void Store::Watch(const Request& r, int64_t until, Respond respond) {
  const std::string prefix =
      r.query.count("pathPrefix") ? r.query.at("pathPrefix") : "";
  const int64_t after = std::stoll(r.query.at("dependsOn"));
  auto attempt = [this, prefix, after, until, respond]() mutable {
    if (!events_.empty() && after < events_.front().revision - 1 &&
        events_.size() >= 20000) {
      respond(Text(410, Json::object()));
      return true;
    }
    Json rows = Json::array();
    for (auto it = std::lower_bound(
             events_.begin(), events_.end(), after + 1,
             [](const Event&e, int64_t rev) { return e.revision < rev; });
         it != events_.end(); ++it) {
      if (!it->key.starts_with(prefix))
        continue;
      auto item = items_.find(it->key);
      if (it->gone || item == items_.end()) {
        rows.push_back({{"privateKey", it->key},
                        {"revision", it->revision},
                        {"gone", true}});
      } else {
        Json row = Encode(it->key, item->second);
        rows.push_back(row);
      }
    }
    if (rows.empty() && NowMs() < until)
      return false;
    respond(Text(200, {{"events", rows}, {"at", revision_}}));
    return true;
  };
  if (attempt())
    return;
  waiting_.push_back(attempt);
  world_.net.After(until - NowMs() + 1, [this] { Changed(); });
}

void Store::Handle(const Request& r, Respond respond) {
  Expire();
  const int f = fault ? fault(r) : 0;
  if (f > 1) {
    respond(Text(f, Json::object()));
    return;
  }
  if (f < 0) {  // done later, if its condition still holds, and not answered
    world_.net.After(-f, [this, r] {
      Expire();
      const Json late = Json::parse(r.body, nullptr, false);
      if (r.path == "/kv-txn" && late.is_object())
        Txn(late);
    });
    return;
  }
  if (r.path == "/kv-watch") {
    Watch(r,
          NowMs() +
              std::stoll(r.query.count("waitMs") ? r.query.at("waitMs") : "0"),
          respond);
    return;
  }
  Response answer{400, "{}"};
  const Json body = Json::parse(r.body.empty() ? "{}" : r.body, nullptr, false);
  if (r.path == "/kv-key") {
    auto found = items_.find(r.query.at("privateKey"));
    Json row = found == items_.end() ? Json::object()
                                     : Encode(found->first, found->second);
    row["at"] = revision_;
    answer = Text(found == items_.end() ? 404 : 200, row);
  } else if (r.path == "/kv-range") {
    const std::string prefix =
        r.query.count("pathPrefix") ? r.query.at("pathPrefix") : "";
    const std::string after =
        r.query.count("dependsOn") ? r.query.at("dependsOn") : "";
    Json rows = Json::array();
    size_t bytes = 0;
    bool more = false;
    for (auto it = after.empty() ? items_.lower_bound(prefix)
                                 : items_.upper_bound(after);
         it != items_.end() && it->first.starts_with(prefix); ++it) {
      if (rows.size() >= 500 || bytes > 1000000) {
        more = true;
        break;
      }
      rows.push_back(Encode(it->first, it->second));
      bytes += it->second.value.size();
    }
    answer = Text(200, {{"items", rows}, {"more", more}, {"at", revision_}});
  } else if (r.path == "/kv-txn" && body.is_object()) {
    answer = Txn(body);
  } else if (r.path == "/kv-lease" && body.is_object()) {
    const int64_t ttl =
        std::max<int64_t>(body.at("ttl_ms").get<int64_t>(), 1000);
    static int64_t next = 50;
    leases_[++next] = {NowMs() + ttl, ttl, {}};
    answer = Text(200, {{"lease", next}, {"ttl_ms", ttl}});
  } else if (r.path.starts_with("/kv-keep/")) {
    auto found = leases_.find(std::stoll(r.path.substr(9)));
    if (found != leases_.end())
      found->second.until = NowMs() + found->second.ttl;
    answer = Text(found == leases_.end() ? 404 : 200, Json::object());
  } else if (r.path.starts_with("/kv-lease-end/")) {
    EndLease(std::stoll(r.path.substr(14)));
    answer = Text(200, Json::object());
  }
  if (f == 1)
    return;  // The answer is lost; this connection says no more.
  world_.net.After(2, [respond, answer] { respond(answer); });
}

// --- Workers ---

Worker::Worker(World& world,
               std::string machine,
               std::string service_name,
               Json capacity,
               Json labels,
               bool guards)
    : service(std::move(service_name)),
      world_(world),
      machine_(std::move(machine)),
      capacity_(std::move(capacity)),
      labels_(std::move(labels)),
      guards_(guards) {
  listener_ = world_.net.Listen([this](const Request& r, Respond respond) {
    Handle(r, std::move(respond));
  });
}

void Worker::WriteEntry() {
  Json entry{{"service", service},
             {"address", "127.0.0.1:" + std::to_string(listener_->port)},
             {"zone", zone},
             {"version", "1"},
             {"slots", 8},
             {"state", draining_ ? "draining" : "ready"},
             {"coldRemainingMs", 0},
             {"callSeq", 1},
             {"capacity", capacity_},
             {"labels", labels_},
             {"machine", machine_}};
  if (draining_)
    entry["remainingMs"] = remaining_;
  world_.store.Put("servers/" + id_, entry.dump());
}

void Worker::Start() {
  std::lock_guard lock(world_.net.mutex);
  static int lives = 0;
  static const uint32_t salt = static_cast<uint32_t>(UnixMs());
  char name[24];
  snprintf(name, sizeof(name), "i-%08x",
           (salt + static_cast<uint32_t>(++lives)) * 2654435761u);
  id_ = name;
  up_ = true;
  draining_ = false;
  born_ = UnixMs();
  clock_base_ = NowMs() - 1000 - lives * 1000;
  token_ = hold_until_ = last_end_ = noted_ = 0;
  runs_.clear();
  highest_.clear();
  ended_.clear();
  world_.net.SetMode(listener_, Mode::kServe);
  WriteEntry();
  world_.Record("worker " + id_ + " starts on " + machine_);
}

void Worker::Crash() {
  std::lock_guard lock(world_.net.mutex);
  if (!up_)
    return;
  world_.Record("worker " + id_ + " crashes");
  up_ = false;
  while (!runs_.empty()) {
    const std::string task = runs_.begin()->first;
    const int64_t run = runs_.begin()->second.run;
    runs_.erase(task);
    world_.OnEnded(*this, task, run, "crashed");
  }
  world_.net.SetMode(listener_, Mode::kRefuse);
  const std::string key = "servers/" + id_;
  world_.net.After(3 * world_.bounds.heartbeat_ms,
                   [this, key] { world_.store.Remove(key); });
}

void Worker::Remove() {
  std::lock_guard lock(world_.net.mutex);
  Crash();
  world_.store.Remove("servers/" + id_);
}

void Worker::Drain(int64_t remaining_ms) {
  std::lock_guard lock(world_.net.mutex);
  draining_ = true;
  remaining_ = remaining_ms;
  WriteEntry();
  world_.Record("worker " + id_ + " drains");
}

Json Worker::used() const {
  int64_t cpu = 0, mem = 0, gpu = 0;
  for (const auto& [task, run] : runs_) {
    JobInfo* info;
    int step, index;
    const Json plan = world_.StepOf(task, &info, &step, &index);
    if (!plan.value("fills", false))
      cpu += plan.value("cpu", int64_t{0});
    mem += plan.value("memMb", int64_t{0});
    gpu += plan.value("gpu", int64_t{0});
  }
  return {{"cpu", cpu}, {"memMb", mem}, {"gpu", gpu}};
}

void Worker::End(const std::string& task, const std::string& how) {
  auto found = runs_.find(task);
  if (found == runs_.end())
    return;
  const Run run = found->second;
  highest_[task] = std::max(highest_[task], run.run);
  ended_.push_back(Json::array({++last_end_, task, run.run, how, run.saved}));
  runs_.erase(found);
  world_.OnEnded(*this, task, run.run, how);
}

void Worker::Tick() {
  if (!up_)
    return;
  const int64_t now = NowMs();
  if (hold_until_ != 0 && now - clock_base_ >= hold_until_)
    lapsed_at = world_.Time();
  std::vector<std::pair<std::string, std::string>> ends;
  for (auto& [task, run] : runs_) {
    if (hold_until_ != 0 && now - clock_base_ >= hold_until_) {
      ends.emplace_back(task, "lapsed");
      continue;
    }
    if (run.stops != 0 && now >= run.stops) {
      ends.emplace_back(task, "stopped");
      continue;
    }
    if (run.ends != 0 && now >= run.ends)
      ends.emplace_back(task, run.fails ? "failed" : "done");
  }
  for (const auto& [task, how] : ends)
    End(task, how);
}

Response Worker::Report() {
  Json active = Json::array();
  for (const auto& [task, run] : runs_) {
    int percent = 0;
    if (run.started != 0) {
      percent =
          run.ends == 0
              ? static_cast<int>(
                    std::min<int64_t>(100, (NowMs() - run.started) / 4))
              : static_cast<int>(std::clamp<int64_t>(
                    100 - 100 * (run.ends - NowMs()) /
                              std::max<int64_t>(1, run.ends - run.started),
                    0, 100));
    }
    active.push_back(Json::array(
        {task, run.run, run.saved, percent, run.started == 0 ? 0 : 10}));
  }
  Json ended = Json::array();
  for (const Json& row : ended_)
    if (ended.size() < 500)
      ended.push_back(row);
  return Text(200, {{"clockMs", NowMs() - clock_base_},
                    {"born", born_},
                    {"active", active},
                    {"ended", ended}});
}

void Worker::Hold(const Json& body,
                  int64_t until,
                  std::string life,
                  Respond respond) {
  if (life != id_ || !up_)
    return;
  if (!ended_.empty() || NowMs() >= until) {
    respond(Report());
    return;
  }
  world_.net.After(5, [this, body, until, life, respond] {
    Hold(body, until, life, respond);
  });
}

void Worker::Handle(const Request& r, Respond respond) {
  if (!up_)
    return;
  if (r.headers.count("expect-instance") &&
      r.headers.at("expect-instance") != id_) {
    respond(Text(421, Json::object()));
    return;
  }
  const int f = fault ? fault(r) : 0;
  if (f == 1) {
    const std::string life = id_;
    world_.net.After(late_ms, [this, r, life] {
      if (up_ && id_ == life) {
        const Response late = Order(r);
        world_.Record("late order " + r.path + " " + r.body.substr(0, 120) +
                      " -> " + std::to_string(late.status) +
                      late.body.substr(0, 80));
      }
    });
    return;
  }
  if (f > 1) {
    respond(Text(f, Json::object()));
    return;
  }
  const Json body = Json::parse(r.body, nullptr, false);
  const int64_t now = NowMs() - clock_base_;
  if (r.path == "/hold") {
    const int64_t token = body.value("fenceToken", int64_t{0});
    if (token < token_) {
      respond(Text(409, {{"reason", "fence"}, {"clockMs", now}}));
      return;
    }
    token_ = token;
    const int64_t seen = body.value("lastSeen", int64_t{0});
    while (!ended_.empty() && ended_.front().at(0).get<int64_t>() <= seen) {
      world_.OnNoted(*this, ended_.front().at(1), ended_.front().at(2));
      ended_.pop_front();
    }
    hold_until_ =
        std::max(hold_until_, std::min(body.value("untilMs", int64_t{0}),
                                       now + world_.bounds.max_hold_ms));
    Hold(body, NowMs() + body.value("waitMs", int64_t{0}), id_, respond);
    return;
  }
  respond(Order(r));
}

Response Worker::Order(const Request& r) {
  const Json body = Json::parse(r.body, nullptr, false);
  const int64_t now = NowMs() - clock_base_;
  const auto refuse = [now](const char* reason) {
    return Text(409, {{"reason", reason}, {"clockMs", now}});
  };
  const int64_t token = body.value("fenceToken", int64_t{0});
  if (token < token_)
    return refuse("fence");
  token_ = token;
  const std::string task = body.value("taskId", "");
  const int64_t number = body.value("runId", int64_t{0});
  auto running = runs_.find(task);
  if (r.path == "/run-stop") {
    highest_[task] = std::max(highest_[task], number);
    if (running != runs_.end() && running->second.run <= number &&
        running->second.stops == 0)
      running->second.stops = NowMs() + 60;
    return Text(200, {{"clockMs", now}});
  }
  if (r.path == "/pace")
    return Text(200, {{"clockMs", now}});
  if (r.path != "/run-start")
    return Text(400, Json::object());
  const int64_t until = std::min(body.value("untilMs", int64_t{0}),
                                 now + world_.bounds.max_hold_ms);
  hold_until_ = std::max(hold_until_, until);
  if (running != runs_.end() && running->second.run == number)
    return Text(200, {{"clockMs", now}});
  if (running != runs_.end() || number <= highest_[task])
    return refuse("old");
  if (until <= now)
    return refuse("late");
  JobInfo* info;
  int step = 0, index = 0;
  const Json plan = world_.StepOf(task, &info, &step, &index);
  if (plan.is_null()) {
    world_.Violation("UNASKED", "start of " + task + ", which nobody sent");
    return Text(400, Json::object());
  }
  const Json in_use = used();
  const bool fits =
      (plan.value("fills", false) ||
       in_use["cpu"].get<int64_t>() + plan.value("cpu", int64_t{0}) <=
           capacity_.value("cpu", int64_t{0})) &&
      in_use["memMb"].get<int64_t>() + plan.value("memMb", int64_t{0}) <=
          capacity_.value("memMb", int64_t{0}) &&
      in_use["gpu"].get<int64_t>() + plan.value("gpu", int64_t{0}) <=
          capacity_.value("gpu", int64_t{0});
  if (!fits && guards_)
    return refuse("room");
  if (!fits)
    world_.Violation("LIMIT", "start of " + task + " takes worker " + id_ +
                                  " over its capacity");
  Run run;
  run.task = task;
  run.run = number;
  run.arrived = NowMs();
  run.saved = body.value("lastCheckpoint", "");
  if (!run.saved.empty()) {
    const size_t colon = run.saved.find(':');
    run.worked = std::stoll(run.saved.substr(colon + 1));
    const std::string owner =
        plan.value("gang", false) ? task.substr(0, task.rfind('.')) : task;
    if (run.saved.substr(0, colon) != owner)
      world_.Violation("UNASKED", "checkpoint " + run.saved + " for " + task);
  }
  if (body.value("spec", "") != info->body.value("spec", ""))
    world_.Violation("UNASKED", "other spec for " + task);
  if (!plan.value("gang", false)) {
    run.started = NowMs();
    const Work work = info->work[step];
    run.ends = work.ms == 0
                   ? 0
                   : NowMs() + std::max<int64_t>(work.ms - run.worked, 10);
  }
  const auto earlier = std::count_if(
      world_.runs.begin(), world_.runs.end(), [&](const RunRecord& other) {
        return other.task == task && other.how == "failed";
      });
  run.fails = earlier < info->work[step].fails;
  runs_[task] = run;
  world_.OnStarted(*this, run, body);
  if (plan.value("gang", false))
    world_.CheckGangs();
  return Text(200, {{"clockMs", now}});
}

// --- World ---

World::World(const std::string& record_path)
    : store(*this), record_(record_path) {
  char text[] = "/tmp/review-XXXXXX";
  folder = mkdtemp(text);
  cloud = net.Listen([this](const Request& r, Respond respond) {
    if (cloud_handler) {
      cloud_handler(r, std::move(respond));
    } else {
      respond({200, R"({"machines":[]})"});
    }
  });
  net.After(10, [this] { Tick(); });
}

World::~World() {
  for (Instance& instance : instances)
    Kill(instance);
  net.Stop();
  if (getenv("KEEP_LOGS") == nullptr) {
    const std::string command = "rm -rf " + folder;
    if (system(command.c_str()) != 0)
      std::cerr << "cannot remove " << folder << "\n";
  } else {
    std::cerr << "logs in " << folder << "\n";
  }
}

void World::Record(const std::string& line) {
  std::lock_guard lock(record_mutex_);
  char time[32];
  snprintf(time, sizeof(time), "%8.3f ", static_cast<double>(Time()) / 1000);
  record_ << time << line << "\n" << std::flush;
}

void World::Violation(const std::string& rule, const std::string& text) {
  std::lock_guard lock(record_mutex_);
  violations.push_back(rule + ": " + text);
  Record("BROKEN " + rule + ": " + text);
}

void World::Tick() {
  for (Worker& worker : workers)
    worker.Tick();
  CheckGangs();
  net.After(10, [this] { Tick(); });
}

Json World::StepOf(const std::string& task,
                   JobInfo** info,
                   int* step,
                   int* index) {
  const size_t a = task.find('.'), b = task.find('.', a + 1),
               c = task.find('.', b + 1);
  auto job = jobs.find(task.substr(0, a));
  if (a == std::string::npos || c == std::string::npos || job == jobs.end())
    return nullptr;
  *info = &job->second;
  *step = std::stoi(task.substr(b + 1, c - b - 1));
  *index = std::stoi(task.substr(c + 1));
  const Json& steps = job->second.body.at("steps");
  if (*step < 0 || *step >= static_cast<int>(steps.size()))
    return nullptr;
  if (*index < 0 || *index >= steps[*step].value("count", 0))
    return nullptr;
  return steps[*step];
}

// Members of a gang begin when all of one run are there; they end together.
void World::CheckGangs() {
  std::map<std::pair<std::string, int64_t>,
           std::vector<std::pair<Worker*, Run*>>>
      gangs;
  for (Worker& worker : workers) {
    if (!worker.up())
      continue;
    for (auto& [task, run] : worker.runs()) {
      JobInfo* info;
      int step, index;
      const Json plan = StepOf(task, &info, &step, &index);
      if (plan.value("gang", false))
        gangs[{task.substr(0, task.rfind('.')), run.run}].push_back(
            {&worker, &run});
    }
  }
  std::vector<std::pair<Worker*, std::pair<std::string, std::string>>> ends;
  for (auto& [key, members] : gangs) {
    JobInfo* info;
    int step, index;
    const Json plan = StepOf(key.first + ".0", &info, &step, &index);
    const bool complete =
        static_cast<int>(members.size()) == plan.value("count", 0);
    const bool began =
        std::any_of(members.begin(), members.end(),
                    [](const auto& m) { return m.second->started != 0; });
    if (complete && !began) {
      int64_t worked = 0;
      for (auto& [worker, run] : members)
        worked = std::max(worked, run->worked);
      for (auto& [worker, run] : members) {
        run->started = NowMs();
        run->ends =
            info->work[step].ms == 0
                ? 0
                : NowMs() + std::max<int64_t>(info->work[step].ms - worked, 10);
      }
      Record("gang " + key.first + " run " + std::to_string(key.second) +
             " complete");
    } else if (!complete && began) {
      for (auto& [worker, run] : members)
        ends.push_back({worker, {run->task, "broken"}});
    } else if (!complete) {
      for (auto& [worker, run] : members)
        if (NowMs() - run->arrived >= bounds.gang_ms)
          ends.push_back({worker, {run->task, "alone"}});
    }
  }
  for (auto& [worker, end] : ends)
    worker->End(end.first, end.second);
}

void World::OnStarted(Worker& worker, const Run& run, const Json& order) {
  Record("start " + run.task + " run " + std::to_string(run.run) + " on " +
         worker.id() + " token " +
         std::to_string(order.value("fenceToken", int64_t{0})) +
         (run.saved.empty() ? "" : " from " + run.saved));
  JobInfo* info;
  int step, index;
  const Json plan = StepOf(run.task, &info, &step, &index);
  for (const RunRecord& other : runs) {
    if (other.task != run.task || plan.value("speculative", false))
      continue;
    if (other.until == 0)
      Violation("TWICE", run.task + " runs on " + other.worker + " (run " +
                             std::to_string(other.run) + ") and on " +
                             worker.id());
    if (other.how == "done")
      Record("NOTE " + run.task + " starts after an end done, noted at " +
             std::to_string(other.noted));
    if (other.how == "done" && other.noted != 0)
      Violation("TWICE",
                run.task + " starts after its end done was taken note of");
  }
  if (info->cancelled != 0 && Time() > info->cancelled + 3000)
    Violation("UNASKED", run.task + " starts after its job was cancelled");
  const size_t dot = run.task.find('.');
  const std::string time = run.task.substr(0, run.task.find('.', dot + 1));
  for (const Json& needed : plan.value("dependsOn", Json::array())) {
    const Json& earlier = info->body.at("steps").at(needed.get<size_t>());
    bool all = true;
    bool any = false;
    for (int i = 0; i < earlier.value("count", 0); ++i) {
      const std::string name = time + "." + std::to_string(needed.get<int>()) +
                               "." + std::to_string(i);
      const bool done =
          std::any_of(runs.begin(), runs.end(), [&](const RunRecord& o) {
            return o.task == name && o.how == "done";
          });
      all = all && done;
      any = any || done;
    }
    if (earlier.value("gang", false) ? !any : !all)
      Violation("ORDER",
                run.task + " starts before step " + needed.dump() + " is done");
  }
  if (info->body.contains("maxRuns")) {
    const int64_t k = std::stoll(run.task.substr(dot + 1));
    const int64_t due = info->body.value("startAtMs", int64_t{0}) +
                        k * info->body.value("intervalMs", int64_t{0});
    if (UnixMs() < due - 250)
      Violation("ORDER", run.task + " starts before its time");
    if (k >= info->body.value("maxRuns", 0))
      Violation("UNASKED", run.task + " is beyond maxRuns");
  }
  const std::string label = plan.value("constraints", "");
  if (!label.empty() &&
      std::none_of(worker.labels().begin(), worker.labels().end(),
                   [&](const Json& l) { return l == label; }))
    Violation("ROUTE", run.task + " starts on " + worker.id() +
                           " without the label " + label);
  if (plan.contains("antiAffinity")) {
    const std::string prefix = run.task.substr(0, run.task.rfind('.') + 1);
    const auto on = std::count_if(
        worker.runs().begin(), worker.runs().end(),
        [&](const auto& e) { return e.first.starts_with(prefix); });
    if (on > plan.value("antiAffinity", 0))
      Violation("ROUTE", run.task + ": too many of its step on " + worker.id());
  }
  RunRecord& record = runs.emplace_back();
  record.task = run.task;
  record.worker = worker.id();
  record.run = run.run;
  record.from = Time();
}

void World::OnEnded(Worker& worker,
                    const std::string& task,
                    int64_t run,
                    const std::string& how) {
  Record("end " + task + " run " + std::to_string(run) + " on " + worker.id() +
         " " + how);
  for (RunRecord& record : runs)
    if (record.task == task && record.run == run &&
        record.worker == worker.id() && record.until == 0) {
      record.until = Time();
      record.how = how;
    }
}

void World::OnNoted(Worker& worker, const std::string& task, int64_t run) {
  for (RunRecord& record : runs)
    if (record.worker == worker.id() && record.task == task &&
        record.run == run && record.until != 0 && record.noted == 0) {
      record.noted = Time();
      record.lapsed_between = worker.lapsed_at >= record.until;
    }
}

Instance& World::AddInstance(const std::string& name, const std::string& zone) {
  Instance& instance = instances.emplace_back();
  instance.name = name;
  instance.zone = zone;
  instance.front = FreePort();
  instance.ready = FreePort();
  instance.peer = FreePort();
  instance.metrics = FreePort();
  instance.store = store.Open();
  instance.settings = folder + "/" + name + ".yaml";
  instance.log = folder + "/" + name + ".log";
  return instance;
}

void World::StartInstance(Instance& i) {
  const auto address = [](int port) {
    return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
  };
  std::ofstream out(i.settings);
  out << "instance: \"" << i.name << "\"\ndata_centre: \"" << i.zone
      << "\"\nfront: " << address(i.front) << "ready: " << address(i.ready)
      << "peer: " << address(i.peer) << "metrics: " << address(i.metrics)
      << "store: " << address(i.store->port)
      << "adviser: \"\"\nmachines: " << address(cloud->port)
      << "cpu_share: " << i.cpu_share << "\nlink_mbps: " << i.link_mbps
      << "\ngrace_ms: 6000\nlongest_run_lease_ms: 10000\nkeep_finished_ms: "
         "120000\nbackup_share: 0.1\n"
      << "machine_holder_lease_ms: 3000\nmax_held_submissions: "
         "200\nset_aside_share: 0.1\n";
  out.close();
  const char* program =
      getenv("CELLD") ? getenv("CELLD") : "target/src/doorwood-celld";
  i.pid = fork();
  if (i.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(i.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, 1);
    dup2(fd, 2);
    setenv("DOORWOOD_SETTINGS", i.settings.c_str(), 1);
    execl(program, program, nullptr);
    _exit(127);
  }
  Record("instance " + i.name + " starts");
}

void World::Signal(Instance& i, int number) {
  if (i.pid > 0)
    kill(i.pid, number);
  Record("signal " + std::to_string(number) + " to " + i.name);
}

void World::Kill(Instance& i) {
  if (i.pid <= 0)
    return;
  kill(i.pid, SIGCONT);
  kill(i.pid, SIGKILL);
  waitpid(i.pid, nullptr, 0);
  i.pid = 0;
  Record("killed " + i.name);
}

bool World::Reap(Instance& i) {
  int status = 0;
  if (i.pid <= 0)
    return true;
  if (waitpid(i.pid, &status, WNOHANG) != i.pid)
    return false;
  Record("ended " + i.name + " status " + std::to_string(status));
  i.pid = 0;
  return true;
}

bool World::IsReady(const Instance& i) {
  return Call(i.ready, "GET", "/ready", "x", "", 500).status == 200;
}

std::string World::Metric(const Instance& i, const std::string& name) {
  const Answer answer = Call(i.metrics, "GET", "/metrics", "x", "", 500);
  const size_t at = answer.body.find("\n" + name + " ");
  if (at == std::string::npos)
    return "";
  const size_t from = at + name.size() + 2;
  return answer.body.substr(from, answer.body.find('\n', from) - from);
}

Instance* World::Leader() {
  for (Instance& i : instances)
    if (i.pid > 0 && Metric(i, "doorwood_leading") == "1")
      return &i;
  return nullptr;
}

bool World::AwaitReady(int64_t ms) {
  const int64_t until = NowMs() + ms;
  while (NowMs() < until) {
    bool all = true;
    for (Instance& i : instances)
      all = all && (i.pid <= 0 || IsReady(i));
    if (all)
      return true;
    usleep(100000);
  }
  return false;
}

Worker& World::AddWorker(const std::string& service,
                         Json capacity,
                         Json labels,
                         bool guards) {
  workers.emplace_back(*this, "m" + std::to_string(workers.size() + 1), service,
                       std::move(capacity), std::move(labels), guards);
  workers.back().Start();
  return workers.back();
}

void World::PutConfig(const Json& config) {
  store.Put("op/config", config.dump());
}

Answer World::Ask(const std::string& method,
                  const std::string& id,
                  int timeout) {
  std::vector<Instance*> ready;
  for (Instance& i : instances)
    if (i.pid > 0 && IsReady(i))
      ready.push_back(&i);
  if (ready.empty())
    for (Instance& i : instances)
      ready.push_back(&i);
  Instance* i = ready[turn_++ % ready.size()];
  std::string body;
  {
    std::lock_guard lock(net.mutex);
    if (method == "POST")
      body = jobs.at(id).body.dump();
  }
  const Answer answer =
      Call(i->front, method, prefix + id, host, body, timeout);
  Record(method + " " + id + " at " + i->name + " -> " +
         std::to_string(answer.status) + " " + answer.body.substr(0, 100));
  return answer;
}

int World::Submit(const std::string& id, JobInfo info, int tries, int timeout) {
  {
    std::lock_guard lock(net.mutex);
    jobs[id] = std::move(info);
  }
  int status = 0;
  for (int i = 0; i < tries; ++i) {
    const Answer answer = Ask("POST", id, timeout);
    status = answer.status;
    std::lock_guard lock(net.mutex);
    JobInfo& job = jobs.at(id);
    ++job.attempts;
    if (status >= 200 && status < 300) {
      if (job.accepted == 0)
        job.accepted = Time();
      return status;
    }
    job.rejections +=
        status == 429 || status == 503 || status == 404 || status == 400;
    if (status == 404 || status == 400)
      return status;
    usleep(static_cast<useconds_t>(answer.retry_after > 0 ? 1000000 : 200000));
  }
  return status;
}

std::string World::State(const std::string& id) {
  const Answer answer = Ask("GET", id);
  if (answer.status == 410)
    return "410";
  if (answer.status != 200)
    return "";
  return Json::parse(answer.body, nullptr, false).value("state", "");
}
