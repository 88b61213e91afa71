// SPDX-License-Identifier: Apache-2.0

/// \file
/// The users' platform as PROTOCOL.md describes it: the store, workers and the
/// adviser, and what the rules say about the starts that workers see.

#ifndef REVIEW_STANDIN_2_PLATFORM_H_
#define REVIEW_STANDIN_2_PLATFORM_H_

#include <algorithm>
#include <deque>
#include <fstream>
#include <iostream>
#include <optional>

#include "net.h"

namespace review {

/// Bounds of the pages; see SYSTEM.md, sax-doorwood.
constexpr int64_t kStopMs = 900;
constexpr int64_t kGangMs = 3000;
constexpr int64_t kMaxHoldMs = 10000;
constexpr int64_t kEarlyMs = 250;
constexpr int64_t kBeatMs = 1500;
constexpr int64_t kStoreAnswerMs = 4;

/// Writes what was sent, answered and run, with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path), begin_(NowMs()) {}
  void Write(const std::string& text) {
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f  ",
                  static_cast<double>(NowMs() - begin_) / 1000);
    out_ << time << text << "\n" << std::flush;
  }
  /// A rule was broken.
  void Break(const std::string& rule, const std::string& text) {
    broken_[rule] += 1;
    Write("BROKEN " + rule + ": " + text);
  }
  const std::map<std::string, int>& broken() const { return broken_; }

 private:
  std::ofstream out_;
  int64_t begin_;
  std::map<std::string, int> broken_;
};

inline std::string EncodeBase64(const std::string& text) {
  constexpr const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t j = 0; j < 3; ++j) {
      bits =
          bits << 8 |
          (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      out += i + j > text.size() ? '=' : kDigits[bits >> (18 - 6 * j) & 63];
    }
  }
  return out;
}

/// Values are kept as they are sent, in base64.
class Store {
 public:
  explicit Store(asio::io_context& io)
      : io_(io), server_(io, [this](const Request& request, Respond respond) {
          Handle(request, std::move(respond));
        }) {}

  void Listen(const std::string& address) { server_.Listen(address); }

  void Put(const std::string& key, const std::string& value) {
    ++revision_;
    Write(key, EncodeBase64(value), 0);
    WakeWatches();
  }
  void Remove(const std::string& key) {
    ++revision_;
    Erase(key);
    WakeWatches();
  }

