// SPDX-License-Identifier: Apache-2.0

#include "world.h"

#include <algorithm>
#include <utility>

namespace review {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

Record::Record(const std::string& file) : out_(file), begin_(Clock::now()) {}

int64_t Record::Now() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               begin_)
      .count();
}

void Record::Write(const std::string& what, Json fields) {
  const std::lock_guard lock(mutex_);
  out_ << Now() << " ms " << what << " " << fields.dump() << "\n" << std::flush;
}

std::string EncodeBase64(const std::string& text) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  size_t i = 0;
  for (; i + 2 < text.size(); i += 3) {
    const uint32_t word = (static_cast<uint8_t>(text[i]) << 16) |
                          (static_cast<uint8_t>(text[i + 1]) << 8) |
                          static_cast<uint8_t>(text[i + 2]);
    for (int shift = 18; shift >= 0; shift -= 6) {
      out += kDigits[(word >> shift) & 63];
    }
  }
  if (i + 1 == text.size()) {
    const uint32_t word = static_cast<uint8_t>(text[i]) << 16;
    out += kDigits[(word >> 18) & 63];
    out += kDigits[(word >> 12) & 63];
    out += "==";
  } else if (i + 2 == text.size()) {
    const uint32_t word = (static_cast<uint8_t>(text[i]) << 16) |
                          (static_cast<uint8_t>(text[i + 1]) << 8);
    out += kDigits[(word >> 18) & 63];
    out += kDigits[(word >> 12) & 63];
    out += kDigits[(word >> 6) & 63];
    out += '=';
  }
  return out;
}

// --- Store ---

void Store::Listen(int port) {
  Serve(port, [this](const Request& request) { return Handle(request); });
}

void Store::set_hook(Hook hook) {
  const std::lock_guard lock(mutex_);
  hook_ = std::move(hook);
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  Item& item = items_[key];
  item.value = EncodeBase64(value);
  item.revision = ++revision_;
  item.made = item.made == 0 ? revision_ : item.made;
  events_.push_back({revision_, key, item});
  changed_.notify_all();
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  if (items_.erase(key) > 0) {
    events_.push_back({++revision_, key, std::nullopt});
    changed_.notify_all();
  }
}

std::string Store::Value(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = items_.find(key);
  return found == items_.end() ? "" : found->second.value;
}

Json Store::ToJson(const std::string& key, const Item& item) const {
  return {{"privateKey", key},
          {"value", item.value},
          {"revision", item.revision},
          {"made", item.made},
          {"lease", item.lease}};
}

void Store::RemoveKeysOf(int64_t lease) {
  for (auto it = items_.begin(); it != items_.end();) {
    if (it->second.lease == lease) {
      events_.push_back({++revision_, it->first, std::nullopt});
      it = items_.erase(it);
    } else {
      ++it;
    }
  }
  changed_.notify_all();
}

void Store::ExpireLeases() {
  const auto now = Clock::now();
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.ends <= now) {
      const int64_t lease = it->first;
      it = leases_.erase(it);
      RemoveKeysOf(lease);
    } else {
      ++it;
    }
  }
}

Response Store::Transact(const Json& transaction) {
  Json current = Json::array();
  bool holds = true;
  for (const Json& row : transaction.value("expectedRev", Json::array())) {
    const auto key = row.at("privateKey").get<std::string>();
    const auto found = items_.find(key);
    const int64_t revision = found == items_.end() ? 0 : found->second.revision;
    holds = holds && revision == row.value("revision", int64_t{0});
    if (found != items_.end()) {
      current.push_back(ToJson(key, found->second));
    }
  }
  if (!holds) {
    return {412, Json{{"items", current}}.dump()};
  }
  for (const Json& put : transaction.value("put", Json::array())) {
    const int64_t lease = put.value("lease", int64_t{0});
    if (lease != 0 && !leases_.contains(lease)) {
      return {404, "{}"};
    }
    const auto key = put.at("privateKey").get<std::string>();
    if (key.starts_with("op/") || key.starts_with("servers/")) {
      return {403, "{}"};
    }
  }
  ++revision_;
  for (const Json& put : transaction.value("put", Json::array())) {
    const auto key = put.at("privateKey").get<std::string>();
    Item& item = items_[key];
    item.value = put.value("value", "");
    item.lease = put.value("lease", int64_t{0});
    item.revision = revision_;
    item.made = item.made == 0 ? revision_ : item.made;
    events_.push_back({revision_, key, item});
  }
  for (const Json& key : transaction.value("remove", Json::array())) {
    if (items_.erase(key.get<std::string>()) > 0) {
      events_.push_back({revision_, key.get<std::string>(), std::nullopt});
    }
  }
  changed_.notify_all();
  return {200, Json{{"revision", revision_}}.dump()};
}

