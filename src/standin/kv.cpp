// SPDX-License-Identifier: Apache-2.0

// Stand-in for the platform's key-value service. Faults: down (refuses),
// slow (delays), lose (takes effect, the answer comes too late).

#include <chrono>
#include <condition_variable>
#include <map>
#include <thread>

#include "standin/standin.h"

namespace doorwood::standin {
namespace {

constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr size_t kLargestValue = 1024 * 1024;
// Longer than any client waits.
constexpr int kLostMillis = 2500;

class Kv {
 public:
  Reply Read(const Json& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Expire();
    const auto entry = entries_.find(call.at("key").get<std::string>());
    if (entry == entries_.end()) {
      return {kNotFound};
    }
    return {200, EntryJson(*entry)};
  }

  Reply List(const Json& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Expire();
    return {200, ListJson(call.at("prefix").get<std::string>())};
  }

  Reply Write(const Json& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Expire();
    const auto key = call.at("key").get<std::string>();
    auto value = call.at("value").get<std::string>();
    const int64_t lease = call.value("lease", int64_t{0});
    if (value.size() > kLargestValue) {
      return {413};
    }
    if (lease != 0 && !leases_.contains(lease)) {
      return {kNotFound};
    }
    if (VersionOf(key) != call.at("expected_version").get<int64_t>()) {
      return {kConflict};
    }
    entries_[key] = {std::move(value), ++revision_, lease};
    changed_.notify_all();
    return {200, {{"version", revision_}}};
  }

  Reply Remove(const Json& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Expire();
    const auto key = call.at("key").get<std::string>();
    const auto expected = call.at("expected_version").get<int64_t>();
    const bool matches = expected < 0 || VersionOf(key) == expected;
    if (!matches) {
      return {kConflict};
    }
    if (entries_.erase(key) == 0) {
      return {kNotFound};
    }
    ++revision_;
    changed_.notify_all();
    return {};
  }

  Reply Grant(const Json& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto lifetime = call.at("lifetime_ms").get<int64_t>();
    const int64_t lease = ++last_lease_;
    leases_[lease] = {lifetime, MonotonicMillis() + lifetime};
    return {200, {{"lease", lease}}};
  }

  Reply Renew(const Json& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Expire();
    const auto lease = leases_.find(call.at("lease").get<int64_t>());
    if (lease == leases_.end()) {
      return {kNotFound};
    }
    lease->second.end = MonotonicMillis() + lease->second.lifetime;
    return {};
  }

  Reply Watch(const Json& call) {
    std::unique_lock<std::mutex> lock(mutex_);
    const auto prefix = call.at("prefix").get<std::string>();
    const auto after = call.at("after").get<int64_t>();
    const auto wait =
        std::chrono::milliseconds(call.at("wait_ms").get<int64_t>());
    changed_.wait_for(lock, wait,
                      [&]() { return NewestUnder(prefix) > after; });
    return {200, ListJson(prefix)};
  }

 private:
  struct Entry {
    std::string value;
    int64_t version = 0;
    int64_t lease = 0;
  };

  struct Lease {
    int64_t lifetime = 0;
    int64_t end = 0;
  };

  static Json EntryJson(const std::pair<const std::string, Entry>& item) {
    return {{"key", item.first},
            {"value", item.second.value},
            {"version", item.second.version}};
  }

  Json ListJson(const std::string& prefix) const {
    Json entries = Json::array();
    for (auto it = entries_.lower_bound(prefix);
         it != entries_.end() && it->first.starts_with(prefix); ++it) {
      entries.push_back(EntryJson(*it));
    }
    return {{"entries", std::move(entries)}};
  }

  int64_t VersionOf(const std::string& key) const {
    const auto entry = entries_.find(key);
    return entry == entries_.end() ? 0 : entry->second.version;
  }

  int64_t NewestUnder(const std::string& prefix) const {
    int64_t newest = 0;
    for (auto it = entries_.lower_bound(prefix);
         it != entries_.end() && it->first.starts_with(prefix); ++it) {
      newest = std::max(newest, it->second.version);
    }
    return newest;
  }

  void Expire() {
    const int64_t now = MonotonicMillis();
    std::erase_if(leases_,
                  [now](const auto& item) { return item.second.end < now; });
    std::erase_if(entries_, [this](const auto& item) {
      return item.second.lease != 0 && !leases_.contains(item.second.lease);
    });
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_;
  std::map<int64_t, Lease> leases_;
  int64_t revision_ = 0;
  int64_t last_lease_ = 0;
};

// Switched from outside; applies to all calls.
struct Faults {
  std::mutex mutex;
  bool down = false;
  int slow_ms = 0;
  // The answers to so many more writes get lost.
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
  return server.Run();
}

}  // namespace doorwood::standin