 private:
  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t made = 0;
    int64_t lease = 0;
  };
  struct Event {
    int64_t revision;
    std::string key;
    Json json;
  };
  struct Lease {
    int64_t ttl = 0;
    int64_t ends = 0;
  };
  struct Watch {
    std::string prefix;
    int64_t after;
    int64_t until;
    Respond respond;
  };

  Json ToJson(const std::string& key, const Item& item) const {
    return {{"privateKey", key},
            {"value", item.value},
            {"revision", item.revision},
            {"made", item.made},
            {"lease", item.lease}};
  }

  void Write(const std::string& key, const std::string& value, int64_t lease) {
    Item& item = items_[key];
    item.made = item.made == 0 ? revision_ : item.made;
    item.value = value;
    item.revision = revision_;
    item.lease = lease;
    history_.push_back({revision_, key, ToJson(key, item)});
  }

  void Erase(const std::string& key) {
    if (items_.erase(key) > 0) {
      history_.push_back(
          {revision_,
           key,
           {{"privateKey", key}, {"revision", revision_}, {"gone", true}}});
    }
  }

  void EndLease(int64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == id) {
        keys.push_back(key);
      }
    }
    if (!keys.empty()) {
      ++revision_;
      for (const std::string& key : keys) {
        Erase(key);
      }
      WakeWatches();
    }
  }

  void ExpireLeases() {
    std::vector<int64_t> over;
    for (const auto& [id, lease] : leases_) {
      if (lease.ends <= NowMs()) {
        over.push_back(id);
      }
    }
    for (const int64_t id : over) {
      EndLease(id);
    }
  }

  void WakeWatches() {
    for (auto it = watches_.begin(); it != watches_.end();) {
      it = AnswerWatch(*it) ? watches_.erase(it) : std::next(it);
    }
  }

  bool AnswerWatch(const Watch& watch) {
    Json events = Json::array();
    for (const Event& event : history_) {
      if (event.revision > watch.after &&
          event.key.compare(0, watch.prefix.size(), watch.prefix) == 0) {
        events.push_back(event.json);
      }
    }
    if (events.empty() && NowMs() < watch.until) {
      return false;
    }
    watch.respond(200, {{"events", events}, {"at", revision_}});
    return true;
  }

  void Tick() {
    ExpireLeases();
    WakeWatches();
    const auto timer = std::make_shared<asio::steady_timer>(
        io_, std::chrono::milliseconds(10));
    timer->async_wait([this, timer](const auto&) { Tick(); });
  }

  // Answers after `kStoreAnswerMs`, as the platform's store does.
  void Handle(const Request& request, Respond respond) {
    if (!std::exchange(ticking_, true)) {
      Tick();
    }
    const auto timer = std::make_shared<asio::steady_timer>(
        io_, std::chrono::milliseconds(kStoreAnswerMs));
    timer->async_wait([this, timer, request, respond = std::move(respond)](
                          const auto&) { HandleNow(request, respond); });
  }

  void HandleNow(const Request& request, const Respond& respond) {
    ExpireLeases();
    const auto param = [&request](const char* name) {
      const auto found = request.query.find(name);
      return found == request.query.end() ? std::string() : found->second;
    };
    if (request.path == "/kv-key") {
      const auto found = items_.find(param("privateKey"));
      if (found == items_.end()) {
        respond(404, {{"at", revision_}});
        return;
      }
      Json json = ToJson(found->first, found->second);
      json["at"] = revision_;
      respond(200, json);
    } else if (request.path == "/kv-range") {
      const std::string prefix = param("pathPrefix");
      const std::string after = param("dependsOn");
      Json items = Json::array();
      bool more = false;
      for (auto it = items_.lower_bound(prefix);
           it != items_.end() &&
           it->first.compare(0, prefix.size(), prefix) == 0;
           ++it) {
        if (!after.empty() && it->first <= after) {
          continue;
        }
        if (items.size() == 500) {
          more = true;
          break;
        }
        items.push_back(ToJson(it->first, it->second));
      }
      respond(200, {{"items", items}, {"more", more}, {"at", revision_}});
    } else if (request.path == "/kv-watch") {
      const Watch watch{param("pathPrefix"),
                        std::atoll(param("dependsOn").c_str()),
                        NowMs() + std::atoll(param("waitMs").c_str()), respond};
      if (!AnswerWatch(watch)) {
        watches_.push_back(watch);
      }
    } else if (request.path == "/kv-txn") {
      Commit(Json::parse(request.body), respond);
    } else if (request.path == "/kv-lease") {
      const int64_t ttl = Json::parse(request.body).at("ttl_ms");
      leases_[++last_lease_] = {ttl, NowMs() + ttl};
      respond(200, {{"lease", last_lease_}, {"ttl_ms", ttl}});
    } else if (request.path.rfind("/kv-keep/", 0) == 0) {
      const auto lease = leases_.find(std::atoll(request.path.c_str() + 9));
      if (lease == leases_.end()) {
        respond(404, Json::object());
        return;
      }
      lease->second.ends = NowMs() + lease->second.ttl;
      respond(200, {{"ttl_ms", lease->second.ttl}});
    } else if (request.path.rfind("/kv-lease-end/", 0) == 0) {
      EndLease(std::atoll(request.path.c_str() + 14));
      respond(200, Json::object());
    } else {
      respond(400, Json::object());
    }
  }

  void Commit(const Json& body, const Respond& respond) {
    bool holds = true;
    Json current = Json::array();
    for (const Json& row : body.value("expectedRev", Json::array())) {
      const auto found = items_.find(row.at("privateKey"));
      const int64_t revision =
          found == items_.end() ? 0 : found->second.revision;
      holds = holds && revision == row.at("revision").get<int64_t>();
      if (found != items_.end()) {
        current.push_back(ToJson(found->first, found->second));
      }
    }
    if (!holds) {
      respond(412, {{"items", current}});
      return;
    }
    for (const Json& row : body.value("put", Json::array())) {
      const int64_t lease = row.value("lease", int64_t{0});
      if (lease != 0 && leases_.count(lease) == 0) {
        respond(404, Json::object());
        return;
      }
    }
    ++revision_;
    for (const Json& row : body.value("put", Json::array())) {
      Write(row.at("privateKey"), row.at("value"),
            row.value("lease", int64_t{0}));
    }
    for (const Json& key : body.value("remove", Json::array())) {
      Erase(key);
    }
    WakeWatches();
    respond(200, {{"revision", revision_}});
  }

  asio::io_context& io_;
  Server server_;
  std::map<std::string, Item> items_;
  std::deque<Event> history_;
  std::map<int64_t, Lease> leases_;
  std::vector<Watch> watches_;
  int64_t revision_ = 0;
  int64_t last_lease_ = 0;
  bool ticking_ = false;
};