Response Store::Range(const Request& request) {
  constexpr size_t kPage = 500;
  const auto prefix = request.query.contains("pathPrefix")
                          ? request.query.at("pathPrefix")
                          : std::string();
  const auto after = request.query.contains("dependsOn")
                         ? request.query.at("dependsOn")
                         : std::string();
  Json items = Json::array();
  bool more = false;
  for (auto it = items_.lower_bound(std::max(prefix, after));
       it != items_.end() && it->first.starts_with(prefix); ++it) {
    if (it->first <= after) {
      continue;
    }
    if (items.size() == kPage) {
      more = true;
      break;
    }
    items.push_back(ToJson(it->first, it->second));
  }
  return {200,
          Json{{"items", items}, {"more", more}, {"at", revision_}}.dump()};
}

Response Store::Watch(const Request& request) {
  const std::string prefix = request.query.at("pathPrefix");
  const int64_t after = std::stoll(request.query.at("dependsOn"));
  const auto until = Clock::now() + std::chrono::milliseconds(
                                        std::stoll(request.query.at("waitMs")));
  std::unique_lock lock(mutex_);
  for (;;) {
    ExpireLeases();
    Json events = Json::array();
    for (auto it = std::upper_bound(
             events_.begin(), events_.end(), after,
             [](int64_t at, const Event&event) { return at < event.revision; });
         it != events_.end(); ++it) {
      if (!it->key.starts_with(prefix)) {
        continue;
      }
      if (it->item) {
        events.push_back(ToJson(it->key, *it->item));
      } else {
        events.push_back({{"privateKey", it->key},
                          {"revision", it->revision},
                          {"gone", true}});
      }
    }
    if (!events.empty() || Clock::now() >= until) {
      return {200, Json{{"events", events}, {"at", revision_}}.dump()};
    }
    changed_.wait_for(lock, 20ms);
  }
}

Response Store::Handle(const Request& request) {
  if (request.path == "/kv-watch") {
    return Watch(request);
  }
  const Json body =
      request.body.empty() ? Json::object() : Json::parse(request.body);
  std::unique_lock lock(mutex_);
  ExpireLeases();
  if (request.path == "/kv-key") {
    const auto found = items_.find(request.query.at("privateKey"));
    if (found == items_.end()) {
      return {404, "{}"};
    }
    Json json = ToJson(found->first, found->second);
    json["at"] = revision_;
    return {200, json.dump()};
  }
  if (request.path == "/kv-range") {
    return Range(request);
  }
  if (request.path == "/kv-txn") {
    const Decision decision = hook_ ? hook_(body) : Decision{};
    if (decision.fate == Fate::kLostAndLate) {
      std::thread([this, body, late = decision.late] {
        std::this_thread::sleep_for(late);
        const std::lock_guard again(mutex_);
        ExpireLeases();
        const Response response = Transact(body);
        record_.Write("store: a write that got no answer arrives late",
                      {{"result", response.status}});
      }).detach();
      Response silent;
      silent.silent = true;
      return silent;
    }
    return Transact(body);
  }
  if (request.path == "/kv-lease") {
    const int64_t ttl = body.at("ttl_ms").get<int64_t>();
    const int64_t id = ++next_lease_;
    leases_[id] = {ttl, Clock::now() + std::chrono::milliseconds(ttl)};
    return {200, Json{{"lease", id}, {"ttl_ms", ttl}}.dump()};
  }
  if (request.path.starts_with("/kv-keep/")) {
    const auto found = leases_.find(std::stoll(request.path.substr(9)));
    if (found == leases_.end()) {
      return {404, "{}"};
    }
    found->second.ends =
        Clock::now() + std::chrono::milliseconds(found->second.ttl_ms);
    return {200, Json{{"ttl_ms", found->second.ttl_ms}}.dump()};
  }
  if (request.path.starts_with("/kv-lease-end/")) {
    const int64_t id = std::stoll(request.path.substr(14));
    if (leases_.erase(id) > 0) {
      RemoveKeysOf(id);
    }
    return {200, "{}"};
  }
  return {404, "{}"};
}

// --- Worker ---

Worker::Worker(Record& record, Store& store, std::string machine, int port)
    : record_(record),
      store_(store),
      machine_(std::move(machine)),
      port_(port) {
  id_ = "i-" + machine_ + "-0";
}

