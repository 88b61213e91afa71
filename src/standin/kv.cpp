// SPDX-License-Identifier: Apache-2.0

// Stand-in for the platform's key-value service. Faults: `down` (all calls get
// status 503 and have no effect), `slow_ms` (delays every call), `lose` (number
// of further writes and removals that are executed but answered too late).

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include "doorwood/error.h"
#include "standin/kv_model.h"
#include "standin/standin.h"

namespace doorwood::standin {
namespace {

constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr size_t kLargestValue = 1024 * 1024;
// Delay of a lost reply; longer than any client's timeout.
constexpr int kLostMillis = 2500;

Json EntryJson(const KvEntry& entry) {
  return {
      {"key", entry.key}, {"value", entry.value}, {"version", entry.version}};
}

Json ListJson(const std::vector<KvEntry>& entries) {
  Json list = Json::array();
  for (const KvEntry& entry : entries) {
    list.push_back(EntryJson(entry));
  }
  return {{"entries", std::move(list)}};
}

Reply ReplyOf(std::error_code error, Json body = Json::object()) {
  if (!error) {
    return {200, std::move(body)};
  }
  return {error == make_error_code(KvErrc::kNotFound) ? kNotFound : kConflict};
}

// Guards the model with a lock and adds blocking watches.
class Kv {
 public:
  Reply Read(const Json& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    KvEntry entry;
    const auto error = model_.Read(call.at("key"), MonotonicMillis(), &entry);
    return ReplyOf(error, EntryJson(entry));
  }

  Reply List(const Json& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return {200, ListJson(model_.List(call.at("prefix"), MonotonicMillis()))};
  }

  Reply Write(const Json& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const KvWrite write{.key = call.at("key"),
                        .value = call.at("value"),
                        .expected_version = call.at("expected_version"),
                        .lease = call.value("lease", int64_t{0})};
    if (write.value.size() > kLargestValue) {
      return {kTooLarge};
    }
    int64_t version = 0;
    const auto error = model_.Write(write, MonotonicMillis(), &version);
    changed_.notify_all();
    return ReplyOf(error, {{"version", version}});
  }

  Reply Remove(const Json& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto error = model_.Remove(
        call.at("key"), call.at("expected_version"), MonotonicMillis());
    changed_.notify_all();
    return ReplyOf(error);
  }

  Reply Grant(const Json& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const int64_t lease =
        model_.GrantLease(call.at("lifetime_ms"), MonotonicMillis());
    return {200, {{"lease", lease}}};
  }

  Reply Renew(const Json& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return ReplyOf(model_.RenewLease(call.at("lease"), MonotonicMillis()));
  }

  // Ends the blocked watches.
  void Stop() {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }

  Reply Watch(const Json& call) {
    std::unique_lock<std::mutex> lock(mutex_);
    const auto prefix = call.at("prefix").get<std::string>();
    const auto after = call.at("after").get<int64_t>();
    const auto wait =
        std::chrono::milliseconds(call.at("wait_ms").get<int64_t>());
    changed_.wait_for(lock, wait, [&]() {
      return stopping_ || model_.HighestVersionUnder(prefix) > after;
    });
    return {200, ListJson(model_.List(prefix, MonotonicMillis()))};
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  KvModel model_;
  bool stopping_ = false;
};

// Faults set by /fault, and numbers of calls of each kind for /stats.
struct Faults {
  std::mutex mutex;
  bool down = false;
  int slow_ms = 0;
  // Number of further writes and removals whose replies are delayed by
  // kLostMillis.
  int lose = 0;
  std::map<std::string, int64_t> calls;
};

void Sleep(int millis) {
  std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

}  // namespace

int RunKv(const KvRole& role) {
  Server server(role.server);
  Recorder recorder(role.server.record);
  Kv kv;
  Faults faults;
  const auto add = [&](const std::string& kind, bool changes,
                       Reply (Kv::*call)(const Json&)) {
    server.AddCall("/kv/" + kind, [&, kind, changes, call](const Json& body) {
      int slow = 0;
      {
        const std::lock_guard<std::mutex> lock(faults.mutex);
        ++faults.calls[kind];
        if (faults.down) {
          return Reply{kUnavailable};
        }
        slow = faults.slow_ms;
      }
      Sleep(slow);
      Reply reply = (kv.*call)(body);
      bool lose = false;
      {
        const std::lock_guard<std::mutex> lock(faults.mutex);
        lose = changes && faults.lose > 0;
        faults.lose -= lose ? 1 : 0;
      }
      if (changes && kind == "write") {
        recorder.Write({{"event", "write"},
                        {"key", body.value("key", "")},
                        {"status", reply.status},
                        {"lost", lose}});
      }
      if (lose) {
        Sleep(kLostMillis);
      }
      return reply;
    });
  };
  add("read", false, &Kv::Read);
  add("list", false, &Kv::List);
  add("write", true, &Kv::Write);
  add("remove", true, &Kv::Remove);
  add("grant", false, &Kv::Grant);
  add("renew", false, &Kv::Renew);
  add("watch", false, &Kv::Watch);
  server.AddCall("/fault", [&](const Json& body) {
    const std::lock_guard<std::mutex> lock(faults.mutex);
    faults.down = body.value("down", faults.down);
    faults.slow_ms = body.value("slow_ms", faults.slow_ms);
    faults.lose = body.value("lose", faults.lose);
    return Reply();
  });
  server.AddCall("/stats", [&](const Json&) {
    const std::lock_guard<std::mutex> lock(faults.mutex);
    return Reply{200, Json(faults.calls)};
  });
  server.set_on_stop([&kv]() { kv.Stop(); });
  return server.Run();
}

}  // namespace doorwood::standin