struct Step {
  int count = 1;
  int64_t cpu = 1000;
  int64_t mem = 1000;
  /// Work of a task; 0: it lasts.
  int64_t work_ms = 500;
  bool gang = false;
  bool saves = false;
  bool speculative = false;
  bool same_rack = false;
  int anti_affinity = 0;
  std::string label;
  std::vector<int> after;
};

struct SubmittedJob {
  std::string id;
  std::string prefix;
  std::string spec;
  std::vector<Step> steps;
  int times = 0;
  int64_t start_at = 0;
  int64_t interval = 0;
  /// When the first 2xx came; 0: none yet.
  int64_t accepted = 0;
  int64_t cancel_acked = 0;
  /// Tasks that have ended `done`, by "K.STEP.INDEX"; of a gang, one stands for
  /// all.
  std::set<std::string> done;
  bool begun = false;

  Json Body() const {
    Json rows = Json::array();
    for (const Step& step : steps) {
      Json row{{"count", step.count},
               {"cpu", step.cpu},
               {"memMb", step.mem},
               {"estRuntimeMs", std::max<int64_t>(step.work_ms, 300)}};
      if (!step.after.empty()) {
        row["dependsOn"] = step.after;
      }
      if (step.gang) {
        row["gang"] = true;
      }
      if (step.saves) {
        row["checkpointing"] = true;
      }
      if (step.speculative) {
        row["speculative"] = true;
      }
      if (step.same_rack) {
        row["sameRack"] = true;
      }
      if (step.work_ms == 0) {
        row["longRunning"] = true;
      }
      if (step.anti_affinity > 0) {
        row["antiAffinity"] = step.anti_affinity;
      }
      if (!step.label.empty()) {
        row["constraints"] = step.label;
      }
      rows.push_back(row);
    }
    Json body{{"spec", spec}, {"steps", rows}};
    if (times > 0) {
      body["maxRuns"] = times;
      body["startAtMs"] = start_at;
      body["intervalMs"] = interval;
    }
    return body;
  }
};

struct TaskId {
  std::string job;
  int time = 0;
  int step = 0;
  int index = 0;
  std::string StepKey() const {
    return std::to_string(time) + "." + std::to_string(step);
  }
};

inline TaskId ParseTask(const std::string& name) {
  TaskId id;
  const size_t dot = name.find('.');
  id.job = name.substr(0, dot);
  std::sscanf(name.c_str() + dot, ".%d.%d.%d", &id.time, &id.step, &id.index);
  return id;
}

class Worker;