void Worker::set_states_born(std::string zone,
                             std::string label,
                             int64_t max_hold) {
  zone_ = std::move(zone);
  label_ = std::move(label);
  max_hold_ = max_hold;
  states_born_ = true;
  BeginLife();
}

// The worker's clock begins anew with each life.
void Worker::BeginLife() {
  if (!states_born_) {
    return;
  }
  constexpr int64_t kFirstClock = 1000;
  born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
  clock_base_ = 0;
  clock_base_ = Clock() - kFirstClock;
}

Response Worker::Tell(int status, Json fields) const {
  fields["clockMs"] = Clock();
  if (states_born_) {
    fields["born"] = born_;
  }
  return {status, fields.dump()};
}

void Worker::LoseAtNextWait(std::function<void()> on_lost) {
  const std::lock_guard lock(mutex_);
  on_lost_ = std::move(on_lost);
}

void Worker::set_cut(bool cut) {
  const std::lock_guard lock(mutex_);
  cut_ = cut;
}

void Worker::DelayNextStart(std::string prefix,
                            std::chrono::milliseconds late,
                            std::function<void()> on_order) {
  const std::lock_guard lock(mutex_);
  late_prefix_ = std::move(prefix);
  late_ = late;
  on_late_order_ = std::move(on_order);
}

void Worker::RestartUnderItsId(std::chrono::milliseconds down) {
  {
    const std::lock_guard lock(mutex_);
    runs_.clear();
    ended_.clear();
    highest_ended_.clear();
    next_end_ = 1;
    fence_ = 0;
    lease_ = 0;
    up_ = false;
    ++life_;
    ended_changed_.notify_all();
  }
  std::this_thread::sleep_for(down);
  const std::lock_guard lock(mutex_);
  BeginLife();
  up_ = true;
}

void Worker::Listen() {
  Serve(port_, [this](const Request& request) { return Handle(request); });
  Announce();
}

void Worker::Announce() {
  Json entry{{"service", "pool"},
             {"address", "127.0.0.1:" + std::to_string(port_)},
             {"zone", zone_},
             {"version", "v1"},
             {"slots", 8},
             {"state", "ready"},
             {"coldRemainingMs", 0},
             {"capacity", {{"cpu", kCpu}, {"memMb", kMemMb}, {"gpu", 0}}},
             {"labels", {label_, "r1-1"}},
             {"machine", machine_},
             {"clockMs", Clock()},
             {"callSeq", 1}};
  if (states_born_) {
    entry["born"] = born_;
  }
  store_.Put("servers/" + id_, entry.dump());
}

int64_t Worker::Clock() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             review::Clock::now().time_since_epoch())
             .count() -
         clock_base_;
}

std::string Worker::id() {
  const std::lock_guard lock(mutex_);
  return id_;
}

int Worker::starts() {
  const std::lock_guard lock(mutex_);
  return starts_;
}

bool Worker::up() {
  const std::lock_guard lock(mutex_);
  return up_;
}

std::map<std::string, Run> Worker::runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

bool Worker::IsAtWork(const std::string& task) {
  constexpr int64_t kShortStart = 300;
  const std::lock_guard lock(mutex_);
  const auto found = runs_.find(task);
  return up_ && found != runs_.end() &&
         Clock() - found->second.began >= kShortStart;
}

void Worker::set_on_stop(std::function<void(const std::string& task)> on_stop) {
  const std::lock_guard lock(mutex_);
  on_stop_ = std::move(on_stop);
}

std::map<std::string, Run> Worker::Restart(
    std::chrono::milliseconds down,
    std::chrono::milliseconds entry_kept) {
  std::map<std::string, Run> ended;
  std::string gone;
  {
    const std::lock_guard lock(mutex_);
    ended = std::move(runs_);
    runs_.clear();
    ended_.clear();
    highest_ended_.clear();
    next_end_ = 1;
    fence_ = 0;
    lease_ = 0;
    up_ = false;
    gone = id_;
    id_ = "i-" + machine_ + "-" + std::to_string(++life_);
    ended_changed_.notify_all();
  }
  std::thread([this, gone, entry_kept] {
    std::this_thread::sleep_for(entry_kept);
    store_.Remove("servers/" + gone);
  }).detach();
  std::thread([this, down] {
    std::this_thread::sleep_for(down);
    const std::lock_guard lock(mutex_);
    BeginLife();
    up_ = true;
    Announce();
  }).detach();
  return ended;
}

void Worker::EndRun(const std::string& task, const std::string& how) {
  const auto found = runs_.find(task);
  ended_.push_back(
      {next_end_++, task, found->second.number, how, found->second.checkpoint});
  uint32_t& highest = highest_ended_[task];
  highest = std::max(highest, found->second.number);
  record_.Write("worker: a run ends", {{"worker", id_},
                                       {"task", task},
                                       {"run", found->second.number},
                                       {"how", how}});
  runs_.erase(found);
  ended_changed_.notify_all();
}

void Worker::Tick() {
  const std::lock_guard lock(mutex_);
  if (!up_) {
    return;
  }
  const int64_t now = Clock();
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : runs_) {
    if (now >= lease_) {
      over.emplace_back(task, "lapsed");
    } else if (!run.lasts() && now >= run.began + run.length) {
      over.emplace_back(task, "done");
    }
  }
  for (const auto& [task, how] : over) {
    EndRun(task, how);
  }
}

void Worker::TakeLease(const Json& order) {
  if (order.contains("untilMs")) {
    lease_ = std::max(lease_, std::min(order.at("untilMs").get<int64_t>(),
                                       Clock() + max_hold_));
  }
}

Response Worker::Hold(const Json& order) {
  const auto until = review::Clock::now() +
                     std::chrono::milliseconds(order.value("waitMs", 0));
  constexpr int kLongWait = 1000;
  std::unique_lock lock(mutex_);
  if (on_lost_ && order.value("waitMs", 0) >= kLongWait) {
    const auto on_lost = std::exchange(on_lost_, nullptr);
    lock.unlock();
    Restart(1h, 4500ms);
    on_lost();
    Response none;
    none.silent = true;
    return none;
  }
  const int life = life_;
  const uint64_t seen = order.value("lastSeen", uint64_t{0});
  std::erase_if(ended_, [seen](const End& end) { return end.number <= seen; });
  TakeLease(order);
  while (ended_.empty() && review::Clock::now() < until && life_ == life) {
    ended_changed_.wait_for(lock, 20ms);
  }
  if (life_ != life || cut_) {
    Response none;
    none.silent = true;
    return none;
  }
  Json active = Json::array();
  for (const auto& [task, run] : runs_) {
    const int64_t age = Clock() - run.began;
    const int64_t percent = run.lasts()
                                ? (age >= 300 ? 100 : age / 3)
                                : std::min<int64_t>(99, age * 100 / run.length);
    active.push_back(
        Json::array({task, run.number, run.checkpoint, percent, 1000}));
  }
  Json ended = Json::array();
  for (const End& end : ended_) {
    ended.push_back(
        Json::array({end.number, end.task, end.run, end.how, end.saved}));
  }
  return Tell(200, {{"active", active}, {"ended", ended}});
}

Response Worker::Start(const Json& order) {
  const std::string task = order.value("taskId", "");
  const uint32_t number = order.value("runId", uint32_t{0});
  const auto present = runs_.find(task);
  const bool is_there =
      present != runs_.end() && present->second.number == number;
  const uint64_t token = order.value("fenceToken", uint64_t{0});
  if (token < fence_) {
    return Tell(409, {{"reason", "fence"}});
  }
  fence_ = token;
  if (is_there) {
    TakeLease(order);
    return Tell(200, Json::object());
  }
  if (number <= highest_ended_[task] || present != runs_.end()) {
    TakeLease(order);
    return Tell(409, {{"reason", "old"}});
  }
  if (order.value("untilMs", int64_t{0}) <= Clock()) {
    return Tell(409, {{"reason", "late"}});
  }
  TakeLease(order);
  Run run;
  run.number = number;
  run.spec = order.value("spec", "");
  run.checkpoint = order.value("lastCheckpoint", "");
  run.began = Clock();
  // ID.K.STEP.INDEX
  const size_t end = task.rfind('.');
  const size_t begin = task.rfind('.', end - 1) + 1;
  const std::string field = "s" + task.substr(begin, end - begin) + "=";
  const size_t at = run.spec.find(field);
  run.length = at == std::string::npos
                   ? 0
                   : std::stoll(run.spec.substr(at + field.size()));
  runs_[task] = run;
  record_.Write(
      "worker: a run begins",
      {{"worker", id_}, {"task", task}, {"run", number}, {"fence", fence_}});
  return Tell(200, Json::object());
}