/// What all workers together know.
struct World {
  asio::io_context& io;
  Record& record;
  Store& store;
  std::map<std::string, SubmittedJob> jobs;
  std::vector<std::unique_ptr<Worker>> workers;
  int lives = 0;
  /// Ends `done` by task: when, and whether noted (1), lapsed (2) or open (0).
  struct Done {
    int64_t at;
    int state;
  };
  std::map<std::string, std::vector<Done>> dones;
  /// When each start of a task was carried out.
  std::map<std::string, std::vector<int64_t>> starts;
  /// Highest fence token that any worker has seen.
  uint64_t token = 0;
};

struct ActiveRun {
  int run = 0;
  int64_t begun = 0;
  /// When its work began; 0: a gang that waits.
  int64_t working = 0;
  int64_t work_ms = 0;
  int64_t stops_at = 0;
  int percent = 100;
  std::string saved;
  const Step* step = nullptr;
};

/// One place in a rack: a worker that may crash and come back with another id.
class Worker {
 public:
  Worker(World& world,
         std::string address,
         std::string zone,
         int64_t cpu,
         std::vector<std::string> labels)
      : world_(world),
        address_(std::move(address)),
        zone_(std::move(zone)),
        cpu_(cpu),
        labels_(std::move(labels)),
        server_(world.io, [this](const Request& request, Respond respond) {
          Handle(request, std::move(respond));
        }) {}

  void Boot() {
    id_ = "i-" + std::to_string(1000 + ++world_.lives);
    up_ = true;
    draining_ = false;
    token_ = 0;
    last_end_ = 0;
    lease_until_ = 0;
    server_.Listen(address_);
    Beat();
    const uint64_t life = ++life_;
    Tick(life);
    world_.record.Write("worker " + id_ + " is up at " + address_);
  }

  /// SIGKILL: what runs there is gone.
  void Crash() {
    world_.record.Write("worker " + id_ + " crashes with " +
                        std::to_string(runs_.size()) + " runs");
    up_ = false;
    ++life_;
    server_.Close();
    waiting_.clear();
    auto runs = std::move(runs_);
    runs_.clear();
    ended_.clear();
    highest_ended_.clear();
    for (const auto& [task, run] : runs) {
      BreakGang(task, run);
    }
    // Three reports of silence.
    const auto timer = std::make_shared<asio::steady_timer>(
        world_.io, std::chrono::milliseconds(3 * kBeatMs));
    timer->async_wait([this, timer, id = id_](const auto&) {
      world_.store.Remove("servers/" + id);
    });
  }

  const std::string& id() const { return id_; }
  const std::string& address() const { return address_; }
  bool up() const { return up_; }
  int64_t cpu() const { return cpu_; }
  const std::map<std::string, ActiveRun>& runs() const { return runs_; }
  bool Runs(const std::string& task) const { return runs_.count(task) > 0; }
  const std::vector<std::string>& labels() const { return labels_; }

  /// Starts are answered 503 and nothing is done, while the rest works.
  void set_refuses_starts(bool refuses) { refuses_starts_ = refuses; }

  /// Ends a run. `how` as in the protocol.
  void End(const std::string& task, const std::string& how) {
    const auto found = runs_.find(task);
    if (found == runs_.end()) {
      return;
    }
    const ActiveRun run = found->second;
    runs_.erase(found);
    highest_ended_[task] = std::max(highest_ended_[task], run.run);
    ended_.push_back(
        {++last_end_, task, run.run, how, run.saved, NowMs(), false});
    world_.record.Write("worker " + id_ + " ends " + task + " run " +
                        std::to_string(run.run) + " " + how);
    const TaskId name = ParseTask(task);
    if (how == "done") {
      world_.dones[task].push_back({NowMs(), 0});
      ended_.back().done_index = world_.dones[task].size() - 1;
      NoteDone(name, run);
    } else if (how == "alone") {
      world_.record.Break("GANG", task + " run " + std::to_string(run.run) +
                                      " ended alone on " + id_);
    }
    if (how != "done" && how != "alone") {
      BreakGang(task, run);
    }
    AnswerWaiting();
  }