Response Worker::Handle(const Request& request) {
  const Json order =
      request.body.empty() ? Json::object() : Json::parse(request.body);
  {
    const std::lock_guard lock(mutex_);
    if (!up_ || cut_) {
      Response none;
      none.silent = true;
      return none;
    }
    const auto expected = request.headers.find("expect-instance");
    if (expected != request.headers.end() && expected->second != id_) {
      return {421, "{}"};
    }
    const uint64_t token = order.value("fenceToken", uint64_t{0});
    if (token < fence_) {
      return Tell(409, {{"reason", "fence"}});
    }
    fence_ = token;
  }
  if (request.path == "/hold") {
    return Hold(order);
  }
  const std::lock_guard lock(mutex_);
  const std::string task = order.value("taskId", "");
  const uint32_t number = order.value("runId", uint32_t{0});
  const auto present = runs_.find(task);
  const bool is_there =
      present != runs_.end() && present->second.number == number;
  if (request.path == "/run-start") {
    ++starts_;
    if (late_prefix_.empty() || !task.starts_with(late_prefix_)) {
      return Start(order);
    }
    late_prefix_.clear();
    record_.Write("worker: a start gets no answer and is carried out late",
                  {{"worker", id_}, {"life", life_}, {"order", order}});
    std::thread([this, order, late = late_] {
      std::this_thread::sleep_for(late);
      const std::lock_guard again(mutex_);
      if (up_) {
        const Response response = Start(order);
        record_.Write(
            "worker: the late start is carried out",
            {{"worker", id_}, {"life", life_}, {"status", response.status}});
      }
    }).detach();
    std::thread(on_late_order_).detach();
    Response none;
    none.silent = true;
    return none;
  }
  if (request.path == "/run-stop") {
    uint32_t& highest = highest_ended_[task];
    highest = std::max(highest, number);
    if (is_there) {
      if (on_stop_) {
        on_stop_(task);
      }
      EndRun(task, "stopped");
    }
    return Tell(200, Json::object());
  }
  if (request.path == "/pace") {
    if (!is_there) {
      return Tell(409, {{"reason", "old"}});
    }
    present->second.percent = order.value("percent", 100);
    return Tell(200, Json::object());
  }
  return {404, "{}"};
}

// --- Cloud ---

Cloud::Cloud(Record& record, std::vector<Worker*> workers, OnUpkeep on_upkeep)
    : record_(record),
      workers_(std::move(workers)),
      on_upkeep_(std::move(on_upkeep)) {}

void Cloud::Listen(int port) {
  Serve(port, [this](const Request& request) { return Handle(request); });
}

Response Cloud::Handle(const Request& request) {
  const bool orders = request.path == "/machine-upkeep";
  if (silent) {
    if (orders) {
      record_.Write("machines: an order is neither done nor answered",
                    Json::parse(request.body));
    }
    Response none;
    none.silent = true;
    return none;
  }
  if (request.path == "/machines") {
    Json rows = Json::array();
    for (Worker* worker : workers_) {
      const bool up = worker->up();
      Json row{
          {"machine", worker->machine()},
          {"pool", "pool"},
          {"state", up ? "up" : "upkeep"},
          {"zone", "plaka"},
          {"labels", {"a", "r1-1"}},
          {"capacity",
           {{"cpu", Worker::kCpu}, {"memMb", Worker::kMemMb}, {"gpu", 0}}}};
      if (up) {
        row["id"] = worker->id();
      }
      rows.push_back(std::move(row));
    }
    return {200, Json{{"machines", rows}, {"nextToken", nullptr}}.dump()};
  }
  if (!orders) {
    return {404, "{}"};
  }
  const Json order = Json::parse(request.body);
  const std::lock_guard lock(mutex_);
  const auto machine = order.at("machine").get<std::string>();
  const std::pair done(machine, order.at("wave").get<int64_t>());
  if (done_.contains(done)) {
    return {200, "{}"};
  }
  for (Worker* worker : workers_) {
    if (worker->machine() != machine) {
      continue;
    }
    if (!worker->up()) {
      return {409, Json{{"reason", "busy"}}.dump()};
    }
    done_.insert(done);
    const std::map<std::string, Run> ended = worker->Restart(2000ms, 0ms);
    Json tasks = Json::array();
    for (const auto& [task, run] : ended) {
      tasks.push_back(task);
    }
    record_.Write("machines: an upkeep begins", {{"machine", machine},
                                                 {"wave", order.at("wave")},
                                                 {"ends_runs", tasks}});
    on_upkeep_(machine, ended);
    return {200, "{}"};
  }
  return {400, "{}"};
}

}  // namespace review