 private:
  struct Ended {
    int64_t number;
    std::string task;
    int run;
    std::string how;
    std::string saved;
    int64_t at;
    bool lapsed;
    size_t done_index = 0;
  };
  struct WaitingHold {
    int64_t until;
    int64_t last_seen;
    Respond respond;
  };

  void Beat() {
    const Json entry{
        {"service", "pool"},
        {"address", address_},
        {"zone", zone_},
        {"version", "v1"},
        {"slots", 8},
        {"state", draining_ ? "draining" : "ready"},
        {"coldRemainingMs", 0},
        {"capacity", {{"cpu", cpu_}, {"memMb", 125'000}, {"gpu", 0}}},
        {"labels", labels_},
        {"callSeq", 1}};
    world_.store.Put("servers/" + id_, entry.dump());
  }

  void NoteDone(const TaskId& name, const ActiveRun& run) {
    auto& job = world_.jobs.at(name.job);
    if (!run.step->gang) {
      job.done.insert(name.StepKey() + "." + std::to_string(name.index));
      return;
    }
    for (int i = 0; i < run.step->count; ++i) {
      job.done.insert(name.StepKey() + "." + std::to_string(i));
    }
  }

  /// The other members of the gang end `broken`.
  void BreakGang(const std::string& task, const ActiveRun& run) {
    if (run.step == nullptr || !run.step->gang || run.working == 0) {
      return;
    }
    const TaskId name = ParseTask(task);
    for (const auto& other : world_.workers) {
      for (int i = 0; i < run.step->count; ++i) {
        const std::string member =
            name.job + "." + name.StepKey() + "." + std::to_string(i);
        const auto found = other->runs_.find(member);
        if (member != task && found != other->runs_.end() &&
            found->second.run == run.run) {
          other->End(member, "broken");
        }
      }
    }
  }

  /// Begins the work of a gang once all members of one run are there.
  void CheckGang(const std::string& task) {
    const TaskId name = ParseTask(task);
    const ActiveRun& run = runs_.at(task);
    std::vector<ActiveRun*> members;
    for (const auto& other : world_.workers) {
      for (auto& [other_task, other_run] : other->runs_) {
        const TaskId other_name = ParseTask(other_task);
        if (other_name.job == name.job &&
            other_name.StepKey() == name.StepKey() &&
            other_run.run == run.run) {
          members.push_back(&other_run);
        }
      }
    }
    if (static_cast<int>(members.size()) == run.step->count) {
      for (ActiveRun* member : members) {
        member->working = NowMs();
      }
    }
  }

  void Tick(uint64_t life) {
    if (life != life_) {
      return;
    }
    const int64_t now = NowMs();
    std::vector<std::pair<std::string, std::string>> ends;
    const bool lapsed = !runs_.empty() && now >= lease_until_;
    for (const auto& [task, run] : runs_) {
      const bool done = run.working > 0 && run.work_ms > 0 &&
                        now >= run.working + run.work_ms;
      if (lapsed) {
        ends.emplace_back(task, "lapsed");
      } else if (done) {
        ends.emplace_back(task, "done");
      } else if (run.stops_at > 0 && now >= run.stops_at) {
        ends.emplace_back(task, "stopped");
      } else if (run.step->gang && run.working == 0 &&
                 now >= run.begun + kGangMs) {
        ends.emplace_back(task, "alone");
      }
    }
    for (const auto& [task, how] : ends) {
      End(task, how);
    }
    if (now >= lease_until_) {
      for (Ended& end : ended_) {
        if (end.how == "done" && !end.lapsed) {
          end.lapsed = true;
          world_.dones[end.task][end.done_index].state = 2;
        }
      }
    }
    std::erase_if(waiting_, [&](const WaitingHold& hold) {
      if (now < hold.until) {
        return false;
      }
      hold.respond(200, Report());
      return true;
    });
    const auto timer = std::make_shared<asio::steady_timer>(
        world_.io, std::chrono::milliseconds(10));
    timer->async_wait([this, timer, life](const auto&) { Tick(life); });
  }

  void AnswerWaiting() {
    std::vector<WaitingHold> waiting;
    waiting.swap(waiting_);
    for (const WaitingHold& hold : waiting) {
      hold.respond(200, Report());
    }
  }

  Json Report() const {
    Json active = Json::array();
    for (const auto& [task, run] : runs_) {
      int percent = 100;
      if (run.work_ms > 0) {
        percent = run.working == 0
                      ? 0
                      : static_cast<int>(std::min<int64_t>(
                            99, (NowMs() - run.working) * 100 / run.work_ms));
      }
      active.push_back({task, run.run, run.saved, percent});
    }
    Json ended = Json::array();
    for (const Ended& end : ended_) {
      if (ended.size() == 500) {
        break;
      }
      ended.push_back({end.number, end.task, end.run, end.how, end.saved});
    }
    return {{"clockMs", NowMs()}, {"active", active}, {"ended", ended}};
  }

  void Forget(int64_t last_seen) {
    while (!ended_.empty() && ended_.front().number <= last_seen) {
      const Ended& end = ended_.front();
      if (end.how == "done" && !end.lapsed) {
        auto& done = world_.dones[end.task][end.done_index];
        done.state = 1;
        const auto& job = world_.jobs.at(ParseTask(end.task).job);
        const auto step = static_cast<size_t>(ParseTask(end.task).step);
        for (const int64_t at : world_.starts[end.task]) {
          if (at > done.at && !job.steps[step].speculative) {
            world_.record.Break("TWICE", end.task +
                                             " had started after its end "
                                             "`done`, which is noted now");
          }
        }
      }
      ended_.pop_front();
    }
  }

  void Handle(const Request& request, Respond respond) {
    if (!up_) {
      return;
    }
    const auto expected = request.headers.find("expect-instance");
    if (expected != request.headers.end() && expected->second != id_) {
      respond(421, Json::object());
      return;
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      respond(400, Json::object());
      return;
    }
    const auto token = body.value("fenceToken", uint64_t{0});
    if (token < token_) {
      respond(409, {{"clockMs", NowMs()}, {"reason", "fence"}});
      return;
    }
    token_ = token;
    world_.token = std::max(world_.token, token);
    const auto until = body.value("untilMs", int64_t{0});
    if (request.path == "/hold") {
      Extend(until);
      Forget(body.value("lastSeen", int64_t{0}));
      const int64_t wait = body.value("waitMs", int64_t{0});
      if (wait == 0 || !ended_.empty()) {
        respond(200, Report());
      } else {
        waiting_.push_back({NowMs() + wait, 0, std::move(respond)});
      }
      return;
    }
    const std::string task = body.value("taskId", "");
    const int run = body.value("runId", 0);
    if (request.path == "/run-start") {
      if (refuses_starts_) {
        world_.record.Write("worker " + id_ + " answers 503 to the start of " +
                            task);
        respond(503, Json::object());
        return;
      }
      const std::string reason = Start(task, run, until, body);
      Json answer{{"clockMs", NowMs()}};
      if (reason.empty()) {
        respond(200, answer);
        return;
      }
      world_.record.Write("worker " + id_ + " refuses " + task + " run " +
                          std::to_string(run) + ": " + reason);
      answer["reason"] = reason;
      respond(409, answer);
    } else if (request.path == "/run-stop") {
      Stop(task, run);
      respond(200, {{"clockMs", NowMs()}});
    } else if (request.path == "/pace") {
      respond(200, {{"clockMs", NowMs()}});
    } else {
      respond(400, Json::object());
    }
  }

  void Extend(int64_t until) {
    lease_until_ =
        std::max(lease_until_, std::min(until, NowMs() + kMaxHoldMs));
  }

  void Stop(const std::string& task, int run) {
    const auto found = runs_.find(task);
    if (found != runs_.end() && found->second.run <= run) {
      if (found->second.stops_at == 0) {
        found->second.stops_at = NowMs() + kStopMs / 3;
      }
      return;
    }
    highest_ended_[task] = std::max(highest_ended_[task], run);
  }

  std::string Start(const std::string& task,
                    int run,
                    int64_t until,
                    const Json& body) {
    const auto running = runs_.find(task);
    if (running != runs_.end() && running->second.run == run) {
      return "";
    }
    if (running != runs_.end() || highest_ended_[task] >= run) {
      Extend(until);
      return "old";
    }
    if (until <= NowMs()) {
      return "late";
    }
    const TaskId name = ParseTask(task);
    const auto job = world_.jobs.find(name.job);
    if (job == world_.jobs.end() ||
        name.step >= static_cast<int>(job->second.steps.size()) ||
        body.value("spec", "") != job->second.spec) {
      world_.record.Break("UNASKED", task + " was not submitted so");
      return "room";
    }
    const Step& step = job->second.steps[static_cast<size_t>(name.step)];
    int64_t used = 0;
    for (const auto& [other, active] : runs_) {
      used += active.step->cpu;
    }
    if (used + step.cpu > cpu_) {
      Extend(until);
      return "room";
    }
    if (ticket_check_ && !ticket_check_(task, id_, body.value("ticket", ""))) {
      return "ticket";
    }
    Extend(until);
    ActiveRun active;
    active.run = run;
    active.begun = NowMs();
    active.working = step.gang ? 0 : NowMs();
    active.work_ms = step.work_ms;
    active.saved = body.value("lastCheckpoint", "");
    active.step = &step;
    CheckStart(task, name, job->second, step);
    job->second.begun = true;
    runs_[task] = active;
    world_.starts[task].push_back(NowMs());
    world_.record.Write("worker " + id_ + " begins " + task + " run " +
                        std::to_string(run) + " (token " +
                        std::to_string(token_) + ")");
    if (step.gang) {
      CheckGang(task);
    }
    return "";
  }

  void CheckStart(const std::string& task,
                  const TaskId& name,
                  const SubmittedJob& job,
                  const Step& step) {
    int on_worker = 0;
    for (const auto& [other, active] : runs_) {
      const TaskId other_name = ParseTask(other);
      on_worker +=
          other_name.job == name.job && other_name.StepKey() == name.StepKey()
              ? 1
              : 0;
    }
    if (step.anti_affinity > 0 && on_worker >= step.anti_affinity) {
      world_.record.Break("ROUTE",
                          task + " goes beyond antiAffinity on " + id_);
    }
    if (!step.label.empty() && std::find(labels_.begin(), labels_.end(),
                                         step.label) == labels_.end()) {
      world_.record.Break("ROUTE", task + " lacks its label on " + id_);
    }
    if (!step.speculative) {
      for (const auto& other : world_.workers) {
        if (other.get() != this && other->up_ && other->runs_.count(task) > 0) {
          world_.record.Break("TWICE", task + " runs on " + other->id_ +
                                           " and begins on " + id_);
        }
      }
    }
    for (const World::Done& done : world_.dones[task]) {
      if (done.state == 1 && !step.speculative) {
        world_.record.Break("TWICE", task + " begins on " + id_ +
                                         " after its noted end `done`");
      }
    }
    for (const int earlier : step.after) {
      const Step& needed = job.steps[static_cast<size_t>(earlier)];
      for (int i = 0; i < needed.count; ++i) {
        const std::string key = std::to_string(name.time) + "." +
                                std::to_string(earlier) + "." +
                                std::to_string(i);
        if (job.done.count(key) == 0) {
          world_.record.Break("ORDER", task + " begins before " + key);
          return;
        }
      }
    }
    if (job.times > 0 &&
        UnixMs() + kEarlyMs < job.start_at + name.time * job.interval) {
      world_.record.Break("ORDER", task + " begins before its time");
    }
    if (job.cancel_acked > 0 && NowMs() > job.cancel_acked + 3000) {
      world_.record.Break("UNASKED", task + " begins after its cancelling");
    }
  }

 public:
  std::function<
      bool(const std::string&, const std::string&, const std::string&)>
      ticket_check_;

 private:
  World& world_;
  const std::string address_;
  const std::string zone_;
  const int64_t cpu_;
  const std::vector<std::string> labels_;
  Server server_;
  std::string id_;
  bool up_ = false;
  bool draining_ = false;
  bool refuses_starts_ = false;
  uint64_t life_ = 0;
  uint64_t token_ = 0;
  int64_t lease_until_ = 0;
  int64_t last_end_ = 0;
  std::map<std::string, ActiveRun> runs_;
  std::map<std::string, int> highest_ended_;
  std::deque<Ended> ended_;
  std::vector<WaitingHold> waiting_;
};

/// Says which workers may run a step: all. One call at a time, in turn.
class Adviser {
 public:
  Adviser(asio::io_context& io, Record& record)
      : io_(io),
        record_(record),
        server_(io, [this](const Request& request, Respond respond) {
          if (waiting_.size() >= 32) {
            respond(429, Json::object());
            return;
          }
          waiting_.emplace_back(request, std::move(respond));
          Next();
        }) {}

  void Listen(const std::string& address) { server_.Listen(address); }
  void SetTimes(int64_t decide_ms, int64_t each_ms, int64_t valid_ms) {
    decide_ms_ = decide_ms;
    each_ms_ = each_ms;
    valid_ms_ = valid_ms;
  }
  bool IsValid(const std::string& task,
               const std::string& worker,
               const std::string& ticket) const {
    const auto found = tickets_.find(ticket);
    const std::string step = task.substr(0, task.rfind('.'));
    return found != tickets_.end() && found->second.step == step &&
           found->second.worker == worker && NowMs() < found->second.until;
  }
  int calls() const { return calls_; }

 private:
  struct Ticket {
    std::string step;
    std::string worker;
    int64_t until;
  };

  void Next() {
    if (busy_ || waiting_.empty()) {
      return;
    }
    busy_ = true;
    const auto [request, respond] = waiting_.front();
    waiting_.pop_front();
    const Json body = Json::parse(request.body);
    const auto workers = body.at("workers").get<std::vector<std::string>>();
    const std::string step = body.at("stepId");
    const int64_t takes =
        decide_ms_ + each_ms_ * static_cast<int64_t>(workers.size());
    const auto timer = std::make_shared<asio::steady_timer>(
        io_, std::chrono::milliseconds(takes));
    timer->async_wait(
        [this, timer, workers, step, takes, respond = respond](const auto&) {
          Json good = Json::array();
          for (const std::string& worker : workers) {
            const std::string ticket = "t" + std::to_string(++last_ticket_);
            tickets_[ticket] = {step, worker, NowMs() + valid_ms_};
            good.push_back({worker, ticket});
          }
          ++calls_;
          record_.Write("adviser answers for " + step + ", " +
                        std::to_string(workers.size()) + " workers, after " +
                        std::to_string(takes) + " ms of work; " +
                        std::to_string(waiting_.size()) + " calls wait");
          busy_ = false;
          respond(200, {{"good", good}, {"valid_ms", valid_ms_}});
          Next();
        });
  }

  asio::io_context& io_;
  Record& record_;
  Server server_;
  std::deque<std::pair<Request, Respond>> waiting_;
  std::map<std::string, Ticket> tickets_;
  int64_t decide_ms_ = 40;
  int64_t each_ms_ = 4;
  int64_t valid_ms_ = 3000;
  int64_t last_ticket_ = 0;
  int calls_ = 0;
  bool busy_ = false;
};

}  // namespace review

#endif  // REVIEW_STANDIN_2_PLATFORM_H_
